//! The calls that a holder has made.

use crate::clock::Instant;
use crate::duty::Limits;
use crate::lease::lengthen_for_drift;
use crate::platform::Version;

/// The number of successive calls without an answer after which the platform may be unreachable for this host.
const MIN_UNANSWERED_CALLS: u32 = 3;

/// The last call and the calls without an answer.
#[derive(Clone, Debug)]
pub(crate) struct Calls {
    limits: Limits,
    /// The fencing number of the last call; `None` for a call of an earlier process of the host.
    number: Option<Version>,
    /// When the last call can no longer arrive.
    end: Instant,
    /// The number of calls that have not ended.
    open: u32,
    /// The number of successive calls without an answer.
    unanswered: u32,
    unanswered_since: Instant,
}

impl Calls {
    /// Creates the calls of a process. The process before it may have sent a call just before the start.
    pub(crate) fn new(limits: Limits, start: Instant) -> Self {
        Self {
            limits,
            number: None,
            end: start + limits.call_timeout,
            open: 0,
            unanswered: 0,
            unanswered_since: Instant::ZERO,
        }
    }

    /// Records that a call begins.
    pub(crate) fn begin(&mut self, now: Instant, number: Version) {
        self.number = Some(number);
        self.end = now + lengthen_for_drift(self.limits.call_timeout);
        self.open += 1;
    }

    /// Records the end of a call.
    pub(crate) fn finish(&mut self, now: Instant, is_answered: bool) {
        self.open = self.open.saturating_sub(1);
        if self.open == 0 {
            self.end = self.end.min(now);
        }
        if is_answered {
            self.unanswered = 0;
            return;
        }
        if self.unanswered == 0 {
            self.unanswered_since = now;
        }
        self.unanswered += 1;
    }

    /// Forgets calls without an answer, which concern an earlier tenure.
    pub(crate) fn forget_unanswered(&mut self) {
        self.unanswered = 0;
    }

    /// Returns whether the platform has answered none of several calls for a term.
    pub(crate) fn is_unreachable(&self, now: Instant) -> bool {
        self.unanswered >= MIN_UNANSWERED_CALLS && now.since(self.unanswered_since) >= self.limits.term
    }

    /// Returns when all calls have ended.
    pub(crate) fn end(&self) -> Instant {
        self.end
    }

    /// Returns when a call with this number may begin: at once if the last call had the same one, because no other host
    /// has acted since, and otherwise a term after the last call.
    pub(crate) fn ready_at(&self, number: Option<Version>) -> Instant {
        if number.is_some() && number == self.number {
            return Instant::ZERO;
        }
        self.end + lengthen_for_drift(self.limits.term)
    }
}
