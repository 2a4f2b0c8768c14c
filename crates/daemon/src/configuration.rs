//! The active configuration, synchronized with the platform and with peers. Its version never decreases.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::config::{
    Command, Digest, Document, Event as Input, Freshness, Head, Reach, Snapshot, Source, Tracker,
};
use hawthornpost_core::id::Entry;
use hawthornpost_core::platform::Resource;
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

/// The interval at which the head is read although it is watched, which bounds the delay caused by a hung watch.
const HEAD_READ_INTERVAL: Duration = Duration::from_secs(2);
/// The retry delay for callers that are refused because the configuration may be stale.
const RETRY_AFTER: Duration = Duration::from_secs(5);
/// The number of recent documents that are kept to report the difference to an operator whose base is outdated.
const MAX_RECENT_DOCUMENTS: usize = 8;

/// The active configuration of this daemon.
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

    /// Returns the version, or 0 before the first one has been received.
    pub fn version(&self) -> u64 {
        *self.version.borrow()
    }

    /// Returns a receiver that is notified of version changes.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Activates a document if its version is higher, and returns whether it did.
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

/// Tracks configuration heads, fetches their chunks and determines whether the configuration may be stale.
#[derive(Debug)]
pub struct Configuration {
    context: Rc<Context>,
    tracker: RefCell<Tracker>,
    freshness: RefCell<Freshness>,
    handled_pause: Cell<Option<Instant>>,
    recent_documents: RefCell<VecDeque<Arc<Document>>>,
    changed: Notify,
}

/// Which systems a peer reaches, and its configuration version.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Reachability {
    /// Whether the peer reaches the platform.
    pub platform: bool,
    /// The active configuration version of the peer.
    pub version: u64,
}

impl Configuration {
    /// Returns the snapshot of the highest version that this entry host has.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.tracker.borrow().current().map(Arc::clone)
    }

    /// Returns the document of a version, if it was active recently.
    pub fn recent_document(&self, version: u64) -> Option<Arc<Document>> {
        let recent = self.recent_documents.borrow();
        recent
            .iter()
            .find(|document| document.version == version)
            .map(Arc::clone)
    }

    /// Returns which systems this entry host reaches.
    pub fn reach(&self) -> Reach {
        let timer = self.context.timer();
        let pause = timer.last_pause();
        if pause.is_some() && pause != self.handled_pause.replace(pause) {
            self.freshness.borrow_mut().clear();
        }
        self.freshness.borrow().reach(timer.now())
    }

    /// Refuses new work while the configuration of this entry host may be stale.
    ///
    /// # Errors
    ///
    /// Fails with a retry delay when neither the platform nor peers are reachable.
    pub fn check_fresh(&self) -> Result<()> {
        if self.reach().accepts_new_work() {
            return Ok(());
        }
        let detail = "this entry host reaches neither the platform nor its peers and may not know the configuration";
        Err(Error::unavailable(detail, RETRY_AFTER))
    }

    /// Records a reply of a peer and the configuration version that it has.
    pub fn record_peer_answer(self: &Rc<Self>, peer: &Entry, version: u64) {
        self.freshness.borrow_mut().peer_answered(self.context.timer().now());
        self.dispatch(Input::PeerVersion(peer.clone(), version));
    }

    /// Passes an event to the tracker and executes the resulting commands.
    pub fn dispatch(self: &Rc<Self>, event: Input) {
        let now = self.context.timer().now();
        let rank = self.context.component::<Members>().rank();
        self.tracker
            .borrow_mut()
            .set_rank(u32::try_from(rank).unwrap_or(u32::MAX));
        let commands = self.tracker.borrow_mut().handle(now, event);
        let platform = self.freshness.borrow().reach(now) == Reach::Platform;
        let behind = self.tracker.borrow().is_behind(platform);
        self.freshness.borrow_mut().set_behind(now, behind);
        for command in commands {
            self.execute(command);
        }
        self.changed.notify_one();
    }

    fn execute(self: &Rc<Self>, command: Command) {
        match command {
            Command::Apply(snapshot) => self.apply(&snapshot),
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
                tokio::task::spawn_local(Rc::clone(self).execute_async(command));
            }
        }
    }

    async fn execute_async(self: Rc<Self>, command: Command) {
        match command {
            Command::PullHead(peer) => self.pull_head(peer).await,
            Command::FetchChunk(source, hash) => self.fetch_chunk(source, hash).await,
            Command::Restore { head, resource_version } => self.restore(head, resource_version).await,
            Command::Apply(_) | Command::Displaced(_) | Command::Undecodable(..) => {}
        }
    }

    fn apply(&self, snapshot: &Snapshot) {
        let document = &snapshot.document;
        let mut recent = self.recent_documents.borrow_mut();
        recent.push_front(Arc::clone(document));
        recent.truncate(MAX_RECENT_DOCUMENTS);
        drop(recent);
        self.context.component::<Current>().apply(Document::clone(document));
        self.context.component::<Rollouts>().configure(document);
        let version = &document.version;
        Event::ConfigurationApplied { version }.log();
    }

    async fn pull_head(self: Rc<Self>, peer: Entry) {
        let members = self.context.component::<Members>();
        if let Some(Some(head)) = members.pull(&peer, Vec::new()).await.map(|state| state.head) {
            self.dispatch(Input::PeerHead(peer, head));
        }
    }

    async fn fetch_chunk(self: Rc<Self>, source: Source, hash: Digest) {
        let chunk = match &source {
            Source::Platform => store::read_chunk(&self.context.component::<platform::Client>(), hash).await,
            Source::Peer(peer) => self.peer_chunk(peer, hash).await,
        };
        match chunk {
            Ok(Some(chunk)) => self.dispatch(Input::Chunk(source, chunk)),
            Ok(None) => self.dispatch(Input::NoChunk(source, hash)),
            Err(error) => {
                log::debug!("cannot fetch configuration chunk {hash} from {source:?}: {error}");
                self.dispatch(Input::NoChunk(source, hash));
            }
        }
    }

    async fn peer_chunk(&self, peer: &Entry, hash: Digest) -> Result<Option<hawthornpost_core::config::Chunk>> {
        let Some(address) = self.context.component::<Members>().peer_address(peer) else {
            return Ok(None);
        };
        let client = self.context.component::<peer::Client>();
        client.call(address, "config_chunk", &hash).await
    }

    async fn restore(self: Rc<Self>, head: Head, resource_version: Option<String>) {
        let client = self.context.component::<platform::Client>();
        let Some(snapshot) = self.snapshot() else {
            return;
        };
        let written = async {
            store::put_chunks(&client, &snapshot.chunks).await?;
            store::put_head(&client, &head, resource_version).await
        };
        match written.await {
            Ok(answer) => {
                Event::ConfigurationRestored { version: &head.version }.log();
                log::debug!(
                    "writing configuration version {} to the platform returned {answer:?}",
                    head.version
                );
            }
            Err(error) => log::debug!(
                "cannot write configuration version {} to the platform: {error}",
                head.version
            ),
        }
        if let Err(error) = self.read().await {
            log::debug!("cannot read the configuration head from the platform: {error}");
        }
    }

    /// Reads the head from the platform.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn read(self: &Rc<Self>) -> Result<Option<hawthornpost_core::config::Stored>> {
        let stored = store::read_head(&self.context.component::<platform::Client>()).await?;
        self.record_platform_answer();
        self.dispatch(Input::PlatformHead(stored.clone()));
        Ok(stored)
    }

    fn record_platform_answer(&self) {
        self.freshness
            .borrow_mut()
            .platform_answered(self.context.timer().now());
    }
}

