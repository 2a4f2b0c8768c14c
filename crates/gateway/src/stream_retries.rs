//! Decides whether a stream may be sent to another engine.

use crate::gateway::Gateway;
use crate::job::Job;

/// The maximum number of attempts of a stream.
const MAX_ATTEMPTS: u32 = 12;

/// The attempts of a stream and its failures.
#[derive(Debug, Default)]
pub(crate) struct Retries {
    /// The number of attempts.
    pub attempts: u32,
    /// The number of attempts that ran and failed.
    pub failed_runs: u32,
    /// The failed runs that count towards the attempt limit of the route: those whose engine's host is still reachable.
    counted_runs: u32,
    /// Whether the next retry is taken from the budget already.
    is_reserved: bool,
}

impl Retries {
    /// Records an attempt that ran and failed.
    pub(crate) fn record_failure(&mut self, is_unreachable: bool) {
        self.failed_runs += 1;
        self.counted_runs += u32::from(!is_unreachable);
    }

    /// Reserves the retry that follows if the engine of the running attempt is given up. Returns whether it was reserved.
    pub(crate) fn try_reserve(&mut self, gateway: &Gateway, job: &Job) -> bool {
        if self.is_reserved {
            return true;
        }
        let is_last_run = self.counted_runs + 1 >= job.route.max_attempts;
        self.is_reserved = !is_last_run && self.attempts < MAX_ATTEMPTS && gateway.try_retry(&job.service);
        self.is_reserved
    }

    /// Takes a retry from the budget, unless one is reserved or the last attempt did not reach its engine.
    ///
    /// # Errors
    ///
    /// Fails with the reason why the stream must not be retried.
    pub(crate) fn take(&mut self, gateway: &Gateway, job: &Job, is_free: bool) -> Result<(), &'static str> {
        if self.counted_runs >= job.route.max_attempts.max(1) {
            return Err("the attempt limit of the route is reached");
        }
        if self.attempts >= MAX_ATTEMPTS {
            return Err("too many engines did not run the request");
        }
        if job.time_left(gateway).is_zero() {
            return Err("the deadline has passed");
        }
        if is_free || std::mem::take(&mut self.is_reserved) || gateway.try_retry(&job.service) {
            Ok(())
        } else {
            Err("the retry budget is exhausted")
        }
    }
}
