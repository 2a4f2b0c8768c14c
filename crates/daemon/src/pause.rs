//! Detection of pauses of the process from the readings of two clocks.

use std::time::Duration;

/// The time between two readings from which the process counts as paused.
const MIN_PAUSE: Duration = Duration::from_secs(2);

/// Compares successive readings.
///
/// The steady clock shows that the process did not run; a machine that is suspended stops it, which shows in the time
/// since boot.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    steady: Duration,
    /// The time since boot beyond that of the steady clock, which grows while the machine is suspended.
    suspended: Option<Duration>,
}

impl Detector {
    /// Takes a reading of the steady clock, and returns whether the process was paused since the last one.
    pub fn read(&mut self, steady: Duration) -> bool {
        let elapsed = steady.saturating_sub(self.steady);
        self.steady = steady;
        elapsed > MIN_PAUSE
    }

    /// Takes a reading of both clocks, and returns whether the process was paused since the last one or the machine was
    /// suspended since the last reading of both. Without a time since boot, only the steady clock counts.
    pub fn read_both(&mut self, steady: Duration, since_boot: Option<Duration>) -> bool {
        let is_paused = self.read(steady);
        let Some(suspended) = since_boot.map(|since_boot| since_boot.saturating_sub(steady)) else {
            return is_paused;
        };
        let before = self.suspended.replace(suspended).unwrap_or(suspended);
        is_paused || suspended.saturating_sub(before) > MIN_PAUSE
    }
}
