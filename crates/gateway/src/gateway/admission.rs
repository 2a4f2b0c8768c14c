//! Counts open requests.

use std::rc::Rc;

use crate::gateway::Gateway;

/// Guard that counts an open request until it is dropped.
#[derive(Debug)]
pub struct Admission {
    pub(super) gateway: Rc<Gateway>,
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.gateway.open_requests.set(self.gateway.open_requests.get() - 1);
    }
}
