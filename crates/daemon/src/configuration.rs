//! The configuration in force: follows the platform and peers, and only ever goes to higher versions.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::config::{
    Command, Digest, Document, Event as Seen, Freshness, Head, Held, Reach, Source, Tracker,
};
use hawthornpost_core::id::Entry;
use hawthornpost_core::platform::Plural;
use linkme::distributed_slice;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::{Notify, watch};

use crate::configuration_store as store;
use crate::error::{Error, Result};
use crate::event::Event;
use crate::kernel::Context;
use crate::members::{self, Members};
use crate::peer::{self, METHODS, Method};
use crate::platform;
use crate::plugin::{PLUGINS, Plugin, Stage};
use crate::rollouts::Rollouts;

/// The head is read again this often although it is watched, so that a watch that went silent delays nothing long.
const READ_INTERVAL: Duration = Duration::from_secs(2);
/// How long a caller should wait before it tries another entry host than this one.
const RETRY_AFTER: Duration = Duration::from_secs(5);
/// Documents kept for the difference that an operator with an old base gets.
const RECENT: usize = 8;

/// The configuration that this daemon applies.
#[derive(Debug)]
pub struct Current {
    document: RefCell<Rc<Document>>,
    version: watch::Sender<u64>,
}

impl Current {
    /// Returns the document.
    pub fn document(&self) -> Rc<Document> {
        Rc::clone(&self.document.borrow())
    }

    /// Returns the version, 0 before the first one is known.
    pub fn version(&self) -> u64 {
        *self.version.borrow()
    }

    /// Returns a receiver that follows the version.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Applies a document if its version is higher and returns whether it did.
    pub fn apply(&self, document: Document) -> bool {
        if document.version <= self.version() {
            return false;
        }
        let version = document.version;
        self.document.replace(Rc::new(document));
        self.version.send_replace(version);
        true
    }
}

/// Follows heads, fetches chunks and judges freshness.
#[derive(Debug)]
pub struct Configuration {
    context: Rc<Context>,
    tracker: RefCell<Tracker>,
    freshness: RefCell<Freshness>,
    last_pause: Cell<Option<Instant>>,
    recent: RefCell<VecDeque<Arc<Document>>>,
    changed: Notify,
}

/// What a peer reaches and has.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PeerReach {
    /// Whether the platform answers the peer.
    pub platform: bool,
    /// The highest version that the peer has.
    pub version: u64,
}

impl Configuration {
    /// Returns the highest version that this entry host has.
    pub fn held(&self) -> Option<Arc<Held>> {
        self.tracker.borrow().held().map(Arc::clone)
    }

    /// Returns the document of a version, if it was in force lately.
    pub fn recent(&self, version: u64) -> Option<Arc<Document>> {
        let recent = self.recent.borrow();
        recent
            .iter()
            .find(|document| document.version == version)
            .map(Arc::clone)
    }

    /// Returns what this entry host reaches.
    pub fn reach(&self) -> Reach {
        let timer = self.context.timer();
        let pause = timer.last_pause();
        if pause.is_some() && pause != self.last_pause.replace(pause) {
            self.freshness.borrow_mut().lapse();
        }
        self.freshness.borrow().reach(timer.now())
    }

    /// Refuses new work while this entry host may lack the configuration that is in force.
    ///
    /// # Errors
    ///
    /// Fails with a time to retry.
    pub fn check_fresh(&self) -> Result<()> {
        if self.reach().takes_new_work() {
            return Ok(());
        }
        let detail = "this entry host reaches neither the platform nor its peers and may not know the configuration";
        Err(Error::unavailable(detail, RETRY_AFTER))
    }

    /// Notes an answer of a peer and the version that it has.
    pub fn peer_answered(self: &Rc<Self>, peer: &Entry, version: u64) {
        self.freshness.borrow_mut().peer_answered(self.context.timer().now());
        self.feed(Seen::PeerVersion(peer.clone(), version));
    }

