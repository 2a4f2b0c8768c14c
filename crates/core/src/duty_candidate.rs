//! The state machine of a host that competes for the lease of the duties.

use std::time::Duration;

use crate::clock::Instant;
use crate::duty::{Command, Eligibility, Event, Limits, Reason};
use crate::duty_calls::Calls;
use crate::duty_identity::Identity;
use crate::id::Entry;
use crate::lease::{Holder, Lease, Observer, lengthen_for_drift};
use crate::platform::{Failure, Version};

/// The number of terms for which a host that released the lease because of a fault leaves it to others.
const PENALTY_TERMS: u32 = 2;
/// The fraction of the term after which a failed call to the store is repeated by the holder.
const RETRIES_PER_TERM: u32 = 10;
/// The number of reads by other candidates, and of renewals, in a term.
const READS_PER_TERM: u32 = 3;

/// Competes for the lease, keeps it, and decides whether a call may begin.
///
/// The time that is passed in has to include the time for which the machine was suspended.
#[derive(Debug)]
pub struct Candidate {
    identity: Identity,
    limits: Limits,
    eligibility: Eligibility,
    holder: Holder,
    observer: Observer,
    /// The state of the lease object while this process has it.
    own: Option<Own>,
    calls: Calls,
    /// Until when this host leaves the lease to others after it released it because of a fault.
    penalty_end: Instant,
    call: Option<Call>,
    must_read_latest: bool,
    next_read: Instant,
    retry_at: Instant,
    /// The fencing number of the last [`Command::Began`] that has not ended.
    begun: Option<Version>,
    end_reason: Reason,
}

#[derive(Clone, Copy, Debug)]
struct Own {
    number: Version,
    version: Version,
    release: Option<Reason>,
}

/// A call to the store that has not ended.
#[derive(Clone, Debug)]
enum Call {
    Read { is_latest: bool },
    Take(Lease),
    Renew(Lease),
    Release(Lease),
}

#[derive(Clone, Copy, Debug)]
enum Action {
    ReadLatest,
    ReadStale,
    Take,
    Renew,
    Release,
}

impl Candidate {
    /// Creates the candidate of a process, which is identified by a random number. `start` is when the process started.
    pub fn new(entry: Entry, process: u64, limits: Limits, start: Instant) -> Self {
        Self {
            identity: Identity::new(entry, process, limits.term),
            limits,
            eligibility: Eligibility::default(),
            holder: Holder::new(limits.term),
            observer: Observer::default(),
            own: None,
            calls: Calls::new(limits, start),
            penalty_end: Instant::ZERO,
            call: None,
            must_read_latest: true,
            next_read: Instant::ZERO,
            retry_at: Instant::ZERO,
            begun: None,
            end_reason: Reason::Expired,
        }
    }

    /// Handles an event and returns the commands to execute. At most one of them is a call to the store; its result is the
    /// next [`Event::Read`] or [`Event::Written`].
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Command> {
        match event {
            Event::Eligibility(eligibility) => self.set_eligibility(now, eligibility),
            Event::Read(result) => self.read(now, result),
            Event::Written(result) => self.written(now, result),
            Event::CallEnded(is_answered) => self.calls.finish(now, is_answered),
            Event::ClockJumped => {
                self.holder.clear();
                self.end_reason = Reason::Paused;
            }
            Event::Tick => {}
        }
        self.release_if_due(now);
        let change = self.change(now);
        let call = self.next_call(now);
        change.into_iter().chain(call).collect()
    }

    /// Returns when [`Event::Tick`] is due.
    pub fn deadline(&self) -> Option<Instant> {
        let end = self.begun.and(self.holder.expires_at());
        let action = self.next_action().filter(|_| self.call.is_none());
        action.map(|(at, _)| at).into_iter().chain(end).min()
    }

    /// Returns the fencing number with which a call may begin now, or `None` if none may.
    pub fn fencing(&self, now: Instant) -> Option<Version> {
        let own = self.own.filter(|own| own.release.is_none())?;
        let outlasts_call = self.holder.fencing(now + self.limits.call_timeout).is_some();
        let is_ready = now >= self.calls.ready_at(Some(own.number));
        (outlasts_call && is_ready).then_some(own.number)
    }

