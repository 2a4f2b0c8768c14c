//! The trial of a new version of a service: its share of the traffic, the outcomes at all hosts, and the verdict.
//!
//! An operator orders that a service moves to targets of another version within a time. All hosts count the outcomes of
//! requests at both versions and exchange the counts. Until the verdict the new version gets a small share of the
//! requests, at few of its targets, so that each of these has the load that it would have afterwards.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::rollout::Pair;

use crate::baseline::Baseline;
use crate::duration::millis;
use crate::rollout::{Order, Relation, State};
use crate::trial_contact::Contact;
pub use crate::trial_evidence::{Counts, Evidence, Latency, RouteCounts};
use crate::trial_history::{COMPLETION_FALSE_ALARMS, History, ROLLBACK_FALSE_ALARMS, Totals};
pub use crate::trial_observation::Observation;
use crate::trial_open::Wait;
pub use crate::trial_outcome::{Outcome, SAMPLED_INTERVALS};
use crate::trial_peers::PeerEvidence;
use crate::versions::Versions;

/// The share of the allowed exposure that a trial uses at its start. The rest absorbs requests that are counted elsewhere,
/// and those between the verdict and the deadline.
const MIN_USABLE_SHARE: f64 = 0.6;
/// The share at the deadline. Most of the exposure is used late, because a version that turns bad late has to show it in
/// the little time that is left.
const MAX_USABLE_SHARE: f64 = 0.9;
/// The fraction of an order's duration for which a host has to hear of its peers before it completes the order. What it
/// knew before it lost contact says nothing of the version since then.
const MIN_CONTACT_FRACTION: f64 = 0.25;
/// The time before the deadline at which a good version replaces the old one. The old targets stop as soon as the order
/// is complete, so an earlier verdict would cost more and have less evidence.
const DECISION_MARGIN: Duration = Duration::from_millis(500);
/// The number of outcomes of the new version below which there is no evidence for it.
const MIN_OUTCOMES: u64 = 6;
/// How long the same targets of the new version get the traffic of the trial. A single faulty target must not decide
/// the verdict on the version.
const ROTATION_INTERVAL: Duration = Duration::from_secs(3);
/// A response that takes this multiple of the baseline is slow.
const SLOW_FACTOR: f64 = 2.0;

/// The maximum traffic for a version that may be bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exposure {
    /// The share of all requests of the service.
    pub share: f64,
    /// The requests beyond that share, for all hosts together.
    pub slack: f64,
}

/// The trial of one version.
#[derive(Debug)]
pub struct Trial {
    /// The order, with the state that the store holds.
    order: Order,
    /// The verdict of this host and its peers, which counts until the store holds one.
    verdict: State,
    /// When this host received the order, and for how long other hosts had known it then.
    received_at: Instant,
    known_before: Duration,
    contact: Contact,
    /// Whether this host knows the trial as its peers do: it saw the trial begin, or heard of enough hosts lately.
    is_current: bool,
    /// When this host last lacked contact with its peers.
    lost_contact_at: Option<Instant>,
    /// Whether this host sends no requests to the new version, because its state may be outdated or the version fails.
    is_suspended: bool,
    /// The versions that the service had when the order was received.
    initial_versions: BTreeSet<String>,
    /// Requests to the service at this host, and how many of them went to the new version.
    requests: u64,
    exposed: u64,
    /// The part of a request, below one, by which this host may exceed its share of the exposure.
    rounding: f64,
    /// Identifies this process to its peers.
    process: u64,
    own_evidence: Evidence,
    peer_evidence: PeerEvidence,
    history: History,
    waits: HashMap<u64, Wait>,
}

impl Trial {
    /// Creates the trial of an order. `initial_versions` are the versions of the service's targets.
    pub fn new(order: Order, now: Instant, initial_versions: BTreeSet<String>) -> Self {
        Self {
            verdict: State::InProgress,
            received_at: now,
            known_before: Duration::ZERO,
            contact: Contact::default(),
            // Others may have ended a trial that this host did not see begin.
            is_current: order.is_new,
            lost_contact_at: None,
            is_suspended: !order.is_new,
            initial_versions: initial_versions
                .into_iter()
                .filter(|version| *version != order.version)
                .collect(),
            history: History::new(order.duration),
            order,
            requests: 0,
            exposed: 0,
            rounding: 0.0,
            process: 0,
            own_evidence: Evidence::default(),
            peer_evidence: PeerEvidence::default(),
            waits: HashMap::new(),
        }
    }

