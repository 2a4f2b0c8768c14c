//! The choice of the hosts that watch the platform's store, and the updates that they send to their peers.
//!
//! Every call to the store has a cost, and a watch ends at each change. A few hosts watch, in different data centres,
//! and send updates to the others over UDP. A host that receives no update for a short time watches for itself.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::{DataCentre, Entry};
use serde::{Deserialize, Serialize};

use crate::config_delta::Delta;
use crate::duration::scale_by_hosts;
use crate::platform::Kind;
use crate::rollout::Order;
use crate::target::Target;

/// The maximum number of hosts that watch.
pub const MAX_WATCHERS: usize = 3;
/// How long a host relies on the last update of a watcher, as a fraction of the time within which a change has to be in
/// force. The rest is for the call with which the host then reads the change itself.
const MAX_UPDATE_AGE_FRACTION: f64 = 0.625;
/// The interval of updates as a fraction of the time for which hosts rely on them.
const UPDATE_INTERVAL_FRACTION: f64 = 0.8;
/// The maximum interval of updates. A watch at the store lasts as long.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum backoff of a host that watches or has no configuration, and the minimum for all other hosts.
const MAX_WATCHER_BACKOFF: Duration = Duration::from_millis(600);
/// The maximum backoff of other hosts, per host.
const BACKOFF_PER_HOST: Duration = Duration::from_millis(25);
/// The upper bound of that backoff for a host without contact to others. A change has to be in force soon after the store
/// is available again.
const MAX_LONE_BACKOFF: Duration = Duration::from_secs(2);
/// The upper bound for a host that hears from others, which tell it when the store is available.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// The maximum delay per host before a host that misses updates calls the store. The first host that succeeds sends
/// updates in place of the watchers, and the others need not call.
const DEPUTY_DELAY_PER_HOST: Duration = Duration::from_millis(3);
/// The upper bound of that delay.
const MAX_DEPUTY_DELAY: Duration = Duration::from_secs(1);

/// An update from a watcher to its peers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// The latest version of the configuration.
    Config {
        /// The version.
        version: u64,
        /// The latest changes, if they have just been made and are small.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        delta: Option<Box<Delta>>,
    },
    /// Changes of targets.
    Targets {
        /// The revision before the changes.
        since: u64,
        /// The revision after the changes.
        revision: u64,
        /// The changes, oldest first.
        changes: Vec<Change>,
    },
    /// All rollout orders.
    AllOrders {
        /// The revision.
        revision: u64,
        /// The orders.
        orders: Vec<Order>,
    },
    /// All targets.
    AllTargets {
        /// The revision.
        revision: u64,
        /// The targets.
        targets: Vec<Target>,
    },
    /// A host watches the store in place of silent watchers.
    Deputy {
        /// The host.
        entry: Entry,
    },
}

/// A change of a target.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The target is new or has changed.
    Put(Target),
    /// The target with this id was removed, or its entry is unusable.
    Gone(String),
}

/// The handling of changes between two revisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Apply the changes.
    Apply,
    /// The changes are known already. A delayed response would undo later changes.
    Skip,
    /// Changes before them are missing.
    Gap,
}

impl Step {
    /// Decides on changes after `since` up to `revision` when all changes up to `known` are applied.
    ///
    /// Changes that begin before `known` and end after it are applied as a whole, because their end is the state at
    /// `revision`.
    pub fn of(known: u64, since: u64, revision: u64) -> Self {
        if revision <= known {
            Self::Skip
        } else if since > known {
            Self::Gap
        } else {
            Self::Apply
        }
    }
}

/// A host that may watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The name.
    pub entry: &'a Entry,
    /// The data centre.
    pub data_centre: &'a DataCentre,
}

/// The times at which the state of each kind was last known to be current.
#[derive(Clone, Debug)]
pub struct Freshness {
    max_update_age: Duration,
    current_at: BTreeMap<Kind, Instant>,
}

impl Freshness {
    /// Creates the state of a host that knows nothing; a change has to be in force within `change_timeout`.
    pub fn new(change_timeout: Duration) -> Self {
        Self {
            max_update_age: change_timeout.mul_f64(MAX_UPDATE_AGE_FRACTION),
            current_at: BTreeMap::new(),
        }
    }

    /// Returns the interval at which watchers send updates, also without changes.
    pub fn update_interval(&self) -> Duration {
        self.max_update_age
            .mul_f64(UPDATE_INTERVAL_FRACTION)
            .min(MAX_UPDATE_INTERVAL)
    }

    /// Marks a kind as current.
    pub fn mark_current(&mut self, kind: Kind, now: Instant) {
        self.current_at.insert(kind, now);
    }

    /// Returns how long a kind still counts as current, which is zero if it does not.
    pub fn remaining(&self, kind: Kind, now: Instant) -> Duration {
        let at = self.current_at.get(&kind);
        at.map_or(Duration::ZERO, |at| (*at + self.max_update_age).since(now))
    }

    /// Returns the time since a kind was last known to be current, or `None` if it never was.
    pub fn age(&self, kind: Kind, now: Instant) -> Option<Duration> {
        self.current_at.get(&kind).map(|at| now.since(*at))
    }
}

/// Returns the maximum backoff between calls to a store that does not respond. Watchers announce when it is available
/// again, and refused calls cost as much as others, so hosts that serve requests and need not watch call less often.
pub fn max_backoff(needs_store: bool, hosts: usize, hears_others: bool) -> Duration {
    if needs_store {
        return MAX_WATCHER_BACKOFF;
    }
    let limit = if hears_others { MAX_BACKOFF } else { MAX_LONE_BACKOFF };
    scale_by_hosts(BACKOFF_PER_HOST, hosts).clamp(MAX_WATCHER_BACKOFF, limit)
}

/// Returns the maximum of the random delay before a host that misses updates calls the store.
pub fn max_deputy_delay(hosts: usize) -> Duration {
    scale_by_hosts(DEPUTY_DELAY_PER_HOST, hosts).min(MAX_DEPUTY_DELAY)
}

/// Returns whether a host is a watcher.
pub fn is_watcher(own: &Entry, candidates: &[Candidate<'_>]) -> bool {
    watchers(candidates).contains(&own)
}

/// Returns the watchers: the first host of each data centre in the order of a hash of the names, up to [`MAX_WATCHERS`],
/// and further hosts if there are fewer data centres.
pub fn watchers<'a>(candidates: &[Candidate<'a>]) -> Vec<&'a Entry> {
    let mut order = candidates.iter().collect::<Vec<_>>();
    order.sort_by_key(|candidate| (name_hash(candidate.entry), candidate.entry));
    let mut data_centres = BTreeSet::new();
    let (mut first, mut others) = (Vec::new(), Vec::new());
    for candidate in order {
        if data_centres.insert(candidate.data_centre) {
            first.push(candidate.entry);
        } else {
            others.push(candidate.entry);
        }
    }
    first.into_iter().chain(others).take(MAX_WATCHERS).collect()
}

/// Returns the hash that orders hosts, so that the order does not depend on a naming scheme.
pub(crate) fn name_hash(entry: &Entry) -> u64 {
    // FNV-1a. Every host has to compute the same order.
    entry.as_str().bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
