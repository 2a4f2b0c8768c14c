//! Whether a target may take work, and until when not.

use std::time::Duration;

use hawthornpost_core::clock::Instant;

/// How long a target gets no new work after a failure while others are available. A crashed server is back or removed
/// from the platform's list after about this time.
const SUSPECT_DURATION: Duration = Duration::from_millis(1500);
/// How long the share of work that a target gets grows after a pause that it asked for.
const RETURN_DURATION: Duration = Duration::from_secs(1);

/// How long a target that refused a request without asking for a pause is avoided while others take work. It doubles with
/// each further refusal up to [`MAX_REFUSAL_BACKOFF`].
const MIN_REFUSAL_BACKOFF: Duration = Duration::from_millis(250);
/// The maximum time for which it is avoided.
const MAX_REFUSAL_BACKOFF: Duration = Duration::from_secs(2);

/// Whether a target may take new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It may.
    Available,
    /// It may when no other target can, until this time.
    Suspect(Instant),
    /// It may not before a request ends, because this host uses its share of the target's connections.
    Full,
    /// It may not before this time, because it asked for a pause.
    Paused(Instant),
    /// It never may again, because it is leaving or another incarnation has its address.
    Gone,
}

/// What is known about a target that limits its work.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct State {
    is_replaced: bool,
    suspect_until: Instant,
    paused_until: Instant,
    /// The end of the time in which the target is avoided because it refused requests.
    avoided_until: Instant,
    /// The number of refusals since the last response.
    refusals: u32,
}

impl State {
    /// Returns whether the target may take new work, given its own announcement, the suspicion of its data centre and
    /// whether there is room for a connection.
    pub(crate) fn availability(
        &self,
        now: Instant,
        is_leaving: bool,
        data_centre_suspect_until: Instant,
        has_room: bool,
    ) -> Availability {
        let suspect_until = self.suspect_until.max(data_centre_suspect_until);
        if self.is_replaced || is_leaving {
            Availability::Gone
        } else if now < self.paused_until {
            Availability::Paused(self.paused_until)
        } else if !has_room {
            Availability::Full
        } else if now < suspect_until {
            Availability::Suspect(suspect_until)
        } else {
            Availability::Available
        }
    }

    /// Records a failure.
    pub(crate) fn suspect(&mut self, now: Instant) {
        self.suspect_until = now + SUSPECT_DURATION;
    }

    /// Returns the end of the suspicion.
    pub(crate) fn suspect_until(&self) -> Instant {
        self.suspect_until
    }

    /// Ends the suspicion.
    pub(crate) fn clear_suspicion(&mut self) {
        self.suspect_until = Instant::ZERO;
    }

    /// Records that the target asked for a pause.
    pub(crate) fn pause(&mut self, until: Instant) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Records that the target refused a request without asking for a pause.
    pub(crate) fn record_refusal(&mut self, now: Instant) {
        let backoff = MIN_REFUSAL_BACKOFF.saturating_mul(2_u32.saturating_pow(self.refusals));
        self.refusals = self.refusals.saturating_add(1);
        self.avoided_until = now + backoff.min(MAX_REFUSAL_BACKOFF);
    }

    /// Records that the target ran a request.
    pub(crate) fn record_response(&mut self) {
        self.refusals = 0;
        self.avoided_until = Instant::ZERO;
    }

    /// Returns whether the target is avoided because it refused requests.
    pub(crate) fn is_avoided(&self, now: Instant) -> bool {
        now < self.avoided_until
    }

    /// Records that another incarnation has the target's address.
    pub(crate) fn replace(&mut self) {
        self.is_replaced = true;
    }

    /// Returns whether another incarnation has the target's address.
    pub(crate) fn is_replaced(&self) -> bool {
        self.is_replaced
    }

    /// Returns the share of its usual work that the target gets, from 0 to 1. It grows after a pause, as all hosts end
    /// theirs at about the same time.
    pub(crate) fn share(&self, now: Instant) -> f64 {
        if self.paused_until == Instant::ZERO {
            return 1.0;
        }
        (now.since(self.paused_until).as_secs_f64() / RETURN_DURATION.as_secs_f64()).min(1.0)
    }
}
