//! The counts that peers have sent during a trial.

use std::collections::HashMap;

use crate::trial_evidence::Evidence;

/// The maximum number of processes whose counts are kept.
const MAX_PROCESSES: usize = 1024;

/// The latest counts of each process of a peer. Those of a process that has ended stay valid.
#[derive(Debug, Default)]
pub(crate) struct PeerEvidence(HashMap<(String, u64), Evidence>);

impl PeerEvidence {
    /// Stores the counts of a process, unless later ones have arrived before them.
    pub(crate) fn put(&mut self, peer: &str, process: u64, evidence: Evidence) {
        let key = (peer.to_owned(), process);
        let is_later = |known: &Evidence| known.outcomes() <= evidence.outcomes();
        let may_store = match self.0.get(&key) {
            Some(known) => is_later(known),
            None => self.0.len() < MAX_PROCESSES,
        };
        if may_store {
            self.0.insert(key, evidence);
        }
    }

    /// Returns the counts of each process.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Evidence> {
        self.0.values()
    }
}
