//! Timing of leases without a common clock.
//!
//! The holder counts its lease from before it sent the renewal. Everybody else counts it from after they saw the
//! renewal. Both allow for clocks that run at different rates, so that the holder always stops first.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::clock::Instant;
use crate::id::Entry;
use crate::platform::Version;

/// How much faster or slower than real time a clock may run, in thousandths. Crystal oscillators stay below 0.1 ‰; the
/// rest covers the slewing of clocks, at up to 0.5 ‰, and virtual machines.
const CLOCK_MARGIN_PERMILLE: u32 = 10;

/// The contents of a lease object.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The holder; absent when the lease was released.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holder: Option<Entry>,
    /// How long the lease lasts after each write of the object.
    #[serde(rename = "term_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub term: Duration,
    /// How long after the write of the object any order issued under it may still be executed.
    #[serde(rename = "orders_end_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub orders_end: Duration,
}

/// The holder's view of its own lease.
///
/// ```
/// use hawthornpost_core::{clock::Instant, lease::Holder, platform::Version};
/// use std::time::Duration;
///
/// let mut holder = Holder::new(Duration::from_secs(10));
/// holder.sending(Instant::ZERO);
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
    until: Instant,
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

    /// Notes that a renewal is about to be sent. The lease counts from here, because the platform may apply the
    /// renewal, and others may see it, at any moment from now on.
    pub const fn sending(&mut self, now: Instant) {
        self.sent = Some(now);
    }

    /// Notes that the renewal took effect with this version.
    pub fn renewed(&mut self, version: Version) {
        if let Some(sent) = self.sent.take() {
            let until = sent + shorten(self.term);
            self.held = Some(Held { sent, until, version });
        }
    }

    /// Gives the lease up: another entry has it, it was released, or the clock jumped.
    pub fn lapse(&mut self) {
        self.sent = None;
        self.held = None;
    }

    /// Returns the fencing number while the lease is held.
    pub fn fencing(&self, now: Instant) -> Option<Version> {
        self.held
            .as_ref()
            .filter(|held| now < held.until)
            .map(|held| held.version)
    }

    /// Returns when the next renewal is due: a third of the term after the last one, so that two more fit.
    pub fn renewal_due(&self) -> Option<Instant> {
        self.held.as_ref().map(|held| held.sent + self.term / 3)
    }

    /// Returns the end of the lease.
    pub fn until(&self) -> Option<Instant> {
        self.held.as_ref().map(|held| held.until)
    }
}

/// Another entry's view of the lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observer {
    seen: Option<Seen>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Seen {
    version: Option<Version>,
    at: Instant,
    lease: Option<Lease>,
}

impl Observer {
    /// Notes what a read returned. `now` is taken after the answer arrived.
    pub fn see(&mut self, now: Instant, found: Option<(Version, Lease)>) {
        let (version, lease) = found.unzip();
        let known = self.seen.as_ref().is_some_and(|seen| seen.version == version);
        if !known {
            self.seen = Some(Seen {
                version,
                at: now,
                lease,
            });
        }
    }

    /// Returns the version over which the lease may be taken now; `Some(None)` creates the object.
    pub fn takeable(&self, now: Instant) -> Option<Option<Version>> {
        let seen = self.seen.as_ref()?;
        (now >= seen.lapse()).then_some(seen.version)
    }

    /// Returns when the lease lapses if it is not renewed.
    pub fn lapse(&self) -> Option<Instant> {
        self.seen.as_ref().map(Seen::lapse)
    }

    /// Returns when every order issued under the lease has ended.
    pub fn orders_end(&self) -> Instant {
        let end = |seen: &Seen| {
            let life = seen.lease.as_ref().map_or(Duration::ZERO, |lease| lease.orders_end);
            seen.at + lengthen(life)
        };
        self.seen.as_ref().map_or(Instant::ZERO, end)
    }
}

impl Seen {
    fn lapse(&self) -> Instant {
        let held = self.lease.as_ref().filter(|lease| lease.holder.is_some());
        held.map_or(self.at, |lease| self.at + lengthen(lease.term))
    }
}

/// Shortens a time that must be over before it is over by any other clock.
pub fn shorten(time: Duration) -> Duration {
    time * (1000 - CLOCK_MARGIN_PERMILLE) / 1000
}

/// Lengthens a time that must not be over before it is over by any other clock.
pub fn lengthen(time: Duration) -> Duration {
    time * (1000 + CLOCK_MARGIN_PERMILLE) / 1000
}
