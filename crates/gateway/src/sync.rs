//! Synchronizes configuration and targets with the platform's store, and with peers while the store is unavailable.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use rand::seq::IndexedRandom;
use tokio::sync::Notify;

use crate::config_delta::Delta;
use crate::datagram::Datagram;
use crate::duration::{millis, scale_by_hosts};
use crate::event::Event;
use crate::feed::{self, Freshness, Step, Update};
use crate::gateway::Gateway;
use crate::platform::{Change, Failure, Kind, Object, Platform};
use crate::registry::Registry;
use crate::rollout::Order;
use crate::state_fetcher;
use crate::target::Target;

/// The minimum pause of a host that does not have to watch.
const MIN_WATCH_PAUSE: Duration = Duration::from_millis(50);
/// The maximum pause, after which the host checks whether it is a watcher now.
const MAX_WATCH_PAUSE: Duration = Duration::from_millis(500);
/// The delay after changes of targets, in which further changes are collected.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(250);
/// The maximum size of an update. Hosts fetch what does not fit.
const MAX_UPDATE_BYTES: usize = 10 << 10;
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
/// The delay before the first request to a peer at start. It doubles with each request up to
/// [`MAX_START_FETCH_DELAY`].
const MIN_START_FETCH_DELAY: Duration = Duration::from_millis(30);
/// The maximum delay between requests to peers at start.
const MAX_START_FETCH_DELAY: Duration = Duration::from_millis(240);
/// How long a starting host waits for peers before it calls the store, while none has responded.
const MIN_START_PATIENCE: Duration = Duration::from_millis(200);
/// How long it waits when peers respond but are busy or have no state yet: many hosts start at the same time.
const MAX_START_PATIENCE: Duration = Duration::from_millis(1500);
/// The maximum random addition to that time, which spreads the calls of hosts that start at the same time.
const START_JITTER: Duration = Duration::from_millis(100);
/// The interval of checks whether peers have sent the state.
const START_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long newer state is requested from peers, before the store is asked for it, while there are few hosts.
const MIN_FETCH_TIME: Duration = Duration::from_millis(600);
/// The same per host, because the hosts that have the state send it to the others one after the other.
const FETCH_TIME_PER_HOST: Duration = Duration::from_millis(4);
/// The pause after a failed request for it. A peer that is sending state turns others away for about as long.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(40);

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
        let update_changes = changes.changes.iter().filter_map(to_update_change).collect::<Vec<_>>();
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

    /// Tells peers which version of the configuration is in force, with the changes since `before`, if this host is a
    /// watcher.
    fn announce_config(&self, before: u64) {
        let version = self.gateway.config_version();
        let delta = self.gateway.state_sender().change_between(before, version);
        let update = |delta: Option<Delta>| Update::Config {
            version,
            delta: delta.map(Box::new),
        };
        self.announce(update(delta), || update(None));
    }

    /// Tells peers the changes of targets between two revisions, if this host is a watcher.
    fn announce_targets(&self, since: u64, revision: u64, changes: Vec<feed::Change>) {
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
    fn announce_list(&self, revision: u64) {
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
    fn announce(&self, update: Update, short: impl FnOnce() -> Update) {
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
    async fn apply_updates(&self) {
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
                    Update::Orders(orders) => self.add_orders(orders),
                    Update::AllTargets { revision, targets } => self.apply_target_list(revision, targets),
                }
            }
        }
    }

    fn apply_config_update(&self, from: SocketAddr, version: u64, delta: Option<&Delta>) {
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

    fn apply_targets_update(&self, since: u64, revision: u64, changes: Vec<feed::Change>) {
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

    fn apply_target_list(&self, revision: u64, targets: Vec<Target>) {
        if revision > self.gateway.fleet_revision() {
            let objects = targets.into_iter().map(Object::Target).collect();
            self.registry.apply_listing(Kind::Targets, objects, revision);
        }
        self.mark_current(Kind::Targets);
    }

    /// Records that this host hears of the changes of a kind. What it lacks is fetched by [`Self::fetch_announced`].
    fn mark_current(&self, kind: Kind) {
        self.freshness.borrow_mut().mark_current(kind, self.gateway.now());
    }

    /// Fetches what watchers have announced and this host lacks: from peers for some time, then from the store.
    async fn fetch_announced(&self) {
        loop {
            self.announced.notified().await;
            let (config, targets) = (self.announced_config.take(), self.announced_targets.take());
            self.delay_fetch().await;
            let started = self.gateway.now();
            if let Some((from, version)) = config {
                self.fetch_config_version(from, version, started).await;
            }
            if let Some(revision) = targets {
                self.fetch_targets_revision(revision, started).await;
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

    /// Requests the configuration from peers that have a newer one, or from the sender of the update, until this host has
    /// the version or some time has passed; then from the store.
    async fn fetch_config_version(&self, from: SocketAddr, version: u64, started: Instant) {
        while version > self.gateway.config_version() {
            if self.gateway.now().since(started) >= self.max_fetch_time() {
                if let Err(error) = self.list(Kind::Config).await {
                    log::debug!("cannot read configuration version {version} from the store: {error}");
                }
                return;
            }
            let nearby = self.gateway.peers().with_newer_config(self.gateway.config_version());
            self.fetch_config(nearby.unwrap_or(from)).await;
            self.delay_retry(version > self.gateway.config_version()).await;
        }
    }

    /// Requests the targets from peers that know a later revision, until this host knows the revision or some time has
    /// passed; then from the store.
    async fn fetch_targets_revision(&self, revision: u64, started: Instant) {
        while revision > self.gateway.fleet_revision() {
            if self.gateway.now().since(started) >= self.max_fetch_time() {
                if let Err(error) = self.list(Kind::Targets).await {
                    log::debug!("cannot read the targets as of revision {revision} from the store: {error}");
                }
                return;
            }
            let known = self.gateway.fleet_revision();
            if let Some(address) = self.gateway.peers().with_newer_targets(known) {
                self.fetch_targets(address).await;
            }
            self.delay_retry(revision > self.gateway.fleet_revision()).await;
        }
    }

    fn max_fetch_time(&self) -> Duration {
        MIN_FETCH_TIME.max(scale_by_hosts(FETCH_TIME_PER_HOST, self.gateway.peers().live_hosts()))
    }

    async fn delay_retry(&self, is_needed: bool) {
        if is_needed {
            let delay = FETCH_RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>());
            self.gateway.timer().sleep(delay).await;
        }
    }

    /// Fetches the configuration of a peer and activates it if it is newer.
    async fn fetch_config(&self, address: SocketAddr) {
        let known = self.gateway.config_version();
        let result = state_fetcher::fetch_config(&self.gateway, address).await;
        self.record_peer(&result);
        if let Err(error) = result {
            log::debug!("cannot fetch the configuration of peer {address}: {error}");
        }
        if known == 0 && self.gateway.config_version() > 0 {
            self.mark_current(Kind::Config);
        }
    }

    /// Fetches the targets of a peer and applies them if they are newer.
    async fn fetch_targets(&self, address: SocketAddr) {
        let result = state_fetcher::fetch_targets(&self.gateway, address).await;
        self.record_peer(&result);
        let fetched = match result {
            Ok(fetched) => fetched,
            Err(error) => {
                log::debug!("cannot fetch the targets of peer {address}: {error}");
                return;
            }
        };
        for departure in &fetched.departures {
            self.gateway.add_departure(departure, "peer");
        }
        if let Some(orders) = fetched.orders {
            self.add_orders(orders);
        }
        let known = self.gateway.fleet_revision();
        if fetched.revision <= known {
            return;
        }
        let objects = fetched.listed.into_iter().map(Object::Target).collect();
        self.registry.apply_listing(Kind::Targets, objects, fetched.revision);
        if known == 0 {
            self.mark_current(Kind::Targets);
        }
    }

    /// Adds the orders that a peer knows. Orders that this host knows may be newer.
    fn add_orders(&self, orders: Vec<Order>) {
        let rollouts = self.gateway.rollouts();
        for order in orders {
            let is_known = rollouts.borrow().services().any(|service| service == order.service);
            if !is_known {
                self.gateway.put_rollout(order);
            }
        }
        rollouts.borrow_mut().mark_known();
    }

    /// Records whether a peer has responded to a request for state.
    fn record_peer<T>(&self, result: &Result<T, state_fetcher::Failure>) {
        let has_responded = result.as_ref().err().is_none_or(state_fetcher::Failure::is_response);
        self.has_peer_responded
            .set(self.has_peer_responded.get() || has_responded);
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

    /// Fetches configuration and targets from random peers until the process is ready.
    async fn fetch_until_ready(&self) {
        let mut delay = MIN_START_FETCH_DELAY;
        while !self.gateway.is_ready() {
            let jitter = 0.5 + rand::random::<f64>();
            self.gateway.timer().sleep(delay.mul_f64(jitter)).await;
            delay = (delay * 2).min(MAX_START_FETCH_DELAY);
            let addresses = self.gateway.peers().fetch_addresses();
            let Some(address) = addresses.choose(&mut rand::rng()).copied() else {
                continue;
            };
            if self.gateway.config_version() == 0 {
                self.fetch_config(address).await;
            }
            if self.gateway.fleet_revision() == 0 {
                self.fetch_targets(address).await;
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
