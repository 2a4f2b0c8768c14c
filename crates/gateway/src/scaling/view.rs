//! Whether this host knows enough to decide.

use std::time::Duration;

use hawthornpost_core::clock::Instant;

use crate::scaling::Hold;

/// The time after which a new holder has the load of all hosts and has learned of the orders of the one before.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// How long the list of targets may be older than that of another host. Updates of the store arrive at different times.
const MAX_TARGETS_AGE: Duration = Duration::from_secs(3);
/// How long the number of hosts is remembered. A host that left for good does not prevent orders for longer.
const HOSTS_MEMORY: Duration = Duration::from_secs(60);

/// What a holder knows of the other hosts.
#[derive(Clone, Debug)]
pub struct View {
    held_since: Instant,
    hosts: usize,
    /// The largest number of hosts that was seen, with the time.
    most_hosts: (Instant, usize),
    outdated_since: Option<Instant>,
}

impl View {
    /// Creates the view of a host that has just become the holder.
    pub fn new(now: Instant) -> Self {
        Self {
            held_since: now,
            hosts: 0,
            most_hosts: (now, 0),
            outdated_since: None,
        }
    }

    /// Records the number of live hosts, and whether another host has a newer list of targets.
    pub fn record(&mut self, now: Instant, hosts: usize, is_outdated: bool) {
        self.hosts = hosts;
        let (at, most) = self.most_hosts;
        if hosts >= most || now.since(at) > HOSTS_MEMORY {
            self.most_hosts = (now, hosts);
        }
        if is_outdated {
            self.outdated_since.get_or_insert(now);
        } else {
            self.outdated_since = None;
        }
    }

    /// Returns why this host must not send any order.
    pub fn hold(&self, now: Instant) -> Option<Hold> {
        if now.since(self.held_since) < SETTLING_TIME {
            return Some(Hold::Settling);
        }
        if 2 * self.hosts < self.most_hosts.1 {
            return Some(Hold::FewHosts);
        }
        let is_old = |since| now.since(since) > MAX_TARGETS_AGE;
        self.outdated_since.is_some_and(is_old).then_some(Hold::OldTargets)
    }
}
