//! A timer queue with cancellable subscriptions.
//!
//! Time is passed in: the daemon passes its clock, and tests pass a virtual clock.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

use crate::clock::Instant;

type Queue<K> = Rc<RefCell<BTreeMap<(Instant, u64), K>>>;

/// Deadlines with the keys that are returned when they pass.
///
/// ```
/// use hawthornpost_core::clock::Instant;
/// use hawthornpost_core::timer::Service;
///
/// let mut timers = Service::new();
/// let _kept = timers.subscribe(Instant::from_millis(10), "probe");
/// drop(timers.subscribe(Instant::from_millis(5), "cancelled"));
/// assert_eq!(timers.due(Instant::from_millis(20)), ["probe"]);
/// ```
pub struct Service<K> {
    queue: Queue<K>,
    next_id: u64,
}

/// Guard for a deadline; dropping it removes the deadline.
#[must_use = "dropping the subscription removes the deadline"]
pub struct Subscription<K> {
    queue: Queue<K>,
    key: (Instant, u64),
}

impl<K> Service<K> {
    /// Creates a queue without deadlines.
    pub fn new() -> Self {
        Self {
            queue: Rc::default(),
            next_id: 0,
        }
    }

    /// Adds a deadline.
    pub fn subscribe(&mut self, deadline: Instant, key: K) -> Subscription<K> {
        let id = (deadline, self.next_id);
        self.next_id += 1;
        self.queue.borrow_mut().insert(id, key);
        Subscription {
            queue: Rc::clone(&self.queue),
            key: id,
        }
    }

    /// Returns the earliest deadline.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.queue.borrow().keys().next().map(|(deadline, _)| *deadline)
    }

    /// Removes and returns the keys whose deadlines have passed, earliest first.
    pub fn due(&mut self, now: Instant) -> Vec<K> {
        let mut queue = self.queue.borrow_mut();
        let rest = queue.split_off(&(now, u64::MAX));
        std::mem::replace(&mut *queue, rest).into_values().collect()
    }
}

impl<K> Default for Service<K> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K> Drop for Subscription<K> {
    fn drop(&mut self) {
        self.queue.borrow_mut().remove(&self.key);
    }
}

impl<K> fmt::Debug for Service<K> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Service")
            .field("deadlines", &self.queue.borrow().len())
            .finish_non_exhaustive()
    }
}

impl<K> fmt::Debug for Subscription<K> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Subscription")
            .field("deadline", &self.key.0)
            .finish_non_exhaustive()
    }
}
