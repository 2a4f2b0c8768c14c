//! The connections of a process to targets.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;

use crate::availability::Availability;
use crate::gateway::Gateway;
use crate::target::Target;

use super::lease::Link;
use super::{Pool, Reuse, Share};

/// The interval at which connections that have been idle for too long are closed.
const CLOSE_INTERVAL: Duration = Duration::from_millis(300);
/// The minimum interval at which the number of hosts is read.
const SHARE_INTERVAL: Duration = Duration::from_millis(100);

/// The idle connections, and this host's share of the connections that targets accept.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    pool: RefCell<Pool<Link>>,
    share: Cell<Share>,
    observed_at: Cell<Option<Instant>>,
    /// The end of the last pause of the process, after which no connection that was idle meanwhile is used again.
    handled_pause: Cell<Option<Instant>>,
    is_closing: Cell<bool>,
}

impl Shared {
    /// Returns whether the number of live hosts is to be read again.
    pub(crate) fn is_share_outdated(&self, now: Instant) -> bool {
        self.observed_at.get().is_none_or(|at| now.since(at) >= SHARE_INTERVAL)
    }

    /// Records the number of live hosts.
    pub(crate) fn observe_hosts(&self, now: Instant, hosts: usize) {
        let mut share = self.share.get();
        share.observe(now, u32::try_from(hosts).unwrap_or(u32::MAX));
        self.share.set(share);
        self.observed_at.set(Some(now));
    }

    /// Returns this host's share of the connections of a target.
    pub(crate) fn share_of(&self, max_connections: u32) -> u32 {
        self.share.get().of(max_connections)
    }

    /// Returns the number of idle connections.
    pub(crate) fn idle(&self) -> usize {
        self.pool.borrow().len()
    }

    /// Takes an idle connection to a target. One to a suspect target may be broken without notice: only a new one tells
    /// that a request did not run. After a pause of the process there is none, as targets may have closed
    /// them meanwhile.
    pub(super) fn take(&self, gateway: &Gateway, target: &Target, reuse: Reuse) -> Option<Link> {
        let mut pool = self.pool.borrow_mut();
        if pool.is_empty() {
            return None;
        }
        let is_suspect = || gateway.fleet().borrow().is_suspect(gateway.now(), &target.id);
        if reuse == Reuse::Recent && is_suspect() {
            return None;
        }
        let pause = gateway.timer().last_pause();
        if pause != self.handled_pause.replace(pause) {
            pool.clear();
            return None;
        }
        pool.take(gateway.now(), &target.id, reuse, |link| link.is_usable_for(target))
    }

    /// Closes an idle connection to a target.
    pub(super) fn evict(&self, target: &Target) {
        self.pool.borrow_mut().evict(&target.id);
    }

    /// Closes the idle connections to a target that failed.
    pub(crate) fn remove(&self, target: &str) {
        self.pool.borrow_mut().remove(target);
    }

    /// Keeps a connection for further requests.
    pub(super) fn put(&self, gateway: &Rc<Gateway>, link: Link, timeout: Option<Duration>) {
        let target = Rc::clone(&link.target);
        self.pool.borrow_mut().put(gateway.now(), &target.id, link, timeout);
        if !self.is_closing.replace(true) {
            let gateway = Rc::clone(gateway);
            tokio::task::spawn_local(async move { gateway.connections().close_idle(&gateway).await });
        }
    }

    /// Closes connections that have been idle for too long, exceed the share or whose target is gone, until none is left.
    async fn close_idle(&self, gateway: &Gateway) {
        while !self.pool.borrow().is_empty() {
            gateway.timer().sleep(CLOSE_INTERVAL).await;
            let now = gateway.now();
            let fleet = gateway.fleet().borrow();
            let is_present = |link: &Link| {
                let id = &link.target.id;
                let known = fleet
                    .get(id)
                    .is_some_and(|known| known.is_same_incarnation(&link.target));
                let share = fleet.connection_share(&link.target.service);
                known
                    && link.is_usable()
                    && !link.exceeds(share)
                    && fleet.availability(now, id) != Some(Availability::Gone)
            };
            self.pool.borrow_mut().retain(now, is_present);
        }
        self.is_closing.set(false);
    }
}
