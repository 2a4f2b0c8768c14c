//! Keeps configuration and targets equal to the platform's store, with the help of peers while the store is away.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hawthornpost_core::clock::Instant;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::event::Event;
use crate::gateway::Gateway;
use crate::outbound::Connection;
use crate::platform::{Change, Failure, Kind, Object, Platform};
use crate::target::Target;

/// How long the store may hold a watch. A watch that went silent is noticed a little later, which has to be soon enough
/// for a change to be in force in time.
const WATCH_WAIT: Duration = Duration::from_millis(3000);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// The longest pause after failed calls.
const LONGEST_RETRY_PAUSE: Duration = Duration::from_millis(600);
/// How long a target is kept whose entry lapsed while the store was away; by then a live one has registered again.
const LAPSE_GRACE: Duration = Duration::from_millis(2200);
/// How long a peer may be ahead before its knowledge is fetched; usually the own watch is as fast.
const PEER_LEAD: Duration = Duration::from_millis(120);
/// How long a target may serve that the store does not list; servers register within a heartbeat or two.
const UNLISTED_GRACE: Duration = Duration::from_millis(3500);
/// How long a watch waits while lapsed targets are kept.
const LAPSE_CHECK: Duration = Duration::from_millis(400);
/// The time limit of a call to a peer.
const PEER_LIMIT: Duration = Duration::from_millis(500);
/// The pause between two rounds of asking peers at start.
const START_PAUSE: Duration = Duration::from_millis(200);
/// The largest answer of a peer, in bytes.
const PEER_BYTES: usize = 8 << 20;

/// The path of the configuration at a peer.
pub(crate) const CONFIG_PATH: &str = "/v1/config";
/// The path of the targets at a peer.
pub(crate) const TARGETS_PATH: &str = "/v1/targets";

/// The targets as a peer passes them on.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Targets {
    /// The store's revision.
    pub revision: u64,
    /// The targets.
    pub targets: Vec<Target>,
}

/// Follows the store.
pub(crate) struct Sync<P> {
    gateway: Rc<Gateway>,
    platform: P,
    link: Link,
    /// Targets whose entries lapsed while the store was away, with the time at which they count as gone.
    lapsed: RefCell<BTreeMap<String, Option<Instant>>>,
}

/// Whether the store answers.
#[derive(Debug, Default)]
struct Link {
    lost_at: Cell<Option<Instant>>,
    back_at: Cell<Option<Instant>>,
}

impl<P: Platform> Sync<P> {
    /// Starts to follow the store.
    pub(crate) fn start(gateway: &Rc<Gateway>, platform: P) {
        let sync = Rc::new(Self {
            gateway: Rc::clone(gateway),
            platform,
            link: Link::default(),
            lapsed: RefCell::default(),
        });
        for kind in [Kind::Config, Kind::Targets] {
            let sync = Rc::clone(&sync);
            tokio::task::spawn_local(async move { sync.follow(kind).await });
        }
        let news = Rc::clone(&sync);
        tokio::task::spawn_local(async move { news.follow_peers().await });
        tokio::task::spawn_local(async move { sync.ask_at_start().await });
    }

    async fn follow(&self, kind: Kind) {
        let mut pause = RETRY_PAUSE;
        loop {
            match self.platform.list(kind).await {
                Ok(listing) => {
                    self.note_back();
                    pause = RETRY_PAUSE;
                    self.apply_listing(kind, listing.objects, listing.revision);
                    self.follow_changes(kind, listing.revision).await;
                }
                Err(error) => {
                    self.note_lost(&error);
                    self.gateway.timer().sleep(pause).await;
                    pause = (pause * 2).min(LONGEST_RETRY_PAUSE);
                }
            }
        }
    }

    /// Applies changes until the history is gone.
    async fn follow_changes(&self, kind: Kind, mut revision: u64) {
        let mut pause = RETRY_PAUSE;
        loop {
            let wait = if self.lapsed.borrow().is_empty() { WATCH_WAIT } else { LAPSE_CHECK };
            match self.platform.watch(kind, revision, wait).await {
                Ok(changes) => {
                    self.note_back();
                    pause = RETRY_PAUSE;
                    revision = changes.revision.max(revision);
                    for change in changes.changes {
                        self.apply(change, revision);
                    }
                    self.finish(kind, revision);
                }
                Err(Failure::HistoryGone) => return,
                Err(error) => {
                    self.note_lost(&error);
                    self.gateway.timer().sleep(pause).await;
                    pause = (pause * 2).min(LONGEST_RETRY_PAUSE);
                }
            }
        }
    }

