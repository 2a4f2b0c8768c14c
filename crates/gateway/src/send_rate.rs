//! Limit of the rate at which a host sends whole state to its peers.

use std::time::Duration;

use hawthornpost_core::clock::Instant;

/// The maximum rate in bytes per second: a quarter of a link of 10 Mbit/s. Streams use the same link.
const MAX_BYTES_PER_SECOND: f64 = 312_500.0;

/// Admits one transfer at a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limiter {
    busy_until: Option<Instant>,
}

impl Limiter {
    /// Returns whether a transfer may start now; if so, the next one may start when this one has been sent at the
    /// maximum rate.
    #[must_use = "a transfer must not start unless it was admitted"]
    pub fn admit(&mut self, now: Instant, bytes: usize) -> bool {
        if self.busy_until.is_some_and(|busy_until| now < busy_until) {
            return false;
        }
        self.busy_until = Some(now + Duration::from_secs_f64(bytes as f64 / MAX_BYTES_PER_SECOND));
        true
    }
}
