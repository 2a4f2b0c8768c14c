//! Orders to move a service to targets of another version.

use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// An operator's order, as the store held it at a revision.
///
/// A service has one order at a time. Hosts learn of it from the store and from each other, in any sequence, so each copy
/// says for which revisions of the store it holds. [`Order::relation`] compares two copies and is the only place that
/// decides which of them is newer.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The service, which is also the name of the order.
    pub service: String,
    /// The new version of the service.
    pub version: String,
    /// The time limit of the order.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub duration: Duration,
    /// The state.
    pub state: State,
    /// Whether the store holds no state of this order yet.
    pub is_new: bool,
    /// The revision of the order's last change.
    pub revision: u64,
    /// The first revision at which a host saw this order.
    #[serde(default)]
    pub since: u64,
    /// Versions that were on trial in earlier orders and did not replace the others.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub rejected: BTreeSet<String>,
}

/// What another copy of a service's order is to a known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// An order that the known one has replaced.
    Earlier,
    /// The same order, at the same or another revision.
    Same,
    /// An order that replaces the known one.
    Later,
}

impl Order {
    /// Compares this order with another copy of the service's order.
    pub fn relation(&self, other: &Self) -> Relation {
        let (first, second) = if other.since < self.since {
            (other, self)
        } else {
            (self, other)
        };
        if first.is_continued_by(second) {
            return Relation::Same;
        }
        match other.revision.cmp(&self.revision) {
            Ordering::Greater => Relation::Later,
            Ordering::Equal => Relation::Same,
            Ordering::Less => Relation::Earlier,
        }
    }

    /// Returns whether a copy that begins later is of the same order.
    ///
    /// Copies with a revision in common are. Otherwise only a host may have changed the order in between, which can write
    /// its first state and its final one.
    fn is_continued_by(&self, later: &Self) -> bool {
        if self.version != later.version {
            return false;
        }
        let is_written_next = match (self.is_new, later.is_new) {
            (_, true) => false,
            (true, false) => true,
            (false, false) => !self.state.is_final() && later.state.is_final(),
        };
        later.since <= self.revision || is_written_next
    }

    /// Merges another copy of the same order.
    pub fn merge(&mut self, other: Self) {
        self.since = self.since.min(other.since);
        self.rejected.extend(other.rejected);
        if other.revision > self.revision {
            self.duration = other.duration;
            self.state = other.state;
            self.is_new = other.is_new;
            self.revision = other.revision;
        }
    }
}

/// The state of an order. All but the first are final once the store holds them.
///
/// Until then they are verdicts of hosts, and the higher one of two counts: a host that has seen a version fail prevails
/// over those that have not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The new version is on trial.
    #[default]
    InProgress,
    /// The new version has replaced the old one.
    Completed,
    /// The service stays at the old version.
    RolledBack,
}

impl State {
    /// Returns whether the order has ended.
    pub fn is_final(self) -> bool {
        self != Self::InProgress
    }

    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::InProgress => "in progress",
            Self::Completed => "completed",
            Self::RolledBack => "rolled back",
        }
    }
}
