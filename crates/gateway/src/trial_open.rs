//! A request of a trial that is still open.

use std::time::Duration;

use hawthornpost_core::clock::Instant;

use crate::trial_evidence::Latency;
use crate::trial_outcome::SAMPLED_INTERVALS;

/// A request whose latency is not known yet.
#[derive(Debug)]
pub(crate) struct Wait {
    pub route: String,
    pub is_new: bool,
    pub latency: Latency,
    pub since: Instant,
    /// Whether it is counted already, as a slow request.
    pub is_counted: bool,
}

impl Wait {
    /// Returns the latency that the request has at least.
    pub(crate) fn min_latency(&self, now: Instant) -> Duration {
        let waited = now.since(self.since);
        match self.latency {
            Latency::Response => waited,
            Latency::EventInterval => waited / SAMPLED_INTERVALS,
        }
    }
}
