//! Idle connections to targets.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornpost_core::clock::Instant;

/// The longest time for which an idle connection is kept.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// The longest time for which an idle connection is kept if its target does not state an idle timeout. Timeouts are stated
/// in whole seconds, so one that is missing may be shorter than a second.
const MAX_UNSTATED_IDLE_TIME: Duration = Duration::from_millis(600);
/// The fraction of a stated idle timeout for which a connection is kept, as the target counts from an earlier moment.
const TIMEOUT_FRACTION: f64 = 0.5;
/// The fraction of that time in which a request that may not be repeated uses the connection. Later its target may close it
/// while the request is sent, which leaves the outcome unknown.
const RECENT_FRACTION: f64 = 0.5;
/// The maximum number of idle connections of a process, which bounds its descriptors and its memory.
const MAX_IDLE_CONNECTIONS: usize = 128;

/// Which idle connections a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any: the request is sent again if the connection fails.
    Any,
    /// Only one that was in use a moment ago, because the request may not be sent again.
    Recent,
}

/// The idle connections by target.
#[derive(Debug)]
pub struct Pool<C> {
    targets: BTreeMap<String, Vec<Idle<C>>>,
    len: usize,
}

#[derive(Debug)]
struct Idle<C> {
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
        let kept_for = timeout.map_or(MAX_UNSTATED_IDLE_TIME, |timeout| {
            timeout.mul_f64(TIMEOUT_FRACTION).min(MAX_IDLE_TIME)
        });
        if kept_for.is_zero() || self.len >= MAX_IDLE_CONNECTIONS {
            return;
        }
        let idle = Idle {
            connection,
            recent_until: now + kept_for.mul_f64(RECENT_FRACTION),
            until: now + kept_for,
        };
        self.targets.entry(target.to_owned()).or_default().push(idle);
        self.len += 1;
    }

    /// Takes the connection that was used last, and closes those that are not usable.
    pub fn take(&mut self, now: Instant, target: &str, reuse: Reuse, is_usable: impl Fn(&C) -> bool) -> Option<C> {
        let idle = self.targets.get_mut(target)?;
        let before = idle.len();
        idle.retain(|idle| now < idle.until && is_usable(&idle.connection));
        let taken = idle.pop_if(|idle| reuse == Reuse::Any || now < idle.recent_until);
        self.len -= before - idle.len();
        if idle.is_empty() {
            self.targets.remove(target);
        }
        taken.map(|idle| idle.connection)
    }

    /// Closes the connection to a target that was not used for the longest time.
    pub fn evict(&mut self, target: &str) {
        let Some(idle) = self.targets.get_mut(target) else {
            return;
        };
        idle.remove(0);
        self.len -= 1;
        if idle.is_empty() {
            self.targets.remove(target);
        }
    }

    /// Closes the connections that have been idle for too long and those that are not worth keeping.
    pub fn retain(&mut self, now: Instant, is_worth_keeping: impl Fn(&C) -> bool) {
        self.targets.retain(|_, idle| {
            idle.retain(|idle| now < idle.until && is_worth_keeping(&idle.connection));
            !idle.is_empty()
        });
        self.len = self.targets.values().map(Vec::len).sum();
    }

    /// Closes all connections to a target.
    pub fn remove(&mut self, target: &str) {
        let idle = self.targets.remove(target);
        self.len -= idle.map_or(0, |idle| idle.len());
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
