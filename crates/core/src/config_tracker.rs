//! The highest configuration version of one entry.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::config::{Chunk, Digest, Head, Held, Past, Stored};
use crate::error::Result;
use crate::id::Entry;

/// Chunks asked for at a time; a whole configuration of the design size has about 230.
const MAX_FETCHES: usize = 8;
/// How long a fetch may take before another source is asked.
const FETCH_LIMIT: Duration = Duration::from_millis(500);
/// Entries wait one step per rank before they restore the platform, so that one of them writes.
const RESTORE_STEP: Duration = Duration::from_millis(200);
/// After a restore without result the next one waits this long, one write and its answer.
const RESTORE_PAUSE: Duration = Duration::from_secs(1);

/// Follows the configuration and only ever goes up.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    held: Option<Arc<Held>>,
    pending: Option<Pending>,
    rejected: BTreeSet<Digest>,
    platform: Seen,
    restore_at: Option<Instant>,
    rank: u32,
}

/// What the platform was last seen to have.
#[derive(Clone, Debug, Default)]
enum Seen {
    #[default]
    Unknown,
    Nothing,
    Head(Stored),
}

/// A higher version whose chunks are being fetched.
#[derive(Clone, Debug)]
struct Pending {
    head: Head,
    found: BTreeMap<Digest, Chunk>,
    queue: VecDeque<Digest>,
    fetching: BTreeMap<Digest, (Source, Instant)>,
    peers: Vec<Entry>,
    turn: usize,
}

/// Where a head or a chunk comes from.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The platform.
    Platform,
    /// A peer.
    Peer(Entry),
}

/// What the tracker learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// The platform's head, from a watch or a poll; `None` when there is none.
    PlatformHead(Option<Stored>),
    /// A peer's membership message names a version.
    PeerVersion(Entry, u64),
    /// A peer sent its head.
    PeerHead(Entry, Head),
    /// A source sent a chunk.
    Chunk(Source, Chunk),
    /// A source did not send a chunk.
    NoChunk(Source, Digest),
    /// This entry wrote a version itself and has its chunks.
    Written(Held),
    /// A deadline passed.
    Wake,
}

/// What the tracker needs to have done.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Ask a peer for its head.
    PullHead(Entry),
    /// Ask a source for a chunk.
    FetchChunk(Source, Digest),
    /// Put a version into force; it is higher than every version before.
    Apply(Arc<Held>),
    /// Store the chunks of this head that the platform lacks, then write the head on this condition, then read the
    /// head again.
    Restore {
        /// The head.
        head: Head,
        /// The version of the object that is replaced; without one, the object is created.
        resource_version: Option<String>,
    },
    /// An accepted version is lost, because the platform went on from older contents; operators have to be told.
    Displaced(Past),
    /// A version cannot be decoded and is skipped; the text has problem and remedy.
    Undecodable(u64, String),
}

impl Tracker {
    /// Creates a tracker that knows no version.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the highest version.
    pub fn held(&self) -> Option<&Arc<Held>> {
        self.held.as_ref()
    }

    /// Returns the number of the highest version, zero without one.
    pub fn version(&self) -> u64 {
        self.held.as_ref().map_or(0, |held| held.head.version)
    }

