//! The usual latency of a version.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The number of samples below which there is no baseline.
const MIN_SAMPLES: u64 = 5;

/// The sum of latencies of one kind. The short field names keep messages small.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Baseline {
    /// The number of samples.
    #[serde(rename = "c")]
    samples: u64,
    /// The sum of the samples, in microseconds.
    #[serde(rename = "t")]
    total_us: u64,
}

impl Baseline {
    /// Returns whether there are no samples.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.samples == 0
    }

    /// Adds a sample.
    pub fn record(&mut self, latency: Duration) {
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.add(Self {
            samples: 1,
            total_us: latency_us,
        });
    }

    /// Adds the samples of another host.
    pub fn add(&mut self, other: Self) {
        self.samples = self.samples.saturating_add(other.samples);
        self.total_us = self.total_us.saturating_add(other.total_us);
    }

    /// Returns the mean if there are enough samples.
    #[must_use]
    pub fn mean(&self) -> Option<Duration> {
        (self.samples >= MIN_SAMPLES).then(|| Duration::from_micros(self.total_us / self.samples))
    }
}