#[distributed_slice(PLUGINS)]
static CONFIGURATION: Plugin = Plugin {
    name: "configuration",
    stage: Stage::Cluster,
    start,
};

#[distributed_slice(METHODS)]
static CHUNK: Method = Method {
    name: "config_chunk",
    handle: |context, body| {
        Box::pin(async move {
            let hash = peer::decode::<Digest>(body)?;
            let snapshot = context.component::<Configuration>().snapshot();
            peer::encode(&snapshot.as_ref().and_then(|snapshot| snapshot.chunk(&hash)))
        })
    },
};

#[distributed_slice(METHODS)]
static REACH: Method = Method {
    name: "platform_reach",
    handle: |context, _| {
        Box::pin(async move {
            peer::encode(&Reachability {
                platform: context.component::<Configuration>().reach() == Reach::Platform,
                version: context.component::<Current>().version(),
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
        handled_pause: Cell::default(),
        recent_documents: RefCell::default(),
        changed: Notify::new(),
    });
    context.provide(Rc::clone(&configuration));
    let dumped = Rc::clone(&configuration);
    context.register_dump(
        "configuration",
        move || json!({ "version": current.version(), "reach": format!("{:?}", dumped.reach()) }),
    );
    tokio::task::spawn_local(watch_platform(Rc::clone(&configuration)));
    tokio::task::spawn_local(run_timer(Rc::clone(&configuration)));
    tokio::task::spawn_local(poll_peers(configuration));
    Ok(())
}

/// Reads the head and watches it until the next read is due.
async fn watch_platform(configuration: Rc<Configuration>) {
    let context = Rc::clone(&configuration.context);
    let poll_interval = context.settings().platform.poll_interval;
    let client = context.component::<platform::Client>();
    // Only the first error of an outage is logged; the platform client reports loss and recovery of the platform.
    let mut is_reported = false;
    loop {
        match configuration.read().await {
            Ok(stored) => {
                is_reported = false;
                let version = stored.and_then(|stored| store::parse_version(&stored.resource_version).ok());
                let version = version.unwrap_or_default();
                let watch = client.watch(Resource::ConfigHeads, version, |object| {
                    configuration.record_platform_answer();
                    if let Some(object) = object {
                        configuration.dispatch(Input::PlatformHead(Some(store::from_object(object))));
                    }
                });
                if let Some(Err(error)) = context.timer().timeout(HEAD_READ_INTERVAL, watch).await {
                    log::debug!("the watch of the configuration head failed: {error}");
                    context.timer().sleep(poll_interval).await;
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut is_reported, true) {
                    Event::ConfigurationUnread { error: &error }.log();
                }
                context.timer().sleep(poll_interval).await;
            }
        }
    }
}

async fn run_timer(configuration: Rc<Configuration>) {
    loop {
        let deadline = configuration.tracker.borrow().deadline();
        match deadline {
            Some(deadline) => {
                let sleep = configuration.context.timer().sleep_until(deadline);
                tokio::select! {
                    () = sleep => configuration.dispatch(Input::Tick),
                    () = configuration.changed.notified() => {}
                }
            }
            None => configuration.changed.notified().await,
        }
    }
}

/// Polls peers while the platform does not respond, so that an isolated entry host detects it.
async fn poll_peers(configuration: Rc<Configuration>) {
    let context = Rc::clone(&configuration.context);
    loop {
        context.timer().sleep(Duration::from_secs(1)).await;
        let should_ask = configuration.freshness.borrow().should_ask_peers(context.timer().now());
        if should_ask {
            for member in context.component::<Members>().others() {
                if let Ok(reach) = members::query_reachability(&context, member.peers).await {
                    configuration.record_peer_answer(&member.entry, reach.version);
                    break;
                }
            }
        }
    }
}
