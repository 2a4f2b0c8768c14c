//! A host: the real decisions, and what it has read of the store.

use std::collections::BTreeSet;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_gateway::rollout::{Order, State};
use hawthornpost_gateway::rollouts::Rollouts;
use hawthornpost_gateway::trial::Observation;
use hawthornpost_gateway::versions::Versions;

use super::message::Contents;
use super::{EXPOSURE, SERVICE};

pub struct Host {
    pub rollouts: Rollouts,
    pub is_paused: bool,
    pub is_cut_off: bool,
    /// Since when the host has been running and connected.
    pub contact_since: Instant,
    /// Whether the orders have to be listed, as changes may have been missed.
    pub must_list: bool,
    pub known_revision: u64,
    pub next_announcement: Instant,
    next_decision: Instant,
    /// The highest revision at which the host has known an order.
    last_order: u64,
}

impl Host {
    pub fn new(now: Instant, seed: u64) -> Self {
        Self {
            rollouts: Rollouts::new(EXPOSURE, seed),
            is_paused: false,
            is_cut_off: false,
            contact_since: now,
            must_list: true,
            known_revision: 0,
            next_announcement: now,
            next_decision: now + Duration::from_millis(seed % 200),
            last_order: 0,
        }
    }

    pub fn revision(&self) -> u64 {
        self.known_revision
    }

    pub fn orders(&self) -> Vec<Order> {
        self.rollouts.orders()
    }

    pub fn order(&self) -> Option<Order> {
        self.orders().pop()
    }

    pub fn put(&mut self, now: Instant, order: Order) {
        self.rollouts.put(now, order, all_versions());
        self.check_order();
    }

    pub fn apply(&mut self, now: Instant, contents: &Contents) {
        let Contents::AllOrders(revision, orders) = contents else {
            return;
        };
        for order in orders {
            self.put(now, order.clone());
        }
        let listed = orders.iter().map(|order| order.service.clone()).collect();
        self.rollouts.retain(&listed, *revision);
        self.rollouts.set_revision(*revision);
        self.known_revision = self.known_revision.max(*revision);
    }

    /// Merges an observation; `wakes` tells whether one that changes the verdict leads to a decision at once.
    pub fn merge(&mut self, now: Instant, from: usize, observation: Observation, wakes: bool) {
        let is_changed = self
            .rollouts
            .merge_peer(now, &format!("host-{from}"), observation, all_versions());
        if is_changed && wakes {
            self.next_decision = now;
        }
        self.check_order();
    }

    /// Decides if it is time to, and returns the observations for peers and the states to write.
    pub fn decide(&mut self, now: Instant, hosts: usize, is_writer: bool) -> (Vec<Observation>, Vec<(Order, State)>) {
        if now < self.next_decision {
            return (Vec::new(), Vec::new());
        }
        let observations = self.rollouts.decide(now, hosts);
        self.next_decision = now + self.rollouts.pause_between_decisions(now, hosts, is_writer);
        (observations, self.rollouts.unwritten())
    }

    pub fn versions(&mut self, now: Instant, hosts: usize) -> Versions {
        self.rollouts.versions(now, SERVICE, || hosts).unwrap_or(Versions::Any)
    }

    /// A host never goes back to an earlier order.
    fn check_order(&mut self) {
        let Some(order) = self.order() else {
            return;
        };
        assert!(order.revision >= self.last_order, "{order:?} after {}", self.last_order);
        self.last_order = order.revision;
    }
}

fn all_versions() -> BTreeSet<String> {
    ["v1", "v2", "v3", "other"].map(str::to_owned).into()
}
