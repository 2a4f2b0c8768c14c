//! The trial of a new version of a service: its share of the traffic, the outcomes at all hosts, and the verdict.
//!
//! An operator orders that a service moves to targets of another version within a time. All hosts count the outcomes of
//! requests at both versions and exchange the counts. Until the verdict the new version gets a small share of the
//! requests, at few of its targets, so that each of these has the load that it would have afterwards.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::rollout::{self, Rate};
use serde::{Deserialize, Serialize};

use crate::baseline::Baseline;
use crate::duration::millis;
use crate::rollout::{Order, State};
use crate::versions::Versions;

/// The share of the allowed exposure that a trial uses. The rest absorbs requests that are counted elsewhere, and those
/// between the verdict and the deadline.
const USABLE_SHARE: f64 = 0.7;
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
/// The number of intervals between events at the start of a stream that are one outcome.
pub const SAMPLED_INTERVALS: u32 = 32;
/// The share of bad outcomes below which a version is never rolled back. Servers also fail for reasons that do not
/// depend on the version.
const MIN_BAD_SHARE: f64 = 0.08;
/// The maximum number of peers whose counts are kept. The counts of a process that has ended stay valid.
const MAX_PEERS: usize = 1024;

/// The maximum traffic for a version that may be bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exposure {
    /// The share of all requests of the service.
    pub share: f64,
    /// The requests beyond that share, for all hosts together.
    pub slack: f64,
}

/// The counts of one route during a trial. The short field names keep messages small.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Outcomes of the old version.
    #[serde(rename = "o", default)]
    pub old: u64,
    /// Bad outcomes of the old version: failures and slow responses.
    #[serde(rename = "ob", default)]
    pub old_bad: u64,
    /// Outcomes of the new version.
    #[serde(rename = "n", default)]
    pub new: u64,
    /// Bad outcomes of the new version.
    #[serde(rename = "nb", default)]
    pub new_bad: u64,
    /// The latencies of the old version.
    #[serde(rename = "l", default, skip_serializing_if = "Baseline::is_empty")]
    pub baseline: Baseline,
}

/// The counts by route.
pub type RouteCounts = BTreeMap<String, Counts>;

/// The counts of one host. The kinds are apart because a slow version may be slow in one of them only.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Responses, first events of streams, and failures.
    #[serde(rename = "counts")]
    pub responses: RouteCounts,
    /// Intervals between events of streams.
    #[serde(default)]
    pub intervals: RouteCounts,
}

/// The state and the counts of a trial at one host, for its peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// The order.
    pub order: Order,
    /// The state of the order at that host, which is the verdict once there is one.
    pub state: State,
    /// The time since the host received the order, in milliseconds.
    pub age_ms: u64,
    /// The counts.
    #[serde(flatten)]
    pub evidence: Evidence,
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The target responded after this time. For a stream, it is the time to the first event.
    Responded(Duration),
    /// The first events of a stream, or all events of a short one, came with this mean interval.
    Streamed(Duration),
    /// It failed.
    Failed,
}

/// The kinds of latency that have a baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Latency {
    /// The time to the response, or to the first event of a stream.
    Response,
    /// The mean interval between events.
    EventInterval,
}

/// A request whose latency is not known yet.
#[derive(Debug)]
struct Wait {
    route: String,
    is_new: bool,
    latency: Latency,
    since: Instant,
    /// Whether it is counted already, as a slow request.
    is_counted: bool,
}

/// The trial of one version.
#[derive(Debug)]
pub struct Trial {
    order: Order,
    state: State,
    started: Instant,
    /// The versions that the service had when the order was received.
    initial_versions: BTreeSet<String>,
    /// Requests to the service at this host, and how many of them went to the new version.
    requests: u64,
    exposed: u64,
    /// The part of a request, below one, by which this host may exceed its share of the exposure.
    rounding: f64,
    own_evidence: Evidence,
    peer_evidence: HashMap<String, Evidence>,
    waits: HashMap<u64, Wait>,
}

