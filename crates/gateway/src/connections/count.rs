//! The connections of this host to one target.

use std::cell::Cell;
use std::rc::Rc;

/// The number of connections to a target.
#[derive(Debug, Default)]
pub struct Count {
    used: Cell<u32>,
    idle: Cell<u32>,
}

/// Guard that counts a connection until it is dropped.
#[derive(Debug)]
pub struct Slot {
    count: Rc<Count>,
    is_idle: bool,
}

impl Count {
    /// Returns the number of connections that requests use.
    pub fn used(&self) -> u32 {
        self.used.get()
    }

    /// Returns the number of idle connections.
    pub fn idle(&self) -> u32 {
        self.idle.get()
    }

    /// Returns whether another request may use a connection, given this host's share; an idle connection is used again
    /// or closed for it. A host may always use one connection, so that no target is out of reach.
    pub fn has_room(&self, share: Option<u32>) -> bool {
        share.is_none_or(|share| self.used() < share.max(1))
    }

    /// Returns whether a new connection exceeds this host's share.
    pub fn is_exhausted(&self, share: Option<u32>) -> bool {
        share.is_some_and(|share| self.used() + self.idle() >= share.max(1))
    }
}

impl Slot {
    /// Counts a connection that a request uses.
    pub fn new(count: &Rc<Count>) -> Self {
        count.used.set(count.used.get() + 1);
        Self {
            count: Rc::clone(count),
            is_idle: false,
        }
    }

    /// Returns whether the connections to the target exceed this host's share, because it has shrunk. A host may always
    /// have one.
    pub fn exceeds(&self, share: Option<u32>) -> bool {
        share.is_some_and(|share| self.count.used() + self.count.idle() > share.max(1))
    }

    /// Counts the connection as idle or as used.
    pub fn set_idle(&mut self, is_idle: bool) {
        self.remove();
        self.is_idle = is_idle;
        let cell = self.cell();
        cell.set(cell.get() + 1);
    }

    fn remove(&self) {
        let cell = self.cell();
        cell.set(cell.get() - 1);
    }

    fn cell(&self) -> &Cell<u32> {
        if self.is_idle {
            &self.count.idle
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
