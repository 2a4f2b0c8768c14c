//! The counters of one entry for one version in a run of a rollout.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::{Route, Target};
use crate::rollout::{Counters, Outcome, Sample, Side};

/// The key of a cell: route or target, version and interval.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// The requests of a route.
    #[serde(rename = "r")]
    Route(Route, Side, u32),
    /// The requests at a target and its deaths.
    #[serde(rename = "t")]
    Target(Target, Side, u32),
}

/// The counters of a route or target, version and interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// The key.
    #[serde(rename = "k")]
    pub key: Key,
    /// The revision of the ledger at the last published change of the cell.
    #[serde(rename = "v")]
    pub revision: u64,
    /// The counters.
    #[serde(rename = "c")]
    pub counters: Counters,
}

/// Grow-only counters with a revision that increases with every published change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    revision: u64,
    cells: BTreeMap<Key, (u64, Counters)>,
    by_revision: BTreeMap<u64, Key>,
}

impl Key {
    /// Returns the version.
    pub const fn side(&self) -> Side {
        match self {
            Self::Route(_, side, _) | Self::Target(_, side, _) => *side,
        }
    }

    /// Returns the keys of the cells that count a sample.
    pub(crate) fn of(sample: &Sample, interval: u32) -> impl Iterator<Item = Self> {
        let route = Self::Route(sample.route.clone(), sample.side, interval);
        let target = Self::Target(sample.target.clone(), sample.side, interval);
        let (at_route, at_target) = match sample.outcome {
            Outcome::Served | Outcome::Failed => (true, true),
            Outcome::FirstToken(_) | Outcome::Gap(..) => (true, false),
            Outcome::EngineDied => (false, true),
        };
        let route = at_route.then_some(route);
        route.into_iter().chain(at_target.then_some(target))
    }
}

impl Ledger {
    /// Returns the highest revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Counts a sample in a cell; [`Ledger::publish`] makes the change visible to other entries.
    pub(crate) fn count(&mut self, key: &Key, outcome: Outcome) {
        let (_, counters) = self.cells.entry(key.clone()).or_default();
        counters.count(outcome);
    }

    /// Assigns the next revision to a cell.
    pub(crate) fn publish(&mut self, key: &Key) {
        if let Some((revision, _)) = self.cells.get_mut(key) {
            self.revision += 1;
            self.by_revision.remove(revision);
            self.by_revision.insert(self.revision, key.clone());
            *revision = self.revision;
        }
    }

    /// Merges a cell of a copy of this ledger and returns its counters before and after, if they changed.
    pub(crate) fn merge(&mut self, cell: &Cell) -> Option<(Counters, Counters)> {
        let (revision, counters) = self.cells.entry(cell.key.clone()).or_default();
        if cell.revision <= *revision {
            return None;
        }
        self.by_revision.remove(revision);
        self.by_revision.insert(cell.revision, cell.key.clone());
        *revision = cell.revision;
        self.revision = self.revision.max(cell.revision);
        let before = counters.clone();
        counters.merge_max(&cell.counters);
        (before != *counters).then(|| (before, counters.clone()))
    }

    /// Returns the cells changed after a revision, in the order of their changes, so that any prefix of them is a valid
    /// delta.
    pub fn since(&self, revision: u64) -> impl Iterator<Item = Cell> {
        let newer = self.by_revision.range(revision.saturating_add(1)..);
        newer.filter_map(|(revision, key)| {
            self.cells.get(key).map(|(_, counters)| Cell {
                key: key.clone(),
                revision: *revision,
                counters: counters.clone(),
            })
        })
    }
}
