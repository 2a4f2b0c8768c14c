//! Follows orders in the store, exchanges the counts of trials with peers, and writes the states of orders.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use crate::event::Event;
use crate::feed::Update;
use crate::gateway::Gateway;
use crate::platform::{Change, Failure, Kind, Object, Platform};
use crate::unusable;

/// The maximum duration of a watch at the store. Orders are rare, and each call has a cost.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(10);
/// The delay after a failed call, and the interval at which a host that does not watch checks whether it has to.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// The interval at which watchers tell their peers all orders.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);
/// How long a host waits for the orders from a watcher before it reads them from the store.
const PEER_PATIENCE: Duration = Duration::from_millis(2500);
/// The interval of checks whether the process is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

struct Runner<P> {
    gateway: Rc<Gateway>,
    platform: Rc<P>,
    unusable: unusable::Log,
}

/// Starts the tasks that follow orders and decide on trials.
pub(crate) fn start<P: Platform>(gateway: &Rc<Gateway>, platform: &Rc<P>) {
    let runner = Rc::new(Runner {
        gateway: Rc::clone(gateway),
        platform: Rc::clone(platform),
        unusable: unusable::Log::default(),
    });
    let (follower, announcer) = (Rc::clone(&runner), Rc::clone(&runner));
    tokio::task::spawn_local(async move { announcer.announce().await });
    tokio::task::spawn_local(async move { follower.follow().await });
    tokio::task::spawn_local(async move { runner.decide().await });
}

impl<P: Platform> Runner<P> {
    /// Lists the orders at the start unless a peer sent them, and watches them while this host is one of the watchers.
    async fn follow(&self) {
        let mut revision = None;
        // The first calls of a process are for the state that it needs to serve requests.
        while !self.gateway.is_ready() {
            self.gateway.timer().sleep(READY_POLL_INTERVAL).await;
        }
        let ready_at = self.gateway.now();
        loop {
            let is_known = self.gateway.rollouts().borrow().revision().is_some();
            let may_wait = is_known || self.gateway.now().since(ready_at) < PEER_PATIENCE;
            if may_wait && !self.gateway.is_watcher() {
                self.gateway.timer().sleep(RETRY_DELAY).await;
                continue;
            }
            let result = match revision {
                Some(since) => tokio::select! {
                    result = self.watch(since) => result,
                    // A watch from before a pause may never return, and one that has begun may return late.
                    () = self.gateway.orders_outdated().notified() => self.list().await,
                },
                None => self.list().await,
            };
            match result {
                Ok(new_revision) => revision = Some(new_revision),
                Err(error) => {
                    // The watch of the targets logs that the store does not respond.
                    log::debug!("cannot read rollout orders from the store: {error}");
                    if matches!(error, Failure::HistoryGone) {
                        revision = None;
                    }
                    self.gateway.timer().sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Tells peers all orders at intervals while this host is a watcher, so that hosts that start need not read them.
    async fn announce(&self) {
        loop {
            self.gateway.timer().sleep(ANNOUNCEMENT_INTERVAL).await;
            if !self.gateway.is_watcher() {
                continue;
            }
            let update = {
                let rollouts = self.gateway.rollouts().borrow();
                rollouts.revision().map(|revision| Update::AllOrders {
                    revision,
                    orders: rollouts.orders(),
                })
            };
            if let Some(update) = update {
                self.gateway.peers().broadcast_update(update);
            }
        }
    }

    async fn list(&self) -> Result<u64, Failure> {
        let listing = self.platform.list(Kind::Rollouts).await?;
        let (mut orders, mut unusable) = (Vec::new(), BTreeSet::new());
        for object in listing.objects {
            match object {
                Object::Rollout(order) => orders.push(order),
                Object::Unusable { name, reason } => {
                    self.unusable.record(&name, &reason, listing.revision);
                    unusable.insert(name);
                }
                Object::Config(_) | Object::Target(_) => {}
            }
        }
        self.gateway.apply_rollouts(orders, unusable, listing.revision);
        Ok(listing.revision)
    }

    async fn watch(&self, since: u64) -> Result<u64, Failure> {
        let changes = self.platform.watch(Kind::Rollouts, since, MAX_WATCH_WAIT).await?;
        for change in changes.changes {
            match change {
                Change::Put(Object::Rollout(order)) => self.gateway.put_rollout(order),
                Change::Put(Object::Unusable { name, reason }) => {
                    self.unusable.record(&name, &reason, changes.revision);
                }
                Change::Put(Object::Config(_) | Object::Target(_)) => {}
                Change::Deleted(service) => self.gateway.rollouts().borrow_mut().remove(&service, changes.revision),
            }
        }
        let revision = changes.revision.max(since);
        self.gateway.rollouts().borrow_mut().set_revision(revision);
        Ok(revision)
    }

    /// Decides on trials, sends this host's counts to peers, and writes states.
    async fn decide(&self) {
        let peers = self.gateway.peers();
        loop {
            let hosts = peers.live_hosts();
            let observations = self.gateway.current_rollouts().decide(self.gateway.now(), hosts);
            for observation in observations {
                peers.broadcast_trial(observation);
            }
            self.write_states().await;
            self.pause_between_decisions(hosts).await;
            let is_busy = self.gateway.rollouts().borrow().is_busy(self.gateway.now());
            if !is_busy {
                peers.trials_changed().await;
            }
        }
    }

    /// Waits until the next decision. A verdict of a peer ends the wait where it has to be written to the store before the
    /// deadline, and while there are few hosts.
    async fn pause_between_decisions(&self, hosts: usize) {
        let peers = self.gateway.peers();
        let is_writer = self.gateway.is_watcher();
        let pause = self
            .gateway
            .rollouts()
            .borrow_mut()
            .pause_between_decisions(self.gateway.now(), hosts, is_writer);
        if is_writer || !peers.has_relays() {
            self.gateway.timer().timeout(pause, peers.verdict_received()).await;
        } else {
            self.gateway.timer().sleep(pause).await;
        }
    }

    /// Writes the states that the store lacks. Several hosts may do so; the store accepts the first write.
    async fn write_states(&self) {
        if !self.gateway.is_watcher() {
            return;
        }
        let unwritten = self.gateway.rollouts().borrow().unwritten();
        for (order, state) in unwritten {
            let result = self.platform.write_state(&order, state).await;
            let outcome = match &result {
                Ok(()) => "written".to_owned(),
                Err(error) => error.to_string(),
            };
            if matches!(result, Err(Failure::Conflict)) {
                self.gateway.orders_outdated().notify_one();
            }
            Event::RolloutWritten {
                service: &order.service,
                version: &order.version,
                state: state.name(),
                outcome: &outcome,
                what: "the state of an order is written to the store",
            }
            .log();
        }
    }
}
