//! Rate limit for log lines, so that a burst of requests does not flood the log.

use std::time::{Duration, Instant};

use log::Level;

/// The length of the rate limit window.
const WINDOW: Duration = Duration::from_secs(1);
/// The maximum number of lines below level `warn` in a window.
const MAX_ORDINARY_LINES: u32 = 100;
/// The maximum number of lines of level `warn` and above in a window. They have their own limit, so that lines about
/// successes never displace them.
const MAX_FAILURE_LINES: u32 = 300;

/// Counts lines in windows of one second.
#[derive(Debug, Default)]
pub struct Limiter {
    window_start: Option<Instant>,
    ordinary: u32,
    failures: u32,
    omitted: u64,
}

impl Limiter {
    /// Counts a line; returns whether it may be written.
    pub fn admit(&mut self, now: Instant, level: Level) -> bool {
        let is_expired = self
            .window_start
            .is_none_or(|start| now.duration_since(start) >= WINDOW);
        if is_expired {
            self.window_start = Some(now);
            self.ordinary = 0;
            self.failures = 0;
        }
        let (lines, limit) = if level <= Level::Warn {
            (&mut self.failures, MAX_FAILURE_LINES)
        } else {
            (&mut self.ordinary, MAX_ORDINARY_LINES)
        };
        if *lines >= limit {
            self.omitted += 1;
            return false;
        }
        *lines += 1;
        true
    }

    /// Returns the number of lines omitted since the last call.
    pub fn take_omitted(&mut self) -> u64 {
        std::mem::take(&mut self.omitted)
    }
}
