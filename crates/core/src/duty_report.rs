//! When a host became the holder and why it is no longer.

use crate::duty::{Command, Reason};
use crate::platform::Version;

/// Reports each change of the holder once.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Report {
    /// The fencing number of the tenure that began and has not ended.
    begun: Option<Version>,
    reason: Option<Reason>,
}

impl Report {
    /// Returns the fencing number of the tenure that began and has not ended.
    pub(crate) fn begun(&self) -> Option<Version> {
        self.begun
    }

    /// Sets the reason for the end of the tenure. Without one the lease has expired.
    pub(crate) fn set_reason(&mut self, reason: Reason) {
        self.reason = Some(reason);
    }

    /// Records the fencing number with which the host holds the lease now, and returns the change.
    pub(crate) fn update(&mut self, held: Option<Version>) -> Option<Command> {
        if held == self.begun {
            return None;
        }
        let reason = self.reason.take().unwrap_or(Reason::Expired);
        if let Some(number) = self.begun.take() {
            return Some(Command::Ended(number, reason));
        }
        self.begun = held;
        held.map(Command::Began)
    }
}
