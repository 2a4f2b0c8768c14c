//! Synchronizes configuration and targets with the platform's store, and with peers while the store is unavailable.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;

use crate::duration::{millis, scale_by_hosts};
use crate::event::Event;
use crate::feed::{self, Freshness, Step, Update};
use crate::gateway::Gateway;
use crate::platform::{Change, Failure, Kind, Object, Platform};
use crate::registry::Registry;
use crate::state_fetcher;

/// The maximum duration of a watch at the store. Peers rely on a watcher's updates for little longer than this.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(1);
/// The minimum pause of a host that does not have to watch.
const MIN_WATCH_PAUSE: Duration = Duration::from_millis(50);
/// The delay after changes of targets, in which further changes are collected.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(250);
/// The maximum number of changes in one datagram.
const MAX_UPDATE_CHANGES: usize = 24;
/// The maximum random delay of requests to peers, per host. A few watchers answer the requests of all hosts.
const FETCH_JITTER_PER_HOST: Duration = Duration::from_millis(10);
/// The upper bound of that delay.
const MAX_FETCH_JITTER: Duration = Duration::from_millis(800);
/// The delay after the first failed call.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
/// How long a peer may be ahead before its state is fetched. Usually the watch of this host is as fast.
const PEER_FETCH_DELAY: Duration = Duration::from_millis(400);
/// The minimum duration of an outage in which entries may lapse. An entry lapses after some missed heartbeats.
const MIN_LAPSE_OUTAGE: Duration = Duration::from_secs(2);
/// The maximum duration of a watch while targets with lapsed entries are kept.
const MAX_LAPSED_WATCH_WAIT: Duration = Duration::from_millis(400);
/// The interval of requests to all peers at start.
const START_FETCH_INTERVAL: Duration = Duration::from_millis(200);
/// How long a newer configuration is requested from peers, before the store is asked for it.
const MAX_CONFIG_FETCH_TIME: Duration = Duration::from_millis(600);
/// The pause after a failed request for it. A peer that is sending state turns others away for about as long.
const CONFIG_RETRY_DELAY: Duration = Duration::from_millis(40);