    /// Begins a call and returns its fencing number, or `None` if no call may begin now. [`Event::CallEnded`] has to follow
    /// within the timeout of calls.
    pub fn begin_call(&mut self, now: Instant) -> Option<Version> {
        let number = self.fencing(now)?;
        self.calls.begin(now, number);
        Some(number)
    }

    /// Returns the last known version and contents of the lease object.
    pub fn lease(&self) -> Option<(Version, &Lease)> {
        self.observer.lease()
    }

    /// Returns when the last renewal of this host was sent; `None` if it does not hold the lease.
    pub fn renewed_at(&self) -> Option<Instant> {
        self.begun.and(self.holder.renewed_at())
    }

    fn set_eligibility(&mut self, now: Instant, eligibility: Eligibility) {
        let before = std::mem::replace(&mut self.eligibility, eligibility);
        if before == eligibility {
            return;
        }
        match eligibility {
            // What was read before may be long outdated.
            Eligibility::Eligible => self.must_read_latest |= before != Eligibility::Isolated,
            Eligibility::Isolated => self.penalty_end = now + self.limits.term * PENALTY_TERMS,
            Eligibility::Ineligible | Eligibility::Stopping => {}
        }
    }

    fn release_if_due(&mut self, now: Instant) {
        let is_unreachable = self.calls.is_unreachable(now);
        let Some(own) = self.own.as_mut().filter(|own| own.release.is_none()) else {
            return;
        };
        let reason = match self.eligibility {
            Eligibility::Stopping => Reason::Stopping,
            Eligibility::Ineligible => Reason::Ineligible,
            Eligibility::Isolated if now < self.penalty_end => Reason::Isolated,
            Eligibility::Eligible | Eligibility::Isolated if is_unreachable => Reason::Unreachable,
            Eligibility::Eligible | Eligibility::Isolated => return,
        };
        if reason == Reason::Unreachable {
            self.penalty_end = now + self.limits.term * PENALTY_TERMS;
        }
        own.release = Some(reason);
        self.end_reason = reason;
        self.calls.forget_unanswered();
    }

    fn read(&mut self, now: Instant, result: Result<Option<(Version, Lease)>, Failure>) {
        let is_latest = matches!(self.call.take(), Some(Call::Read { is_latest: true }));
        self.next_read = now + self.limits.term / READS_PER_TERM;
        let Ok(found) = result else {
            let is_holder = self.own.is_some();
            let retries = if is_holder { RETRIES_PER_TERM } else { READS_PER_TERM };
            self.retry_at = now + self.limits.term / retries;
            return;
        };
        if is_latest {
            self.must_read_latest = false;
            self.forget_if_deleted(found.as_ref());
        }
        if !self.observer.observe(now, found) {
            return;
        }
        match (self.identity.find_own(&self.observer), &mut self.own) {
            // A write of this process whose answer was lost took effect.
            (Some((version, _)), Some(own)) => own.version = version,
            (Some((version, number)), own @ None) => {
                *own = Some(Own {
                    number,
                    version,
                    release: None,
                });
            }
            (None, Some(_)) => self.lose(),
            (None, None) => {}
        }
    }

    fn lose(&mut self) {
        if self.own.take().is_some_and(|own| own.release.is_none()) {
            self.end_reason = Reason::Replaced;
        }
        self.holder.clear();
    }

    /// Forgets the lease object if it was deleted, so that the observer does not take its absence for an outdated view.
    fn forget_if_deleted(&mut self, found: Option<&(Version, Lease)>) {
        let known = self.observer.lease().map(|(version, _)| version);
        if found.map(|(version, _)| *version) < known {
            self.observer = Observer::default();
        }
    }

