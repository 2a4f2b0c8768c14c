//! The orders that a host knows, with their trials.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::dissemination::MIN_HOSTS_FOR_RELAYS;
use crate::duration::millis;
use crate::event::Event;
use crate::rollout::{Order, Relation, State};
use crate::target::Target;
use crate::trial::{Exposure, Latency, Observation, Outcome, Trial};
use crate::trial_contact::observation_interval;
use crate::versions::Versions;

/// How long hosts announce a verdict. After this time peers can read it from the store.
const VERDICT_ANNOUNCEMENT_DURATION: Duration = Duration::from_secs(5);
/// How long after a pause of the process failures may still be its consequence.
const FAILURE_DELAY: Duration = Duration::from_secs(1);

/// The time before a trial is due in which many hosts send their last observations.
const LAST_OBSERVATIONS_DURATION: Duration = Duration::from_millis(500);

/// The trials of all orders by service, each with the time of its verdict at this host.
#[derive(Debug)]
pub struct Rollouts {
    exposure: Exposure,
    trials: BTreeMap<String, (Trial, Option<Instant>)>,
    /// The revision of the store up to which all orders are known.
    revision: Option<u64>,
    /// When the last pause of the process ended.
    resumed_at: Option<Instant>,
    next_wait: u64,
    /// Identifies this process to its peers.
    process: u64,
    random: SmallRng,
}

impl Rollouts {
    /// Creates an empty table with the seed for random choices.
    pub fn new(exposure: Exposure, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        Self {
            exposure,
            trials: BTreeMap::new(),
            revision: None,
            resumed_at: None,
            next_wait: 0,
            process: random.random(),
            random,
        }
    }

    /// Adds an order, or merges it with what is known of it. An order that was replaced or removed is ignored.
    ///
    /// All orders pass here, whether the store or a peer sent them. `versions` are those of the service's targets.
    pub fn put(&mut self, now: Instant, mut order: Order, versions: BTreeSet<String>) {
        match self.trials.get_mut(&order.service) {
            Some((trial, _)) => match trial.order().relation(&order) {
                Relation::Earlier => return,
                Relation::Same => return trial.update(order, versions),
                Relation::Later => {
                    let rejected = trial.rejected_versions().into_iter();
                    order
                        .rejected
                        .extend(rejected.filter(|version| versions.contains(version)));
                }
            },
            None if self.revision.is_some_and(|revision| order.revision <= revision) => return,
            None => {}
        }
        order.rejected.remove(&order.version);
        Event::RolloutOrdered {
            service: &order.service,
            version: &order.version,
            duration_ms: millis(order.duration),
            state: order.state.name(),
            revision: order.revision,
            what: "a service is to move to targets of another version",
        }
        .log();
        let service = order.service.clone();
        let trial = Trial::new(order, now, versions)
            .with_rounding(self.random.random())
            .with_process(self.process);
        self.trials.insert(service, (trial, None));
    }

    /// Removes the order of a service that the store did not have at a revision.
    pub fn remove(&mut self, service: &str, revision: u64) {
        let is_older = |(trial, _): &(Trial, Option<Instant>)| trial.order().revision <= revision;
        if self.trials.get(service).is_some_and(is_older) {
            self.trials.remove(service);
        }
    }

    /// Removes the orders that are missing from the list of all orders at a revision.
    pub fn retain(&mut self, listed: &BTreeSet<String>, revision: u64) {
        let missing = self.trials.keys().filter(|service| !listed.contains(*service));
        for service in missing.cloned().collect::<Vec<_>>() {
            self.remove(&service, revision);
        }
    }

