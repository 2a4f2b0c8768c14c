//! The usage of client accounts.

use std::net::SocketAddr;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::Entry;

use crate::duration::millis;
use crate::job::Job;
use crate::usage::{Batch, Shared, shared};

use super::Gateway;

impl Gateway {
    /// Returns the usage; `None` if the settings do not ask for reports.
    pub(crate) fn usage(&self) -> Option<&Shared> {
        self.usage.as_ref()
    }

    /// Counts a request that began to run at `at`.
    pub(crate) fn count_usage(&self, job: &Job, at: Instant) {
        if let (Some(usage), Some(account)) = (&self.usage, &job.account) {
            usage.count(self.now(), at, &account.name);
        }
    }

    /// Merges the usage that a peer has counted.
    pub(crate) fn merge_usage(&self, batch: &Batch) {
        if let Some(usage) = &self.usage {
            usage.merge(self.now(), batch);
        }
    }

    /// Sends the usage to the host that holds the duty of reporting it.
    pub(crate) fn subscribe_to_usage(&self, address: SocketAddr) {
        if let Some(usage) = &self.usage
            && address != self.settings.listen.peers
        {
            usage.subscribe(self.now(), address);
        }
    }

    /// Returns the wall time for probes, in milliseconds since the start of 1970; `None` if nobody needs it.
    pub(crate) fn wall_ms(&self) -> Option<u64> {
        self.usage.as_ref().map(|_| millis(shared::wall_time()))
    }

    /// Records the wall time in a probe that has just arrived.
    pub(crate) fn record_wall_time(&self, peer: &Entry, wall_ms: Option<u64>) {
        if let (Some(usage), Some(wall_ms)) = (&self.usage, wall_ms) {
            usage.record_wall_time(self.now(), peer.as_str(), Duration::from_millis(wall_ms));
        }
    }
}