    /// Sets the part of a request, below one, by which this host may exceed its share of the exposure. With a random part
    /// at each host, many hosts together use the exposure even if the share of each is below one request.
    #[must_use]
    pub fn with_rounding(mut self, rounding: f64) -> Self {
        self.rounding = rounding;
        self
    }

    /// Sets the number by which peers tell the counts of this process from those of an earlier one on this host.
    #[must_use]
    pub fn with_process(mut self, process: u64) -> Self {
        self.process = process;
        self
    }

    /// Returns the order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Returns the state: the final one of the store, or the verdict, which may not be written yet.
    pub fn state(&self) -> State {
        if self.order.state.is_final() {
            self.order.state
        } else {
            self.verdict
        }
    }

    /// Merges another copy of the order. `versions` are those of the service's targets now, of which some may have
    /// appeared since the order was received.
    pub fn update(&mut self, order: Order, versions: BTreeSet<String>) {
        self.order.merge(order);
        if self.state() == State::InProgress {
            let others = versions.into_iter().filter(|version| *version != self.order.version);
            self.initial_versions.extend(others);
        }
    }

    /// Returns the versions that a later order for another version has to keep out of use.
    pub fn rejected_versions(&self) -> BTreeSet<String> {
        let mut rejected = self.order.rejected.clone();
        if self.state() != State::Completed {
            rejected.insert(self.order.version.clone());
        }
        rejected
    }

    /// Makes the trial wait for its peers, because the process was paused: they may have ended it, and requests that
    /// were open seem slow.
    pub fn lose_contact(&mut self, now: Instant) {
        self.lost_contact_at = Some(now);
        self.contact.lose();
        self.is_current = false;
        self.is_suspended = true;
        self.waits.values_mut().for_each(|wait| wait.is_counted = true);
    }

    /// Returns the state to write to the store, which holds none of this order or not a final one. A host that may not
    /// know of the latest results writes no verdict.
    pub fn unwritten(&self) -> Option<State> {
        let state = self.state();
        let may_write = if state.is_final() {
            !self.order.state.is_final() && self.is_current
        } else {
            self.order.is_new
        };
        may_write.then_some(state)
    }

    /// Counts a new request and returns the versions that may take it.
    pub fn versions(&mut self, now: Instant, exposure: Exposure, hosts: usize) -> Versions {
        self.requests += 1;
        match self.state() {
            State::InProgress if !self.is_suspended => {}
            State::InProgress | State::Completed | State::RolledBack => return self.stable_versions(),
        }
        let elapsed = self.age(now).as_secs_f64() / self.order.duration.as_secs_f64().max(1.0);
        let elapsed = elapsed.min(1.0);
        let slack = exposure.slack / hosts.max(1) as f64 * elapsed;
        let usable = (MAX_USABLE_SHARE - MIN_USABLE_SHARE).mul_add(elapsed, MIN_USABLE_SHARE);
        let max_exposed = usable * exposure.share.mul_add(self.requests as f64, slack);
        if self.exposed as f64 + 1.0 > max_exposed + self.rounding {
            return self.stable_versions();
        }
        let rotation = self.age(now).as_millis() / ROTATION_INTERVAL.as_millis();
        Versions::Only {
            version: self.order.version.clone(),
            // With more requests than the share, which the slack allows, fewer targets would be overloaded.
            share: (max_exposed / self.requests as f64).clamp(exposure.share, 1.0),
            rotation: usize::try_from(rotation).unwrap_or_default(),
        }
    }

    /// Returns the versions for work that must not use the version on trial: retries and copies of streams.
    pub fn stable_versions(&self) -> Versions {
        let mut excluded = self.order.rejected.clone();
        match self.state() {
            State::Completed => excluded.extend(self.initial_versions.iter().cloned()),
            State::InProgress | State::RolledBack => {
                excluded.insert(self.order.version.clone());
            }
        }
        Versions::Except(excluded)
    }

