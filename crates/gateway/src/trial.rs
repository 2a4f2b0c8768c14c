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
const SLOW_FACTOR: f64 = 3.0;
/// The number of responses of the old version below which a route has no baseline.
const MIN_BASELINE_SAMPLES: u32 = 5;
/// The weight of the latest response in the baseline.
const BASELINE_WEIGHT: f64 = 0.1;
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
    /// The counts by route.
    pub counts: BTreeMap<String, Counts>,
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The target responded after this time. For a stream, it is the time to the first event.
    Responded(Duration),
    /// The stream was completed with this mean interval between events.
    Streamed(Duration),
    /// It failed.
    Failed,
}

/// The kinds of latency that have a baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Latency {
    /// The time to the response, or to the first event of a stream.
    Response,
    /// The mean interval between events.
    EventInterval,
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
    own_counts: BTreeMap<String, Counts>,
    peer_counts: HashMap<String, BTreeMap<String, Counts>>,
    /// The baselines by route: the number of samples from the old version and their mean in seconds.
    baselines: HashMap<(String, Latency), (u32, f64)>,
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
            own_counts: BTreeMap::new(),
            peer_counts: HashMap::new(),
            baselines: HashMap::new(),
        }
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
        if self.exposed as f64 + 1.0 > max_exposed {
            return self.stable_versions();
        }
        let rotation = now.since(self.started).as_millis() / ROTATION_INTERVAL.as_millis();
        Versions::Only {
            version: self.order.version.clone(),
            share: exposure.share,
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
        let is_new = self.is_new(version);
        let sample = match outcome {
            Outcome::Failed => None,
            Outcome::Responded(took) => Some((Latency::Response, took)),
            Outcome::Streamed(interval) => Some((Latency::EventInterval, interval)),
        };
        let is_bad = sample.is_none_or(|(latency, time)| self.is_slow(route, latency, time));
        if let Some((latency, time)) = sample.filter(|_| !is_new) {
            self.update_baseline(route, latency, time);
        }
        let counts = self.own_counts.entry(route.to_owned()).or_default();
        if is_new {
            counts.new += 1;
            counts.new_bad += u64::from(is_bad);
        } else {
            counts.old += 1;
            counts.old_bad += u64::from(is_bad);
        }
    }

    fn is_slow(&self, route: &str, latency: Latency, took: Duration) -> bool {
        let baseline = self
            .baselines
            .get(&(route.to_owned(), latency))
            .filter(|(count, _)| *count >= MIN_BASELINE_SAMPLES);
        baseline.is_some_and(|(_, mean)| took.as_secs_f64() > SLOW_FACTOR * mean)
    }

    fn update_baseline(&mut self, route: &str, latency: Latency, took: Duration) {
        let (count, mean) = self.baselines.entry((route.to_owned(), latency)).or_default();
        *count = count.saturating_add(1);
        let weight = BASELINE_WEIGHT.max(1.0 / f64::from(*count));
        *mean += weight * (took.as_secs_f64() - *mean);
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
            counts: self.own_counts.clone(),
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
        if self.peer_counts.len() < MAX_PEERS || self.peer_counts.contains_key(peer) {
            self.peer_counts.insert(peer.to_owned(), observation.counts);
        }
    }

    /// Returns the counts of all hosts by route.
    pub fn counts(&self) -> BTreeMap<&str, Counts> {
        let mut sums = BTreeMap::<&str, Counts>::new();
        for (route, counts) in self.peer_counts.values().chain([&self.own_counts]).flatten() {
            sums.entry(route).or_default().add(*counts);
        }
        sums
    }

    /// Returns the counts of all hosts and routes.
    pub fn total(&self) -> Counts {
        let mut total = Counts::default();
        for of_route in self.counts().values() {
            total.add(*of_route);
        }
        total
    }

    /// Decides on the trial and returns the state. A bad version is rolled back at once, a good one replaces the old
    /// version shortly before the deadline, and one without enough outcomes by then is rolled back.
    pub fn decide(&mut self, now: Instant) -> State {
        if self.state != State::InProgress {
            return self.state;
        }
        let all = self.total();
        let is_bad = all.is_bad() || self.counts().values().any(Counts::is_bad);
        let is_due = now.since(self.started) + DECISION_MARGIN >= self.order.duration;
        self.state = match (is_bad, is_due) {
            (true, _) => State::RolledBack,
            (false, false) => State::InProgress,
            (false, true) if all.new < MIN_OUTCOMES => State::RolledBack,
            (false, true) => State::Completed,
        };
        self.state
    }
}

impl Counts {
    fn add(&mut self, other: Self) {
        self.old += other.old;
        self.old_bad += other.old_bad;
        self.new += other.new;
        self.new_bad += other.new_bad;
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
