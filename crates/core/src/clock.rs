//! Monotonic time, which is passed in, so that the crate never reads a clock.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time, measured from the start of the process.
///
/// Instants of different processes are not comparable.
///
/// ```
/// use hawthornpost_core::clock::Instant;
/// use std::time::Duration;
///
/// let start = Instant::ZERO;
/// let later = start + Duration::from_millis(250);
/// assert_eq!(later - start, Duration::from_millis(250));
/// ```
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(Duration);

impl Instant {
    /// The start of the process.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// Returns the instant `elapsed` after the start of the process.
    pub const fn from_start(elapsed: Duration) -> Self {
        Self(elapsed)
    }

    /// Returns the instant `millis` milliseconds after the start of the process.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns the time since the start of the process.
    pub const fn since_start(self) -> Duration {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs))
    }
}

impl Sub for Instant {
    type Output = Duration;

    fn sub(self, rhs: Self) -> Duration {
        self.since(rhs)
    }
}

impl fmt::Debug for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.0)
    }
}
