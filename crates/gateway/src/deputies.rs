//! The hosts that watch the store in place of silent watchers.
//!
//! All hosts miss the updates of the watchers at the same time. Several call the store before the first of them is heard,
//! more of them the longer messages take. Those that are not needed resign when they hear of each other.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::Entry;

use crate::feed::{MAX_WATCHERS, name_hash};

/// How long a deputy counts after its announcement: the minimum time for which a host is one.
const DEPUTY_LIFETIME: Duration = Duration::from_secs(3);

/// The deputies that this host has heard of.
#[derive(Clone, Debug, Default)]
pub struct Deputies {
    announced: BTreeMap<Entry, Instant>,
}

impl Deputies {
    /// Records that a host has become a deputy.
    pub fn record(&mut self, now: Instant, entry: Entry) {
        self.announced.retain(|_, at| now.since(*at) < DEPUTY_LIFETIME);
        self.announced.insert(entry, now);
    }

    /// Returns whether enough other hosts are deputies, so that `own` need not be one. All hosts keep the same ones.
    pub fn suffice_without(&self, now: Instant, own: &Entry) -> bool {
        let current = self
            .announced
            .iter()
            .filter(|(_, at)| now.since(**at) < DEPUTY_LIFETIME);
        let preferred = current.filter(|(entry, _)| name_hash(entry) < name_hash(own));
        preferred.count() >= MAX_WATCHERS
    }
}
