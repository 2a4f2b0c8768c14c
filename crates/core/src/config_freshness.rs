//! Whether an entry may take new work.

use std::time::Duration;

use crate::clock::Instant;

/// How long a contact counts when nothing is configured.
const DEFAULT_LIMIT: Duration = Duration::from_secs(5);

/// When an entry last reached the platform and its peers.
///
/// An entry that reaches neither may be the only one that does not know the current configuration, so it takes no new
/// work. An entry that knows of a higher version than its own and cannot get it is in the same position.
#[derive(Clone, Debug)]
pub struct Freshness {
    limit: Duration,
    platform: Option<Instant>,
    peers: Option<Instant>,
    behind_since: Option<Instant>,
}

/// What an entry reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reach {
    /// The platform.
    Platform,
    /// Peers only; the configuration that they have is the newest that any of them could have learnt.
    Peers,
    /// Nothing; new work is refused.
    Nothing,
    /// A higher version is known and cannot be fetched; new work is refused.
    Behind,
}

impl Reach {
    /// Returns whether new work may be taken.
    pub const fn takes_new_work(self) -> bool {
        matches!(self, Self::Platform | Self::Peers)
    }
}

impl Freshness {
    /// Creates the state of an entry that has reached nothing.
    pub fn new(limit: Duration) -> Self {
        Self {
            limit,
            platform: None,
            peers: None,
            behind_since: None,
        }
    }

    /// Notes an answer of the platform.
    pub fn platform_answered(&mut self, now: Instant) {
        self.platform = Some(now);
    }

    /// Notes an answer of a peer.
    pub fn peer_answered(&mut self, now: Instant) {
        self.peers = Some(now);
    }

    /// Notes whether a higher version than the entry's own is known.
    pub fn behind(&mut self, now: Instant, behind: bool) {
        self.behind_since = behind.then(|| self.behind_since.unwrap_or(now));
    }

    /// Forgets all contacts; for use after a jump of the clock, because a paused process cannot tell how old they are.
    pub fn lapse(&mut self) {
        self.platform = None;
        self.peers = None;
    }

    /// Returns whether peers have to be asked: the platform has not answered for half the limit.
    pub fn asks_peers(&self, now: Instant) -> bool {
        !recent(self.platform, now, self.limit / 2)
    }

    /// Returns what the entry reaches.
    pub fn reach(&self, now: Instant) -> Reach {
        if self.behind_since.is_some_and(|since| now.since(since) >= self.limit) {
            Reach::Behind
        } else if recent(self.platform, now, self.limit) {
            Reach::Platform
        } else if recent(self.peers, now, self.limit) {
            Reach::Peers
        } else {
            Reach::Nothing
        }
    }
}

impl Default for Freshness {
    fn default() -> Self {
        Self::new(DEFAULT_LIMIT)
    }
}

fn recent(contact: Option<Instant>, now: Instant, limit: Duration) -> bool {
    contact.is_some_and(|at| now.since(at) < limit)
}
