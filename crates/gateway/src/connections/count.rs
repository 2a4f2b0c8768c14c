//! The connections of this host to one target.

use std::cell::Cell;
use std::rc::Rc;

/// The number of connections to a target.
#[derive(Debug, Default)]
pub struct Count {
    used: Cell<u32>,
    resting: Cell<u32>,
}

/// Guard that counts a connection until it is dropped.
#[derive(Debug)]
pub struct Slot {
    count: Rc<Count>,
    is_resting: bool,
}

impl Count {
    /// Returns the number of connections that requests use.
    pub fn used(&self) -> u32 {
        self.used.get()
    }

    /// Returns the number of connections that rest between two requests.
    pub fn resting(&self) -> u32 {
        self.resting.get()
    }

    /// Returns whether another request may use a connection, given this host's share; a resting connection is used again
    /// or closed for it. A host may always use one connection, so that no target is out of reach.
    pub fn has_room(&self, share: Option<u32>) -> bool {
        share.is_none_or(|share| self.used() < share.max(1))
    }

    /// Returns whether a new connection exceeds this host's share.
    pub fn is_exhausted(&self, share: Option<u32>) -> bool {
        share.is_some_and(|share| self.used() + self.resting() >= share.max(1))
    }
}

impl Slot {
    /// Counts a connection that a request uses.
    pub fn new(count: &Rc<Count>) -> Self {
        count.used.set(count.used.get() + 1);
        Self {
            count: Rc::clone(count),
            is_resting: false,
        }
    }

    /// Counts the connection as resting or as used.
    pub fn set_resting(&mut self, is_resting: bool) {
        self.remove();
        self.is_resting = is_resting;
        let cell = self.cell();
        cell.set(cell.get() + 1);
    }

    fn remove(&self) {
        let cell = self.cell();
        cell.set(cell.get() - 1);
    }

    fn cell(&self) -> &Cell<u32> {
        if self.is_resting {
            &self.count.resting
        } else {
            &self.count.used
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.remove();
    }
}
