//! Requests to plain services: chooses targets, retries where that is safe, and buffers the response.

mod answer;
mod outcome;

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hawthornpost_core::clock::Instant;
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};

use crate::body::Body;
use crate::config::Kind;
use crate::connections::{self, Lease, Reuse};
use crate::dialect::Dispatch;
use crate::duration::millis;
use crate::duration::shorter;
use crate::event::Event;
use crate::fleet::Criteria;
use crate::gateway::Gateway;
use crate::intake::Limits;
use crate::job::Job;
use crate::load::Load;
use crate::outbound::{Connection, Failure};
use crate::reply::{self, Verdict};
use crate::target::Target;
use crate::trial;
use crate::versions::Versions;

use outcome::Outcome;

/// The connect timeout for a target. The kernel retransmits a lost SYN only after a second, so another target is tried
/// before that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The maximum number of attempts at targets that do not run the request.
const MAX_ATTEMPTS: u32 = 4;
/// The fraction of the route's objective after which an idempotent request is retried at another target.
const ATTEMPT_TIMEOUT_FRACTION: f64 = 0.6;
/// The `Retry-After` of a request that all targets refused.
const NO_CAPACITY_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The reason to refuse a request that would be cut off at the end of the process.
const STOPPING: &str = "this entry host stops before a target would respond";

/// Serves a request to a plain service.
pub(crate) async fn run(gateway: &Rc<Gateway>, job: Job) -> Response<Body> {
    let mut exchange = Exchange {
        gateway,
        job,
        excluded: Vec::new(),
        executions: 0,
        attempts: 0,
        target: String::new(),
        is_retry_reserved: Cell::default(),
        sent_at: Cell::default(),
        error_response: None,
        is_finished: false,
    };
    let response = exchange.run().await;
    exchange.is_finished = true;
    response
}

struct Exchange<'a> {
    gateway: &'a Rc<Gateway>,
    job: Job,
    excluded: Vec<String>,
    /// The number of attempts that may have run.
    executions: u32,
    attempts: u32,
    /// The id of the target of the latest attempt.
    target: String,
    /// Whether the next retry is taken from the budget already.
    is_retry_reserved: Cell<bool>,
    /// When the latest attempt was sent; `None` when its target refused it or its usage is counted.
    sent_at: Cell<Option<Instant>>,
    /// An error response of a target, which is passed on if no attempt succeeds.
    error_response: Option<(Box<Parts>, Bytes)>,
    is_finished: bool,
}

