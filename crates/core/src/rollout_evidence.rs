//! The merged counters of all entries for one run of a rollout.

use std::collections::{BTreeMap, BTreeSet};

use jiff::{SignedDuration, Timestamp};

use crate::id::{Route, Target};
use crate::rollout::{Cell, Counters, Key, Ledger, Origin, Sample, Side};

/// Routes with a lower share of the old version's requests are evaluated together, because each alone would need days
/// to collect enough evidence for a decision.
const MIN_MAJOR_ROUTE_SHARE: f64 = 0.05;

/// How often the old version's route counters are published. They are the baseline for the new version, and an outdated
/// baseline delays verdicts.
const ROUTE_PUBLISH_INTERVAL: SignedDuration = SignedDuration::from_secs(5);
/// How often target counters are published. They change with every request but do not affect decisions within seconds,
/// so publishing them rarely saves traffic between entries.
const TARGET_PUBLISH_INTERVAL: SignedDuration = SignedDuration::from_secs(20);

/// The ledgers of all entries, and their sums.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    ledgers: BTreeMap<(Origin, Side), Ledger>,
    unpublished: BTreeSet<Key>,
    routes_published: Option<Timestamp>,
    targets_published: Option<Timestamp>,
    routes: BTreeMap<(Side, Route), BTreeMap<u32, Counters>>,
    targets: BTreeMap<(Side, Target), BTreeMap<u32, Counters>>,
    /// The sums of each route over all intervals.
    totals: BTreeMap<(Side, Route), Counters>,
}

impl Evidence {
    /// Counts a sample of this entry, without publishing it.
    pub fn record(&mut self, own: &Origin, sample: &Sample, interval: u32) {
        for key in Key::of(sample, interval) {
            let ledger = self.ledgers.entry((own.clone(), sample.side)).or_default();
            ledger.count(&key, sample.outcome);
            self.sums(&key).count(sample.outcome);
            if let Some(total) = self.total_mut(&key) {
                total.count(sample.outcome);
            }
            self.unpublished.insert(key);
        }
    }

    /// Publishes this entry's counters: those of the new version's routes at once, the others at intervals.
    pub fn publish(&mut self, own: &Origin, now: Timestamp) {
        let routes = take_due(&mut self.routes_published, now, ROUTE_PUBLISH_INTERVAL);
        let targets = take_due(&mut self.targets_published, now, TARGET_PUBLISH_INTERVAL);
        let ledgers = &mut self.ledgers;
        self.unpublished.retain(|key| {
            let publishes = match key {
                Key::Route(_, side, _) => routes || *side == Side::New,
                Key::Target(..) => targets,
            };
            if let (true, Some(ledger)) = (publishes, ledgers.get_mut(&(own.clone(), key.side()))) {
                ledger.publish(key);
            }
            !publishes
        });
    }

    /// Merges a cell of another entry.
    pub fn merge(&mut self, origin: &Origin, cell: &Cell) {
        let ledger = self.ledgers.entry((origin.clone(), cell.key.side())).or_default();
        let Some((before, after)) = ledger.merge(cell) else {
            return;
        };
        let sums = self.sums(&cell.key);
        let deaths = sums.deaths.max(after.deaths);
        sums.subtract(&before);
        sums.add(&after);
        // Several entries may observe the same death, so deaths are not added up over entries.
        sums.deaths = deaths;
        if let Some(total) = self.total_mut(&cell.key) {
            total.subtract(&before);
            total.add(&after);
        }
    }

    /// Returns the counters of a route over the whole run.
    pub fn total(&self, side: Side, route: &Route) -> Option<&Counters> {
        self.totals.get(&(side, route.clone()))
    }

    fn total_mut(&mut self, key: &Key) -> Option<&mut Counters> {
        match key {
            Key::Route(route, side, _) => Some(self.totals.entry((*side, route.clone())).or_default()),
            Key::Target(..) => None,
        }
    }

    fn sums(&mut self, key: &Key) -> &mut Counters {
        match key {
            Key::Route(route, side, interval) => {
                let intervals = self.routes.entry((*side, route.clone())).or_default();
                intervals.entry(*interval).or_default()
            }
            Key::Target(target, side, interval) => {
                let intervals = self.targets.entry((*side, target.clone())).or_default();
                intervals.entry(*interval).or_default()
            }
        }
    }

    /// Returns the revision of each ledger.
    pub fn revisions(&self) -> impl Iterator<Item = (&Origin, Side, u64)> {
        self.ledgers()
            .map(|(origin, side, ledger)| (origin, side, ledger.revision()))
    }

    /// Returns the ledgers.
    pub fn ledgers(&self) -> impl Iterator<Item = (&Origin, Side, &Ledger)> {
        self.ledgers
            .iter()
            .map(|((origin, side), ledger)| (origin, *side, ledger))
    }

    /// Returns the groups of routes to evaluate: each major route, and all minor routes together.
    pub fn groups(&self) -> Vec<(Option<Route>, Vec<Route>)> {
        let all = self
            .routes
            .keys()
            .map(|(_, route)| route.clone())
            .collect::<BTreeSet<_>>();
        let total = all.iter().map(|route| self.requests(Side::Old, route)).sum::<u64>();
        let is_major = |route: &Route| self.requests(Side::Old, route) as f64 >= total as f64 * MIN_MAJOR_ROUTE_SHARE;
        let (major, minor): (Vec<_>, Vec<_>) = all.into_iter().partition(is_major);
        let mut groups = major
            .into_iter()
            .map(|route| (Some(route.clone()), vec![route]))
            .collect::<Vec<_>>();
        if !minor.is_empty() {
            groups.push((None, minor));
        }
        groups
    }

    /// Returns the counters of a group of routes with their intervals.
    pub fn cells<'a>(&'a self, side: Side, routes: &'a [Route]) -> impl Iterator<Item = (u32, &'a Counters)> {
        let of_route = move |route: &'a Route| self.routes.get(&(side, route.clone())).into_iter().flatten();
        routes
            .iter()
            .flat_map(of_route)
            .map(|(interval, counters)| (*interval, counters))
    }

    /// Returns the number of requests of a group of routes at a version.
    pub fn requests_of(&self, side: Side, routes: &[Route]) -> u64 {
        routes.iter().map(|route| self.requests(side, route)).sum()
    }

    /// Returns the targets of a version with their counters by interval.
    pub fn targets(&self, side: Side) -> impl Iterator<Item = (&Target, &BTreeMap<u32, Counters>)> {
        let of_side = self.targets.iter().filter(move |((at, _), _)| *at == side);
        of_side.map(|((_, target), intervals)| (target, intervals))
    }

    fn requests(&self, side: Side, route: &Route) -> u64 {
        self.total(side, route)
            .map_or(0, |counters| u64::from(counters.requests))
    }
}

/// Returns whether a publication is due, and records its time.
fn take_due(last: &mut Option<Timestamp>, now: Timestamp, interval: SignedDuration) -> bool {
    let is_due = last.is_none_or(|at| now.duration_since(at) >= interval);
    if is_due {
        *last = Some(now);
    }
    is_due
}
