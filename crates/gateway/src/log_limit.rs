//! Bounds the number of log lines, so that a storm of requests does not become a storm of lines.

use std::time::{Duration, Instant};

use log::Level;

/// The window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Lines about ordinary decisions in a window.
const ORDINARY_LINES: u32 = 100;
/// Lines about failures in a window. They have their own bound, so that successes never displace them.
const FAILURE_LINES: u32 = 300;

/// Counts lines in windows of a second.
#[derive(Debug, Default)]
pub struct Limit {
    started: Option<Instant>,
    ordinary: u32,
    failures: u32,
    omitted: u64,
}

impl Limit {
    /// Returns whether a line of this level may be written.
    pub fn admit(&mut self, now: Instant, level: Level) -> bool {
        let is_over = self.started.is_none_or(|started| now.duration_since(started) >= WINDOW);
        if is_over {
            self.started = Some(now);
            self.ordinary = 0;
            self.failures = 0;
        }
        let (lines, most) = if level <= Level::Warn {
            (&mut self.failures, FAILURE_LINES)
        } else {
            (&mut self.ordinary, ORDINARY_LINES)
        };
        if *lines >= most {
            self.omitted += 1;
            return false;
        }
        *lines += 1;
        true
    }

    /// Returns how many lines were omitted since the last call.
    pub fn take_omitted(&mut self) -> u64 {
        std::mem::take(&mut self.omitted)
    }
}
