//! Whether a service is overloaded.

use std::time::Duration;

/// The minimum and the maximum factor by which one signal of overload lowers a level.
const FACTOR_RANGE: (f64, f64) = (0.5, 0.95);
/// The minimum and the maximum part of the completed work that is admitted while the queue shrinks.
const DRAIN_RANGE: (f64, f64) = (0.8, 0.95);
/// The mean expected time, as a part of the objective, up to which nearly all requests are in time although waits differ
/// by target.
const MEAN_WAIT_FRACTION: f64 = 0.5;
/// The multiple of the unloaded time below which a service is slow rather than overloaded.
const MIN_SLOWDOWN: u32 = 3;
/// The part of refused attempts above which a service is overloaded: more attempts are refused than run.
const MAX_REFUSED_PART: f64 = 0.5;
/// The minimum and the maximum time after which a lower level shows in the signal. Peers learn of each other's work within
/// the maximum.
const REACTION_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(500));

/// What a host knows of the time that a service takes for the next request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Signal {
    /// The expected time to serve it, waits included.
    pub expected: Duration,
    /// The expected time at an idle target.
    pub unloaded: Duration,
    /// The shortest latency objective of the callers.
    pub objective: Duration,
    /// The part of the recent attempts that full targets refused, from 0 to 1.
    pub refused_part: f64,
}

impl Signal {
    /// Returns whether the service is overloaded: it misses the objective because of waiting requests, or refuses most
    /// attempts. A service that is slow without waiting requests would not become faster with less work.
    pub fn is_overload(&self) -> bool {
        self.expected > self.limit() || self.refused_part > MAX_REFUSED_PART
    }

    /// Returns the expected time above which the service is overloaded.
    pub fn limit(&self) -> Duration {
        let in_time = self.objective.mul_f64(MEAN_WAIT_FRACTION);
        in_time.max(self.unloaded.saturating_mul(MIN_SLOWDOWN))
    }

    /// Returns the factor by which the level falls: the part of the admitted work that the service can do in time.
    pub fn factor(&self) -> f64 {
        let in_time = self.limit().as_secs_f64() / self.expected.as_secs_f64().max(f64::MIN_POSITIVE);
        let (least, most) = FACTOR_RANGE;
        in_time.min(1.0 - self.refused_part).clamp(least, most)
    }

    /// Returns the part of the completed work that is admitted while the queue shrinks to the limit.
    pub fn drain_factor(&self) -> f64 {
        let in_time = self.limit().as_secs_f64() / self.expected.as_secs_f64().max(f64::MIN_POSITIVE);
        let (least, most) = DRAIN_RANGE;
        in_time.clamp(least, most)
    }

    /// Returns the time after which a lower level shows in the signal.
    pub fn reaction_time(&self) -> Duration {
        let (least, most) = REACTION_RANGE;
        self.expected.clamp(least, most)
    }
}
