//! How fast engines begin to answer, learned from the time to the first event of streams.

use std::time::Duration;

/// The prefill throughput of an engine in tokens per millisecond, before any was observed.
const PRIOR_PREFILL_TOKENS_PER_MS: f64 = 8.0;
/// The delay that a running stream causes for another one at its engine, in milliseconds, before any was observed.
const PRIOR_RUNNING_STREAM_MS: f64 = 40.0;
/// The weight of one observation for the factors of a service.
const SERVICE_WEIGHT: f64 = 0.1;
/// The weight of one observation for the pace of a target.
const TARGET_WEIGHT: f64 = 0.1;
/// The bounds of one observation as a multiple of the expected time, as a single one may be wrong by any amount.
const OBSERVATION_RANGE: (f64, f64) = (0.5, 2.0);
/// The bounds of a service's factors.
const FACTOR_RANGE: (f64, f64) = (0.25, 8.0);
/// The bounds of a target's pace. With the upper one a slow target still gets work, which shows its recovery.
const PACE_RANGE: (f64, f64) = (0.5, 4.0);

/// The work that delays the first event of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Queue {
    /// The prompt tokens that the engine reads until then.
    pub prefill_tokens: u64,
    /// The other streams at the engine.
    pub streams: u32,
}

/// The speed of the engines of a service.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// The time to read a token, as a multiple of the prior.
    reading: f64,
    /// The delay by a running stream, as a multiple of the prior.
    running: f64,
    /// The mean time from the first event of a stream to its end, in milliseconds; 0 before any has ended.
    stream_ms: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            reading: 1.0,
            running: 1.0,
            stream_ms: 0.0,
        }
    }
}

impl Speed {
    /// Returns the time to read prompt tokens, in milliseconds.
    pub fn reading_ms(&self, tokens: u64) -> f64 {
        self.reading * prior_reading_ms(tokens)
    }

    /// Returns the mean time from the first event of a stream to its end, in milliseconds; 0 before any has ended.
    pub fn stream_ms(&self) -> f64 {
        self.stream_ms
    }

    /// Learns from the time between the first event of a stream and its end.
    pub fn record_stream(&mut self, took: Duration) {
        let took_ms = took.as_secs_f64() * 1000.0;
        if self.stream_ms <= 0.0 {
            self.stream_ms = took_ms;
        }
        self.stream_ms += SERVICE_WEIGHT * (took_ms - self.stream_ms);
    }

    /// Returns the expected time to the first event, in milliseconds.
    pub fn first_event_ms(&self, queue: Queue) -> f64 {
        self.reading_ms(queue.prefill_tokens) + self.running * prior_running_ms(queue.streams)
    }

    /// Learns from a stream's time to its first event. Both factors move in proportion to their part of the time
    /// (normalised least mean squares).
    pub fn record(&mut self, queue: Queue, took: Duration) {
        let (reading, running) = (prior_reading_ms(queue.prefill_tokens), prior_running_ms(queue.streams));
        let norm = reading * reading + running * running;
        if norm <= 0.0 {
            return;
        }
        let expected = self.first_event_ms(queue);
        let (least, most) = OBSERVATION_RANGE;
        let took_ms = (took.as_secs_f64() * 1000.0).clamp(least * expected, most * expected);
        let (least, most) = FACTOR_RANGE;
        let error = SERVICE_WEIGHT * (took_ms - expected) / norm;
        self.reading = (self.reading + error * reading).clamp(least, most);
        self.running = (self.running + error * running).clamp(least, most);
    }
}

/// The time that a target takes, as a multiple of that of its service.
#[derive(Clone, Copy, Debug)]
pub struct Pace(f64);

impl Default for Pace {
    fn default() -> Self {
        Self(1.0)
    }
}

impl Pace {
    /// Returns the multiple.
    pub fn factor(self) -> f64 {
        self.0
    }

    /// Learns from an observed time and the expected one of the service.
    pub fn record(&mut self, took: Duration, expected_ms: f64) {
        let (least, most) = PACE_RANGE;
        let observed = (took.as_secs_f64() * 1000.0 / expected_ms.max(1.0)).clamp(least, most);
        self.0 += TARGET_WEIGHT * (observed - self.0);
    }
}

fn prior_reading_ms(tokens: u64) -> f64 {
    tokens as f64 / PRIOR_PREFILL_TOKENS_PER_MS
}

fn prior_running_ms(streams: u32) -> f64 {
    f64::from(streams) * PRIOR_RUNNING_STREAM_MS
}
