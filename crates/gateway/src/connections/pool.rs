//! Connections that rest between two requests.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornpost_core::clock::Instant;

/// The longest time for which a connection rests.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// The longest time for which a connection rests if its target does not state an idle timeout. Timeouts are stated in
/// whole seconds, so one that is missing may be shorter than a second.
const MAX_UNSTATED_IDLE: Duration = Duration::from_millis(600);
/// The fraction of a stated idle timeout for which a connection rests, as the target counts from an earlier moment.
const TIMEOUT_FRACTION: f64 = 0.5;
/// The fraction of that rest after which a request that may not be repeated does not use the connection any more. A target
/// that closes it at that moment leaves the outcome unknown.
const RECENT_FRACTION: f64 = 0.5;
/// The maximum number of resting connections of a process, for its descriptors and its memory.
const MAX_RESTING: usize = 128;

/// Which resting connections a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any: the request is sent again if the connection fails.
    Any,
    /// Only one that was in use a moment ago, because the request may not be sent again.
    Recent,
}

/// The resting connections by target.
#[derive(Debug)]
pub struct Pool<C> {
    targets: BTreeMap<String, Vec<Resting<C>>>,
    len: usize,
}

#[derive(Debug)]
struct Resting<C> {
    connection: C,
    recent_until: Instant,
    until: Instant,
}

impl<C> Pool<C> {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self {
            targets: BTreeMap::new(),
            len: 0,
        }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Keeps a connection to a target that states this idle timeout. Closes it if there are too many.
    pub fn put(&mut self, now: Instant, target: &str, connection: C, timeout: Option<Duration>) {
        let idle = timeout.map_or(MAX_UNSTATED_IDLE, |timeout| {
            timeout.mul_f64(TIMEOUT_FRACTION).min(MAX_IDLE)
        });
        if idle.is_zero() || self.len >= MAX_RESTING {
            return;
        }
        let resting = Resting {
            connection,
            recent_until: now + idle.mul_f64(RECENT_FRACTION),
            until: now + idle,
        };
        self.targets.entry(target.to_owned()).or_default().push(resting);
        self.len += 1;
    }

    /// Takes the connection that was used last, and closes those that are not usable.
    pub fn take(&mut self, now: Instant, target: &str, reuse: Reuse, is_usable: impl Fn(&C) -> bool) -> Option<C> {
        let resting = self.targets.get_mut(target)?;
        let before = resting.len();
        resting.retain(|resting| now < resting.until && is_usable(&resting.connection));
        let taken = resting.pop_if(|resting| reuse == Reuse::Any || now < resting.recent_until);
        self.len -= before - resting.len();
        if resting.is_empty() {
            self.targets.remove(target);
        }
        taken.map(|resting| resting.connection)
    }

    /// Closes the connection to a target that was not used for the longest time.
    pub fn evict(&mut self, target: &str) {
        let Some(resting) = self.targets.get_mut(target) else {
            return;
        };
        resting.remove(0);
        self.len -= 1;
        if resting.is_empty() {
            self.targets.remove(target);
        }
    }

    /// Closes the connections that have rested too long and those that are not worth keeping.
    pub fn retain(&mut self, now: Instant, is_worth: impl Fn(&C) -> bool) {
        self.targets.retain(|_, resting| {
            resting.retain(|resting| now < resting.until && is_worth(&resting.connection));
            !resting.is_empty()
        });
        self.len = self.targets.values().map(Vec::len).sum();
    }

    /// Closes all connections to a target.
    pub fn remove(&mut self, target: &str) {
        let resting = self.targets.remove(target);
        self.len -= resting.map_or(0, |resting| resting.len());
    }

    /// Closes all connections.
    pub fn clear(&mut self) {
        self.targets.clear();
        self.len = 0;
    }
}

impl<C> Default for Pool<C> {
    fn default() -> Self {
        Self::new()
    }
}