impl Exchange<'_> {
    async fn run(&mut self) -> Response<Body> {
        self.gateway.record_request(&self.job.service);
        if let Err(refusal) = self.gateway.check_overload(&self.job) {
            return self.refuse(refusal.reason, refusal.retry_after);
        }
        loop {
            let Some(target) = self.choose() else {
                return self.give_up("no target accepts the request");
            };
            if self.executions == 0 && self.stops_before_response() {
                return self.refuse(STOPPING, Duration::ZERO);
            }
            if !self.may_end_in_time() {
                return self.give_up("too little time is left for another attempt");
            }
            self.attempts += 1;
            self.target.clone_from(&target.id);
            let sent = self.gateway.now();
            let outcome = self.attempt(&target).await;
            self.excluded.push(target.id.clone());
            let took_ms = millis(self.gateway.now().since(sent));
            self.record_trial(&target, &outcome, sent);
            self.record_wait(&target, &outcome, sent);
            self.record_usage(&outcome);
            match outcome {
                Outcome::Completed(head, body) if !self.is_retryable(&head) => return self.pass_on(*head, body),
                Outcome::Completed(head, body) => {
                    self.executions += 1;
                    self.log_failure(&target, "the target responded with a server error", "yes", took_ms);
                    self.error_response = Some((head, body));
                    if !self.may_retry() {
                        return self.give_up("the target failed and the request is not retried");
                    }
                }
                Outcome::NotRun { reason, was_received } => {
                    self.log_failure(&target, &reason, "no", took_ms);
                    if self.attempts >= MAX_ATTEMPTS
                        || (was_received && !self.try_retry())
                        || self.job.time_left(self.gateway).is_zero()
                    {
                        return self.give_up("no target ran the request");
                    }
                }
                Outcome::Unknown(reason) => {
                    self.executions += 1;
                    self.log_failure(&target, &reason, "unknown", took_ms);
                    if !self.may_retry() {
                        return self.give_up("the target sent no complete response");
                    }
                }
            }
        }
    }

    /// Chooses a target; retries do not take part in the trial of a version.
    fn choose(&self) -> Option<Rc<Target>> {
        let service = &self.job.service;
        let trial_versions = (self.attempts == 0)
            .then(|| self.gateway.trial_versions(service))
            .flatten();
        self.gateway
            .choose(service, trial_versions.as_ref(), |versions| self.choose_among(versions))
    }

    fn choose_among(&self, versions: &Versions) -> Option<Rc<Target>> {
        let criteria = Criteria {
            service: &self.job.service,
            versions,
            excluded: &self.excluded,
        };
        let mut fleet = self.gateway.fleet().borrow_mut();
        fleet.choose_call(self.gateway.now(), criteria)
    }

    /// Returns whether a response is a server error that may be retried at another target.
    fn is_retryable(&self, head: &Parts) -> bool {
        self.job.route.kind == Kind::Idempotent && head.status.is_server_error()
    }

    fn may_retry(&self) -> bool {
        self.job.route.kind == Kind::Idempotent
            && self.executions < self.job.route.max_attempts
            && !self.job.time_left(self.gateway).is_zero()
            && (self.is_retry_reserved.take() || self.try_retry())
    }

    /// Takes a retry from the budget. While the service is overloaded, a second attempt would take the room of another
    /// request.
    fn try_retry(&self) -> bool {
        !self.gateway.is_overloaded(&self.job.service) && self.gateway.try_retry(&self.job.service)
    }

    /// Returns whether an attempt may end before the deadline, by the usual response time. A request always has the first
    /// half of its time, because response times were learned under another load.
    fn may_end_in_time(&self) -> bool {
        let half = self.job.deadline.since(self.job.started) / 2;
        let usual = self.gateway.usual_response_time(&self.job.service).unwrap_or_default();
        self.job.time_left(self.gateway) >= usual.min(half)
    }

    /// Returns whether a slow target may be given up, and reserves the retry at another one for that. Without another
    /// target, a retry or the time for one, its late response is better than none.
    fn may_give_up(&self, target: &Target) -> bool {
        if self.job.time_left(self.gateway).is_zero() {
            return true;
        }
        if self.stops_before_response() {
            return false;
        }
        let mut excluded = self.excluded.clone();
        excluded.push(target.id.clone());
        let criteria = Criteria {
            service: &self.job.service,
            versions: &self.gateway.stable_versions(&self.job.service),
            excluded: &excluded,
        };
        let other = self
            .gateway
            .fleet()
            .borrow_mut()
            .choose_call(self.gateway.now(), criteria);
        let may_give_up = other.is_some() && self.try_retry();
        self.is_retry_reserved.set(may_give_up);
        may_give_up
    }

    async fn attempt(&self, target: &Rc<Target>) -> Outcome {
        let _reservation = self.gateway.reserve(&target.id, Load::CALL);
        let connect_timeout = CONNECT_TIMEOUT.min(self.job.time_left(self.gateway));
        let mut lease = match Lease::acquire(self.gateway, target, self.reuse(), connect_timeout).await {
            Ok(lease) => lease,
            Err(failure) => return Outcome::unsent(failure.to_string()),
        };
        let time_left = self.job.time_left(self.gateway);
        if time_left.is_zero() {
            return Outcome::unsent("the deadline has passed".to_owned());
        }
        let limit = shorter(time_left, self.attempt_timeout());
        let meter = Rc::clone(lease.connection().meter());
        let response = {
            let mut exchange = pin!(self.exchange(lease.connection_mut(), target, time_left));
            let timer = self.gateway.timer();
            let mut response = timer.timeout(limit, exchange.as_mut()).await;
            if response.is_none() && !self.may_give_up(target) {
                response = timer.timeout(self.job.time_left(self.gateway), exchange).await;
            }
            response
        };
        match response {
            Some(Ok((head, body))) => self.finish(target, lease, head, body),
            Some(Err(failure @ Failure::Unsent { .. })) => Outcome::unsent(failure.to_string()),
            None if !meter.has_sent() => Outcome::unsent("the request could not be sent in time".to_owned()),
            Some(Err(failure)) => {
                self.record_outcome(target, true);
                if let Failure::Excess { excess, .. } = failure {
                    excess.report(self.gateway, target);
                }
                Outcome::Unknown(failure.to_string())
            }
            None => {
                self.record_outcome(target, true);
                Outcome::Unknown(format!("no response within {limit:?}"))
            }
        }
    }

    /// Returns the timeout of this attempt if the request may still be retried at another target.
    fn attempt_timeout(&self) -> Option<Duration> {
        let route = &self.job.route;
        let has_more = route.kind == Kind::Idempotent && self.executions + 1 < route.max_attempts;
        has_more.then(|| route.objective.mul_f64(ATTEMPT_TIMEOUT_FRACTION))
    }

    async fn exchange(
        &self,
        connection: &mut Connection,
        target: &Target,
        time_left: Duration,
    ) -> Result<(Parts, Bytes), Failure> {
        let dispatch = Dispatch {
            instance: &target.id,
            time_left,
            account: self.job.account.as_ref().map(|account| account.name.as_str()),
            priority: None,
            backup: None,
            source: None,
            last_event: None,
        };
        let request = self.job.request(self.gateway, &dispatch);
        connection.set_limits(Limits::response(self.gateway.limits().response_bytes));
        self.sent_at.set(Some(self.gateway.now()));
        let (head, body) = connection.send(request).await?.into_parts();
        let mut share = self.gateway.response_memory().share();
        let body = connection.read(body, |bytes| share.grow_to(bytes)).await?;
        Ok((head, share.hold(body)))
    }

    /// Returns which idle connections the request may use.
    fn reuse(&self) -> Reuse {
        match self.job.route.kind {
            Kind::Idempotent => Reuse::Any,
            Kind::NonIdempotent | Kind::Streaming => Reuse::Recent,
        }
    }

    /// Classifies a complete response and keeps its connection if it is sound.
    fn finish(&self, target: &Rc<Target>, lease: Lease, head: Parts, body: Bytes) -> Outcome {
        match reply::check(self.gateway, target, &self.job.metadata.id, &head) {
            Verdict::Valid { is_named } => {
                if is_named && !head.status.is_server_error() {
                    lease.keep(connections::idle_timeout(&head.headers));
                }
            }
            Verdict::NotRun(reason) => {
                lease.keep(connections::idle_timeout(&head.headers));
                return Outcome::NotRun {
                    reason,
                    was_received: true,
                };
            }
            Verdict::Invalid => {
                self.record_outcome(target, true);
                return Outcome::Unknown(
                    "the response does not belong to this request, or is unsigned or encoded".to_owned(),
                );
            }
        }
        self.record_outcome(target, head.status.is_server_error());
        Outcome::Completed(Box::new(head), body)
    }

    fn record_trial(&self, target: &Target, outcome: &Outcome, sent: Instant) {
        let outcome = match outcome {
            Outcome::NotRun { .. } => return,
            Outcome::Completed(head, _) if !head.status.is_server_error() => {
                trial::Outcome::Responded(self.gateway.now().since(sent))
            }
            Outcome::Completed(..) | Outcome::Unknown(_) => trial::Outcome::Failed,
        };
        self.gateway.record_outcome(&self.job.route.name, target, outcome);
    }

    fn record_wait(&self, target: &Target, outcome: &Outcome, sent: Instant) {
        if let Outcome::Completed(..) = outcome {
            let took = self.gateway.now().since(sent);
            self.gateway.record_call(&self.job.service, target, took);
        }
    }

    fn record_usage(&self, outcome: &Outcome) {
        match outcome {
            Outcome::NotRun { .. } => self.sent_at.set(None),
            Outcome::Completed(..) | Outcome::Unknown(_) => self.count_usage(),
        }
    }

    /// Counts the request if its latest attempt may be the first that ran.
    fn count_usage(&self) {
        if let Some(sent_at) = self.sent_at.take()
            && self.executions == 0
        {
            self.gateway.count_usage(&self.job, sent_at);
        }
    }

    fn record_outcome(&self, target: &Target, failed: bool) {
        self.gateway.fleet().borrow_mut().record_outcome(&target.id, failed);
    }

    fn stops_before_response(&self) -> bool {
        let objective = self.job.route.objective;
        self.gateway.stops_before_response(&self.job.service, objective)
    }
}

impl Drop for Exchange<'_> {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        self.count_usage();
        Event::ClientLeft {
            request: &self.job.metadata.id,
            route: &self.job.route.name,
            took_ms: self.job.took_ms(self.gateway),
            what: "the client disconnected before the response was complete; the request to the target is cancelled",
        }
        .log();
    }
}

/// Returns whether a status tells the client that the request did not run.
pub(crate) fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