/// The tasks that follow the store and peers.
pub(crate) struct Synchronizer<P> {
    gateway: Rc<Gateway>,
    platform: Rc<P>,
    registry: Registry,
    /// The time since which the store does not respond.
    unavailable_since: Cell<Option<Instant>>,
    freshness: RefCell<Freshness>,
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
            freshness: RefCell::default(),
            must_list_targets: Cell::default(),
        });
        for kind in [Kind::Config, Kind::Targets] {
            let sync = Rc::clone(&sync);
            tokio::task::spawn_local(async move { sync.follow(kind).await });
        }
        let (fetcher, updater) = (Rc::clone(&sync), Rc::clone(&sync));
        tokio::task::spawn_local(async move { fetcher.fetch_newer_state().await });
        tokio::task::spawn_local(async move { updater.apply_updates().await });
        tokio::task::spawn_local(async move { sync.fetch_until_ready().await });
    }

    /// Watches the store while this host has to, for itself or for its peers.
    async fn follow(&self, kind: Kind) {
        let mut revision = None;
        let mut retry_delay = MIN_RETRY_DELAY;
        loop {
            if !self.must_watch(kind) {
                // Updates of watchers advance the revision of the targets, which is used when this host watches again.
                revision = None;
                let remaining = self.freshness.borrow().remaining(kind, self.gateway.now());
                self.gateway.timer().sleep(remaining.max(MIN_WATCH_PAUSE)).await;
                continue;
            }
            let since = revision.or_else(|| self.watch_revision(kind));
            let result = match since {
                Some(since) => self.watch(kind, since).await,
                None => self.list(kind).await,
            };
            match result {
                Ok(new_revision) => {
                    revision = Some(new_revision);
                    retry_delay = MIN_RETRY_DELAY;
                    self.record_available();
                    self.freshness.borrow_mut().mark_current(kind, self.gateway.now());
                }
                Err(Failure::HistoryGone) => {
                    let listed = self.list(kind).await;
                    revision = listed.ok();
                    if revision.is_none() {
                        self.require_list(kind);
                    }
                }
                Err(error) => {
                    self.record_unavailable(&error);
                    self.gateway.timer().sleep(retry_delay).await;
                    retry_delay = (retry_delay * 2).min(self.max_backoff());
                }
            }
        }
    }

    fn max_backoff(&self) -> Duration {
        let peers = self.gateway.peers();
        feed::max_backoff(peers.is_watcher() || !self.gateway.is_ready(), peers.live_hosts())
    }

    fn must_watch(&self, kind: Kind) -> bool {
        self.freshness.borrow().remaining(kind, self.gateway.now()).is_zero() || self.gateway.peers().is_watcher()
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
        let listing = self.platform.list(kind).await?;
        self.record_available();
        let before = self.gateway.fleet_revision();
        if kind == Kind::Config || listing.revision >= before {
            self.registry.apply_listing(kind, listing.objects, listing.revision);
        }
        if kind == Kind::Targets {
            self.must_list_targets.set(false);
        }
        self.announce(kind, before, listing.revision, None);
        Ok(listing.revision)
    }

    async fn watch(&self, kind: Kind, since: u64) -> Result<u64, Failure> {
        let has_lapsed = self.gateway.fleet().borrow().has_lapsed();
        let wait = if has_lapsed {
            MAX_LAPSED_WATCH_WAIT
        } else {
            MAX_WATCH_WAIT
        };
        let changes = self.platform.watch(kind, since, wait).await?;
        self.record_available();
        let revision = changes.revision.max(since);
        let update_changes = changes.changes.iter().filter_map(to_update_change).collect::<Vec<_>>();
        let has_changes = !changes.changes.is_empty();
        if kind == Kind::Config || Step::of(self.gateway.fleet_revision(), since, revision) == Step::Apply {
            for change in changes.changes {
                self.registry.apply(change, revision);
            }
        }
        self.registry.set_revision(kind, revision);
        self.announce(kind, since, revision, Some(update_changes));
        if has_changes && kind == Kind::Targets {
            // Servers register and end in groups. The next watch then returns the changes of a whole group.
            self.gateway.timer().sleep(CHANGE_BATCH_DELAY).await;
        }
        Ok(revision)
    }

    /// Sends an update to peers if this host is a watcher.
    fn announce(&self, kind: Kind, since: u64, revision: u64, changes: Option<Vec<feed::Change>>) {
        let peers = self.gateway.peers();
        if !peers.is_watcher() {
            return;
        }
        let update = match (kind, changes) {
            (Kind::Config, _) => Update::Config {
                version: self.gateway.config_version(),
            },
            (Kind::Targets, Some(changes)) if changes.len() <= MAX_UPDATE_CHANGES => Update::Targets {
                since,
                revision,
                changes,
            },
            // Hosts exchange orders together with the counts of their trials.
            (Kind::Rollouts, _) => return,
            // A receiver that is behind sees the gap and fetches all targets.
            (Kind::Targets, _) => Update::Targets {
                since: revision,
                revision,
                changes: Vec::new(),
            },
        };
        peers.broadcast_update(update);
    }

    /// Applies the updates of watchers.
    async fn apply_updates(&self) {
        loop {
            for (from, update) in self.gateway.peers().receive_updates().await {
                // Watchers send an update every second, also without changes, so this runs regularly.
                self.registry.remove_overdue();
                match update {
                    Update::Config { version } => self.apply_config_update(from, version).await,
                    Update::Targets {
                        since,
                        revision,
                        changes,
                    } => self.apply_targets_update(since, revision, changes).await,
                }
            }
        }
    }

    /// Waits for a random time, so that the hosts that receive an update at the same time do not send their requests at
    /// the same time.
    async fn delay_fetch(&self) {
        let hosts = self.gateway.peers().live_hosts();
        let max_delay = scale_by_hosts(FETCH_JITTER_PER_HOST, hosts).min(MAX_FETCH_JITTER);
        self.gateway.timer().sleep(max_delay.mul_f64(rand::random())).await;
    }

    async fn apply_config_update(&self, from: SocketAddr, version: u64) {
        if version > self.gateway.config_version() {
            self.delay_fetch().await;
            self.fetch_config_version(from, version).await;
        }
        if version > self.gateway.config_version()
            && let Err(error) = self.list(Kind::Config).await
        {
            log::debug!("cannot read configuration version {version} from the store: {error}");
        }
        if version <= self.gateway.config_version() {
            self.freshness
                .borrow_mut()
                .mark_current(Kind::Config, self.gateway.now());
        }
    }

    /// Requests the configuration from peers that have a newer one, or from the sender of the update, until this host has
    /// the version or some time has passed.
    async fn fetch_config_version(&self, from: SocketAddr, version: u64) {
        let started = self.gateway.now();
        while self.gateway.now().since(started) < MAX_CONFIG_FETCH_TIME {
            let nearby = self.gateway.peers().with_newer_config(self.gateway.config_version());
            self.fetch_config(nearby.unwrap_or(from)).await;
            if self.gateway.config_version() >= version {
                return;
            }
            let delay = CONFIG_RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>());
            self.gateway.timer().sleep(delay).await;
        }
    }

    /// Fetches the configuration of a peer and activates it if it is newer.
    async fn fetch_config(&self, address: SocketAddr) {
        if let Err(error) = state_fetcher::fetch_config(&self.gateway, address).await {
            log::debug!("cannot fetch the configuration of peer {address}: {error}");
        }
    }

    async fn apply_targets_update(&self, since: u64, revision: u64, changes: Vec<feed::Change>) {
        match Step::of(self.gateway.fleet_revision(), since, revision) {
            Step::Apply => {
                for change in changes {
                    self.registry.apply(to_store_change(change), revision);
                }
                self.registry.set_revision(Kind::Targets, revision);
            }
            Step::Skip => {}
            Step::Gap => {
                self.delay_fetch().await;
                let revision = self.gateway.fleet_revision();
                if let Some(address) = self.gateway.peers().with_newer_targets(revision) {
                    self.fetch_targets(address).await;
                }
            }
        }
        if revision <= self.gateway.fleet_revision() {
            self.freshness
                .borrow_mut()
                .mark_current(Kind::Targets, self.gateway.now());
        }
    }

    /// Fetches the targets of a peer and applies them if they are newer.
    async fn fetch_targets(&self, address: SocketAddr) {
        let fetched = match state_fetcher::fetch_targets(&self.gateway, address).await {
            Ok(fetched) => fetched,
            Err(error) => {
                log::debug!("cannot fetch the targets of peer {address}: {error}");
                return;
            }
        };
        for departure in &fetched.departures {
            self.gateway.add_departure(departure, "peer");
        }
        if fetched.revision <= self.gateway.fleet_revision() {
            return;
        }
        let objects = fetched.listed.into_iter().map(Object::Target).collect();
        self.registry.apply_listing(Kind::Targets, objects, fetched.revision);
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
        let Some(since) = self.unavailable_since.take() else {
            return;
        };
        let now = self.gateway.now();
        if now.since(since) >= MIN_LAPSE_OUTAGE {
            self.registry.record_available();
        }
        let away_ms = millis(now.since(since));
        let what = "the platform's store is available again";
        Event::DependencyBack {
            dependency: "store",
            away_ms,
            what,
        }
        .log();
    }

    /// Fetches newer state from peers.
    async fn fetch_newer_state(&self) {
        loop {
            self.gateway.peers().newer_state().await;
            self.gateway.timer().sleep(PEER_FETCH_DELAY).await;
            let version = self.gateway.config_version();
            if let Some(address) = self.gateway.peers().with_newer_config(version) {
                self.fetch_config(address).await;
            }
            // While the store responds, its watch returns the changes of targets in order.
            if self.unavailable_since.get().is_some() {
                let revision = self.gateway.fleet_revision();
                if let Some(address) = self.gateway.peers().with_newer_targets(revision) {
                    self.fetch_targets(address).await;
                }
            }
        }
    }

    /// Fetches configuration and targets from peers until the process is ready.
    async fn fetch_until_ready(&self) {
        while !self.gateway.is_ready() {
            self.gateway.timer().sleep(START_FETCH_INTERVAL).await;
            for address in self.gateway.peers().fetch_addresses() {
                if self.gateway.config_version() == 0 {
                    self.fetch_config(address).await;
                }
                if self.gateway.fleet_revision() == 0 {
                    self.fetch_targets(address).await;
                }
                if self.gateway.is_ready() {
                    return;
                }
            }
        }
    }
}

/// Converts a change of a target for an update to peers.
fn to_update_change(change: &Change) -> Option<feed::Change> {
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
