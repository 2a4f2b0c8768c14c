//! Orders targets while this host holds the duty.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;

use crate::config::{Config, Service};
use crate::duty::Fence;
use crate::event::Event;
use crate::gateway::Gateway;
use crate::metric;
use crate::platform::{Failure, Platform};
use crate::scaling::bounds::{self, Bounds};
use crate::scaling::{Hold, Planner, Proposal, Sample, View};

/// The interval at which demand is sampled and decisions are made.
const INTERVAL: Duration = Duration::from_millis(500);

/// The task that samples the demand and sends orders.
struct Runner<P> {
    gateway: Rc<Gateway>,
    platform: Rc<P>,
    /// What this host knows as the holder; `None` while it is not.
    view: Option<View>,
    planners: BTreeMap<String, Planner>,
    /// The bounds that were reported as invalid, by service.
    invalid: HashMap<String, bounds::Error>,
    last_pause: Option<Instant>,
    last_hold: Option<Hold>,
}

/// Starts the task.
pub(crate) fn start<P: Platform>(gateway: &Rc<Gateway>, platform: &Rc<P>) {
    let mut runner = Runner {
        gateway: Rc::clone(gateway),
        platform: Rc::clone(platform),
        view: None,
        planners: BTreeMap::new(),
        invalid: HashMap::new(),
        last_pause: None,
        last_hold: None,
    };
    tokio::task::spawn_local(async move { runner.run().await });
}

impl<P: Platform> Runner<P> {
    async fn run(&mut self) {
        loop {
            self.gateway.timer().sleep(INTERVAL).await;
            let pause = self.gateway.timer().last_pause();
            let was_paused = pause != self.last_pause;
            self.last_pause = pause;
            if was_paused || !self.gateway.is_duty_holder() {
                self.forget();
                continue;
            }
            if let Some(config) = self.gateway.config() {
                self.sample(&config);
                self.decide().await;
            }
        }
    }

    /// Drops what a holder knows. A later tenure begins with what the store and the peers show then.
    fn forget(&mut self) {
        self.view = None;
        self.planners.clear();
    }

    /// Records the state of all services with valid bounds.
    fn sample(&mut self, config: &Config) {
        let now = self.gateway.now();
        let peers = self.gateway.peers();
        let is_outdated = peers.with_newer_targets(self.gateway.fleet_revision()).is_some();
        let view = self.view.get_or_insert_with(|| View::new(now));
        view.record(now, peers.live_hosts(), is_outdated);
        self.planners.retain(|name, _| {
            let mut services = config.services.iter();
            services.any(|service| service.name == *name && service.scaling.is_some())
        });
        let data_centres = self.data_centres();
        for service in &config.services {
            if let Some(bounds) = self.bounds(service) {
                let sample = self.read(now, service, &data_centres);
                let planner = self.planners.entry(service.name.clone());
                let planner = planner.or_insert_with(|| Planner::new(bounds));
                if planner.bounds() != bounds {
                    *planner = Planner::new(bounds);
                }
                planner.record(now, &sample);
            }
        }
    }

    /// Returns the bounds of a service; invalid ones are logged once.
    fn bounds(&mut self, service: &Service) -> Option<Bounds> {
        let error = match Bounds::new(service.scaling?) {
            Ok(bounds) => {
                self.invalid.remove(&service.name);
                return Some(bounds);
            }
            Err(error) => error,
        };
        self.planners.remove(&service.name);
        if self.invalid.insert(service.name.clone(), error) != Some(error) {
            Event::BoundsInvalid {
                service: &service.name,
                error: &error.to_string(),
                what: "the bounds on the number of targets of a service cannot be used; no targets are ordered for it",
            }
            .log();
        }
        None
    }

    /// Returns the data centres of all hosts.
    fn data_centres(&self) -> HashMap<String, String> {
        let members = self.gateway.peers().members().into_iter();
        let named = members.map(|member| (member.name.as_str().to_owned(), member.data_centre.as_str().to_owned()));
        named.collect()
    }

    fn read(&self, now: Instant, service: &Service, data_centres: &HashMap<String, String>) -> Sample {
        let mut requests = BTreeMap::new();
        let own = self.gateway.peers().name.as_str();
        for (host, rate) in self.gateway.budget().borrow_mut().request_rates(now, &service.name) {
            let data_centre = data_centres.get(host.unwrap_or(own)).cloned();
            *requests.entry(data_centre.unwrap_or_default()).or_insert(0.0) += rate;
        }
        Sample {
            targets: self.gateway.fleet().borrow().occupancies(now, &service.name),
            memory_tokens: service.engine.map(|engine| engine.memory_tokens),
            has_copies: service.engine.is_some_and(|engine| engine.backups),
            response_time: self.gateway.expected_response_time(&service.name),
            requests,
            is_rolling_out: self.gateway.rollouts().borrow().is_moving(&service.name),
        }
    }

    /// Sends the orders that the planners propose.
    async fn decide(&mut self) {
        let now = self.gateway.now();
        let hold = self.view.as_ref().and_then(|view| view.hold(now));
        self.log_hold(hold);
        if hold.is_some() {
            return;
        }
        let mut proposals = Vec::new();
        for (service, planner) in &self.planners {
            for (data_centre, place) in planner.places() {
                metric::set_present(service, data_centre, place.present());
            }
            proposals.extend(planner.propose(now, service));
        }
        for proposal in proposals {
            if !self.send(&proposal).await {
                return;
            }
        }
    }

    fn log_hold(&mut self, hold: Option<Hold>) {
        if hold == self.last_hold {
            return;
        }
        self.last_hold = hold;
        Event::OrdersHeld {
            reason: hold.map_or("none", Hold::name),
            what: "whether the holder orders targets has changed",
        }
        .log();
    }

    /// Sends an order; returns whether the platform accepted it. One that it did not accept is proposed again.
    async fn send(&mut self, proposal: &Proposal) -> bool {
        let Some(fence) = self.gateway.begin_duty_call().await else {
            return false;
        };
        let call = self.platform.order_targets(&fence, &proposal.order);
        let result = self
            .gateway
            .timer()
            .timeout(self.gateway.duty_call_timeout(), call)
            .await;
        let result = result.unwrap_or_else(|| Err(Failure::Unavailable("no answer in time".to_owned())));
        let is_answered = result.as_ref().err().is_none_or(Failure::is_answer);
        self.gateway.record_duty_call(is_answered);
        let order = &proposal.order;
        let is_accepted = result.is_ok();
        if is_accepted && let Some(planner) = self.planners.get_mut(&order.service) {
            planner.confirm(self.gateway.now(), order);
        }
        let outcome = result
            .err()
            .map_or_else(|| metric::OUTCOME_ACCEPTED.to_owned(), |error| error.to_string());
        log_order(proposal, &fence, &outcome);
        is_accepted
    }
}

fn log_order(proposal: &Proposal, fence: &Fence, outcome: &str) {
    let order = &proposal.order;
    Event::TargetsOrdered {
        service: &order.service,
        data_centre: &order.data_centre,
        targets: order.targets,
        before: proposal.before,
        present: proposal.present,
        reason: proposal.reason.name(),
        demand: proposal.demand,
        peak: proposal.peak,
        forecast: proposal.forecast,
        fence: fence.number,
        outcome,
        what: "targets of a service were ordered in a data centre",
    }
    .log();
}
