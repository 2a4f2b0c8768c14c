//! The open part of a request at a target, for the trial of the target's version.

use std::rc::Rc;

use crate::gateway::Gateway;
use crate::target::Target;
use crate::trial::Latency;

/// A request whose latency is not known yet. Ends when it is dropped.
pub(crate) struct Wait {
    gateway: Rc<Gateway>,
    service: String,
    /// The id; `None` when the wait has ended, or if there is no trial.
    id: Option<u64>,
}

impl Wait {
    /// Starts to wait for the latency of a request at a target.
    pub(crate) fn start(gateway: &Rc<Gateway>, route: &str, target: &Target, latency: Latency) -> Self {
        let mut rollouts = gateway.rollouts().borrow_mut();
        Self {
            gateway: Rc::clone(gateway),
            service: target.service.clone(),
            id: rollouts.start_wait(gateway.now(), route, target, latency),
        }
    }

    /// Ends the wait and returns whether the request is counted already.
    pub(crate) fn end(mut self) -> bool {
        self.remove()
    }

    fn remove(&mut self) -> bool {
        let Some(id) = self.id.take() else {
            return false;
        };
        self.gateway.rollouts().borrow_mut().end_wait(&self.service, id)
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        self.remove();
    }
}
