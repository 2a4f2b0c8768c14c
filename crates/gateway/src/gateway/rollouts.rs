//! Rollout orders, and the trials of their versions.

use std::cell::RefMut;
use std::collections::BTreeSet;
use std::rc::Rc;

use tokio::sync::Notify;

use super::Gateway;
use crate::rollout::Order;
use crate::rollouts::Rollouts;
use crate::target::Target;
use crate::trial::{Observation, Outcome};
use crate::versions::Versions;

impl Gateway {
    /// Returns the trials and orders as of now: after a pause of the process they first wait for peers and the store.
    pub(crate) fn current_rollouts(&self) -> RefMut<'_, Rollouts> {
        let mut rollouts = self.rollouts.borrow_mut();
        let pause = self.timer.last_pause();
        if pause != self.handled_pause.replace(pause) {
            rollouts.resume(self.now());
            self.orders_outdated.notify_one();
        }
        rollouts
    }

    /// Returns the signal to read the rollout orders from the store again.
    pub(crate) fn orders_outdated(&self) -> &Notify {
        &self.orders_outdated
    }

    /// Applies all rollout orders as of a revision of the store, which a peer or the store sent. The orders of services
    /// in `unusable` cannot be decoded; what is known of them stays.
    pub(crate) fn apply_rollouts(&self, orders: Vec<Order>, unusable: BTreeSet<String>, revision: u64) {
        let mut listed = unusable;
        for order in orders {
            listed.insert(order.service.clone());
            self.put_rollout(order);
        }
        let mut rollouts = self.rollouts.borrow_mut();
        rollouts.retain(&listed, revision);
        rollouts.set_revision(revision);
    }

    /// Stores a rollout order that a peer or the store sent.
    pub(crate) fn put_rollout(&self, order: Order) {
        let before = self.fleet.borrow().versions_of(&order.service);
        self.rollouts.borrow_mut().put(self.now(), order, before);
        self.peers.wake_trials();
    }

    /// Merges the trial results reported by a peer.
    pub(crate) fn merge_trial(&self, peer: &str, observation: Observation) {
        let before = self.fleet.borrow().versions_of(&observation.order.service);
        let is_changed = self
            .current_rollouts()
            .merge_peer(self.now(), peer, observation, before);
        if is_changed {
            self.peers.wake_for_verdict();
        }
        self.peers.wake_trials();
    }

    /// Counts a new request for a service with a rollout order and returns the versions that may serve it.
    pub(crate) fn trial_versions(&self, service: &str) -> Option<Versions> {
        let mut rollouts = self.current_rollouts();
        rollouts.versions(self.now(), service, || self.peers.live_hosts())
    }

    /// Chooses a target with `pick`, first among the versions of a trial. Falls back to the stable versions if there is no
    /// such target or it is suspected.
    pub(crate) fn choose(
        &self,
        service: &str,
        trial_versions: Option<&Versions>,
        pick: impl Fn(&Versions) -> Option<Rc<Target>>,
    ) -> Option<Rc<Target>> {
        let is_unsuspected = |target: &Rc<Target>| !self.fleet.borrow().is_suspect(self.now(), &target.id);
        let chosen = trial_versions.and_then(&pick).filter(is_unsuspected);
        let chosen = chosen.or_else(|| pick(&self.stable_versions(service)))?;
        self.rollouts.borrow_mut().record_sent(service, &chosen.version);
        Some(chosen)
    }

    /// Returns the versions for retries and backup copies, which do not take part in a trial.
    pub(crate) fn stable_versions(&self, service: &str) -> Versions {
        self.rollouts.borrow().stable_versions(service)
    }

    /// Records the outcome of a request at a target for the trial of its version.
    pub(crate) fn record_outcome(&self, route: &str, target: &Target, outcome: Outcome) {
        let mut rollouts = self.rollouts.borrow_mut();
        rollouts.record_outcome(self.now(), &target.service, route, &target.version, outcome);
    }

    /// Records the latency of a request that its trial has counted already.
    pub(crate) fn record_baseline(&self, route: &str, target: &Target, outcome: Outcome) {
        let mut rollouts = self.rollouts.borrow_mut();
        rollouts.record_baseline(self.now(), &target.service, route, &target.version, outcome);
    }
}
