//! The parts of the model: hosts with the real decisions, a store, and messages between them.

mod host;
mod message;
mod store;

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_gateway::dissemination::MIN_HOSTS_FOR_RELAYS;
use hawthornpost_gateway::rollout::{Order, State};
use hawthornpost_gateway::trial::{Exposure, Outcome};
use hawthornpost_gateway::versions::Versions;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use host::Host;
use message::{Contents, Message};
use store::Store;

pub const SERVICE: &str = "desk";
pub const ORDER_DURATION: Duration = Duration::from_secs(12);
const EXPOSURE: Exposure = Exposure {
    share: 0.1,
    slack: 50.0,
};
const STEP: Duration = Duration::from_millis(50);
/// The interval at which watchers tell all orders.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);
/// The hosts that read and write the store.
const WATCHERS: usize = 3;
/// The time after a rollback in the store after which no host in contact uses the version.
const MAX_USE_AFTER_ROLLBACK: Duration = Duration::from_secs(3);
/// The requests of all hosts together in a step.
const REQUESTS_PER_STEP: usize = 6;
/// The share of the requests to a bad version that fail.
const BAD_SHARE: f64 = 0.6;
const LATENCY: Duration = Duration::from_millis(60);
const MAX_DELAY_STEPS: u32 = 6;

/// The kinds of faults that happen at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Hosts are paused, cut off from the others, and restarted.
    pub hosts: bool,
    /// Orders follow each other, also before the one before has ended, or are deleted.
    pub orders: bool,
    /// Messages and calls are lost or late.
    pub losses: bool,
}

impl Faults {
    pub const NONE: Self = Self {
        hosts: false,
        orders: false,
        losses: false,
    };
    pub const HOSTS: Self = Self {
        hosts: true,
        orders: false,
        losses: true,
    };
    pub const ANY: Self = Self {
        hosts: true,
        orders: true,
        losses: true,
    };
}

/// How a version behaves after its order.
#[derive(Clone, Copy, Debug)]
pub enum Quality {
    Good,
    BadAfter(Duration),
}

pub struct World {
    seed: u64,
    random: SmallRng,
    faults: Faults,
    now: Instant,
    store: Store,
    hosts: Vec<Host>,
    messages: Vec<Message>,
    quality: Quality,
    ordered_at: Instant,
}

impl World {
    pub fn new(seed: u64, hosts: usize, faults: Faults) -> Self {
        Self {
            seed,
            random: SmallRng::seed_from_u64(seed),
            faults,
            now: Instant::ZERO,
            store: Store::default(),
            hosts: (0..hosts).map(|index| Host::new(Instant::ZERO, index as u64)).collect(),
            messages: Vec::new(),
            quality: Quality::Good,
            ordered_at: Instant::ZERO,
        }
    }

    /// Orders a version; the one before, if any, is abandoned.
    pub fn order(&mut self, version: &str, quality: Quality) {
        self.quality = quality;
        self.ordered_at = self.now;
        self.store.order(self.now, version);
    }

    /// Returns the state of the order in the store.
    pub fn state(&self) -> State {
        self.store.latest().map_or(State::InProgress, |order| order.state)
    }

    pub fn pause(&mut self, index: usize) {
        self.hosts[index].is_paused = true;
    }

    pub fn wake(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.is_paused = false;
        host.rollouts.resume(self.now);
        host.contact_since = self.now;
        host.must_list = true;
        // Before it hears of a peer, a host that was paused uses no version on trial.
        if self.hosts.len() > 2
            && let Some(order) = self.hosts[index].order()
            && order.state == State::InProgress
        {
            let hosts = self.hosts.len();
            let versions = self.hosts[index].versions(self.now, hosts);
            assert!(
                !matches!(versions, Versions::Only { .. }),
                "seed {}: {versions:?}",
                self.seed
            );
        }
    }

