//! The level of one host.

use std::time::Duration;

use crate::clock::Instant;
use crate::limit_level::Signal;

/// The time without overload after which a level is back at 1.
pub const RECOVERY: Duration = Duration::from_secs(2);
/// The exponent of the recovery. The level rises slowly next to the value at which the service was overloaded.
const RECOVERY_EXPONENT: i32 = 3;
/// The lowest level, from which the effect of a higher one can still be observed.
const MIN_LEVEL: f64 = 0.02;

/// The part of the offered work that a host admits, by its own signal. It decreases by a factor, at most once in each
/// reaction time of the service, and recovers with the time since the last overload.
#[derive(Clone, Copy, Debug)]
pub struct Level {
    /// The level after the last decrease.
    base: f64,
    decreased_at: Option<Instant>,
    overloaded_at: Option<Instant>,
    /// When the overload began that has not ended for [`RECOVERY`].
    began_at: Instant,
}

impl Default for Level {
    fn default() -> Self {
        Self {
            base: 1.0,
            decreased_at: None,
            overloaded_at: None,
            began_at: Instant::ZERO,
        }
    }
}

impl Level {
    /// Returns the level, from 0 to 1.
    pub fn value(&self, now: Instant) -> f64 {
        let Some(at) = self.overloaded_at else {
            return 1.0;
        };
        let elapsed = (now.since(at).as_secs_f64() / RECOVERY.as_secs_f64()).min(1.0);
        self.base + (1.0 - self.base) * elapsed.powi(RECOVERY_EXPONENT)
    }

    /// Applies a signal of a service that completes `completed_part` of the offered work. As a service with waiting
    /// requests completes what it has room for, the level falls only as far below this part as the queue has to shrink.
    pub fn observe(&mut self, now: Instant, signal: Signal, completed_part: f64) {
        if !signal.is_overload() {
            return;
        }
        let value = self.value(now);
        if value >= 1.0 {
            self.began_at = now;
        }
        let is_due = self
            .decreased_at
            .is_none_or(|at| now.since(at) >= signal.reaction_time());
        self.base = if is_due {
            self.decreased_at = Some(now);
            let room = (completed_part * signal.drain_factor()).min(value);
            (value * signal.factor()).max(room).max(MIN_LEVEL)
        } else {
            value
        };
        self.overloaded_at = Some(now);
    }

    /// Returns how long the service has been overloaded, short recoveries included.
    pub fn overloaded_for(&self, now: Instant) -> Duration {
        if self.value(now) < 1.0 {
            now.since(self.began_at)
        } else {
            Duration::ZERO
        }
    }
}
