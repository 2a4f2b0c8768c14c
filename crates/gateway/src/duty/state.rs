//! This host's view of the lease and of its calls.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::duty::{Candidate, Command, Event, Limits};
use hawthornpost_core::id::Entry;
use hawthornpost_core::platform::{Budget, Version};
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::duration::millis;
use crate::settings::DutySettings;

/// The number of calls that may begin at the same time.
const CALL_BURST: u32 = 1;
/// The bits of a process number, which every JSON decoder reads exactly.
const PROCESS_BITS: u32 = 53;

/// The state of the duties in this process.
#[derive(Debug)]
pub(crate) struct State {
    candidate: RefCell<Candidate>,
    budget: RefCell<Budget>,
    /// Events that the task has not handled yet.
    events: RefCell<Vec<Event>>,
    changed: Notify,
    /// The last pause of the process that the candidate knows of.
    handled_pause: Cell<Option<Instant>>,
}

impl State {
    /// Creates the state of a process that has just started.
    pub(crate) fn new(entry: &Entry, settings: &DutySettings) -> Self {
        let limits = Limits {
            term: settings.lease,
            call_timeout: settings.call_timeout(),
        };
        let process = rand::random::<u64>() >> (u64::BITS - PROCESS_BITS);
        let candidate = Candidate::new(entry.clone(), process, limits, Instant::ZERO);
        let interval = Duration::try_from_secs_f64(settings.calls_per_second.recip()).unwrap_or(Duration::MAX);
        Self {
            candidate: RefCell::new(candidate),
            budget: RefCell::new(Budget::with_interval(interval, CALL_BURST)),
            events: RefCell::default(),
            changed: Notify::new(),
            handled_pause: Cell::default(),
        }
    }

    /// Handles an event and returns the commands for the task.
    pub(crate) fn handle(&self, now: Instant, event: Event) -> Vec<Command> {
        self.candidate.borrow_mut().handle(now, event)
    }

    /// Returns when the task has to handle [`Event::Tick`].
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.candidate.borrow().deadline()
    }

    /// Returns the fencing number of a call that begins now. There is none after a pause of the process until the
    /// candidate knows of it.
    pub(crate) fn fencing(&self, now: Instant, last_pause: Option<Instant>) -> Option<Version> {
        self.candidate
            .borrow()
            .fencing(now)
            .filter(|_| last_pause == self.handled_pause.get())
    }

    /// Returns when the rate of the platform allows another call.
    pub(crate) fn next_call(&self, now: Instant) -> Instant {
        self.budget.borrow().ready_at(now)
    }

    /// Begins a call if its rate allows it and this host holds the lease for long enough.
    pub(crate) fn begin_call(&self, now: Instant, last_pause: Option<Instant>) -> Option<Version> {
        self.fencing(now, last_pause)?;
        let is_within_rate = self.budget.borrow_mut().take(now);
        if is_within_rate {
            self.candidate.borrow_mut().begin_call(now)
        } else {
            None
        }
    }

    /// Records the end of a call.
    pub(crate) fn finish_call(&self, is_answered: bool) {
        self.events.borrow_mut().push(Event::CallEnded(is_answered));
        self.changed.notify_one();
    }

    /// Removes and returns the events that the task has to handle.
    pub(crate) fn take_events(&self, last_pause: Option<Instant>) -> Vec<Event> {
        let mut events = self.events.take();
        if self.handled_pause.replace(last_pause) != last_pause {
            events.push(Event::ClockJumped);
        }
        events
    }

    /// Waits until there may be an event.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns the time since the last renewal of this host was sent; `None` if it does not hold the lease.
    pub(crate) fn renewal_age(&self, now: Instant) -> Option<Duration> {
        let renewed_at = self.candidate.borrow().renewed_at();
        renewed_at.map(|renewed_at| now.since(renewed_at))
    }

    /// Returns the lease for the state dump, as this host saw it last.
    pub(crate) fn dump(&self, now: Instant) -> Value {
        let candidate = self.candidate.borrow();
        let (version, lease) = candidate.lease().unzip();
        let tenure = lease.and_then(|lease| lease.tenure);
        json!({
            "is_holder": candidate.renewed_at().is_some(),
            "holder": lease.and_then(|lease| lease.holder.as_ref()),
            "number": tenure.and_then(|tenure| tenure.number).or(version).map(Version::as_u64),
            "version": version.map(Version::as_u64),
            "renewal_age_ms": self.renewal_age(now).map(millis),
        })
    }
}