    pub fn end_faults(&mut self) {
        self.faults = Faults::NONE;
        for index in 0..self.hosts.len() {
            if self.hosts[index].is_paused {
                self.wake(index);
            }
            self.hosts[index].is_cut_off = false;
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            self.inject_faults();
            self.deliver();
            for index in 0..self.hosts.len() {
                if !self.hosts[index].is_paused {
                    self.use_store(index);
                    self.decide(index);
                }
            }
            self.serve();
        }
    }

    /// Checks that each host knows the order of the store and its state.
    pub fn check_agreement(&self) {
        let stored = self.store.latest();
        for (index, host) in self.hosts.iter().enumerate() {
            let state = host.rollouts.state(SERVICE);
            let known = host.order().map(|order| (order.version, order.state));
            let expected = stored.map(|order| (order.version.clone(), order.state));
            assert_eq!(known, expected, "seed {}, host {index}", self.seed);
            if expected.is_some_and(|(_, state)| state.is_final()) {
                assert_eq!(state, stored.map(|order| order.state), "seed {}", self.seed);
            }
        }
    }

    fn inject_faults(&mut self) {
        if self.faults.orders && self.random.random_bool(0.008) {
            let version = ["v1", "v2", "v3"][self.random.random_range(0..3)];
            let quality = if self.random.random_bool(0.5) {
                Quality::Good
            } else {
                Quality::BadAfter(Duration::from_millis(self.random.random_range(0..9_000)))
            };
            self.order(version, quality);
        }
        if self.faults.orders && self.random.random_bool(0.002) {
            self.store.delete();
        }
        if !self.faults.hosts {
            return;
        }
        for index in 0..self.hosts.len() {
            if self.hosts[index].is_paused {
                if self.random.random_bool(0.015) {
                    self.wake(index);
                }
            } else if self.random.random_bool(0.002) {
                self.pause(index);
            } else if self
                .random
                .random_bool(if self.hosts[index].is_cut_off { 0.012 } else { 0.0015 })
            {
                self.hosts[index].is_cut_off ^= true;
                self.hosts[index].contact_since = self.now;
            } else if self.random.random_bool(0.001) {
                self.restart(index);
            }
        }
    }

    /// Replaces a host by a new process, which gets the orders from a peer.
    fn restart(&mut self, index: usize) {
        let source = self.random.random_range(0..self.hosts.len());
        let orders = (self.hosts[source].revision(), self.hosts[source].orders());
        let seed = self.random.random();
        self.hosts[index] = Host::new(self.now, seed);
        if source != index && !self.hosts[source].is_paused {
            self.hosts[index].apply(self.now, &Contents::AllOrders(orders.0, orders.1));
        }
    }

    fn is_lost(&mut self) -> bool {
        self.faults.losses && self.random.random_bool(0.1)
    }

    fn delay(&mut self) -> Duration {
        let max = if self.faults.losses { MAX_DELAY_STEPS } else { 1 };
        STEP * self.random.random_range(0..=max)
    }

    fn send_all(&mut self, from: usize, contents: &Contents) {
        if self.hosts[from].is_cut_off {
            return;
        }
        for to in (0..self.hosts.len()).filter(|to| *to != from) {
            if !self.is_lost() && !self.hosts[to].is_cut_off {
                let at = self.now + self.delay();
                self.messages.push(Message {
                    from,
                    to,
                    at,
                    contents: contents.clone(),
                });
            }
        }
    }

    /// Delivers what has arrived at hosts that run; the rest waits in their buffers.
    fn deliver(&mut self) {
        let (now, hosts) = (self.now, &mut self.hosts);
        let is_due = |message: &mut Message| message.at <= now && !hosts[message.to].is_paused;
        let due = self.messages.extract_if(.., is_due).collect::<Vec<_>>();
        for message in due {
            match message.contents {
                Contents::Write { order, state } => {
                    let is_applied = self.store.write(self.now, &order, state, self.seed);
                    self.hosts[message.to].must_list |= !is_applied;
                }
                Contents::Observation(observation) => {
                    let wakes = message.to < WATCHERS || self.hosts.len() < MIN_HOSTS_FOR_RELAYS;
                    self.hosts[message.to].merge(self.now, message.from, *observation, wakes);
                }
                contents @ Contents::AllOrders(..) => self.hosts[message.to].apply(self.now, &contents),
            }
        }
    }

