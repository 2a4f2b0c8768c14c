//! The outcome of a request during a trial.

use std::time::Duration;

use crate::trial_evidence::Latency;

/// The number of intervals between events at the start of a stream that are one outcome.
pub const SAMPLED_INTERVALS: u32 = 32;

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The target responded after this time. For a stream, it is the time to the first event.
    Responded(Duration),
    /// The first events of a stream, or all events of a short one, came with this mean interval.
    Streamed(Duration),
    /// It failed.
    Failed,
}

impl Outcome {
    /// Returns the time that the request has taken at least, unless it failed.
    pub(crate) fn duration(self) -> Option<Duration> {
        match self {
            Self::Responded(took) => Some(took),
            Self::Streamed(interval) => Some(interval * SAMPLED_INTERVALS),
            Self::Failed => None,
        }
    }

    pub(crate) fn latency(self) -> Option<(Latency, Duration)> {
        match self {
            Self::Responded(took) => Some((Latency::Response, took)),
            Self::Streamed(interval) => Some((Latency::EventInterval, interval)),
            Self::Failed => None,
        }
    }
}
