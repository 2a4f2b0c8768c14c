//! The bounds of windows.

use std::time::Duration;

use crate::duration::millis;

/// Windows of equal length since the start of 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grid {
    length_ms: u64,
}

impl Grid {
    /// Creates windows of this length, which is rounded to whole milliseconds and at least one.
    pub fn new(length: Duration) -> Self {
        Self {
            length_ms: millis(length).max(1),
        }
    }

    /// Returns the number of the window that contains a time, given since the start of 1970.
    pub fn window(self, time: Duration) -> u64 {
        millis(time) / self.length_ms
    }

    /// Returns the end of a window since the start of 1970.
    pub fn end(self, window: u64) -> Duration {
        let end = window.saturating_add(1).saturating_mul(self.length_ms);
        Duration::from_millis(end)
    }
}
