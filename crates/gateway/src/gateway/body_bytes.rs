//! Limits the memory of buffered request bodies.

use std::rc::Rc;

use crate::gateway::Gateway;

/// Guard that counts the bytes of a buffered request body until it is dropped.
#[derive(Debug)]
pub struct BodyBytes {
    pub(super) gateway: Rc<Gateway>,
    pub(super) bytes: usize,
}

impl BodyBytes {
    /// Grows to a number of bytes; returns whether the process may buffer that many.
    #[must_use = "bytes without a reservation must not be buffered"]
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        let total = self.gateway.body_bytes.get() + added;
        if added > 0 && total > self.gateway.limits.get().request_bytes {
            return false;
        }
        self.gateway.body_bytes.set(total);
        self.bytes += added;
        true
    }
}

impl Drop for BodyBytes {
    fn drop(&mut self) {
        self.gateway.body_bytes.set(self.gateway.body_bytes.get() - self.bytes);
    }
}
