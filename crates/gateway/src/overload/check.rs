//! The decision on a request while a service is overloaded.

use std::time::Duration;

use hawthornpost_core::limit_level::{self, Demand};

use crate::config::Kind;
use crate::duration::millis;
use crate::event::Event;
use crate::fleet::{Criteria, Forecast, Need};
use crate::gateway::Gateway;
use crate::job::Job;
use crate::overload::bound::Urgency;
use crate::target::Target;

/// All accounts have the same weight, as the configuration has none.
const WEIGHT: u32 = 1;
/// The number of engines that are chosen at random to find the expected time of a stream.
const CHOICES: usize = 2;
/// The work of a call. Its time is not known before it runs.
const CALL_WORK: f64 = 1.0;
/// The reason to refuse a request that ranks above the level.
const ABOVE_LEVEL: &str = "the service is overloaded and requests that rank before this one fill it";
/// The reason to refuse a stream that would wait longer than its bound.
const ABOVE_BOUND: &str = "the engines are overloaded and the stream would wait too long for its first event";
/// The reason to refuse a request that would end too late.
const TOO_LATE: &str = "the service is overloaded and would not serve the request within its deadline";

/// The refusal of a request because its service is overloaded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    /// The reason for the log.
    pub reason: &'static str,
    /// The time after which the caller may return.
    pub retry_after: Duration,
}

impl Gateway {
    /// Decides whether a request runs now. Without `admission` in the settings all do.
    ///
    /// # Errors
    ///
    /// Fails when the request would wait longer than its service allows, or cannot be served within its deadline.
    pub(crate) fn check_overload(&self, job: &Job) -> Result<(), Refusal> {
        if !self.limits().admission {
            return Ok(());
        }
        match job.route.kind {
            Kind::Streaming => self.check_stream(job),
            Kind::Idempotent | Kind::NonIdempotent => self.check_call(job),
        }
    }

    fn check_stream(&self, job: &Job) -> Result<(), Refusal> {
        let now = self.now();
        let Some(forecast) = self.forecast_stream(job) else {
            return Ok(());
        };
        let time_left = job.time_left(self);
        let mut overload = self.overload().borrow_mut();
        let route = Urgency {
            priority: job.route.priority,
            objective: job.route.objective,
        };
        let bound = overload.service(&job.service).bound();
        let (excess, reason) = if let Err(excess) = bound.admit(now, &demand(job), route, forecast) {
            (excess, ABOVE_BOUND)
        } else if forecast.is_queueing() && forecast.expected + forecast.remaining > time_left {
            bound.record_refusal(now);
            let end = forecast.expected + forecast.remaining;
            (end.saturating_sub(time_left), TOO_LATE)
        } else {
            return Ok(());
        };
        log(job, Some(forecast), None, reason);
        // A caller may return after the timeout of the route, until its own deadline.
        let return_within = job.metadata.deadline.unwrap_or(time_left);
        Err(Refusal {
            reason,
            retry_after: bound.retry_after(now, excess, return_within, rand::random()),
        })
    }

    fn check_call(&self, job: &Job) -> Result<(), Refusal> {
        let now = self.now();
        let forecast = self.overload().borrow_mut().service(&job.service).waits().forecast(now);
        let time_left = job.time_left(self);
        // A caller may return after the timeout of the route, until its own deadline.
        let return_within = job.metadata.deadline.unwrap_or(time_left);
        let mut overload = self.overload().borrow_mut();
        let service = overload.service(&job.service);
        service.record_objective(now, job.route.objective);
        let was_lowered = service.own_level(now) < 1.0;
        service.observe(now, forecast.unwrap_or_default());
        if !was_lowered && service.own_level(now) < 1.0 {
            self.peers().wake_loads();
        }
        let random = rand::random();
        if let Err(refusal) = service.admit(now, &demand(job), return_within, random) {
            log(job, forecast, Some(refusal), ABOVE_LEVEL);
            return Err(Refusal {
                reason: ABOVE_LEVEL,
                retry_after: refusal.retry_after,
            });
        }
        let is_late = forecast.is_some_and(|forecast| forecast.expected > time_left && forecast.is_queueing());
        if is_late {
            log(job, forecast, None, TOO_LATE);
            return Err(Refusal {
                reason: TOO_LATE,
                retry_after: service.retry_after(now, return_within, random),
            });
        }
        Ok(())
    }

    /// Returns whether the service is overloaded, so that a second attempt would take the room of another request.
    pub(crate) fn is_overloaded(&self, service: &str) -> bool {
        if !self.limits().admission {
            return false;
        }
        let now = self.now();
        let mut overload = self.overload().borrow_mut();
        let service = overload.service(service);
        service.bound().is_refusing(now) || service.level(now) < 1.0
    }

    /// Records the response of a target to a call, with the load that the target reported in it.
    pub(crate) fn record_call(&self, service: &str, target: &Target, took: Duration) {
        if !self.limits().admission {
            return;
        }
        let report = self.fleet().borrow().latest_report(&target.id);
        let mut overload = self.overload().borrow_mut();
        let service = overload.service(service);
        service.record_completed(self.now(), CALL_WORK);
        service.waits().record(self.now(), &target.id, took, report);
    }

    /// Records that a full target refused a request.
    pub(crate) fn record_full(&self, service: &str) {
        if !self.limits().admission {
            return;
        }
        let mut overload = self.overload().borrow_mut();
        overload.service(service).waits().record_refusal(self.now());
    }

    /// Returns the expected time to the first event at the engine that a stream would get.
    fn forecast_stream(&self, job: &Job) -> Option<Forecast> {
        let need = Need {
            prompt_tokens: job.metadata.prompt_tokens,
            memory_tokens: job.metadata.prompt_tokens + job.metadata.output_tokens,
            capacity: self
                .table()
                .engine(&job.service)
                .map_or(u64::MAX, |engine| engine.memory_tokens),
        };
        let criteria = Criteria {
            service: &job.service,
            versions: &self.stable_versions(&job.service),
            excluded: &[],
        };
        let mut fleet = self.fleet().borrow_mut();
        // The choice is random among several engines. The better of two avoids a refusal because the first one is busy.
        let forecasts = (0..CHOICES).filter_map(|_| {
            let target = fleet.choose_stream(self.now(), criteria, need)?;
            fleet.stream_forecast(&target.id, need)
        });
        forecasts.min_by_key(|forecast| forecast.expected)
    }
}

fn demand(job: &Job) -> Demand<'_> {
    let work = match job.route.kind {
        Kind::Streaming => (job.metadata.prompt_tokens + job.metadata.output_tokens).max(1) as f64,
        Kind::Idempotent | Kind::NonIdempotent => CALL_WORK,
    };
    Demand {
        account: job.account_name(),
        weight: WEIGHT,
        priority: job.priority(),
        work,
    }
}

fn log(job: &Job, forecast: Option<Forecast>, refusal: Option<limit_level::Refusal>, reason: &'static str) {
    Event::Shed {
        request: &job.metadata.id,
        service: &job.service,
        account: job.account_name(),
        priority: job.priority(),
        level: refusal.map_or(1.0, |refusal| refusal.level),
        excess: refusal.map_or(1.0, |refusal| refusal.rank.excess),
        expected_ms: forecast.map_or(0, |forecast| millis(forecast.expected)),
        reason,
        what: "a request is refused because its service is overloaded",
    }
    .log();
}
