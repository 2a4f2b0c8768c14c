//! Lease timing without a shared clock.
//!
//! The holder measures its lease from just before it sends a renewal. All other entries measure it from the time at
//! which they have seen the renewal. Both allow for clocks that run at different rates, so that the lease always ends
//! first for the holder.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::clock::Instant;
use crate::id::Entry;
use crate::platform::Version;

/// The maximum deviation of a clock's rate from real time, in thousandths. Crystal oscillators stay below 0.1 ‰; the
/// rest covers clock slewing of up to 0.5 ‰ and virtual machines.
const MAX_CLOCK_DRIFT_PERMILLE: u32 = 10;

/// The contents of a lease object.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The holder; absent after a release.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holder: Option<Entry>,
    /// The duration of the lease after each write of the object.
    #[serde(rename = "term_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub term: Duration,
    /// How long after the write of the object orders issued under it may still be executed.
    #[serde(rename = "orders_end_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub orders_end: Duration,
    /// The tenure of the holder, for holders that keep their fencing number while they renew the lease.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenure: Option<Tenure>,
}

/// The time for which one process holds a lease without another holder in between.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenure {
    /// A random number of the process, below 2^53 so that every JSON decoder reads it exactly.
    pub process: u64,
    /// The number of writes of the process so far. A write without a change would produce no new version.
    pub writes: u64,
    /// The version of the write that took the lease; absent in that write itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub number: Option<Version>,
}

/// The holder's view of its own lease.
///
/// ```
/// use hawthornpost_core::{clock::Instant, lease::Holder, platform::Version};
/// use std::time::Duration;
///
/// let mut holder = Holder::new(Duration::from_secs(10));
/// holder.start_renewal(Instant::ZERO);
/// holder.renewed(Version::from(7));
/// assert_eq!(holder.fencing(Instant::from_millis(9_800)), Some(Version::from(7)));
/// assert_eq!(holder.fencing(Instant::from_millis(9_950)), None);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    term: Duration,
    sent: Option<Instant>,
    held: Option<Held>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Held {
    sent: Instant,
    expires_at: Instant,
    version: Version,
}

impl Holder {
    /// Creates the view of an entry that does not hold the lease.
    pub const fn new(term: Duration) -> Self {
        Self {
            term,
            sent: None,
            held: None,
        }
    }

    /// Records that a renewal is about to be sent. The lease is measured from here, because the platform may apply the
    /// renewal, and other entries may see it, at any time from now on.
    pub const fn start_renewal(&mut self, now: Instant) {
        self.sent = Some(now);
    }

    /// Records that the renewal took effect and produced this version.
    pub fn renewed(&mut self, version: Version) {
        if let Some(sent) = self.sent.take() {
            let expires_at = sent + shorten_for_drift(self.term);
            self.held = Some(Held {
                sent,
                expires_at,
                version,
            });
        }
    }

    /// Discards the lease, because another entry has it, it was released, or the clock jumped.
    pub fn clear(&mut self) {
        self.sent = None;
        self.held = None;
    }

    /// Returns the fencing number, or `None` when the lease is not held.
    pub fn fencing(&self, now: Instant) -> Option<Version> {
        self.held
            .as_ref()
            .filter(|held| now < held.expires_at)
            .map(|held| held.version)
    }

    /// Returns when the next renewal is due: a third of the term after the last one, which leaves time for two retries.
    pub fn renewal_due(&self) -> Option<Instant> {
        self.held.as_ref().map(|held| held.sent + self.term / 3)
    }

    /// Returns when the last renewal that took effect was sent.
    pub fn renewed_at(&self) -> Option<Instant> {
        self.held.as_ref().map(|held| held.sent)
    }

    /// Returns when the lease ends for the holder.
    pub fn expires_at(&self) -> Option<Instant> {
        self.held.as_ref().map(|held| held.expires_at)
    }
}

/// Another entry's view of the lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observer {
    observation: Option<Observation>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Observation {
    version: Option<Version>,
    at: Instant,
    lease: Option<Lease>,
}

impl Observer {
    /// Records the result of a read, and returns whether it is as recent as earlier ones. `now` must be taken after the
    /// response arrived.
    pub fn observe(&mut self, now: Instant, found: Option<(Version, Lease)>) -> bool {
        let (version, lease) = found.unzip();
        let known = self.observation.as_ref().map(|observation| observation.version);
        // A read that may be stale returns an earlier version.
        if known.is_some_and(|known| version < known) {
            return false;
        }
        if known != Some(version) {
            self.observation = Some(Observation {
                version,
                at: now,
                lease,
            });
        }
        true
    }

    /// Returns the version and the contents that were read last; `None` if the object does not exist or was not read.
    pub fn lease(&self) -> Option<(Version, &Lease)> {
        let observation = self.observation.as_ref()?;
        observation.version.zip(observation.lease.as_ref())
    }

    /// Returns the version to replace if the lease may be acquired now; `Some(None)` means to create the object.
    pub fn acquirable(&self, now: Instant) -> Option<Option<Version>> {
        let observation = self.observation.as_ref()?;
        (now >= observation.expires_at()).then_some(observation.version)
    }

    /// Returns when the lease expires unless it is renewed.
    pub fn expires_at(&self) -> Option<Instant> {
        self.observation.as_ref().map(Observation::expires_at)
    }

    /// Returns when all orders issued under the lease have ended.
    pub fn orders_end(&self) -> Instant {
        let end = |observation: &Observation| {
            let duration = observation
                .lease
                .as_ref()
                .map_or(Duration::ZERO, |lease| lease.orders_end);
            observation.at + lengthen_for_drift(duration)
        };
        self.observation.as_ref().map_or(Instant::ZERO, end)
    }
}

impl Observation {
    fn expires_at(&self) -> Instant {
        let held = self.lease.as_ref().filter(|lease| lease.holder.is_some());
        held.map_or(self.at, |lease| self.at + lengthen_for_drift(lease.term))
    }
}

/// Shortens a duration so that it ends on this clock before the full duration ends on any other clock.
pub fn shorten_for_drift(time: Duration) -> Duration {
    time * (1000 - MAX_CLOCK_DRIFT_PERMILLE) / 1000
}

/// Lengthens a duration so that it ends on this clock after the full duration has ended on every other clock.
pub fn lengthen_for_drift(time: Duration) -> Duration {
    time * (1000 + MAX_CLOCK_DRIFT_PERMILLE) / 1000
}