    /// Passes an event to the tracker and carries out what it wants.
    pub fn feed(self: &Rc<Self>, event: Seen) {
        let now = self.context.timer().now();
        let rank = self.context.part::<Members>().rank();
        self.tracker
            .borrow_mut()
            .set_rank(u32::try_from(rank).unwrap_or(u32::MAX));
        let commands = self.tracker.borrow_mut().handle(now, event);
        let platform = self.freshness.borrow().reach(now) == Reach::Platform;
        let behind = self.tracker.borrow().is_behind(platform);
        self.freshness.borrow_mut().behind(now, behind);
        for command in commands {
            self.carry_out(command);
        }
        self.changed.notify_one();
    }

    fn carry_out(self: &Rc<Self>, command: Command) {
        match command {
            Command::Apply(held) => self.apply(&held),
            Command::Displaced(past) => Event::ConfigurationDisplaced {
                version: &past.version,
                author: &past.author,
            }
            .log(),
            Command::Undecodable(version, error) => Event::ConfigurationUndecodable {
                version: &version,
                error: &error,
            }
            .log(),
            Command::PullHead(_) | Command::FetchChunk(..) | Command::Restore { .. } => {
                tokio::task::spawn_local(Rc::clone(self).call_out(command));
            }
        }
    }

    async fn call_out(self: Rc<Self>, command: Command) {
        match command {
            Command::PullHead(peer) => self.pull_head(peer).await,
            Command::FetchChunk(source, hash) => self.fetch_chunk(source, hash).await,
            Command::Restore { head, resource_version } => self.restore(head, resource_version).await,
            Command::Apply(_) | Command::Displaced(_) | Command::Undecodable(..) => {}
        }
    }

    fn apply(&self, held: &Held) {
        let document = &held.document;
        let mut recent = self.recent.borrow_mut();
        recent.push_front(Arc::clone(document));
        recent.truncate(RECENT);
        drop(recent);
        self.context.part::<Current>().apply(Document::clone(document));
        self.context.part::<Rollouts>().configure(document);
        let version = &document.version;
        Event::ConfigurationApplied { version }.log();
    }

    async fn pull_head(self: Rc<Self>, peer: Entry) {
        let members = self.context.part::<Members>();
        if let Some(Some(head)) = members.pull(&peer, Vec::new()).await.map(|state| state.head) {
            self.feed(Seen::PeerHead(peer, head));
        }
    }

    async fn fetch_chunk(self: Rc<Self>, source: Source, hash: Digest) {
        let chunk = match &source {
            Source::Platform => store::chunk(&self.context.part::<platform::Client>(), hash).await,
            Source::Peer(peer) => self.peer_chunk(peer, hash).await,
        };
        match chunk {
            Ok(Some(chunk)) => self.feed(Seen::Chunk(source, chunk)),
            Ok(None) => self.feed(Seen::NoChunk(source, hash)),
            Err(error) => {
                log::debug!("no chunk {hash}: {error}");
                self.feed(Seen::NoChunk(source, hash));
            }
        }
    }

    async fn peer_chunk(&self, peer: &Entry, hash: Digest) -> Result<Option<hawthornpost_core::config::Chunk>> {
        let Some(address) = self.context.part::<Members>().peer_address(peer) else {
            return Ok(None);
        };
        let client = self.context.part::<peer::Client>();
        client.call(address, "config_chunk", &hash).await
    }

    async fn restore(self: Rc<Self>, head: Head, resource_version: Option<String>) {
        let client = self.context.part::<platform::Client>();
        let Some(highest) = self.held() else {
            return;
        };
        let written = async {
            store::put_chunks(&client, &highest.chunks).await?;
            store::put_head(&client, &head, resource_version).await
        };
        match written.await {
            Ok(answer) => {
                Event::ConfigurationRestored { version: &head.version }.log();
                log::debug!("the write of the highest version ended with {answer:?}");
            }
            Err(error) => log::debug!("cannot write the highest version: {error}"),
        }
        if let Err(error) = self.read().await {
            log::debug!("{error}");
        }
    }

    /// Reads the head from the platform.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn read(self: &Rc<Self>) -> Result<Option<hawthornpost_core::config::Stored>> {
        let stored = store::head(&self.context.part::<platform::Client>()).await?;
        self.platform_answered();
        self.feed(Seen::PlatformHead(stored.clone()));
        Ok(stored)
    }

    fn platform_answered(&self) {
        self.freshness
            .borrow_mut()
            .platform_answered(self.context.timer().now());
    }
}