    fn finish(&self, kind: Kind, revision: u64) {
        if kind == Kind::Targets {
            self.gateway.set_fleet_revision(revision);
            self.drop_lapsed(revision);
            self.drop_unlisted(revision);
        }
    }

    fn apply_listing(&self, kind: Kind, objects: Vec<Object>, revision: u64) {
        let mut listed = BTreeSet::new();
        for object in objects {
            match &object {
                Object::Target(target) => {
                    listed.insert(target.id.clone());
                }
                Object::Unusable(_) | Object::Config(_) => {}
            }
            self.apply(Change::Put(object), revision);
        }
        if kind == Kind::Targets {
            let known = self.gateway.fleet().borrow().targets().map(|target| target.id.clone()).collect::<Vec<_>>();
            for id in known.into_iter().filter(|id| !listed.contains(id)) {
                self.apply(Change::Deleted(id), revision);
            }
        }
        self.finish(kind, revision);
    }

    fn apply(&self, change: Change, revision: u64) {
        match change {
            Change::Put(Object::Config(config)) => self.gateway.put_config(*config, "store"),
            Change::Put(Object::Target(target)) => {
                self.lapsed.borrow_mut().remove(&target.id);
                put_target(&self.gateway, target, revision);
            }
            Change::Put(Object::Unusable(id)) | Change::Deleted(id) => self.remove(&id, revision),
        }
    }

    /// Removes a target, unless its entry may only have lapsed because the store was away.
    fn remove(&self, id: &str, revision: u64) {
        let Some(target) = self.gateway.fleet().borrow().get(id).map(Rc::clone) else {
            return;
        };
        let gone_at = self.lapse_end();
        if gone_at.is_some_and(|at| at > self.gateway.now()) && !target.is_leaving {
            self.lapsed.borrow_mut().entry(id.to_owned()).or_insert(gone_at);
            return;
        }
        remove_target(&self.gateway, &target, revision);
    }

    /// Returns until when a lapsed entry may come back; `None` when the store was not away.
    fn lapse_end(&self) -> Option<Instant> {
        let back = self.link.back_at.get()?;
        Some(back + LAPSE_GRACE)
    }

    fn drop_lapsed(&self, revision: u64) {
        let now = self.gateway.now();
        let mut lapsed = self.lapsed.borrow_mut();
        let gone = lapsed.iter().filter(|(_, at)| at.is_none_or(|at| at <= now));
        let gone = gone.map(|(id, _)| id.clone()).collect::<Vec<_>>();
        for id in gone {
            lapsed.remove(&id);
            let target = self.gateway.fleet().borrow().get(&id).map(Rc::clone);
            if let Some(target) = target {
                remove_target(&self.gateway, &target, revision);
            }
        }
    }

    /// Drops targets that were found without the store and that it does not list in time.
    fn drop_unlisted(&self, revision: u64) {
        let now = self.gateway.now();
        if now.since(self.link.back_at.get().unwrap_or_default()) < UNLISTED_GRACE {
            return;
        }
        let limit = Instant::from_start(now.since_start().saturating_sub(UNLISTED_GRACE));
        let unlisted = self.gateway.fleet().borrow().unlisted_before(limit);
        for target in unlisted {
            remove_target(&self.gateway, &target, revision);
        }
    }

    fn note_lost(&self, error: &Failure) {
        if self.link.lost_at.get().is_some() {
            return;
        }
        self.link.lost_at.set(Some(self.gateway.now()));
        Event::DependencyLost {
            dependency: "store",
            error: &error.to_string(),
            what: "the platform's store does not answer; the last known state stays in use",
        }
        .log();
    }

    fn note_back(&self) {
        let Some(lost) = self.link.lost_at.take() else {
            return;
        };
        let now = self.gateway.now();
        self.link.back_at.set(Some(now));
        let away_ms = millis(now.since(lost));
        let what = "the platform's store answers again";
        Event::DependencyBack { dependency: "store", away_ms, what }.log();
    }

