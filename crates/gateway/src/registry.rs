//! Applies the configuration and the targets from the store and from peers.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;

use crate::event::Event;
use crate::gateway::Gateway;
use crate::lapses::Lapses;
use crate::platform::{Change, Kind, Object};
use crate::target::Target;
use crate::unusable;

/// How long a target is kept whose entry lapsed in a store outage. Most live targets register again within this time,
/// and a target that has left gets no work for longer than allowed.
const LAPSED_GRACE_PERIOD: Duration = Duration::from_millis(1400);
/// How long a target may serve without being listed in the store. Servers register within one or two heartbeats.
const UNLISTED_GRACE_PERIOD: Duration = Duration::from_millis(3500);

/// Applies changes, and keeps targets for some time that the store does not list because of an outage.
pub(crate) struct Registry {
    gateway: Rc<Gateway>,
    lapses: Cell<Lapses>,
    /// When the store became available after an outage in which entries may have lapsed.
    available_since: Cell<Option<Instant>>,
    unusable: unusable::Log,
}

impl Registry {
    pub(crate) fn new(gateway: &Rc<Gateway>) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            lapses: Cell::default(),
            available_since: Cell::default(),
            unusable: unusable::Log::default(),
        }
    }

    /// Records that entries may lapse because the store is unavailable.
    pub(crate) fn expect_lapses(&self) {
        let mut lapses = self.lapses.get();
        lapses.begin();
        self.lapses.set(lapses);
    }

    /// Records that the store responds to this host or to a watcher.
    pub(crate) fn end_lapses(&self) {
        let mut lapses = self.lapses.get();
        lapses.end(self.gateway.now());
        self.lapses.set(lapses);
    }

    /// Records that the store is available after an outage in which entries may have lapsed.
    pub(crate) fn record_available(&self) {
        self.available_since.set(Some(self.gateway.now()));
    }

    /// Records that a kind is known up to a revision, and removes overdue targets.
    pub(crate) fn set_revision(&self, kind: Kind, revision: u64) {
        if kind == Kind::Targets {
            self.gateway.set_fleet_revision(revision);
            self.remove_overdue();
        }
    }

    /// Applies a list of all objects of a kind. Known targets that are missing from it are removed.
    pub(crate) fn apply_listing(&self, kind: Kind, objects: Vec<Object>, revision: u64) {
        let mut listed = BTreeSet::new();
        for object in objects {
            match &object {
                Object::Target(target) => {
                    listed.insert(target.id.clone());
                }
                Object::Unusable { .. } | Object::Config(_) | Object::Rollout(_) => {}
            }
            self.apply(Change::Put(object), revision);
        }
        if kind == Kind::Targets {
            let known = self
                .gateway
                .fleet()
                .borrow()
                .targets()
                .map(|target| target.id.clone())
                .collect::<Vec<_>>();
            for id in known.into_iter().filter(|id| !listed.contains(id)) {
                self.apply(Change::Deleted(id), revision);
            }
        }
        self.set_revision(kind, revision);
    }

    pub(crate) fn apply(&self, change: Change, revision: u64) {
        match change {
            Change::Put(Object::Config(config)) => self.gateway.activate_config(*config, "store"),
            Change::Put(Object::Target(target)) => {
                self.unusable.clear(&target.id);
                put_target(&self.gateway, target, revision);
            }
            Change::Put(Object::Unusable { name, reason }) => {
                self.unusable.record(&name, &reason, revision);
                self.remove(&name, revision);
            }
            // The rollouts runner follows orders, because a host does not need them to serve requests.
            Change::Put(Object::Rollout(_)) => {}
            Change::Deleted(id) => {
                self.unusable.clear(&id);
                self.remove(&id, revision);
            }
        }
    }

    /// Removes a target, or keeps it for some time if its entry may have lapsed in a store outage.
    fn remove(&self, id: &str, revision: u64) {
        let Some(target) = self.gateway.fleet().borrow().get(id).map(Rc::clone) else {
            return;
        };
        if self.gateway.fleet().borrow().is_lapsed(id) {
            return;
        }
        if self.lapses.get().are_possible(self.gateway.now()) && !target.is_leaving {
            let until = self.gateway.now() + LAPSED_GRACE_PERIOD;
            self.gateway.fleet().borrow_mut().keep_lapsed(id, until);
            return;
        }
        remove_target(&self.gateway, &target, revision);
    }

    /// Removes targets that were kept for some time and that the store has not listed since.
    pub(crate) fn remove_overdue(&self) {
        let revision = self.gateway.fleet_revision();
        self.remove_lapsed(revision);
        self.remove_unlisted(revision);
    }

    fn remove_lapsed(&self, revision: u64) {
        let overdue = self.gateway.fleet().borrow().overdue_lapsed(self.gateway.now());
        for target in overdue {
            remove_target(&self.gateway, &target, revision);
        }
    }

    /// Removes targets that were found without the store and that the store does not list in time.
    fn remove_unlisted(&self, revision: u64) {
        let now = self.gateway.now();
        if now.since(self.available_since.get().unwrap_or_default()) < UNLISTED_GRACE_PERIOD {
            return;
        }
        let limit = Instant::from_start(now.since_start().saturating_sub(UNLISTED_GRACE_PERIOD));
        let unlisted = self.gateway.fleet().borrow().unlisted_before(limit);
        for target in unlisted {
            remove_target(&self.gateway, &target, revision);
        }
    }
}

fn put_target(gateway: &Gateway, target: Target, revision: u64) {
    let mut fleet = gateway.fleet().borrow_mut();
    if fleet.get(&target.id).is_none_or(|known| **known != target) {
        Event::TargetChanged {
            target: &target.id,
            service: &target.service,
            state: if target.is_leaving { "leaving" } else { "ready" },
            revision,
            what: "a target was added or has changed",
        }
        .log();
    }
    // An unchanged entry still shows that the target is listed again.
    fleet.put(target);
}

fn remove_target(gateway: &Gateway, target: &Target, revision: u64) {
    gateway.fleet().borrow_mut().remove(gateway.now(), &target.id);
    Event::TargetChanged {
        target: &target.id,
        service: &target.service,
        state: "gone",
        revision,
        what: "a target was removed and gets no new work",
    }
    .log();
}
