//! Counts the open connections of callers.

use std::rc::Rc;

use crate::gateway::Gateway;

/// Counts an open connection until it is dropped. The process exits when no connection is open, because a response may
/// still be on its way to its caller when the request is done.
#[derive(Debug)]
pub(crate) struct Guard {
    gateway: Rc<Gateway>,
}

impl Guard {
    /// Counts a connection.
    pub(crate) fn new(gateway: &Rc<Gateway>) -> Self {
        gateway.count_connection(1);
        Self {
            gateway: Rc::clone(gateway),
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.gateway.count_connection(-1);
    }
}
