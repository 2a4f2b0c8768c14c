//! Observation of a stream's prompt: whether an engine has begun to answer it, or crashed before.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use crate::event::Event;
use crate::gateway::Gateway;
use crate::job::Job;
use crate::outbound;
use crate::prompt::{Part, Parts};
use crate::target::Target;

/// The timeout of the connection that shows whether an engine has crashed.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(60);

/// The prompt of a stream.
#[derive(Clone, Debug)]
pub(crate) struct Screening {
    request: String,
    parts: Parts,
    has_begun: Rc<Cell<bool>>,
}

impl Screening {
    /// Creates the state of a stream without events.
    pub(crate) fn new(job: &Job) -> Self {
        Self {
            request: job.metadata.id.clone(),
            parts: job.metadata.shared_parts.clone(),
            has_begun: Rc::default(),
        }
    }

    /// Records that an engine has sent the first event.
    pub(crate) fn record_begun(&self) {
        self.has_begun.set(true);
    }

    /// Checks whether the engine that closed the connection has crashed, and records it.
    ///
    /// An engine that accepts new connections has only reset this one. One that leaves, or is not listed any more, has
    /// ended as planned.
    pub(crate) async fn record_disconnect(&self, gateway: &Gateway, target: &Target) {
        let is_listed = |listed: &Rc<Target>| listed.is_same_incarnation(target) && !listed.is_leaving;
        if !gateway.fleet().borrow().get(&target.id).is_some_and(is_listed)
            || outbound::accepts_connections(target.address, CRASH_CHECK_TIMEOUT).await
        {
            return;
        }
        self.log_crash(target);
    }

    fn log_crash(&self, target: &Target) {
        let parts = self.parts.iter().map(Part::to_string).collect::<Vec<_>>();
        Event::EngineCrashed {
            request: &self.request,
            target: &target.id,
            data_centre: &target.data_centre,
            prompt: if self.has_begun.get() { "answering" } else { "waiting" },
            parts: &parts.join(","),
            what: "an engine crashed while it held a request",
        }
        .log();
    }
}
