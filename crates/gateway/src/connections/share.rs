//! This host's share of the connections that a target accepts.

use std::time::Duration;

use hawthornpost_core::clock::Instant;

/// The time after which all hosts see that there are fewer of them. Hosts that are cut off from each other still reach
/// the targets, so the share grows late.
const GROWTH_DELAY: Duration = Duration::from_secs(10);
/// One in this many connections of a target is left free: for health checks, copies of streams, and hosts that the others
/// do not see yet.
const RESERVE_DIVISOR: u32 = 8;

/// Divides the connections of a target among the hosts that this host sees.
///
/// The share shrinks as soon as more hosts are seen, and grows only some seconds after fewer are.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    hosts: u32,
    /// Since when fewer hosts are seen, and the most that were seen since.
    fewer: Option<(Instant, u32)>,
}

impl Share {
    /// Creates the share of a host that sees no others.
    pub fn new() -> Self {
        Self { hosts: 1, fewer: None }
    }

    /// Records the number of live hosts, this one included.
    pub fn observe(&mut self, now: Instant, hosts: u32) {
        if hosts >= self.hosts {
            self.hosts = hosts;
            self.fewer = None;
            return;
        }
        let (since, most) = self.fewer.unwrap_or((now, hosts));
        let most = most.max(hosts);
        self.fewer = Some((since, most));
        if now.since(since) >= GROWTH_DELAY {
            self.hosts = most.max(1);
            self.fewer = None;
        }
    }

    /// Returns how many connections of a target this host may use; 0 if there are more hosts than connections.
    pub fn of(&self, max_connections: u32) -> u32 {
        let usable = max_connections - max_connections.div_ceil(RESERVE_DIVISOR);
        usable / self.hosts
    }
}

impl Default for Share {
    fn default() -> Self {
        Self::new()
    }
}
