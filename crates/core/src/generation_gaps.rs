use std::time::Duration;

use hdrhistogram::Histogram;

/// The silence limit is this multiple of the 99th percentile of the gaps. A false alarm costs one attach and computes
/// nothing again; with 8, the 95th percentile of the resume latency was over 1 s.
const FACTOR: u32 = 4;
/// Below this, a pause of the network or of the scheduler would look like a failure.
const MIN_SILENCE: Duration = Duration::from_millis(250);
/// Above this, output would not continue within 5 s of a loss.
const MAX_SILENCE: Duration = Duration::from_secs(2);
/// Gaps above this are recorded as this value.
const MAX_GAP_MS: u64 = 4095;
/// The number of gaps after which the older half of the distribution is forgotten.
const WINDOW: u64 = 2000;
/// Fewer gaps than this say nothing about the 99th percentile.
const MIN_GAPS: u64 = 100;

/// The distribution of the gaps between the frames of one engine.
///
/// ```
/// use std::time::Duration;
///
/// let mut gaps = hawthornpost_core::generation::Gaps::new();
/// assert_eq!(gaps.silence(), Duration::from_secs(2));
/// for _ in 0..100 {
///     gaps.record(Duration::from_millis(60));
/// }
/// assert_eq!(gaps.silence(), Duration::from_millis(250));
/// ```
#[derive(Clone, Debug)]
pub struct Gaps {
    current: Histogram<u16>,
    previous: Histogram<u16>,
}

impl Gaps {
    /// Creates an empty distribution.
    pub fn new() -> Self {
        Self {
            current: histogram(),
            previous: histogram(),
        }
    }

    /// Adds a gap.
    pub fn record(&mut self, gap: Duration) {
        let millis = u64::try_from(gap.as_millis()).unwrap_or(MAX_GAP_MS);
        self.current.saturating_record(millis.clamp(1, MAX_GAP_MS));
        if self.current.len() >= WINDOW {
            self.previous = std::mem::replace(&mut self.current, histogram());
        }
    }

    /// Returns the 99th percentile, once enough gaps are known.
    pub fn p99(&self) -> Option<Duration> {
        if self.current.len() + self.previous.len() < MIN_GAPS {
            return None;
        }
        let parts = [&self.current, &self.previous].map(|part| part.value_at_quantile(0.99));
        parts.into_iter().max().map(Duration::from_millis)
    }

    /// Returns how long the engine may be silent between frames.
    pub fn silence(&self) -> Duration {
        let limit = |p99: Duration| (p99 * FACTOR).clamp(MIN_SILENCE, MAX_SILENCE);
        self.p99().map_or(MAX_SILENCE, limit)
    }
}

impl Default for Gaps {
    fn default() -> Self {
        Self::new()
    }
}

fn histogram() -> Histogram<u16> {
    Histogram::new_with_bounds(1, MAX_GAP_MS, 2).unwrap_or_else(|_| unreachable!("the bounds are constants"))
}
