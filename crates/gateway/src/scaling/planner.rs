//! The decision for a service.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornpost_core::clock::Instant;

use crate::scaling::occupancy::Condition;
use crate::scaling::{Bounds, Capacity, Demand, Hold, Order, Place, Proposal, Reason, Sample, split};

/// The length of the history as a multiple of the startup time. A surplus that ends sooner is not worth two changes.
const WINDOW_STARTUPS: u32 = 2;
/// The minimum length of the history.
const MIN_WINDOW: Duration = Duration::from_secs(10);
/// The maximum length of the history, for services whose targets take minutes to start.
const MAX_WINDOW: Duration = Duration::from_secs(600);
/// The time beyond the startup by which the trend is followed: until the next decisions and for registration.
const LEAD_MARGIN: Duration = Duration::from_secs(2);
/// The time after trouble with targets in which the requests that it moved are still being served.
const RECOVERY_TIME: Duration = Duration::from_secs(2);
/// One order removes at most one in this many targets of a data centre, so that their streams find room elsewhere.
const STEP_DIVISOR: u32 = 5;
/// No targets are added while the shortage is at most one in this many targets, as the demand of each moment varies.
const SHORTAGE_DIVISOR: u32 = 20;
/// No targets are removed while the surplus is less than one in this many targets (hysteresis).
const SURPLUS_DIVISOR: u32 = 10;

/// Decides on the number of targets of a service, for the holder of the duty.
#[derive(Clone, Debug)]
pub struct Planner {
    bounds: Bounds,
    capacity: Capacity,
    demand: Demand,
    places: BTreeMap<String, Place>,
    requests: BTreeMap<String, f64>,
    /// The latest trouble that forbids fewer targets, with the time at which it was seen last.
    troubled_at: Option<(Instant, Hold)>,
    changed_at: Option<Instant>,
}

impl Planner {
    /// Creates a planner without a history.
    pub fn new(bounds: Bounds) -> Self {
        let window = (bounds.startup() * WINDOW_STARTUPS).clamp(MIN_WINDOW, MAX_WINDOW);
        Self {
            bounds,
            capacity: Capacity::default(),
            demand: Demand::new(window),
            places: BTreeMap::new(),
            requests: BTreeMap::new(),
            troubled_at: None,
            changed_at: None,
        }
    }

    /// Returns the bounds.
    pub fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// Returns the data centres with their targets.
    pub fn places(&self) -> impl Iterator<Item = (&str, &Place)> {
        self.places.iter().map(|(name, place)| (name.as_str(), place))
    }

    /// Records what is known of the service.
    pub fn record(&mut self, now: Instant, sample: &Sample) {
        self.requests.clone_from(&sample.requests);
        for data_centre in sample.data_centres() {
            if !self.places.contains_key(data_centre) {
                self.places.insert(data_centre.to_owned(), Place::default());
            }
        }
        if let Some(trouble) = self.record_places(now, sample) {
            self.troubled_at = Some((now, trouble));
        }
        let occupied = match self.recent_trouble(now) {
            Some(Hold::Lost | Hold::Troubled) => self.capacity.occupied_without_repeats(sample),
            _ => self.capacity.occupied(sample),
        };
        self.demand.record(now, occupied);
    }

    /// Records the targets that are present, and returns the trouble that they are in.
    fn record_places(&mut self, now: Instant, sample: &Sample) -> Option<Hold> {
        let mut is_lost = false;
        for (data_centre, place) in &mut self.places {
            is_lost |= place.record(now, sample.present(data_centre));
        }
        let troubles = [
            (is_lost, Hold::Lost),
            (sample.has(Condition::Troubled), Hold::Troubled),
            (sample.is_rolling_out, Hold::Rollout),
            (sample.has(Condition::Leaving), Hold::Leaving),
        ];
        let mut present = troubles.into_iter().filter(|(is_present, _)| *is_present);
        present.next().map(|(_, trouble)| trouble)
    }

    /// Returns the trouble that was seen last, while requests that it moved are still being served.
    fn recent_trouble(&self, now: Instant) -> Option<Hold> {
        let recent = self.troubled_at.filter(|(at, _)| now.since(*at) < RECOVERY_TIME);
        recent.map(|(_, trouble)| trouble)
    }

