//! Synchronizes configuration and targets with the platform's store, and with peers while the store is unavailable.

mod fetch;
mod updates;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use tokio::sync::Notify;

use crate::duration::millis;
use crate::event::Event;
use crate::feed::{self, Freshness, Step};
use crate::gateway::Gateway;
use crate::platform::{Failure, Kind, Platform};
use crate::registry::Registry;

/// The minimum pause of a host that does not have to watch.
const MIN_WATCH_PAUSE: Duration = Duration::from_millis(50);
/// The maximum pause, after which the host checks whether it is a watcher now.
const MAX_WATCH_PAUSE: Duration = Duration::from_millis(500);
/// The delay after changes of targets, in which further changes are collected.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(250);
/// The delay after the first failed call.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
/// The minimum duration of an outage in which entries may lapse. An entry lapses after some missed heartbeats.
const MIN_LAPSE_OUTAGE: Duration = Duration::from_secs(2);
/// The maximum duration of a watch while targets with lapsed entries are kept.
const MAX_LAPSED_WATCH_WAIT: Duration = Duration::from_millis(400);
/// How long a starting host waits for peers before it calls the store, while none has responded.
const MIN_START_PATIENCE: Duration = Duration::from_millis(200);
/// How long it waits when peers respond but are busy or have no state yet: many hosts start at the same time.
const MAX_START_PATIENCE: Duration = Duration::from_millis(1500);
/// The maximum random addition to that time, which spreads the calls of hosts that start at the same time.
const START_JITTER: Duration = Duration::from_millis(100);
/// The interval of checks whether peers have sent the state.
const START_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The tasks that follow the store and peers.
pub(crate) struct Synchronizer<P> {
    gateway: Rc<Gateway>,
    platform: Rc<P>,
    registry: Registry,
    /// The time since which the store does not respond.
    unavailable_since: Cell<Option<Instant>>,
    freshness: RefCell<Freshness>,
    /// The newer configuration that a watcher announced, with the watcher's address.
    announced_config: Cell<Option<(SocketAddr, u64)>>,
    /// The newer revision of the targets that a watcher announced.
    announced_targets: Cell<Option<u64>>,
    announced: Notify,
    /// Whether a peer has responded to a request for state, with or without it.
    has_peer_responded: Cell<bool>,
    /// Whether targets have to be listed because the changes since the known revision are no longer available.
    must_list_targets: Cell<bool>,
}

impl<P: Platform> Synchronizer<P> {
    /// Starts the tasks.
    pub(crate) fn start(gateway: &Rc<Gateway>, platform: &Rc<P>) {
        let sync = Rc::new(Self {
            gateway: Rc::clone(gateway),
            platform: Rc::clone(platform),
            registry: Registry::new(gateway),
            unavailable_since: Cell::default(),
            freshness: RefCell::new(Freshness::new(gateway.settings().platform.change_timeout)),
            announced_config: Cell::default(),
            announced_targets: Cell::default(),
            announced: Notify::new(),
            has_peer_responded: Cell::default(),
            must_list_targets: Cell::default(),
        });
        for kind in [Kind::Config, Kind::Targets] {
            let sync = Rc::clone(&sync);
            tokio::task::spawn_local(async move { sync.follow(kind).await });
        }
        let (fetcher, updater) = (Rc::clone(&sync), Rc::clone(&sync));
        let follower = Rc::clone(&sync);
        tokio::task::spawn_local(async move { follower.fetch_announced().await });
        tokio::task::spawn_local(async move { fetcher.fetch_newer_state().await });
        tokio::task::spawn_local(async move { updater.apply_updates().await });
        tokio::task::spawn_local(async move { sync.fetch_until_ready().await });
    }

    /// Watches the store while this host has to, for itself or for its peers.
    async fn follow(&self, kind: Kind) {
        let mut revision = None;
        let mut retry_delay = MIN_RETRY_DELAY;
        self.wait_for_peers().await;
        loop {
            if !self.must_watch(kind) {
                // Updates of watchers advance the revision of the targets, which is used when this host watches again.
                revision = None;
                let remaining = self.freshness.borrow().remaining(kind, self.gateway.now());
                let pause = remaining.clamp(MIN_WATCH_PAUSE, MAX_WATCH_PAUSE);
                self.gateway.timer().sleep(pause).await;
                continue;
            }
            let is_deputy = self.gateway.is_ready() && !self.gateway.is_watcher();
            if is_deputy {
                self.delay_as_deputy().await;
                if !self.must_watch(kind) {
                    continue;
                }
                // What the call returns is announced.
                self.gateway.become_deputy();
            }
            let since = revision.or_else(|| self.watch_revision(kind));
            let result = match since {
                // The other hosts wait for the response of a deputy.
                Some(since) if is_deputy => self.watch(kind, since, Duration::ZERO).await,
                Some(since) => self.watch(kind, since, self.watch_duration()).await,
                None => self.list(kind).await,
            };
            match result {
                Ok(new_revision) => {
                    revision = Some(new_revision);
                    retry_delay = MIN_RETRY_DELAY;
                    self.record_available();
                    self.mark_current(kind);
                }
                Err(Failure::HistoryGone) => {
                    let listed = self.list(kind).await;
                    revision = listed.ok();
                    if revision.is_none() {
                        self.require_list(kind);
                    }
                }
                Err(error) => {
                    self.gateway.resign_as_deputy();
                    self.record_unavailable(&error);
                    let jitter = 0.75 + 0.5 * rand::random::<f64>();
                    self.gateway.timer().sleep(retry_delay.mul_f64(jitter)).await;
                    retry_delay = (retry_delay * 2).min(self.max_backoff());
                }
            }
        }
    }

