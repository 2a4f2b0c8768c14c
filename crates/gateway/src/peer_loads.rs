//! The load of peers on targets, as they reported it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use hawthornpost_core::clock::Instant;

use crate::load::Load;

/// A peer is removed after this time without a report.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// An entry that was not refreshed for this long is dropped; the report of the end of its work was lost.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(60);

/// The reported loads of all peers.
#[derive(Debug, Default)]
pub(crate) struct Table {
    peers: HashMap<String, Peer>,
}

#[derive(Debug)]
struct Peer {
    last_report_at: Instant,
    loads: BTreeMap<String, (Instant, Load)>,
}

/// A change of a peer's load on a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Change {
    /// The id of the target.
    pub target: String,
    /// The load before the change.
    pub before: Load,
    /// The load after the change.
    pub after: Load,
}

impl Table {
    /// Merges an incremental report, which names some targets only, and returns the resulting changes.
    pub(crate) fn merge(&mut self, now: Instant, name: &str, report: &BTreeMap<String, Load>) -> Vec<Change> {
        let peer = self.peers.entry(name.to_owned()).or_insert_with(|| Peer {
            last_report_at: now,
            loads: BTreeMap::new(),
        });
        peer.last_report_at = now;
        let changes = report.iter().map(|(id, load)| peer.put(now, id, *load));
        changes.collect()
    }

    /// Removes a peer and returns the resulting changes.
    pub(crate) fn remove(&mut self, name: &str) -> Vec<Change> {
        self.peers.remove(name).map(Peer::into_changes).unwrap_or_default()
    }

    /// Removes peers without recent reports, and entries that were not refreshed.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        self.peers.retain(|_, peer| {
            let limit = if now.since(peer.last_report_at) > PEER_TIMEOUT {
                Duration::ZERO
            } else {
                ENTRY_TIMEOUT
            };
            changes.extend(peer.remove_older(now, limit));
            !limit.is_zero()
        });
        changes
    }

    /// Returns the number of peers that report their load.
    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns the load of all peers on a target.
    pub(crate) fn total(&self, id: &str) -> Load {
        let mut sum = Load::default();
        for (_, load) in self.peers.values().filter_map(|peer| peer.loads.get(id)) {
            sum.add(*load);
        }
        sum
    }
}

impl Peer {
    fn put(&mut self, now: Instant, id: &str, after: Load) -> Change {
        let before = if after.is_empty() {
            self.loads.remove(id)
        } else {
            self.loads.insert(id.to_owned(), (now, after))
        };
        Change {
            target: id.to_owned(),
            before: before.map(|(_, load)| load).unwrap_or_default(),
            after,
        }
    }

    fn remove_older(&mut self, now: Instant, limit: Duration) -> Vec<Change> {
        let old = self.loads.iter().filter(|(_, (at, _))| now.since(*at) >= limit);
        let old = old.map(|(id, _)| id.clone()).collect::<Vec<_>>();
        old.iter().map(|id| self.put(now, id, Load::default())).collect()
    }

    fn into_changes(self) -> Vec<Change> {
        let ends = self.loads.into_iter().map(|(target, (_, before))| Change {
            target,
            before,
            after: Load::default(),
        });
        ends.collect()
    }
}