    /// Returns whether a higher version is known that the platform or a peer could send.
    ///
    /// A version that neither can send does not keep the entry from working, because no other entry can get it either.
    pub fn is_behind(&self, platform_answers: bool) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|pending| platform_answers || !pending.peers.is_empty())
    }

    /// Sets the position of this entry among the live members; it decides who restores the platform first.
    pub fn set_rank(&mut self, rank: u32) {
        self.rank = rank;
    }

    /// Returns when [`Event::Wake`] is due.
    pub fn deadline(&self) -> Option<Instant> {
        let fetches = self.pending.iter().flat_map(|pending| pending.fetching.values());
        fetches
            .map(|(_, sent)| *sent + FETCH_LIMIT)
            .chain(self.restore_at)
            .min()
    }

    /// Takes an event.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Command> {
        match event {
            Event::PlatformHead(stored) => self.platform_head(now, stored),
            Event::PeerVersion(peer, version) => self.peer_version(peer, version),
            Event::PeerHead(peer, head) => self.higher_head(now, head, Source::Peer(peer)),
            Event::Chunk(source, chunk) => self.chunk(now, &source, chunk),
            Event::NoChunk(source, hash) => self.no_chunk(now, &source, hash),
            Event::Written(held) => self.apply(held),
            Event::Wake => self.wake(now),
        }
    }

    fn platform_head(&mut self, now: Instant, stored: Option<Stored>) -> Vec<Command> {
        self.platform = stored.clone().map_or(Seen::Nothing, Seen::Head);
        let mut commands = match stored {
            Some(stored) => self.higher_head(now, stored.head, Source::Platform),
            None => Vec::new(),
        };
        self.schedule_restore(now);
        if self.restore_at.is_some_and(|at| at <= now) {
            commands.extend(self.restore(now));
        }
        commands
    }

    fn peer_version(&mut self, peer: Entry, version: u64) -> Vec<Command> {
        let pending = self.pending.as_ref().map_or(0, |pending| pending.head.version);
        if version > self.version().max(pending) {
            return vec![Command::PullHead(peer)];
        }
        if let Some(pending) = &mut self.pending
            && version == pending.head.version
            && !pending.peers.contains(&peer)
        {
            pending.peers.push(peer);
        }
        Vec::new()
    }

    /// Starts to fetch a head if it is higher than all heads so far.
    fn higher_head(&mut self, now: Instant, head: Head, source: Source) -> Vec<Command> {
        let known = self.pending.as_ref().map_or(0, |pending| pending.head.version);
        if head.version <= self.version().max(known) || !head.is_intact() || self.rejected.contains(&head.digest) {
            return Vec::new();
        }
        let mut pending = Pending::new(head, source);
        let current = self.held.iter().flat_map(|held| &held.chunks);
        let earlier = self.pending.iter().flat_map(|pending| pending.found.values());
        pending.reuse(current.chain(earlier));
        self.pending = Some(pending);
        self.proceed(now)
    }

    fn chunk(&mut self, now: Instant, source: &Source, chunk: Chunk) -> Vec<Command> {
        if !chunk.is_intact() {
            return self.no_chunk(now, source, chunk.hash);
        }
        let is_wanted = self.pending.as_mut().is_some_and(|pending| pending.take(chunk));
        if is_wanted { self.proceed(now) } else { Vec::new() }
    }

    fn no_chunk(&mut self, now: Instant, source: &Source, hash: Digest) -> Vec<Command> {
        let Some(pending) = &mut self.pending else {
            return Vec::new();
        };
        // The slot stays taken until the fetch limit, so that a source that fails at once is not asked in a loop.
        match pending.fetching.get_mut(&hash) {
            Some((asked, _)) if asked == source => pending.fail(now, hash),
            _ => Vec::new(),
        }
    }

    fn wake(&mut self, now: Instant) -> Vec<Command> {
        let mut commands = self
            .pending
            .as_mut()
            .map_or_else(Vec::new, |pending| pending.retry(now));
        if self.restore_at.is_some_and(|at| at <= now) {
            commands.extend(self.restore(now));
        }
        commands
    }

    /// Applies the pending version when it is complete, and fetches more of it otherwise.
    fn proceed(&mut self, now: Instant) -> Vec<Command> {
        let Some(pending) = &mut self.pending else {
            return Vec::new();
        };
        if !pending.is_complete() {
            return pending.fetch(now);
        }
        let (version, digest) = (pending.head.version, pending.head.digest);
        match self.pending.take().map(Pending::into_held) {
            Some(Ok(held)) => self.apply(held),
            Some(Err(error)) => {
                self.rejected.insert(digest);
                vec![Command::Undecodable(version, error.to_string())]
            }
            None => Vec::new(),
        }
    }

    fn apply(&mut self, held: Held) -> Vec<Command> {
        if held.head.version <= self.version() {
            return Vec::new();
        }
        let mut commands = Vec::new();
        if let Some(old) = &self.held
            && held.head.diverges_from(&old.head)
        {
            commands.push(Command::Displaced(old.head.as_past()));
        }
        let version = held.head.version;
        let held = Arc::new(held);
        self.held = Some(Arc::clone(&held));
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.head.version <= version)
        {
            self.pending = None;
        }
        commands.push(Command::Apply(held));
        commands
    }

    /// Plans a restore when the platform's contents are older than the version held or belong to another line.
    fn schedule_restore(&mut self, now: Instant) {
        let older = match (&self.platform, &self.held) {
            (Seen::Nothing, Some(_)) => true,
            (Seen::Head(stored), Some(held)) => {
                let (theirs, ours) = (&stored.head, &held.head);
                theirs.version < ours.version || (theirs.version == ours.version && theirs.digest != ours.digest)
            }
            _ => false,
        };
        if !older {
            self.restore_at = None;
        } else if self.restore_at.is_none() {
            self.restore_at = Some(now + RESTORE_STEP * self.rank);
        }
    }

    fn restore(&mut self, now: Instant) -> Option<Command> {
        let held = self.held.as_ref()?;
        let stored = match &self.platform {
            Seen::Unknown => return None,
            Seen::Nothing => None,
            Seen::Head(stored) => Some(stored),
        };
        self.restore_at = Some(now + RESTORE_PAUSE + RESTORE_STEP * self.rank);
        let restored = match stored {
            Some(stored) if held.head.diverges_from(&stored.head) => held.head.displacing(&stored.head),
            _ => held.head.clone(),
        };
        Some(Command::Restore {
            head: restored,
            resource_version: stored.map(|stored| stored.resource_version.clone()),
        })
    }
}

