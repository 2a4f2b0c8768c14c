//! Decides whether the configuration of an entry is recent enough to accept new work.

use std::time::Duration;

use crate::clock::Instant;

/// The default age up to which a contact counts as recent.
const DEFAULT_MAX_AGE: Duration = Duration::from_secs(5);

/// Tracks when an entry last reached the platform and its peers.
///
/// An entry that reaches neither may be the only one without the current configuration, so it accepts no new work. The
/// same applies to an entry that knows of a higher version than its own and cannot fetch it.
#[derive(Clone, Debug)]
pub struct Freshness {
    max_age: Duration,
    platform: Option<Instant>,
    peers: Option<Instant>,
    behind_since: Option<Instant>,
}

/// The sources of configuration that an entry can reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reach {
    /// The platform.
    Platform,
    /// Peers only; their configuration is the newest one that any of them can have received.
    Peers,
    /// Neither; new work is refused.
    Nothing,
    /// A higher version is known and cannot be fetched; new work is refused.
    Behind,
}

impl Reach {
    /// Returns whether new work may be accepted.
    pub const fn accepts_new_work(self) -> bool {
        matches!(self, Self::Platform | Self::Peers)
    }
}

impl Freshness {
    /// Creates the state of an entry that has reached neither the platform nor a peer.
    pub fn new(max_age: Duration) -> Self {
        Self {
            max_age,
            platform: None,
            peers: None,
            behind_since: None,
        }
    }

    /// Records a response of the platform.
    pub fn platform_answered(&mut self, now: Instant) {
        self.platform = Some(now);
    }

    /// Records a response of a peer.
    pub fn peer_answered(&mut self, now: Instant) {
        self.peers = Some(now);
    }

    /// Records whether a higher version than the entry's own is known.
    pub fn set_behind(&mut self, now: Instant, behind: bool) {
        self.behind_since = behind.then(|| self.behind_since.unwrap_or(now));
    }

    /// Discards all contacts. Call it after a clock jump, because a process that was paused cannot tell how old they
    /// are.
    pub fn clear(&mut self) {
        self.platform = None;
        self.peers = None;
    }

    /// Returns whether peers have to be asked, because the platform has not answered for half of the maximum age.
    pub fn should_ask_peers(&self, now: Instant) -> bool {
        !is_recent(self.platform, now, self.max_age / 2)
    }

    /// Returns which sources the entry reaches.
    pub fn reach(&self, now: Instant) -> Reach {
        if self.behind_since.is_some_and(|since| now.since(since) >= self.max_age) {
            Reach::Behind
        } else if is_recent(self.platform, now, self.max_age) {
            Reach::Platform
        } else if is_recent(self.peers, now, self.max_age) {
            Reach::Peers
        } else {
            Reach::Nothing
        }
    }
}

impl Default for Freshness {
    fn default() -> Self {
        Self::new(DEFAULT_MAX_AGE)
    }
}

fn is_recent(contact: Option<Instant>, now: Instant, max_age: Duration) -> bool {
    contact.is_some_and(|at| now.since(at) < max_age)
}
