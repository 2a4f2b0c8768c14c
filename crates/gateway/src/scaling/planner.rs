//! The decision for a service.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornpost_core::clock::Instant;

use crate::scaling::occupancy::Condition;
use crate::scaling::{Bounds, Capacity, Demand, Hold, Order, Place, Proposal, Reason, Sample, split};

/// The length of the history as a multiple of the startup time. A surplus that ends sooner is not worth two changes.
const WINDOW_STARTUPS: u32 = 3;
/// The minimum length of the history.
const MIN_WINDOW: Duration = Duration::from_secs(15);
/// The maximum length of the history, for services whose targets take minutes to start.
const MAX_WINDOW: Duration = Duration::from_secs(600);
/// The time beyond the startup by which the trend is followed: until the next decisions and for registration.
const LEAD_MARGIN: Duration = Duration::from_secs(2);
/// One order removes at most one in this many targets of a data centre, so that their streams find room elsewhere.
const STEP_DIVISOR: u32 = 10;
/// None are removed while the surplus is less than one in this many targets (hysteresis).
const SURPLUS_DIVISOR: u32 = 10;

/// Decides on the number of targets of a service, for the holder of the duty.
#[derive(Clone, Debug)]
pub struct Planner {
    bounds: Bounds,
    capacity: Capacity,
    demand: Demand,
    places: BTreeMap<String, Place>,
    requests: BTreeMap<String, f64>,
    /// The latest reasons against fewer targets, with the times at which they were seen.
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
        self.demand.record(now, self.capacity.occupied(sample));
        self.requests.clone_from(&sample.requests);
        for data_centre in sample.data_centres() {
            if !self.places.contains_key(data_centre) {
                self.places.insert(data_centre.to_owned(), Place::default());
            }
        }
        let mut is_lost = false;
        for (data_centre, place) in &mut self.places {
            is_lost |= place.record(now, sample.present(data_centre));
        }
        let trouble = if is_lost {
            Some(Hold::Lost)
        } else if sample.has(Condition::Troubled) {
            Some(Hold::Troubled)
        } else if sample.is_rolling_out {
            Some(Hold::Rollout)
        } else if sample.has(Condition::Leaving) {
            Some(Hold::Leaving)
        } else {
            None
        };
        if let Some(trouble) = trouble {
            self.troubled_at = Some((now, trouble));
        }
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
        let startup = self.bounds.startup();
        if let Some((at, hold)) = self.troubled_at
            && now.since(at) < hold_duration(hold, startup)
        {
            return Some(hold);
        }
        let is_recent = self.changed_at.is_some_and(|at| now.since(at) < startup / 2);
        is_recent.then_some(Hold::Changed)
    }

    /// Proposes orders for the data centres of a service.
    pub fn propose(&self, now: Instant, service: &str) -> Vec<Proposal> {
        let startup = self.bounds.startup();
        let forecast = self.demand.forecast(now, startup + LEAD_MARGIN);
        let now_wanted = self.divide(self.demand.recent());
        let soon_wanted = self.divide(forecast);
        let kept = self.divide(forecast.max(self.demand.peak()));
        let hold = self.hold(now);
        let mut proposals = Vec::new();
        for (data_centre, place) in &self.places {
            let name = data_centre.as_str();
            let before = place.expected(now, startup);
            let (current, soon) = (now_wanted[name], soon_wanted[name]);
            let decision = if current > before {
                Some((current.max(soon), Reason::Demand))
            } else if soon > before {
                Some((soon, Reason::Trend))
            } else if let Some(missing) = place.missing(now, startup) {
                Some((missing.min(before), Reason::Missing))
            } else if hold.is_none() {
                step_down(before, kept[name]).map(|targets| (targets, Reason::Surplus))
            } else {
                None
            };
            let Some((targets, reason)) = decision else {
                continue;
            };
            proposals.push(Proposal {
                order: Order {
                    service: service.to_owned(),
                    data_centre: data_centre.clone(),
                    targets,
                },
                reason,
                before,
                present: place.present(),
                demand: self.demand.recent(),
                peak: self.demand.peak(),
                forecast,
            });
        }
        proposals
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

/// Returns for how long a reason against fewer targets lasts after it was seen last.
fn hold_duration(hold: Hold, startup: Duration) -> Duration {
    match hold {
        // Targets that leave have streams that go on elsewhere at the end of their drain.
        Hold::Leaving => startup / 2,
        _ => startup,
    }
}

/// Returns the next lower number of targets on the way to `kept`, if there is a surplus worth a change.
fn step_down(before: u32, kept: u32) -> Option<u32> {
    let surplus = before.saturating_sub(kept);
    let is_small = surplus == 0 || surplus < before / SURPLUS_DIVISOR;
    let step = (before / STEP_DIVISOR).max(1);
    (!is_small).then(|| before - step.min(surplus))
}