    /// Lets a watcher read the store and write states.
    fn use_store(&mut self, index: usize) {
        if index >= WATCHERS || self.is_lost() {
            return;
        }
        let host = &mut self.hosts[index];
        if host.must_list {
            host.must_list = false;
            host.apply(self.now, &Contents::AllOrders(self.store.revision(), self.store.list()));
        } else {
            for order in self.store.changes(host.revision()) {
                host.put(self.now, order);
            }
            if self.store.latest().is_none() {
                host.rollouts.remove(SERVICE, self.store.revision());
            }
            host.rollouts.set_revision(self.store.revision());
            host.known_revision = self.store.revision();
        }
        if self.now >= host.next_announcement {
            host.next_announcement = self.now + ANNOUNCEMENT_INTERVAL;
            let contents = Contents::AllOrders(host.revision(), host.orders());
            self.send_all(index, &contents);
        }
    }

    fn decide(&mut self, index: usize) {
        let hosts = self.hosts.len();
        let (observations, unwritten) = self.hosts[index].decide(self.now, hosts, index < WATCHERS);
        for observation in observations {
            self.send_all(index, &Contents::Observation(Box::new(observation)));
        }
        if index >= WATCHERS {
            return;
        }
        for (order, state) in unwritten {
            if self.is_lost() {
                continue;
            }
            // The store may execute a call late, also when the host gets no answer.
            let at = self.now + self.delay();
            self.messages.push(Message {
                from: index,
                to: index,
                at,
                contents: Contents::Write { order, state },
            });
        }
    }

    /// Sends requests at random hosts.
    fn serve(&mut self) {
        let hosts = self.hosts.len();
        for _ in 0..REQUESTS_PER_STEP {
            let index = self.random.random_range(0..hosts);
            if self.hosts[index].is_paused {
                continue;
            }
            let Some(order) = self.hosts[index].order() else {
                continue;
            };
            let versions = self.hosts[index].versions(self.now, hosts);
            let is_new = matches!(&versions, Versions::Only { version, .. } if *version == order.version);
            if is_new {
                self.check_use(index, &order);
            }
            let outcome = if is_new && self.fails(&order) {
                Outcome::Failed
            } else {
                Outcome::Responded(LATENCY)
            };
            let version = if is_new { order.version.as_str() } else { "other" };
            let host = &mut self.hosts[index];
            host.rollouts.record_sent(SERVICE, version);
            host.rollouts
                .record_outcome(self.now, SERVICE, "book", version, outcome);
        }
    }

    fn fails(&mut self, order: &Order) -> bool {
        let is_latest = self
            .store
            .latest()
            .is_some_and(|latest| latest.version == order.version);
        match self.quality {
            Quality::BadAfter(after) if is_latest && self.now.since(self.ordered_at) >= after => {
                self.random.random_bool(BAD_SHARE)
            }
            Quality::Good | Quality::BadAfter(_) => false,
        }
    }

    /// Checks that a host in contact does not use a version on trial long after the store holds its rollback.
    fn check_use(&self, index: usize, order: &Order) {
        let host = &self.hosts[index];
        let is_in_contact = !host.is_cut_off && self.now.since(host.contact_since) >= MAX_USE_AFTER_ROLLBACK;
        let rolled_back = self.store.rolled_back_since(order);
        let is_late = rolled_back.is_some_and(|at| self.now.since(at) >= MAX_USE_AFTER_ROLLBACK);
        assert!(
            !(is_in_contact && is_late),
            "seed {}: host {index} uses {order:?} after its rollback",
            self.seed
        );
    }
}
