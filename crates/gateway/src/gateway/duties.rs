//! Whether this host may make the calls of the duties.

use std::time::Duration;

use hawthornpost_core::clock::Instant;

use crate::duty::{Fence, State};
use crate::settings::DutySettings;

use super::Gateway;

#[allow(dead_code, reason = "the tasks of the duties do not exist yet")]
impl Gateway {
    /// Returns the state of the duties; `None` if this deployment has none.
    pub(crate) fn duties(&self) -> Option<&State> {
        self.duties.as_ref()
    }

    /// Returns the time by which the lease is measured, which includes the time for which the machine was suspended.
    pub(crate) fn lease_now(&self) -> Instant {
        self.timer.now_with_suspension()
    }

    /// Returns whether this host holds the lease of the duties and may make calls.
    pub(crate) fn is_duty_holder(&self) -> bool {
        let fencing = |duties: &State| duties.fencing(self.lease_now(), self.timer.last_pause());
        self.duties().and_then(fencing).is_some()
    }

    /// Waits until another call fits into the rate of the platform; returns the fence of the call, which must then begin at
    /// once, or `None` if this host does not hold the lease for longer than [`Self::duty_call_timeout`]. Each call must be
    /// followed by [`Self::record_duty_call`].
    pub(crate) async fn begin_duty_call(&self) -> Option<Fence> {
        let duties = self.duties()?;
        while self.is_duty_holder() {
            let now = self.lease_now();
            if let Some(number) = duties.begin_call(now, self.timer.last_pause()) {
                return Some(Fence {
                    holder: self.settings.entry.name.clone(),
                    number: number.as_u64(),
                });
            }
            self.timer.sleep(duties.next_call(now).since(now)).await;
        }
        None
    }

    /// Returns the time after which a call has to be abandoned, so that none arrives after the end of the lease.
    pub(crate) fn duty_call_timeout(&self) -> Duration {
        let settings = self.settings.duties.as_ref();
        settings.map_or(Duration::ZERO, DutySettings::call_timeout)
    }

    /// Records the end of a call and whether the platform answered it, be it with a refusal; see
    /// [`Failure::is_answer`](crate::platform::Failure::is_answer). The lease is released when the platform cannot be
    /// reached.
    pub(crate) fn record_duty_call(&self, is_answered: bool) {
        if let Some(duties) = self.duties() {
            duties.finish_call(is_answered);
        }
    }
}
