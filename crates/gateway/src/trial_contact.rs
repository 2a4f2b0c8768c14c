//! Whether a host has heard of enough hosts lately to judge a trial.

use std::collections::HashMap;
use std::time::Duration;

use hawthornpost_core::clock::Instant;

use crate::duration::scale_by_hosts;

/// The interval of observations while there are few hosts.
const MIN_OBSERVATION_INTERVAL: Duration = Duration::from_millis(200);
/// The interval of observations per host, so that the messages that a host receives per second do not grow with the
/// number of hosts.
const OBSERVATION_INTERVAL_PER_HOST: Duration = Duration::from_millis(8);
/// The number of observations in a row that a host may miss of a peer that it still counts as heard.
const MAX_MISSED_OBSERVATIONS: u32 = 3;
/// The minimum time for which a peer counts as heard.
const MIN_HEARD_TIME: Duration = Duration::from_secs(1);

/// The peers whose observations arrived lately.
///
/// A host that was paused or cut off holds results from before. It must neither judge by them nor send requests to a
/// version that its peers may have rolled back.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    heard: HashMap<String, Instant>,
    /// The most hosts that were live during the trial. Hosts that are cut off count as failed after some time, on both
    /// sides.
    hosts: usize,
}

impl Contact {
    /// Records an observation of a peer.
    pub(crate) fn record(&mut self, peer: &str, now: Instant) {
        match self.heard.get_mut(peer) {
            Some(at) => *at = now,
            None => {
                self.heard.insert(peer.to_owned(), now);
            }
        }
    }

    /// Forgets all peers, because the process was paused.
    pub(crate) fn lose(&mut self) {
        self.heard.clear();
    }

    /// Returns whether at least half of the hosts were heard of lately, including this one.
    pub(crate) fn is_current(&mut self, now: Instant, live_hosts: usize) -> bool {
        self.hosts = self.hosts.max(live_hosts);
        let max_age = self.heard_time();
        let heard = self.heard.values().filter(|at| now.since(**at) <= max_age);
        2 * (heard.count() + 1) >= self.hosts
    }

    /// Returns for how long a peer counts as heard after an observation.
    pub(crate) fn heard_time(&self) -> Duration {
        MIN_HEARD_TIME.max(observation_interval(self.hosts) * MAX_MISSED_OBSERVATIONS)
    }
}

/// Returns the interval at which a host sends its observations.
pub(crate) fn observation_interval(hosts: usize) -> Duration {
    MIN_OBSERVATION_INTERVAL.max(scale_by_hosts(OBSERVATION_INTERVAL_PER_HOST, hosts))
}
