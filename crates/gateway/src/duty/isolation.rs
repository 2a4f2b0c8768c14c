//! Whether this host hears from most hosts.

use std::collections::VecDeque;
use std::time::Duration;

use hawthornpost_core::clock::Instant;

/// The numbers of live hosts that were seen lately.
///
/// A host that hears from less than half of them is probably cut off, and its data is older than that of the others. Hosts
/// that were not heard for `memory` no longer count.
#[derive(Clone, Debug)]
pub struct Isolation {
    memory: Duration,
    seen: VecDeque<(Instant, usize)>,
}

impl Isolation {
    /// Creates the state of a host that has seen no other one.
    pub const fn new(memory: Duration) -> Self {
        Self {
            memory,
            seen: VecDeque::new(),
        }
    }

    /// Records the number of live hosts, this one included.
    pub fn record(&mut self, now: Instant, hosts: usize) {
        self.seen.push_back((now, hosts));
        self.seen.retain(|(at, _)| now.since(*at) <= self.memory);
    }

    /// Returns whether the last two numbers are below half of the highest one. A single one may be due to a short pause of
    /// the process.
    pub fn is_isolated(&self) -> bool {
        let highest = self.seen.iter().map(|(_, hosts)| *hosts).max().unwrap_or_default();
        let mut latest = self.seen.iter().rev().take(2);
        self.seen.len() > 2 && latest.all(|(_, hosts)| hosts * 2 < highest)
    }
}