    /// Records that all orders are known up to a revision of the store.
    pub fn set_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(Some(revision));
    }

    /// Returns the revision of the store up to which all orders are known; `None` if the orders were read neither from
    /// the store nor from a peer.
    pub(crate) fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Returns the orders, for hosts that lack them.
    pub fn orders(&self) -> Vec<Order> {
        self.trials.values().map(|(trial, _)| trial.order().clone()).collect()
    }

    /// Returns whether any trial is in progress, any verdict is being announced or any state is not written yet.
    pub fn is_busy(&self, now: Instant) -> bool {
        let mut trials = self.trials.values();
        trials.any(|(trial, decided_at)| {
            let is_announced = decided_at.is_some_and(|at| now.since(at) < VERDICT_ANNOUNCEMENT_DURATION);
            !trial.order().state.is_final() || is_announced
        })
    }

    /// Counts a new request to a service with an order and returns the versions that may take it.
    pub fn versions(&mut self, now: Instant, service: &str, hosts: impl FnOnce() -> usize) -> Option<Versions> {
        let (trial, _) = self.trials.get_mut(service)?;
        Some(trial.versions(now, self.exposure, hosts()))
    }

    /// Returns the versions for retries and copies, which are not part of a trial.
    pub fn stable_versions(&self, service: &str) -> Versions {
        let trial = self.trials.get(service);
        trial.map_or(Versions::Any, |(trial, _)| trial.stable_versions())
    }

    /// Counts a request that is sent to a target of a version.
    pub fn record_sent(&mut self, service: &str, version: &str) {
        if let Some((trial, _)) = self.trials.get_mut(service)
            && trial.is_new(version)
        {
            trial.record_exposed();
        }
    }

    /// Counts the outcome of a request at a target of a version.
    pub fn record_outcome(&mut self, now: Instant, service: &str, route: &str, version: &str, outcome: Outcome) {
        if self.spans_pause(now, outcome) {
            return;
        }
        if let Some((trial, _)) = self.trials.get_mut(service) {
            trial.record(route, version, outcome);
        }
    }

    /// Adds the latency of a request that is counted already to the baseline.
    pub fn record_baseline(&mut self, now: Instant, service: &str, route: &str, version: &str, outcome: Outcome) {
        if self.spans_pause(now, outcome) {
            return;
        }
        if let Some((trial, _)) = self.trials.get_mut(service) {
            trial.record_baseline(route, version, outcome);
        }
    }

    /// Starts to wait for the latency of a request at a target. Returns the id of the wait if there is a trial.
    pub fn start_wait(&mut self, now: Instant, route: &str, target: &Target, latency: Latency) -> Option<u64> {
        let (trial, _) = self.trials.get_mut(&target.service)?;
        let id = self.next_wait;
        self.next_wait += 1;
        trial.start_wait(id, now, route, &target.version, latency);
        Some(id)
    }

    /// Ends a wait and returns whether the request is counted already.
    pub fn end_wait(&mut self, service: &str, id: u64) -> bool {
        let trial = self.trials.get_mut(service);
        trial.is_some_and(|(trial, _)| trial.end_wait(id))
    }

    /// Merges the order, the state and the counts of a peer. Returns whether the state of the trial has changed.
    pub fn merge_peer(
        &mut self,
        now: Instant,
        peer: &str,
        observation: Observation,
        versions: BTreeSet<String>,
    ) -> bool {
        let before = self.state(&observation.order.service);
        self.put(now, observation.order.clone(), versions);
        let service = observation.order.service.clone();
        if let Some((trial, _)) = self.trials.get_mut(&service) {
            trial.merge_peer(now, peer, observation);
        }
        self.state(&service) != before
    }

    /// Returns the state of a service's order.
    pub fn state(&self, service: &str) -> Option<State> {
        self.trials.get(service).map(|(trial, _)| trial.state())
    }

    /// Makes the trials wait for the peers, because the process was paused.
    pub fn resume(&mut self, now: Instant) {
        self.resumed_at = Some(now);
        self.trials.values_mut().for_each(|(trial, _)| trial.lose_contact(now));
    }

    /// Decides on the trials and returns what is to be announced to peers.
    pub fn decide(&mut self, now: Instant, live_hosts: usize) -> Vec<Observation> {
        let mut observations = Vec::new();
        for (trial, decided_at) in self.trials.values_mut() {
            let state = trial.decide(now, live_hosts);
            if state.is_final() && decided_at.is_none() && !trial.order().state.is_final() {
                *decided_at = Some(now);
                log_verdict(trial, now);
            }
            let is_announced = decided_at.is_some_and(|at| now.since(at) < VERDICT_ANNOUNCEMENT_DURATION);
            if !trial.order().state.is_final() || is_announced {
                observations.push(trial.observation(now));
            }
        }
        observations
    }

    /// Returns the time until the next decision on the trials, after which the observations are sent.
    ///
    /// A host that writes verdicts to the store also decides when a trial is due, with the latest observations of the
    /// others. Many hosts send these at random times shortly before, because a burst of all of them would fill small links.
    pub fn pause_between_decisions(&mut self, now: Instant, live_hosts: usize, is_writer: bool) -> Duration {
        let interval = observation_interval(live_hosts);
        let Some(due) = self.time_to_verdict(now) else {
            return interval;
        };
        if is_writer || live_hosts < MIN_HOSTS_FOR_RELAYS {
            return due.min(interval);
        }
        let ahead = LAST_OBSERVATIONS_DURATION.mul_f64(self.random.random());
        match due.checked_sub(ahead) {
            Some(pause) if due > LAST_OBSERVATIONS_DURATION => pause.min(interval),
            _ => interval,
        }
    }

    /// Returns the time until the next trial is due for a verdict, if there is one.
    fn time_to_verdict(&self, now: Instant) -> Option<Duration> {
        let trials = self.trials.values().map(|(trial, _)| trial);
        let open = trials.filter(|trial| !trial.state().is_final());
        let times = open.map(|trial| trial.time_to_verdict(now));
        times.filter(|time| !time.is_zero()).min()
    }

    /// Returns the orders whose state is not written to the store yet, with that state.
    pub fn unwritten(&self) -> Vec<(Order, State)> {
        let trials = self.trials.values().map(|(trial, _)| trial);
        let unwritten = trials.filter_map(|trial| Some((trial.order().clone(), trial.unwritten()?)));
        unwritten.collect()
    }

    /// Returns whether an outcome is that of a request which was open during a pause of the process.
    fn spans_pause(&self, now: Instant, outcome: Outcome) -> bool {
        let min_age = outcome.duration().unwrap_or(FAILURE_DELAY);
        self.resumed_at
            .is_some_and(|resumed_at| now.since(resumed_at) < min_age)
    }
}

fn log_verdict(trial: &Trial, now: Instant) {
    let (order, total) = (trial.order(), trial.total());
    Event::RolloutDecided {
        service: &order.service,
        version: &order.version,
        state: trial.state().name(),
        old: total.old.of,
        old_bad: total.old.bad,
        new: total.new.of,
        new_bad: total.new.bad,
        age_ms: millis(trial.age(now)),
        what: "the trial of a version has ended",
    }
    .log();
}
