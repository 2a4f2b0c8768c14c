//! Whether an entry that vanishes from the store may have lapsed because of an outage, although its target lives.

use std::time::Duration;

use hawthornpost_core::clock::Instant;

/// How long after the return of the store entries may still lapse. Live targets have registered again by then.
const LAPSE_WINDOW: Duration = Duration::from_secs(2);

/// The time in which entries may lapse: an outage, and a short time after it.
///
/// It ends with the return of the store, whether this host or a watcher has noticed it and whether anything has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lapses {
    /// Entries that vanish belong to targets that have left or failed.
    #[default]
    None,
    /// The store is unavailable.
    Outage,
    /// The store was available again at this time.
    Returned(Instant),
}

impl Lapses {
    /// Records that the store is unavailable to this host and to the watchers.
    pub fn begin(&mut self) {
        *self = Self::Outage;
    }

    /// Records that the store responds to this host or to a watcher.
    pub fn end(&mut self, now: Instant) {
        if *self == Self::Outage {
            *self = Self::Returned(now);
        }
    }

    /// Returns whether an entry that vanishes now may have lapsed.
    pub fn are_possible(&self, now: Instant) -> bool {
        match self {
            Self::None => false,
            Self::Outage => true,
            Self::Returned(at) => now.since(*at) < LAPSE_WINDOW,
        }
    }
}
