//! Updates between hosts: what a watcher announces and how the others apply it.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::config_delta::Delta;
use crate::datagram::Datagram;
use crate::feed::{self, Step, Update};
use crate::platform::{Change, Kind, Object, Platform};
use crate::target::Target;

use super::Synchronizer;

/// The maximum size of an update. Hosts fetch what does not fit.
const MAX_UPDATE_BYTES: usize = 10 << 10;

impl<P: Platform> Synchronizer<P> {
    /// Tells peers which version of the configuration is in force, with the changes since `before`, if this host is a
    /// watcher.
    pub(super) fn announce_config(&self, before: u64) {
        let version = self.gateway.config_version();
        let delta = self.gateway.state_sender().change_between(before, version);
        let update = |delta: Option<Delta>| Update::Config {
            version,
            delta: delta.map(Box::new),
        };
        self.announce(update(delta), || update(None));
    }

    /// Tells peers the changes of targets between two revisions, if this host is a watcher.
    pub(super) fn announce_targets(&self, since: u64, revision: u64, changes: Vec<feed::Change>) {
        let update = Update::Targets {
            since,
            revision,
            changes,
        };
        self.announce(update, || Update::Targets {
            since: revision,
            revision,
            changes: Vec::new(),
        });
    }

    /// Tells peers all targets as of a revision, if this host is a watcher.
    pub(super) fn announce_list(&self, revision: u64) {
        let targets = self
            .gateway
            .fleet()
            .borrow()
            .listed()
            .map(|target| (**target).clone())
            .collect::<Vec<_>>();
        let update = Update::AllTargets { revision, targets };
        self.announce(update, || Update::Targets {
            since: revision,
            revision,
            changes: Vec::new(),
        });
    }

    /// Sends an update to peers if this host is a watcher. One that is too large is replaced by `short`, after which peers
    /// fetch what they lack.
    pub(super) fn announce(&self, update: Update, short: impl FnOnce() -> Update) {
        if !self.gateway.is_watcher() {
            return;
        }
        let size = Datagram::Feed(update.clone())
            .encode()
            .map_or(usize::MAX, |bytes| bytes.len());
        self.gateway
            .peers()
            .broadcast_update(if size <= MAX_UPDATE_BYTES { update } else { short() });
    }

    /// Applies the updates of watchers. It never waits for a transfer, as the updates that follow show that the watchers
    /// work.
    pub(super) async fn apply_updates(&self) {
        loop {
            for (from, update) in self.gateway.peers().receive_updates().await {
                // Watchers send an update every second, also without changes, so this runs regularly.
                self.registry.remove_overdue();
                match update {
                    Update::Config { version, delta } => self.apply_config_update(from, version, delta.as_deref()),
                    Update::Targets {
                        since,
                        revision,
                        changes,
                    } => self.apply_targets_update(since, revision, changes),
                    Update::AllOrders { revision, orders } => {
                        self.gateway.apply_rollouts(orders, BTreeSet::new(), revision);
                    }
                    Update::AllTargets { revision, targets } => self.apply_target_list(revision, targets),
                    Update::Deputy { entry } => self.gateway.record_deputy(entry),
                }
            }
        }
    }

    pub(super) fn apply_config_update(&self, from: SocketAddr, version: u64, delta: Option<&Delta>) {
        if let Some(delta) = delta.filter(|delta| delta.base() == self.gateway.config_version())
            && let Err(error) = self.gateway.apply_config_deltas(std::slice::from_ref(delta))
        {
            log::debug!("cannot apply changes of the configuration from peer {from}: {error}");
        }
        if version > self.gateway.config_version() {
            self.announced_config.set(Some((from, version)));
            self.announced.notify_one();
        }
        self.mark_current(Kind::Config);
    }

    pub(super) fn apply_targets_update(&self, since: u64, revision: u64, changes: Vec<feed::Change>) {
        self.registry.end_lapses();
        match Step::of(self.gateway.fleet_revision(), since, revision) {
            Step::Apply => {
                for change in changes {
                    self.registry.apply(to_store_change(change), revision);
                }
                self.registry.set_revision(Kind::Targets, revision);
            }
            Step::Skip => {}
            Step::Gap => {
                self.announced_targets.set(Some(revision));
                self.announced.notify_one();
            }
        }
        self.mark_current(Kind::Targets);
    }

    pub(super) fn apply_target_list(&self, revision: u64, targets: Vec<Target>) {
        self.registry.end_lapses();
        if revision > self.gateway.fleet_revision() {
            let objects = targets.into_iter().map(Object::Target).collect();
            self.registry.apply_listing(Kind::Targets, objects, revision);
        }
        self.mark_current(Kind::Targets);
    }
}

/// Converts a change of a target for an update to peers.
pub(super) fn to_update_change(change: &Change) -> Option<feed::Change> {
    match change {
        Change::Put(Object::Target(target)) => Some(feed::Change::Put(target.clone())),
        Change::Put(Object::Unusable { name: id, .. }) | Change::Deleted(id) => Some(feed::Change::Gone(id.clone())),
        Change::Put(Object::Config(_) | Object::Rollout(_)) => None,
    }
}

fn to_store_change(change: feed::Change) -> Change {
    match change {
        feed::Change::Put(target) => Change::Put(Object::Target(target)),
        feed::Change::Gone(id) => Change::Deleted(id),
    }
}
