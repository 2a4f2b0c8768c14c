//! Screening of a stream's prompt: parts that crash engines are not sent, and what the stream learns of them is shared.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use crate::datagram::Datagram;
use crate::event::Event;
use crate::gateway::Gateway;
use crate::job::Job;
use crate::outbound;
use crate::prompt::{Part, Parts};
use crate::quarantine::{Crash, Verdict};
use crate::target::Target;

/// The timeout of the connection that shows whether an engine has crashed.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(60);
/// The time for other hosts to report another explanation before a request is refused because of its own crashes.
const EXPLANATION_DELAY: Duration = Duration::from_millis(50);
/// The maximum length of a request's id in messages to other hosts.
const MAX_REQUEST_ID_CHARS: usize = 64;

/// The prompt of a stream.
#[derive(Clone, Debug)]
pub(crate) struct Screening {
    gateway: Rc<Gateway>,
    /// The id of the request.
    id: String,
    /// What identifies the request and its repeats to other hosts.
    request: String,
    parts: Parts,
    has_begun: Rc<Cell<bool>>,
    is_trial: Rc<Cell<bool>>,
}

impl Screening {
    /// Creates the state of a stream without events.
    pub(crate) fn new(gateway: &Rc<Gateway>, job: &Job) -> Self {
        let metadata = &job.metadata;
        let own_part = metadata.own_part.as_ref().map(Part::to_string);
        let request = own_part.unwrap_or_else(|| metadata.id.chars().take(MAX_REQUEST_ID_CHARS).collect());
        Self {
            gateway: Rc::clone(gateway),
            id: metadata.id.clone(),
            request,
            parts: metadata.shared_parts.clone(),
            has_begun: Rc::default(),
            is_trial: Rc::default(),
        }
    }

    /// Returns whether the request may be sent to an engine.
    pub(crate) fn admit(&self) -> bool {
        if self.has_begun.get() || self.is_trial.get() || self.parts.is_empty() {
            return true;
        }
        match self
            .gateway
            .quarantine()
            .admit(self.gateway.now(), &self.request, &self.parts)
        {
            Verdict::Allowed => true,
            Verdict::Trial(parts) => {
                self.is_trial.set(true);
                for part in &parts {
                    let trial = self.gateway.quarantine().trial(self.gateway.now(), part);
                    self.gateway.peers().broadcast(Datagram::Quarantine(trial));
                    self.log_decision(
                        part,
                        "a single request is sent to find out whether the part still crashes engines",
                    );
                }
                true
            }
            Verdict::Refused(part) => {
                self.log_decision(&part, "the request is not sent, because engines crashed on the part");
                false
            }
        }
    }

    /// Waits until the request must not run, although it was sent; forever once an engine has begun to answer it.
    pub(crate) async fn revoked(self) {
        let quarantine = self.gateway.quarantine();
        let part = loop {
            quarantine.wait_quarantined(&self.request, &self.parts).await;
            // The message that explains the crashes otherwise may be on its way.
            self.gateway.timer().sleep(EXPLANATION_DELAY).await;
            if let Some(part) = quarantine.quarantined(&self.request, &self.parts) {
                break part;
            }
        };
        if self.has_begun.get() || self.is_trial.get() {
            std::future::pending::<()>().await;
        }
        self.log_decision(&part, "the request is cancelled, because engines crashed on the part");
    }

    /// Records that an engine has sent the first event.
    pub(crate) fn record_begun(&self) {
        self.has_begun.set(true);
        let cleared = self.gateway.quarantine().record_begun(self.gateway.now(), &self.parts);
        if !cleared.is_empty() {
            self.gateway.peers().broadcast(Datagram::Cleared { parts: cleared });
        }
    }

    /// Checks whether the engine that closed the connection has crashed, and records it.
    ///
    /// An engine that accepts new connections has only reset this one. One whose host does not respond may be cut off, or
    /// the link of this host is slow. One that leaves, or is not listed any more, has
    /// ended as planned.
    pub(crate) async fn record_disconnect(&self, target: &Rc<Target>) {
        if self.has_begun.get() {
            // The stream is resumed at once; only the log waits for the check.
            let (screening, target) = (self.clone(), Rc::clone(target));
            tokio::task::spawn_local(async move { screening.check_crash(&target).await });
        } else if self.check_crash(target).await && !self.parts.is_empty() {
            self.record_crash(target).await;
        }
    }

    /// Returns whether an engine has crashed, and logs it.
    async fn check_crash(&self, target: &Target) -> bool {
        let is_listed = |listed: &Rc<Target>| listed.is_same_incarnation(target) && !listed.is_leaving;
        if !self.gateway.fleet().borrow().get(&target.id).is_some_and(is_listed)
            || !outbound::refuses_connections(target.address, CRASH_CHECK_TIMEOUT).await
        {
            return false;
        }
        self.log_crash(target);
        true
    }

    async fn record_crash(&self, target: &Target) {
        self.is_trial.set(false);
        let crash = Crash {
            engine: format!("{}/{}", target.id, target.started.unwrap_or_default()),
            request: self.request.clone(),
        };
        let quarantine = self.gateway.quarantine();
        quarantine.record_crash(self.gateway.now(), &crash, &self.parts);
        let parts = self.parts.clone();
        self.gateway.peers().broadcast(Datagram::Crash { crash, parts });
        if quarantine.quarantined(&self.request, &self.parts).is_some() {
            self.gateway.timer().sleep(EXPLANATION_DELAY).await;
        }
    }

    fn log_crash(&self, target: &Target) {
        let parts = self.parts.iter().map(Part::to_string).collect::<Vec<_>>();
        Event::EngineCrashed {
            request: &self.id,
            target: &target.id,
            data_centre: &target.data_centre,
            prompt: if self.has_begun.get() { "answering" } else { "waiting" },
            parts: &parts.join(","),
            what: "an engine crashed while it held a request",
        }
        .log();
    }

    fn log_decision(&self, part: &Part, what: &'static str) {
        Event::PartQuarantined {
            request: &self.id,
            part: &part.to_string(),
            what,
        }
        .log();
    }
}