    /// Counts a request that went to the new version.
    pub fn record_exposed(&mut self) {
        self.exposed += 1;
    }

    /// Returns whether this is the version on trial.
    pub fn is_new(&self, version: &str) -> bool {
        self.order.version == version
    }

    /// Counts the outcome of a request at a target of a version.
    pub fn record(&mut self, route: &str, version: &str, outcome: Outcome) {
        if self.order.state.is_final() {
            return;
        }
        let is_bad = outcome
            .latency()
            .is_none_or(|(latency, took)| self.is_slow(route, latency, took));
        self.record_baseline(route, version, outcome);
        let kind = outcome.latency().map_or(Latency::Response, |(latency, _)| latency);
        self.count(kind, route, self.is_new(version), is_bad);
    }

    /// Adds the latency of a request that is counted already to the baseline.
    pub fn record_baseline(&mut self, route: &str, version: &str, outcome: Outcome) {
        if self.is_new(version) {
            return;
        }
        if let Some((latency, took)) = outcome.latency() {
            let counts = self.own_evidence.routes_mut(latency).entry(route.to_owned());
            counts.or_default().baseline.record(took);
        }
    }

    fn count(&mut self, kind: Latency, route: &str, is_new: bool, is_bad: bool) {
        let counts = self.own_evidence.routes_mut(kind).entry(route.to_owned());
        let counts = counts.or_default();
        if is_new {
            counts.new += 1;
            counts.new_bad += u64::from(is_bad);
        } else {
            counts.old += 1;
            counts.old_bad += u64::from(is_bad);
        }
    }

    /// Starts to wait for the latency of a request at a target of a version. A wait that becomes slow is counted before
    /// it ends.
    pub fn start_wait(&mut self, id: u64, now: Instant, route: &str, version: &str, latency: Latency) {
        let wait = Wait {
            route: route.to_owned(),
            is_new: self.is_new(version),
            latency,
            since: now,
            is_counted: false,
        };
        self.waits.insert(id, wait);
    }

    /// Ends a wait and returns whether the request is counted already.
    pub fn end_wait(&mut self, id: u64) -> bool {
        self.waits.remove(&id).is_some_and(|wait| wait.is_counted)
    }

    /// Counts the requests that have waited for so long that they are slow whenever they end.
    fn count_slow_waits(&mut self, now: Instant) {
        let is_slow = |wait: &Wait| self.is_slow(&wait.route, wait.latency, wait.min_latency(now));
        let open = self.waits.iter().filter(|(_, wait)| !wait.is_counted);
        let slow = open.filter(|(_, wait)| is_slow(wait)).map(|(id, _)| *id);
        for id in slow.collect::<Vec<_>>() {
            let Some(wait) = self.waits.get_mut(&id) else {
                continue;
            };
            wait.is_counted = true;
            let (kind, route, is_new) = (wait.latency, wait.route.clone(), wait.is_new);
            self.count(kind, &route, is_new, true);
        }
    }

    fn is_slow(&self, route: &str, latency: Latency, took: Duration) -> bool {
        let mean = self.baseline(route, latency).mean();
        mean.is_some_and(|mean| took > mean.mul_f64(SLOW_FACTOR))
    }

    /// Returns the baseline of a route from all hosts, as a single one may see few requests during a trial.
    fn baseline(&self, route: &str, latency: Latency) -> Baseline {
        let mut all = Baseline::default();
        for evidence in self.evidence() {
            if let Some(counts) = evidence.routes(latency).get(route) {
                all.add(counts.baseline);
            }
        }
        all
    }

    /// Returns the evidence of all hosts.
    fn evidence(&self) -> impl Iterator<Item = &Evidence> {
        self.peer_evidence.iter().chain([&self.own_evidence])
    }

    /// Returns the time since the first host received the order.
    pub fn age(&self, now: Instant) -> Duration {
        now.since(self.received_at) + self.known_before
    }