impl Pending {
    fn new(head: Head, source: Source) -> Self {
        let peers = match source {
            Source::Platform => Vec::new(),
            Source::Peer(peer) => vec![peer],
        };
        Self {
            queue: head.chunks.iter().copied().collect(),
            head,
            found: BTreeMap::new(),
            fetching: BTreeMap::new(),
            peers,
            turn: 0,
        }
    }

    /// Takes over chunks that earlier versions share with this one.
    fn reuse<'a>(&mut self, chunks: impl Iterator<Item = &'a Chunk>) {
        let wanted = self.queue.iter().copied().collect::<BTreeSet<_>>();
        let shared = chunks.filter(|chunk| wanted.contains(&chunk.hash));
        self.found.extend(shared.map(|chunk| (chunk.hash, chunk.clone())));
        self.queue.retain(|hash| !self.found.contains_key(hash));
    }

    fn is_complete(&self) -> bool {
        self.queue.is_empty() && self.fetching.is_empty()
    }

    fn into_held(self) -> Result<Held> {
        let chunks = self.head.chunks.iter().filter_map(|hash| self.found.get(hash).cloned());
        let chunks = chunks.collect();
        Held::new(self.head, chunks)
    }

    fn fetch(&mut self, now: Instant) -> Vec<Command> {
        let mut commands = Vec::new();
        while self.fetching.len() < MAX_FETCHES {
            let Some(hash) = self.queue.pop_front() else {
                break;
            };
            let source = self.source();
            self.fetching.insert(hash, (source.clone(), now));
            commands.push(Command::FetchChunk(source, hash));
        }
        commands
    }

    /// Returns the source whose turn it is: peers that have the version, then the platform.
    fn source(&self) -> Source {
        match self.peers.get(self.turn % (self.peers.len() + 1)) {
            Some(peer) => Source::Peer(peer.clone()),
            None => Source::Platform,
        }
    }

    /// Asks the next source, at once while there are sources that did not fail yet in this round.
    fn fail(&mut self, now: Instant, hash: Digest) -> Vec<Command> {
        let round_over = matches!(self.source(), Source::Platform);
        self.turn = self.turn.wrapping_add(1);
        if round_over {
            return Vec::new();
        }
        let source = self.source();
        self.fetching.insert(hash, (source.clone(), now));
        vec![Command::FetchChunk(source, hash)]
    }

    fn retry(&mut self, now: Instant) -> Vec<Command> {
        let late = self.fetching.iter().filter(|(_, (_, sent))| *sent + FETCH_LIMIT <= now);
        let late = late.map(|(hash, _)| *hash).collect::<Vec<_>>();
        if late.is_empty() {
            return Vec::new();
        }
        self.turn = self.turn.wrapping_add(1);
        for hash in late {
            self.fetching.remove(&hash);
            self.queue.push_back(hash);
        }
        self.fetch(now)
    }

    /// Keeps a chunk that is missing and returns whether it was.
    fn take(&mut self, chunk: Chunk) -> bool {
        let queued = self.queue.iter().position(|hash| *hash == chunk.hash);
        let is_missing = self.fetching.remove(&chunk.hash).is_some() || queued.is_some();
        if let Some(index) = queued {
            self.queue.remove(index);
        }
        if is_missing {
            self.found.insert(chunk.hash, chunk);
        }
        is_missing
    }
}
