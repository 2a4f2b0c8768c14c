//! The state machine of a host that competes for the lease of the duties.

use std::time::Duration;

use crate::clock::Instant;
use crate::duty::{Command, Eligibility, Event, Limits, Reason};
use crate::duty_calls::Calls;
use crate::duty_identity::{Found, Identity};
use crate::duty_own::Own;
use crate::duty_report::Report;
use crate::duty_step::Step;
use crate::id::Entry;
use crate::lease::{Holder, Lease, Observer, lengthen_for_drift};
use crate::platform::{Failure, Version};

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
    /// The call to the store that has not ended.
    step: Option<Step>,
    must_read_latest: bool,
    next_read: Instant,
    retry_at: Instant,
    report: Report,
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
            step: None,
            must_read_latest: true,
            next_read: Instant::ZERO,
            retry_at: Instant::ZERO,
            report: Report::default(),
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
                self.report.set_reason(Reason::Paused);
            }
            Event::Tick => {}
        }
        self.release_if_due(now);
        let change = self.report.update(self.held_number(now));
        let call = self.next_call(now);
        change.into_iter().chain(call).collect()
    }

    /// Returns when [`Event::Tick`] is due.
    pub fn deadline(&self) -> Option<Instant> {
        let end = self.report.begun().and(self.holder.expires_at());
        let step = self.next_step().filter(|_| self.step.is_none());
        step.map(|(at, _)| at).into_iter().chain(end).min()
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
        self.report.begun().and(self.holder.renewed_at())
    }

    fn set_eligibility(&mut self, now: Instant, eligibility: Eligibility) {
        let before = std::mem::replace(&mut self.eligibility, eligibility);
        if before == eligibility {
            return;
        }
        match eligibility {
            // What was read before may be long outdated.
            Eligibility::Eligible => self.must_read_latest |= before != Eligibility::Isolated,
            Eligibility::Isolated => self.penalty_end = now + self.limits.penalty(),
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
            self.penalty_end = now + self.limits.penalty();
        }
        own.release = Some(reason);
        self.report.set_reason(reason);
        self.calls.forget_unanswered();
    }

    fn read(&mut self, now: Instant, result: Result<Option<(Version, Lease)>, Failure>) {
        let is_latest = self.step.take() == Some(Step::ReadLatest);
        self.next_read = now + self.limits.read_interval();
        let Ok(found) = result else {
            let delay = self
                .own
                .map_or(self.limits.read_interval(), |_| self.limits.retry_delay());
            self.retry_at = now + delay;
            return;
        };
        if is_latest {
            self.must_read_latest = false;
            self.forget_if_deleted(found.as_ref());
        }
        if !self.observer.observe(now, found) {
            return;
        }
        match self.identity.find_own(&self.observer) {
            Some(found) => self.adopt(found),
            None if self.own.is_some() => self.lose(),
            None => {}
        }
    }

    /// Continues from a write of this process whose answer was lost.
    fn adopt(&mut self, found: Found) {
        if found.is_last_write {
            // The term is counted from before the write was sent, as if the answer had arrived.
            self.holder.renewed(found.version);
        }
        self.hold(found.number, found.version);
    }

    fn hold(&mut self, number: Version, version: Version) {
        let release = self.own.and_then(|own| own.release);
        self.own = Some(Own {
            number,
            version,
            release,
        });
    }

    fn lose(&mut self) {
        if self.own.take().is_some_and(|own| own.release.is_none()) {
            self.report.set_reason(Reason::Replaced);
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
        let Some(step) = self.step.take() else {
            return;
        };
        let version = match result {
            Ok(version) => version,
            Err(error) => {
                // Another process has written the object, or this write may have taken effect.
                self.must_read_latest = true;
                if matches!(error, Failure::Lost | Failure::Refused) {
                    self.retry_at = now + self.limits.retry_delay();
                }
                return;
            }
        };
        let lease = self.identity.last_lease().cloned();
        self.observer.observe(now, lease.map(|lease| (version, lease)));
        match step {
            Step::ReadLatest | Step::ReadStale => {}
            Step::Take | Step::Renew => {
                self.holder.renewed(version);
                self.hold(self.own.map_or(version, |own| own.number), version);
            }
            Step::Release => {
                self.lose();
                self.next_read = now + self.limits.read_interval();
            }
        }
    }

    /// Returns the fencing number while this process holds the lease and has not decided to release it.
    fn held_number(&self, now: Instant) -> Option<Version> {
        let own = self.own.filter(|own| own.release.is_none())?;
        self.holder.fencing(now).map(|_version| own.number)
    }

    fn next_step(&self) -> Option<(Instant, Step)> {
        let (at, step) = if self.must_read_latest && (self.own.is_some() || self.eligibility.competes()) {
            (Instant::ZERO, Step::ReadLatest)
        } else if let Some(own) = self.own {
            match own.release {
                Some(_) => (self.calls.end(), Step::Release),
                None => (self.holder.renewal_due().unwrap_or_default(), Step::Renew),
            }
        } else if self.eligibility.competes() {
            let take = self.take_at().filter(|at| *at < self.next_read);
            take.map_or((self.next_read, Step::ReadStale), |at| (at, Step::Take))
        } else {
            return None;
        };
        Some((at.max(self.retry_at), step))
    }

    /// Returns when this host takes the lease unless it is renewed. The lease is of no use before the host may act.
    fn take_at(&self) -> Option<Instant> {
        let expires_at = self.observer.expires_at()?;
        let isolation = match self.eligibility {
            Eligibility::Isolated => self.limits.penalty(),
            _ => Duration::ZERO,
        };
        // An object that does not exist may have been deleted while another host held the lease.
        let deletion = self.observer.lease().map_or(self.limits.term, |_| Duration::ZERO);
        let ready_at = self.calls.ready_at(None);
        Some(
            (expires_at + lengthen_for_drift(isolation + deletion))
                .max(self.penalty_end)
                .max(ready_at),
        )
    }

    fn next_call(&mut self, now: Instant) -> Option<Command> {
        let (at, step) = self.next_step()?;
        if self.step.is_some() || now < at {
            return None;
        }
        let command = match step {
            Step::ReadLatest | Step::ReadStale => Command::Read {
                is_latest: step == Step::ReadLatest,
            },
            Step::Take => {
                let base = self.observer.acquirable(now)?;
                self.holder.start_renewal(now);
                Command::Write(base, self.identity.held_lease(None))
            }
            Step::Renew => {
                let own = self.own?;
                self.holder.start_renewal(now);
                Command::Write(Some(own.version), self.identity.held_lease(Some(own.number)))
            }
            Step::Release => {
                let own = self.own?;
                self.holder.clear();
                Command::Write(Some(own.version), self.identity.released_lease(own.number))
            }
        };
        self.step = Some(step);
        Some(command)
    }
}
