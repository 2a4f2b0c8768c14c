//! The bound on the expected time to the first event of streams.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::limit_level::{Demand, Offered};

use crate::fleet::Forecast;

/// How long a route counts after its last request.
const ROUTE_MEMORY: Duration = Duration::from_secs(5);
/// The part of the most urgent route's objective that less urgent streams may wait.
const LESS_URGENT_PART: f64 = 0.5;
/// The part of the bound that applies to accounts above their fair share while streams are refused.
const ABOVE_SHARE_PART: f64 = 0.5;
/// How long after a refusal the service counts as refusing.
const REFUSING_FOR: Duration = Duration::from_secs(1);
/// The minimum mean delay of a refused caller. Peers report their loads within this time.
const MIN_DELAY: Duration = Duration::from_millis(500);
/// The maximum refused work as a multiple of the admitted work.
const MAX_REFUSED_RATIO: f64 = 100.0;
/// The part of the time left after which a refused caller returns at the latest; callers ignore longer delays.
const MAX_DELAY_PART: f64 = 1.0 / 3.0;
/// The spread of the delays of refused callers around their mean, as a factor.
const DELAY_SPREAD: (f64, f64) = (0.75, 1.25);

/// The urgency of a route. An account's own priority does not change it, or the streams of one account on a route with a
/// long objective would fill the queue of the most urgent route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// The priority of the route, where 0 is the most urgent.
    pub priority: u8,
    /// The latency objective of the route.
    pub objective: Duration,
}

/// Admits streams while their expected time to the first event is within a bound. No state is adapted to the outcome, so
/// admission cannot oscillate.
#[derive(Debug, Default)]
pub struct Bound {
    /// The objective of the routes in use by priority, with the time of the last request.
    objectives: BTreeMap<u8, (Instant, Duration)>,
    offered: Offered,
    /// The first and the last of the recent refusals.
    refusing: Option<(Instant, Instant)>,
    /// The work, in tokens, that was refused since the first of the recent refusals.
    refused: f64,
    /// The work, in tokens, that was admitted since the first of the recent refusals.
    admitted: f64,
}

impl Bound {
    /// Decides on a stream of a route with this urgency.
    ///
    /// # Errors
    ///
    /// Fails with the time until room is expected, when the stream would wait longer than its bound.
    pub fn admit(
        &mut self,
        now: Instant,
        demand: &Demand<'_>,
        route: Urgency,
        forecast: Forecast,
    ) -> Result<(), Duration> {
        self.record_route(now, route);
        self.offered.record(now, demand, 0.0);
        let is_above_share = self.is_refusing(now) && self.offered.is_above_share(demand);
        let part = if is_above_share { ABOVE_SHARE_PART } else { 1.0 };
        let bound = self.bound(route);
        let own_bound = bound.mul_f64(part);
        let expected = self.expected(demand.priority, forecast);
        // Without waiting requests a refusal would make no other stream faster.
        if expected <= own_bound || !forecast.is_queueing() {
            self.offered.record_admitted(demand);
            self.admitted += demand.work;
            return Ok(());
        }
        // A refusal by the lower bound of an account must not keep this bound in force.
        if expected > bound {
            self.record_refusal(now);
        }
        self.refused += demand.work;
        Err(expected.saturating_sub(own_bound))
    }

    /// Records that a stream was refused.
    pub fn record_refusal(&mut self, now: Instant) {
        let began = match self.refusing {
            Some((began, last)) if now.since(last) <= REFUSING_FOR => began,
            Some(_) | None => {
                (self.refused, self.admitted) = (0.0, 0.0);
                now
            }
        };
        self.refusing = Some((began, now));
    }

    /// Returns whether streams were refused lately.
    pub fn is_refusing(&self, now: Instant) -> bool {
        self.refusing.is_some_and(|(_, last)| now.since(last) <= REFUSING_FOR)
    }

    /// Returns the time after which a refused caller may return: when the queue has drained to the bound, and the callers
    /// that were refused before it have been admitted at the rate of the recent admissions. `random`, between 0 and 1,
    /// spreads the callers.
    pub fn retry_after(&self, now: Instant, excess: Duration, time_left: Duration, random: f64) -> Duration {
        let lasted = self.refusing.map_or(Duration::ZERO, |(began, _)| now.since(began));
        let refused_ratio = (self.refused / self.admitted.max(f64::MIN_POSITIVE)).min(MAX_REFUSED_RATIO);
        let mean = (excess + lasted.mul_f64(refused_ratio)).max(MIN_DELAY);
        let (least, most) = DELAY_SPREAD;
        let spread = (most - least).mul_add(random, least);
        let latest = time_left.mul_f64(MAX_DELAY_PART * spread / most);
        mean.mul_f64(spread).min(latest)
    }

    /// Returns the expected time for a priority: engines serve waiting streams by priority.
    fn expected(&self, priority: u8, forecast: Forecast) -> Duration {
        let wait = forecast.expected.saturating_sub(forecast.unloaded);
        forecast.unloaded + wait.mul_f64(self.offered.ahead_part(priority))
    }

    /// Returns the longest expected time with which a stream is admitted.
    fn bound(&self, route: Urgency) -> Duration {
        match self.objectives.first_key_value() {
            Some((most_urgent, (_, shortest))) if *most_urgent < route.priority => {
                route.objective.min(shortest.mul_f64(LESS_URGENT_PART))
            }
            Some((_, (_, shortest))) => route.objective.min(*shortest),
            None => route.objective,
        }
    }

    fn record_route(&mut self, now: Instant, route: Urgency) {
        self.objectives.retain(|_, (at, _)| now.since(*at) <= ROUTE_MEMORY);
        let known = self.objectives.get(&route.priority);
        if known.is_none_or(|(_, objective)| route.objective <= *objective) {
            self.objectives.insert(route.priority, (now, route.objective));
        }
    }
}