    /// Returns the state and the counts of this host, for its peers.
    pub fn observation(&self, now: Instant) -> Observation {
        Observation {
            order: self.order.clone(),
            state: self.state(),
            age_ms: millis(self.age(now)),
            is_current: self.is_current,
            process: self.process,
            evidence: self.own_evidence.clone(),
        }
    }

    /// Merges the state and the counts of a peer. If the peer knew the order earlier, its time is used.
    pub fn merge_peer(&mut self, now: Instant, peer: &str, observation: Observation) {
        if self.order.relation(&observation.order) != Relation::Same {
            return;
        }
        let age = Duration::from_millis(observation.age_ms);
        // Datagrams that arrived during a pause are read after it.
        let is_recent = age + self.contact.heard_time() >= self.age(now);
        if is_recent {
            self.contact.record(peer, now);
        }
        if observation.is_current {
            self.known_before += age.saturating_sub(self.age(now));
        }
        if (is_recent && observation.is_current) || observation.state == State::RolledBack {
            self.verdict = self.verdict.max(observation.state);
        }
        self.peer_evidence.put(peer, observation.process, observation.evidence);
    }

    /// Returns the outcomes of all hosts, by kind and route and for each kind.
    fn totals(&self) -> Totals {
        let mut totals = Totals::new();
        for kind in Latency::ALL {
            for (route, counts) in self.evidence().flat_map(|evidence| evidence.routes(kind)) {
                for group in [(kind, Some(route.clone())), (kind, None)] {
                    let total = totals.entry(group).or_default();
                    *total = total.plus(counts.rates());
                }
            }
        }
        totals
    }

    /// Returns the outcomes of all hosts, kinds and routes.
    pub fn total(&self) -> Pair {
        sum(&self.totals())
    }

    /// Decides on the trial and returns the state. A bad version is rolled back at once, a good one replaces the old
    /// version shortly before the deadline, and one without enough outcomes by then is rolled back.
    ///
    /// A host that does not hear of enough of the `live_hosts` decides nothing and takes no part in the trial.
    pub fn decide(&mut self, now: Instant, live_hosts: usize) -> State {
        if self.order.state.is_final() {
            return self.order.state;
        }
        self.count_slow_waits(now);
        let totals = self.totals();
        let is_bad = self.history.is_bad(&totals, ROLLBACK_FALSE_ALARMS);
        self.history.record(self.age(now), &totals);
        self.is_current = self.contact.is_current(now, live_hosts);
        if self.is_current {
            self.verdict = self.verdict.max(self.judge(now, is_bad, &totals));
        }
        let has_begun = now.since(self.received_at) >= self.contact.heard_time();
        if !self.is_current && has_begun {
            self.lost_contact_at = Some(now);
        }
        self.is_suspended = is_bad || (!self.is_current && (self.is_suspended || has_begun));
        self.state()
    }

    fn judge(&self, now: Instant, is_bad: bool, totals: &Totals) -> State {
        let min_contact = self.order.duration.mul_f64(MIN_CONTACT_FRACTION);
        let has_contact = self.lost_contact_at.is_none_or(|at| now.since(at) >= min_contact);
        let is_due = self.time_to_verdict(now).is_zero() && has_contact;
        match (is_bad, is_due) {
            (true, _) => State::RolledBack,
            (false, false) => State::InProgress,
            (false, true) if sum(totals).new.of < MIN_OUTCOMES => State::RolledBack,
            (false, true) if self.history.is_bad(totals, COMPLETION_FALSE_ALARMS) => State::RolledBack,
            (false, true) => State::Completed,
        }
    }

    /// Returns the time until a good version replaces the old one.
    pub fn time_to_verdict(&self, now: Instant) -> Duration {
        self.order.duration.saturating_sub(self.age(now) + DECISION_MARGIN)
    }
}

/// Returns the sum over all kinds, each of which counts all routes together.
fn sum(totals: &Totals) -> Pair {
    let kinds = totals.iter().filter(|((_, route), _)| route.is_none());
    kinds.map(|(_, total)| *total).fold(Pair::default(), Pair::plus)
}