    /// Fetches from peers what they know and this host does not, for as long as it runs.
    async fn follow_peers(&self) {
        loop {
            self.gateway.peers().news().await;
            self.gateway.timer().sleep(PEER_LEAD).await;
            let version = self.gateway.config_version();
            if let Some(address) = self.gateway.peers().with_newer_config(version) {
                fetch_config(&self.gateway, address).await;
            }
            // While the store answers, its watch brings the targets in order.
            if self.link.lost_at.get().is_some() {
                let revision = self.gateway.fleet_revision();
                if let Some(address) = self.gateway.peers().with_newer_targets(revision) {
                    fetch_targets(&self.gateway, address).await;
                }
            }
        }
    }

    /// Asks peers for configuration and targets while the store has not given them.
    async fn ask_at_start(&self) {
        while !self.gateway.is_ready() {
            self.gateway.timer().sleep(START_PAUSE).await;
            for address in self.gateway.peers().sources() {
                if self.gateway.config_version() == 0 {
                    fetch_config(&self.gateway, address).await;
                }
                if self.gateway.fleet_revision() == 0 {
                    fetch_targets(&self.gateway, address).await;
                }
                if self.gateway.is_ready() {
                    return;
                }
            }
        }
    }
}

async fn fetch_config(gateway: &Gateway, address: SocketAddr) {
    if let Some(config) = fetch::<Config>(gateway, address, CONFIG_PATH).await {
        gateway.put_config(config, "peer");
    }
}

async fn fetch_targets(gateway: &Gateway, address: SocketAddr) {
    let Some(targets) = fetch::<Targets>(gateway, address, TARGETS_PATH).await else {
        return;
    };
    let revision = targets.revision;
    if revision <= gateway.fleet_revision() {
        return;
    }
    let listed = targets.targets.iter().map(|target| target.id.clone()).collect::<BTreeSet<_>>();
    for target in targets.targets {
        put_target(gateway, target, revision);
    }
    let known = gateway.fleet().borrow().targets().map(Rc::clone).collect::<Vec<_>>();
    for target in known.iter().filter(|target| !listed.contains(&target.id)) {
        remove_target(gateway, target, revision);
    }
    gateway.set_fleet_revision(revision);
}

async fn fetch<T: for<'a> Deserialize<'a>>(gateway: &Gateway, address: SocketAddr, path: &str) -> Option<T> {
    let request = Request::get(path).header(HOST, address.to_string()).body(Full::<Bytes>::default()).ok()?;
    let exchange = async {
        let mut connection = Connection::open(address, PEER_LIMIT).await?;
        connection.exchange(request, PEER_BYTES).await
    };
    let answer = gateway.timer().limit(PEER_LIMIT, exchange).await;
    match answer {
        Some(Ok((status, body))) if status.is_success() => match serde_json::from_slice(&body) {
            Ok(value) => Some(value),
            Err(error) => {
                log::debug!("answer of peer {address} for {path} is malformed: {error}");
                None
            }
        },
        Some(Ok((status, _))) => {
            log::debug!("peer {address} has no {path}: {status}");
            None
        }
        Some(Err(error)) => {
            log::debug!("peer {address}: {error}");
            None
        }
        None => {
            log::debug!("peer {address} did not answer for {path}");
            None
        }
    }
}

fn put_target(gateway: &Gateway, target: Target, revision: u64) {
    let mut fleet = gateway.fleet().borrow_mut();
    if fleet.get(&target.id).is_some_and(|known| **known == target) {
        return;
    }
    Event::TargetChanged {
        target: &target.id,
        service: &target.service,
        state: if target.is_leaving { "leaving" } else { "ready" },
        revision,
        what: "a target is new or has changed",
    }
    .log();
    fleet.put(target);
}

fn remove_target(gateway: &Gateway, target: &Target, revision: u64) {
    gateway.fleet().borrow_mut().remove(&target.id);
    Event::TargetChanged {
        target: &target.id,
        service: &target.service,
        state: "gone",
        revision,
        what: "a target is gone and gets no new work",
    }
    .log();
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