impl Trial {
    /// Creates the trial of an order. `initial_versions` are the versions of the service's targets.
    pub fn new(order: Order, now: Instant, initial_versions: BTreeSet<String>) -> Self {
        Self {
            state: order.state,
            started: now,
            initial_versions: initial_versions
                .into_iter()
                .filter(|version| *version != order.version)
                .collect(),
            order,
            requests: 0,
            exposed: 0,
            rounding: 0.0,
            own_evidence: Evidence::default(),
            peer_evidence: HashMap::new(),
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

    /// Returns the order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Returns the state, which may not be written to the store yet.
    pub fn state(&self) -> State {
        self.state
    }

    /// Updates the order from the store. A verdict is final.
    pub fn update(&mut self, order: Order) {
        if self.state == State::InProgress {
            self.state = order.state;
        }
        self.order = order;
    }

    /// Counts a new request and returns the versions that may take it.
    pub fn versions(&mut self, now: Instant, exposure: Exposure, hosts: usize) -> Versions {
        self.requests += 1;
        match self.state {
            State::Completed => return Versions::Except(self.initial_versions.clone()),
            State::RolledBack => return self.stable_versions(),
            State::InProgress => {}
        }
        let elapsed_share = now.since(self.started).as_secs_f64() / self.order.duration.as_secs_f64().max(1.0);
        let slack = exposure.slack / hosts.max(1) as f64 * elapsed_share.min(1.0);
        let max_exposed = USABLE_SHARE * exposure.share.mul_add(self.requests as f64, slack);
        if self.exposed as f64 + 1.0 > max_exposed + self.rounding {
            return self.stable_versions();
        }
        let rotation = now.since(self.started).as_millis() / ROTATION_INTERVAL.as_millis();
        Versions::Only {
            version: self.order.version.clone(),
            // With more requests than the share, which the slack allows, fewer targets would be overloaded.
            share: (max_exposed / self.requests as f64).clamp(exposure.share, 1.0),
            rotation: usize::try_from(rotation).unwrap_or_default(),
        }
    }

    /// Returns the versions for work that must not use the version on trial: retries and copies of streams.
    pub fn stable_versions(&self) -> Versions {
        match self.state {
            State::Completed => Versions::Except(self.initial_versions.clone()),
            State::InProgress | State::RolledBack => Versions::Except([self.order.version.clone()].into()),
        }
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
        if self.state != State::InProgress {
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
        self.peer_evidence.values().chain([&self.own_evidence])
    }

    /// Returns the time since the order was received, in milliseconds.
    pub fn age_ms(&self, now: Instant) -> u64 {
        millis(now.since(self.started))
    }

    /// Returns the state and the counts of this host, for its peers.
    pub fn observation(&self, now: Instant) -> Observation {
        Observation {
            order: self.order.clone(),
            state: self.state,
            age_ms: self.age_ms(now),
            evidence: self.own_evidence.clone(),
        }
    }

    /// Merges the state and the counts of a peer. If the peer received the order earlier, its start is used.
    pub fn merge_peer(&mut self, now: Instant, peer: &str, observation: Observation) {
        if observation.order.version != self.order.version {
            return;
        }
        if self.state == State::InProgress {
            self.state = observation.state;
        }
        let age = Duration::from_millis(observation.age_ms);
        self.started = self
            .started
            .min(Instant::from_start(now.since_start().saturating_sub(age)));
        if self.peer_evidence.len() < MAX_PEERS || self.peer_evidence.contains_key(peer) {
            self.peer_evidence.insert(peer.to_owned(), observation.evidence);
        }
    }

    /// Returns the counts of one kind from all hosts by route.
    fn counts(&self, kind: Latency) -> BTreeMap<&str, Counts> {
        let mut sums = BTreeMap::<&str, Counts>::new();
        for (route, counts) in self.evidence().flat_map(|evidence| evidence.routes(kind)) {
            sums.entry(route).or_default().add(*counts);
        }
        sums
    }

    /// Returns the counts of all hosts, kinds and routes.
    pub fn total(&self) -> Counts {
        let counts = Latency::ALL
            .into_iter()
            .flat_map(|kind| self.counts(kind).into_values());
        Counts::sum(counts)
    }

    /// Returns whether the new version is worse, on a route or the whole service.
    fn is_bad(&self) -> bool {
        Latency::ALL.into_iter().any(|kind| {
            let counts = self.counts(kind);
            counts.values().any(Counts::is_bad) || Counts::sum(counts.into_values()).is_bad()
        })
    }

    /// Decides on the trial and returns the state. A bad version is rolled back at once, a good one replaces the old
    /// version shortly before the deadline, and one without enough outcomes by then is rolled back.
    pub fn decide(&mut self, now: Instant) -> State {
        if self.state != State::InProgress {
            return self.state;
        }
        self.count_slow_waits(now);
        let is_due = now.since(self.started) + DECISION_MARGIN >= self.order.duration;
        self.state = match (self.is_bad(), is_due) {
            (true, _) => State::RolledBack,
            (false, false) => State::InProgress,
            (false, true) if self.total().new < MIN_OUTCOMES => State::RolledBack,
            (false, true) => State::Completed,
        };
        self.state
    }
}

impl Latency {
    const ALL: [Self; 2] = [Self::Response, Self::EventInterval];
}

impl Evidence {
    fn routes(&self, kind: Latency) -> &RouteCounts {
        match kind {
            Latency::Response => &self.responses,
            Latency::EventInterval => &self.intervals,
        }
    }

    fn routes_mut(&mut self, kind: Latency) -> &mut RouteCounts {
        match kind {
            Latency::Response => &mut self.responses,
            Latency::EventInterval => &mut self.intervals,
        }
    }
}

impl Outcome {
    fn latency(self) -> Option<(Latency, Duration)> {
        match self {
            Self::Responded(took) => Some((Latency::Response, took)),
            Self::Streamed(interval) => Some((Latency::EventInterval, interval)),
            Self::Failed => None,
        }
    }
}

impl Wait {
    /// Returns the latency that the request has at least.
    fn min_latency(&self, now: Instant) -> Duration {
        let waited = now.since(self.since);
        match self.latency {
            Latency::Response => waited,
            Latency::EventInterval => waited / SAMPLED_INTERVALS,
        }
    }
}

impl Counts {
    fn add(&mut self, other: Self) {
        self.old += other.old;
        self.old_bad += other.old_bad;
        self.new += other.new;
        self.new_bad += other.new_bad;
        self.baseline.add(other.baseline);
    }

    fn sum(counts: impl Iterator<Item = Self>) -> Self {
        counts.fold(Self::default(), |mut sum, counts| {
            sum.add(counts);
            sum
        })
    }

    fn is_bad(&self) -> bool {
        let new = Rate {
            bad: self.new_bad,
            of: self.new,
        };
        let old = Rate {
            bad: self.old_bad,
            of: self.old,
        };
        rollout::is_worse(new, old, MIN_BAD_SHARE)
    }
}