    fn written(&mut self, now: Instant, result: Result<Version, Failure>) {
        let Some(call) = self.call.take() else {
            return;
        };
        let version = match result {
            Ok(version) => version,
            Err(Failure::Refused) => {
                self.retry_at = now + self.limits.term / RETRIES_PER_TERM;
                return;
            }
            // Another process has written the object, or this write may have taken effect.
            Err(Failure::Conflict | Failure::Missing | Failure::Lost) => {
                self.must_read_latest = true;
                return;
            }
        };
        match call {
            Call::Read { .. } => {}
            Call::Take(lease) => {
                self.holder.renewed(version);
                self.observer.observe(now, Some((version, lease)));
                let release = None;
                self.own = Some(Own {
                    number: version,
                    version,
                    release,
                });
            }
            Call::Renew(lease) => {
                self.holder.renewed(version);
                self.observer.observe(now, Some((version, lease)));
                if let Some(own) = &mut self.own {
                    own.version = version;
                }
            }
            Call::Release(lease) => {
                self.lose();
                self.observer.observe(now, Some((version, lease)));
                self.next_read = now + self.limits.term / READS_PER_TERM;
            }
        }
    }

    fn change(&mut self, now: Instant) -> Option<Command> {
        let own = self.own.filter(|own| own.release.is_none());
        let held = own.filter(|_| self.holder.fencing(now).is_some()).map(|own| own.number);
        if held == self.begun {
            return None;
        }
        let reason = std::mem::replace(&mut self.end_reason, Reason::Expired);
        if let Some(number) = self.begun.take() {
            return Some(Command::Ended(number, reason));
        }
        self.begun = held;
        held.map(Command::Began)
    }

    fn next_action(&self) -> Option<(Instant, Action)> {
        let (at, action) = if self.must_read_latest && (self.own.is_some() || self.competes()) {
            (Instant::ZERO, Action::ReadLatest)
        } else if let Some(own) = self.own {
            match own.release {
                Some(_) => (self.calls.end(), Action::Release),
                None => (self.holder.renewal_due().unwrap_or_default(), Action::Renew),
            }
        } else if self.competes() {
            let take = self.take_at().filter(|at| *at < self.next_read);
            take.map_or((self.next_read, Action::ReadStale), |at| (at, Action::Take))
        } else {
            return None;
        };
        Some((at.max(self.retry_at), action))
    }

    fn competes(&self) -> bool {
        matches!(self.eligibility, Eligibility::Eligible | Eligibility::Isolated)
    }

    /// Returns when this host takes the lease unless it is renewed. The lease is of no use before the host may act.
    fn take_at(&self) -> Option<Instant> {
        let expires_at = self.observer.expires_at()?;
        let isolation = match self.eligibility {
            Eligibility::Isolated => self.limits.term * PENALTY_TERMS,
            _ => Duration::ZERO,
        };
        // An object that does not exist may have been deleted while another host held the lease.
        let deletion = match self.observer.lease() {
            Some(_) => Duration::ZERO,
            None => self.limits.term,
        };
        let ready_at = self.calls.ready_at(None);
        Some(
            (expires_at + lengthen_for_drift(isolation + deletion))
                .max(self.penalty_end)
                .max(ready_at),
        )
    }

    fn next_call(&mut self, now: Instant) -> Option<Command> {
        let (_, action) = self.next_action().filter(|(at, _)| self.call.is_none() && now >= *at)?;
        let own = self.own;
        match action {
            Action::ReadLatest | Action::ReadStale => {
                let is_latest = matches!(action, Action::ReadLatest);
                self.call = Some(Call::Read { is_latest });
                Some(Command::Read { is_latest })
            }
            Action::Take => {
                let base = self.observer.acquirable(now)?;
                self.holder.start_renewal(now);
                let lease = self.identity.held_lease(None);
                self.call = Some(Call::Take(lease.clone()));
                Some(Command::Write(base, lease))
            }
            Action::Renew => {
                let own = own?;
                self.holder.start_renewal(now);
                let lease = self.identity.held_lease(Some(own.number));
                self.call = Some(Call::Renew(lease.clone()));
                Some(Command::Write(Some(own.version), lease))
            }
            Action::Release => {
                let own = own?;
                self.holder.clear();
                let lease = self.identity.released_lease(own.number);
                self.call = Some(Call::Release(lease.clone()));
                Some(Command::Write(Some(own.version), lease))
            }
        }
    }
}