#[distributed_slice(PLUGINS)]
static CONFIGURATION: Plugin = Plugin {
    name: "configuration",
    stage: Stage::Fleet,
    start,
};

#[distributed_slice(METHODS)]
static CHUNK: Method = Method {
    name: "config_chunk",
    handle: |context, body| {
        Box::pin(async move {
            let hash = peer::decode::<Digest>(body)?;
            let held = context.part::<Configuration>().held();
            peer::encode(&held.as_ref().and_then(|held| held.chunk(&hash)))
        })
    },
};

#[distributed_slice(METHODS)]
static REACH: Method = Method {
    name: "platform_reach",
    handle: |context, _| {
        Box::pin(async move {
            peer::encode(&PeerReach {
                platform: context.part::<Configuration>().reach() == Reach::Platform,
                version: context.part::<Current>().version(),
            })
        })
    },
};

#[expect(clippy::unnecessary_wraps, reason = "the signature of all plug-ins")]
fn start(context: &Rc<Context>) -> Result<()> {
    let current = Rc::new(Current {
        document: RefCell::default(),
        version: watch::Sender::new(0),
    });
    context.provide(Rc::clone(&current));
    let configuration = Rc::new(Configuration {
        context: Rc::clone(context),
        tracker: RefCell::default(),
        freshness: RefCell::default(),
        last_pause: Cell::default(),
        recent: RefCell::default(),
        changed: Notify::new(),
    });
    context.provide(Rc::clone(&configuration));
    let dumped = Rc::clone(&configuration);
    context.on_dump(
        "configuration",
        move || json!({ "version": current.version(), "reach": format!("{:?}", dumped.reach()) }),
    );
    tokio::task::spawn_local(follow(Rc::clone(&configuration)));
    tokio::task::spawn_local(wake(Rc::clone(&configuration)));
    tokio::task::spawn_local(ask_peers(configuration));
    Ok(())
}

/// Reads the head and watches it until the next reading is due.
async fn follow(configuration: Rc<Configuration>) {
    let context = Rc::clone(&configuration.context);
    let poll = context.settings().platform.poll;
    let client = context.part::<platform::Client>();
    // An outage is reported by its first error; the client reports loss and return of the platform.
    let mut is_reported = false;
    loop {
        match configuration.read().await {
            Ok(stored) => {
                is_reported = false;
                let version = stored.and_then(|stored| store::version(&stored.resource_version).ok());
                let version = version.unwrap_or_default();
                let watch = client.watch(Plural::ConfigHeads, version, |object| {
                    configuration.platform_answered();
                    if let Some(object) = object {
                        configuration.feed(Seen::PlatformHead(Some(store::stored(object))));
                    }
                });
                if let Some(Err(error)) = context.timer().limit(READ_INTERVAL, watch).await {
                    log::debug!("the watch of the head ended: {error}");
                    context.timer().sleep(poll).await;
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut is_reported, true) {
                    Event::ConfigurationUnread { error: &error }.log();
                }
                context.timer().sleep(poll).await;
            }
        }
    }
}

async fn wake(configuration: Rc<Configuration>) {
    loop {
        let deadline = configuration.tracker.borrow().deadline();
        match deadline {
            Some(deadline) => {
                let sleep = configuration.context.timer().sleep_until(deadline);
                tokio::select! {
                    () = sleep => configuration.feed(Seen::Wake),
                    () = configuration.changed.notified() => {}
                }
            }
            None => configuration.changed.notified().await,
        }
    }
}

/// Asks peers while the platform does not answer, so that an entry host that is alone notices it.
async fn ask_peers(configuration: Rc<Configuration>) {
    let context = Rc::clone(&configuration.context);
    loop {
        context.timer().sleep(Duration::from_secs(1)).await;
        let asks = configuration.freshness.borrow().asks_peers(context.timer().now());
        if asks {
            for member in context.part::<Members>().others() {
                if let Ok(reach) = members::ask_reach(&context, member.peers).await {
                    configuration.peer_answered(&member.entry, reach.version);
                    break;
                }
            }
        }
    }
}
