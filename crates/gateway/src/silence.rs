//! Measures the silence of an engine.

use std::time::Duration;

use hawthornpost_core::clock::Instant;

use crate::reachability::Finding;
use crate::stall::Stall;

/// How long the silence of all hosts is not held against an engine. A link that is full recovers sooner; after that, this
/// host is cut off, and its callers are served better by other entry hosts.
const MAX_INCONCLUSIVE: Duration = Duration::from_secs(3);

/// The time without data from an engine.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// When the silence began.
    started: Instant,
    /// From when it counts.
    since: Instant,
    timeout: Duration,
}

impl Silence {
    /// Starts to measure; a silence longer than `timeout` is a stall.
    pub fn start(now: Instant, timeout: Duration) -> Self {
        Self {
            started: now,
            since: now,
            timeout,
        }
    }

    /// Returns the time until the silence is a stall.
    pub fn remaining(&self, now: Instant) -> Duration {
        (self.since + self.timeout).since(now)
    }

    /// Returns the time until the next probe. A host that answered the earlier ones is probed less often the longer the
    /// silence lasts, as each probe opens a connection.
    pub fn next_probe(&self, now: Instant, interval: Duration) -> Duration {
        interval.max(now.since(self.started) / 2)
    }

    /// Applies the finding of a probe and returns the stall that it proves. Silence while no host responds says nothing
    /// about the engine and is not counted, for three seconds at most.
    pub fn record(&mut self, now: Instant, finding: Finding) -> Option<Stall> {
        match finding {
            Finding::Reachable => None,
            Finding::Unreachable => Some(Stall::Unreachable),
            Finding::Inconclusive => {
                if now.since(self.started) <= MAX_INCONCLUSIVE {
                    self.since = now;
                }
                None
            }
        }
    }
}
