//! The part of the offered work that a service completes.

use std::time::Duration;

use crate::clock::Instant;

/// The time constant with which work is forgotten.
const MEMORY: Duration = Duration::from_secs(1);

/// Recently offered and completed work. While requests wait at its targets, a service completes what it has room for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throughput {
    offered: f64,
    completed: f64,
    decayed_at: Instant,
}

impl Throughput {
    /// Records work that a caller asked for.
    pub fn record_offered(&mut self, now: Instant, work: f64) {
        self.decay(now);
        self.offered += work;
    }

    /// Records work that the service has completed.
    pub fn record_completed(&mut self, now: Instant, work: f64) {
        self.decay(now);
        self.completed += work;
    }

    /// Returns the completed part of the offered work, from 0 to 1.
    pub fn completed_part(&self) -> f64 {
        (self.completed / self.offered.max(f64::MIN_POSITIVE)).min(1.0)
    }

    fn decay(&mut self, now: Instant) {
        let factor = (-now.since(self.decayed_at).as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.offered *= factor;
        self.completed *= factor;
        self.decayed_at = now;
    }
}
