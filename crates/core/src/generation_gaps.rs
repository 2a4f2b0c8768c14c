use std::time::Duration;

use hdrhistogram::Histogram;

/// Multiple of the 99th percentile of the gaps that is used as the silence timeout. A false positive costs only one
/// attach and no recomputation; a factor of 8 raised the 95th percentile of the resume latency above 1 s.
const P99_MULTIPLIER: u32 = 4;
/// Lower bound of the silence timeout; below it, network jitter or scheduling delays would look like failures.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(250);
/// Upper bound of the silence timeout; above it, output would not continue within 5 s of a loss.
const MAX_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest recorded gap; longer gaps are recorded as this value.
const MAX_GAP_MS: u64 = 4095;
/// The number of gaps after which the current histogram replaces the previous one.
const WINDOW_GAPS: u64 = 2000;
/// The number of gaps below which the 99th percentile is not meaningful.
const MIN_GAPS: u64 = 100;

/// Distribution of the gaps between consecutive frames of one engine.
///
/// ```
/// use std::time::Duration;
///
/// let mut gaps = hawthornpost_core::generation::Gaps::new();
/// assert_eq!(gaps.silence_timeout(), Duration::from_secs(2));
/// for _ in 0..100 {
///     gaps.record(Duration::from_millis(60));
/// }
/// assert_eq!(gaps.silence_timeout(), Duration::from_millis(250));
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

    /// Records a gap.
    pub fn record(&mut self, gap: Duration) {
        let millis = u64::try_from(gap.as_millis()).unwrap_or(MAX_GAP_MS);
        self.current.saturating_record(millis.clamp(1, MAX_GAP_MS));
        if self.current.len() >= WINDOW_GAPS {
            self.previous = std::mem::replace(&mut self.current, histogram());
        }
    }

    /// Returns the 99th percentile, or `None` while too few gaps are recorded.
    pub fn p99(&self) -> Option<Duration> {
        if self.current.len() + self.previous.len() < MIN_GAPS {
            return None;
        }
        let quantiles = [&self.current, &self.previous].map(|histogram| histogram.value_at_quantile(0.99));
        quantiles.into_iter().max().map(Duration::from_millis)
    }

    /// Returns the longest time without a frame after which the engine is probed.
    pub fn silence_timeout(&self) -> Duration {
        let timeout = |p99: Duration| (p99 * P99_MULTIPLIER).clamp(MIN_SILENCE_TIMEOUT, MAX_SILENCE_TIMEOUT);
        self.p99().map_or(MAX_SILENCE_TIMEOUT, timeout)
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
