//! Takes what the store and peers say of configuration and targets.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;

use crate::event::Event;
use crate::gateway::Gateway;
use crate::platform::{Change, Kind, Object};
use crate::target::Target;

/// How long a target is kept whose entry lapsed while the store was away; by then most live ones have registered again,
/// and one that has left gets no work later than it may.
const LAPSE_GRACE: Duration = Duration::from_millis(1400);
/// How long a target may serve that the store does not list; servers register within a heartbeat or two.
const UNLISTED_GRACE: Duration = Duration::from_millis(3500);

/// Keeps targets for a time that the store does not list because it was away.
pub(crate) struct Registry {
    gateway: Rc<Gateway>,
    /// Whether the next changes of targets are the first ones after the store was away. Entries that vanish in them may
    /// have lapsed; those that vanish later belong to targets that have left or are dead.
    is_returning: Cell<bool>,
    /// When the store came back after it had been away for so long that entries may have lapsed.
    back_at: Cell<Option<Instant>>,
}

impl Registry {
    /// Creates a registry that fills the state of a process.
    pub(crate) fn new(gateway: &Rc<Gateway>) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            is_returning: Cell::default(),
            back_at: Cell::default(),
        }
    }

    /// Notes that entries may lapse, as the store is away.
    pub(crate) fn expect_lapses(&self) {
        self.is_returning.set(true);
    }

    /// Notes that the store is back after entries may have lapsed.
    pub(crate) fn note_back(&self) {
        self.back_at.set(Some(self.gateway.now()));
    }

    /// Notes that a kind is known as of a revision.
    pub(crate) fn finish(&self, kind: Kind, revision: u64) {
        if kind == Kind::Targets {
            self.gateway.set_fleet_revision(revision);
            self.is_returning.set(false);
            self.drop_overdue();
        }
    }

    /// Takes all objects of a kind; what is missing is gone.
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
        self.finish(kind, revision);
    }

    /// Takes a change.
    pub(crate) fn apply(&self, change: Change, revision: u64) {
        match change {
            Change::Put(Object::Config(config)) => self.gateway.put_config(*config, "store"),
            Change::Put(Object::Target(target)) => {
                put_target(&self.gateway, target, revision);
            }
            Change::Put(Object::Unusable { name, reason }) => {
                log_unusable(&name, &reason, revision);
                self.remove(&name, revision);
            }
            // Orders are followed apart from what a host needs to serve.
            Change::Put(Object::Rollout(_)) => {}
            Change::Deleted(id) => self.remove(&id, revision),
        }
    }

    /// Removes a target, unless its entry may only have lapsed because the store was away.
    fn remove(&self, id: &str, revision: u64) {
        let Some(target) = self.gateway.fleet().borrow().get(id).map(Rc::clone) else {
            return;
        };
        if self.is_returning.get() && !target.is_leaving {
            let until = self.gateway.now() + LAPSE_GRACE;
            self.gateway.fleet().borrow_mut().keep_lapsed(id, until);
            return;
        }
        remove_target(&self.gateway, &target, revision);
    }

    /// Drops targets that were kept for a time and that the store has not listed since.
    pub(crate) fn drop_overdue(&self) {
        let revision = self.gateway.fleet_revision();
        self.drop_lapsed(revision);
        self.drop_unlisted(revision);
    }

    fn drop_lapsed(&self, revision: u64) {
        let gone = self.gateway.fleet().borrow().overdue_lapsed(self.gateway.now());
        for target in gone {
            remove_target(&self.gateway, &target, revision);
        }
    }

    /// Drops targets that were found without the store and that it does not list in time.
    fn drop_unlisted(&self, revision: u64) {
        let now = self.gateway.now();
        if now.since(self.back_at.get().unwrap_or_default()) < UNLISTED_GRACE {
            return;
        }
        let limit = Instant::from_start(now.since_start().saturating_sub(UNLISTED_GRACE));
        let unlisted = self.gateway.fleet().borrow().unlisted_before(limit);
        for target in unlisted {
            remove_target(&self.gateway, &target, revision);
        }
    }
}

/// Logs that an object of the store counts as missing.
pub(crate) fn log_unusable(object: &str, reason: &str, revision: u64) {
    Event::ObjectUnusable {
        object,
        reason,
        revision,
        what: "an object of the store cannot be used and counts as missing",
    }
    .log();
}

fn put_target(gateway: &Gateway, target: Target, revision: u64) {
    let mut fleet = gateway.fleet().borrow_mut();
    if fleet.get(&target.id).is_none_or(|known| **known != target) {
        Event::TargetChanged {
            target: &target.id,
            service: &target.service,
            state: if target.is_leaving { "leaving" } else { "ready" },
            revision,
            what: "a target is new or has changed",
        }
        .log();
    }
    // An entry without a change still shows that the target is listed again.
    fleet.put(target);
}

fn remove_target(gateway: &Gateway, target: &Target, revision: u64) {
    gateway.fleet().borrow_mut().remove(gateway.now(), &target.id);
    Event::TargetChanged {
        target: &target.id,
        service: &target.service,
        state: "gone",
        revision,
        what: "a target is gone and gets no new work",
    }
    .log();
}
