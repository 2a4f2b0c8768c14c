//! Whether this host may make the calls of the duties.

use std::time::Duration;

use crate::duty::Fence;

use super::Gateway;

#[allow(dead_code, reason = "the tasks of the duties do not exist yet")]
impl Gateway {
    /// Returns whether this host holds the lease of the duties.
    pub(crate) fn is_duty_holder(&self) -> bool {
        false
    }

    /// Waits until another call fits into the rate of the platform; returns the fence of the call, which must then begin at
    /// once, or `None` if this host does not hold the lease for longer than [`Self::duty_call_timeout`].
    pub(crate) async fn begin_duty_call(&self) -> Option<Fence> {
        None
    }

    /// Returns the time after which a call has to be abandoned, so that none arrives after the end of the lease.
    pub(crate) fn duty_call_timeout(&self) -> Duration {
        Duration::from_millis(500)
    }

    /// Records whether the platform answered a call. The lease is released when it cannot be reached.
    pub(crate) fn record_duty_call(&self, _is_answered: bool) {}
}
