//! The overload of one service.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::limit_level::{Admission, Demand, Refusal, Signal};

use crate::fleet::Forecast;

use super::bound::Bound;
use super::waits::Waits;

/// How long a route counts after its last request. The shortest objective of the routes in use applies.
const OBJECTIVE_MEMORY: Duration = Duration::from_secs(5);

/// The state of one service: what its targets are expected to take, and who is admitted.
#[derive(Debug, Default)]
pub struct Service {
    admission: Admission,
    waits: Waits,
    bound: Bound,
    objective: Option<(Instant, Duration)>,
}

impl Service {
    /// Returns the expected times of calls.
    pub fn waits(&mut self) -> &mut Waits {
        &mut self.waits
    }

    /// Returns the bound on the expected time of streams.
    pub fn bound(&mut self) -> &mut Bound {
        &mut self.bound
    }

    /// Records the objective of a route for which a request has arrived.
    pub fn record_objective(&mut self, now: Instant, objective: Duration) {
        let is_longer = |(at, known): &(Instant, Duration)| *known < objective && now.since(*at) <= OBJECTIVE_MEMORY;
        if !self.objective.as_ref().is_some_and(is_longer) {
            self.objective = Some((now, objective));
        }
    }

    /// Applies the expected time of the next request to the level.
    pub fn observe(&mut self, now: Instant, forecast: Forecast) {
        let objective = self.objective.map_or(Duration::MAX, |(_, objective)| objective);
        let signal = Signal {
            expected: forecast.expected,
            unloaded: forecast.unloaded,
            objective,
            refused_part: self.waits.refused_part(now),
        };
        self.admission.observe(now, signal);
    }

    /// Records work that the service has completed; calls are 1 each, streams count their tokens.
    pub fn record_completed(&mut self, now: Instant, work: f64) {
        self.admission.record_completed(now, work);
    }

    /// Decides on a request.
    ///
    /// # Errors
    ///
    /// Fails with the reason when the request ranks above the level.
    pub fn admit(
        &mut self,
        now: Instant,
        demand: &Demand<'_>,
        time_left: Duration,
        random: f64,
    ) -> Result<(), Refusal> {
        self.admission.admit(now, demand, time_left, random)
    }

    /// Returns the delay of a caller that is refused.
    pub fn retry_after(&self, now: Instant, time_left: Duration, random: f64) -> Duration {
        self.admission.retry_after(now, time_left, random)
    }

    /// Returns the level by this host's own signal.
    pub fn own_level(&self, now: Instant) -> f64 {
        self.admission.own_level(now)
    }

    /// Returns the level that decides on requests.
    pub fn level(&mut self, now: Instant) -> f64 {
        self.admission.level(now)
    }

    /// Stores the level of a peer.
    pub fn merge_peer(&mut self, now: Instant, peer: &str, level: f64) {
        self.admission.merge_peer(now, peer, level);
    }
}