    /// Waits for a short time after the start, in which peers may send the state. Seeds do not wait, because the other
    /// hosts ask them first.
    async fn wait_for_peers(&self) {
        if self.gateway.peers().is_seed() {
            return;
        }
        let jitter = START_JITTER.mul_f64(rand::random());
        while !self.gateway.is_ready() {
            let patience = if self.has_peer_responded.get() {
                MAX_START_PATIENCE
            } else {
                MIN_START_PATIENCE
            };
            if self.gateway.now().since_start() >= patience + jitter {
                return;
            }
            self.gateway.timer().sleep(START_POLL_INTERVAL).await;
        }
    }

    /// Waits for a random time before a call in place of the watchers. All hosts miss their updates at the same time.
    async fn delay_as_deputy(&self) {
        let max_delay = feed::max_deputy_delay(self.gateway.peers().live_hosts());
        self.gateway.timer().sleep(max_delay.mul_f64(rand::random())).await;
    }

    fn max_backoff(&self) -> Duration {
        let peers = self.gateway.peers();
        let needs_store = self.gateway.is_watcher() || !self.gateway.is_ready();
        let hears_others = peers.hears_others(self.gateway.now());
        feed::max_backoff(needs_store, peers.live_hosts(), hears_others)
    }

    fn must_watch(&self, kind: Kind) -> bool {
        self.freshness.borrow().remaining(kind, self.gateway.now()).is_zero() || self.gateway.is_watcher()
    }

    /// Returns the revision from which to watch a kind if this host did not watch before.
    fn watch_revision(&self, kind: Kind) -> Option<u64> {
        let revision = self.gateway.fleet_revision();
        (kind == Kind::Targets && revision > 0 && !self.must_list_targets.get()).then_some(revision)
    }

    fn require_list(&self, kind: Kind) {
        if kind == Kind::Targets {
            self.must_list_targets.set(true);
        }
    }

    async fn list(&self, kind: Kind) -> Result<u64, Failure> {
        let version = self.gateway.config_version();
        let listing = self.platform.list(kind).await?;
        self.record_available();
        let before = self.gateway.fleet_revision();
        if kind == Kind::Config || listing.revision >= before {
            self.registry.apply_listing(kind, listing.objects, listing.revision);
        }
        match kind {
            Kind::Config => self.announce_config(version),
            Kind::Targets => {
                self.must_list_targets.set(false);
                self.announce_list(listing.revision);
            }
            Kind::Rollouts => {}
        }
        Ok(listing.revision)
    }

    /// Returns how long a watch waits for changes.
    fn watch_duration(&self) -> Duration {
        if self.gateway.fleet().borrow().has_lapsed() {
            MAX_LAPSED_WATCH_WAIT
        } else {
            self.freshness.borrow().update_interval()
        }
    }

    async fn watch(&self, kind: Kind, since: u64, wait: Duration) -> Result<u64, Failure> {
        let version = self.gateway.config_version();
        let changes = self.platform.watch(kind, since, wait).await?;
        self.record_available();
        let revision = changes.revision.max(since);
        let update_changes = changes
            .changes
            .iter()
            .filter_map(updates::to_update_change)
            .collect::<Vec<_>>();
        let has_changes = !changes.changes.is_empty();
        if kind == Kind::Config || Step::of(self.gateway.fleet_revision(), since, revision) == Step::Apply {
            for change in changes.changes {
                self.registry.apply(change, revision);
            }
        }
        self.registry.set_revision(kind, revision);
        match kind {
            Kind::Config => self.announce_config(version),
            Kind::Targets => self.announce_targets(since, revision, update_changes),
            Kind::Rollouts => {}
        }
        if has_changes && kind == Kind::Targets {
            // Servers register and end in groups. The next watch then returns the changes of a whole group.
            self.gateway.timer().sleep(CHANGE_BATCH_DELAY).await;
        }
        Ok(revision)
    }

    /// Records that this host hears of the changes of a kind. What it lacks is fetched by [`Self::fetch_announced`].
    fn mark_current(&self, kind: Kind) {
        self.freshness.borrow_mut().mark_current(kind, self.gateway.now());
    }

    fn record_unavailable(&self, error: &Failure) {
        if self
            .freshness
            .borrow()
            .remaining(Kind::Targets, self.gateway.now())
            .is_zero()
        {
            self.gateway.set_store_unreachable(true);
        }
        // A host that the store refuses may still receive updates of watchers. Then the store is available to them, and no
        // entries have lapsed.
        let age = self.freshness.borrow().age(Kind::Targets, self.gateway.now());
        if age.is_some_and(|age| age >= MIN_LAPSE_OUTAGE) {
            self.registry.expect_lapses();
        }
        if self.unavailable_since.get().is_some() {
            return;
        }
        self.unavailable_since.set(Some(self.gateway.now()));
        Event::DependencyLost {
            dependency: "store",
            error: &error.to_string(),
            what: "the platform's store does not answer; the last known state remains in use",
        }
        .log();
    }

    fn record_available(&self) {
        self.gateway.set_store_unreachable(false);
        self.registry.end_lapses();
        let Some(since) = self.unavailable_since.take() else {
            return;
        };
        let now = self.gateway.now();
        if now.since(since) >= MIN_LAPSE_OUTAGE {
            self.registry.record_available();
        }
        // A watch of the orders from before the outage may never return.
        self.gateway.orders_outdated().notify_one();
        let away_ms = millis(now.since(since));
        let what = "the platform's store is available again";
        Event::DependencyBack {
            dependency: "store",
            away_ms,
            what,
        }
        .log();
    }
}