    /// Records that the platform accepted an order.
    pub fn confirm(&mut self, now: Instant, order: &Order) {
        if let Some(place) = self.places.get_mut(&order.data_centre) {
            place.confirm(now, order.targets);
            self.changed_at = Some(now);
        }
    }

    /// Returns why the number of targets must not be lowered.
    pub fn hold(&self, now: Instant) -> Option<Hold> {
        if !self.demand.is_complete(now) {
            return Some(Hold::ShortHistory);
        }
        if let Some(trouble) = self.recent_trouble(now) {
            return Some(trouble);
        }
        let startup = self.bounds.startup();
        let is_recent = self.changed_at.is_some_and(|at| now.since(at) < startup / 2);
        is_recent.then_some(Hold::Changed)
    }

    /// Proposes orders for the data centres of a service.
    pub fn propose(&self, now: Instant, service: &str) -> Vec<Proposal> {
        let forecast = self.demand.forecast(now, self.bounds.startup() + LEAD_MARGIN);
        let wanted = Wanted {
            now: self.divide(self.demand.recent()),
            soon: self.divide(forecast),
            kept: self.divide(forecast.max(self.demand.peak())),
        };
        let mut places = self.places.iter();
        let is_short = places.any(|(name, place)| place.present() < wanted.kept[name.as_str()]);
        let may_lower = !is_short && self.hold(now).is_none();
        let decided = self.places.iter().filter_map(|(data_centre, place)| {
            let (targets, reason) = self.decide(now, data_centre, &wanted, may_lower)?;
            Some(Proposal {
                order: Order {
                    service: service.to_owned(),
                    data_centre: data_centre.clone(),
                    targets,
                },
                reason,
                before: place.expected(now, self.bounds.startup()),
                present: place.present(),
                demand: self.demand.recent(),
                peak: self.demand.peak(),
                forecast,
            })
        });
        decided.collect()
    }

    /// Returns the number of targets to order in a data centre, if any.
    fn decide(&self, now: Instant, data_centre: &str, wanted: &Wanted<'_>, may_lower: bool) -> Option<(u32, Reason)> {
        let startup = self.bounds.startup();
        let place = self.places.get(data_centre)?;
        let kept = wanted.kept[data_centre];
        let before = place.expected(now, startup);
        let tolerated = before.saturating_add(before / SHORTAGE_DIVISOR);
        if wanted.now[data_centre] > tolerated {
            return Some((kept, Reason::Demand));
        }
        if wanted.soon[data_centre] > tolerated {
            return Some((kept, Reason::Trend));
        }
        if let Some(missing) = place.missing(now, startup) {
            return Some((missing, Reason::Missing));
        }
        // Targets beyond the maximum were added by an operator, who removes them as well.
        let is_within_bounds = before == self.bounds.clamp(before);
        let lower = (may_lower && is_within_bounds)
            .then(|| step_down(before, kept))
            .flatten();
        lower.map(|targets| (targets, Reason::Surplus))
    }

    /// Returns the number of targets for a demand by data centre.
    fn divide(&self, demand: f64) -> BTreeMap<&str, u32> {
        let requests = self.places.keys().map(|name| {
            let requests = self.requests.get(name).copied();
            (name.as_str(), requests.unwrap_or_default())
        });
        let requests = requests.collect::<BTreeMap<_, _>>();
        split::evenly(split::needed(demand, requests.len()), &requests, &self.bounds)
    }
}

/// The numbers of targets for a demand, by data centre.
struct Wanted<'a> {
    /// For the demand of the last seconds.
    now: BTreeMap<&'a str, u32>,
    /// For the demand when a target that is ordered now has started.
    soon: BTreeMap<&'a str, u32>,
    /// For the peak as well.
    kept: BTreeMap<&'a str, u32>,
}

/// Returns the next lower number of targets on the way to `kept`, if there is a surplus worth a change.
fn step_down(before: u32, kept: u32) -> Option<u32> {
    let surplus = before.saturating_sub(kept);
    let is_small = surplus == 0 || surplus < before / SURPLUS_DIVISOR;
    let step = (before / STEP_DIVISOR).max(1);
    (!is_small).then(|| before - step.min(surplus))
}
