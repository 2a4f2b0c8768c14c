//! Tracks and fetches the highest configuration version.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::config::{Chunk, Digest, Head, Snapshot, Stored, Summary};
use crate::error::Result;
use crate::id::Entry;

/// The number of chunks fetched concurrently; a configuration of the design size has about 230.
const MAX_CONCURRENT_FETCHES: usize = 8;
/// How long a fetch may take before the chunk is requested from another source.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Entries delay a restore of the platform by this much per rank, so that only one of them writes.
const RESTORE_DELAY_PER_RANK: Duration = Duration::from_millis(200);
/// The delay before a restore without effect is repeated: the time of one write and its response.
const RESTORE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Follows the configuration; its version never decreases.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    current: Option<Arc<Snapshot>>,
    pending: Option<Pending>,
    rejected: BTreeSet<Digest>,
    platform: Observation,
    restore_at: Option<Instant>,
    rank: u32,
}

/// The last known contents of the platform.
#[derive(Clone, Debug, Default)]
enum Observation {
    #[default]
    Unknown,
    Nothing,
    Head(Stored),
}

/// A higher version whose chunks are being fetched.
#[derive(Clone, Debug)]
struct Pending {
    head: Head,
    chunks: BTreeMap<Digest, Chunk>,
    queue: VecDeque<Digest>,
    fetching: BTreeMap<Digest, (Source, Instant)>,
    peers: Vec<Entry>,
    source_index: usize,
}

/// The source of a head or a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The platform.
    Platform,
    /// A peer.
    Peer(Entry),
}

/// Input of a [`Tracker`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The platform's head, from a watch or a poll; `None` when the platform has none.
    PlatformHead(Option<Stored>),
    /// A peer reported its version in a membership message.
    PeerVersion(Entry, u64),
    /// A peer sent its head.
    PeerHead(Entry, Head),
    /// A source sent a chunk.
    Chunk(Source, Chunk),
    /// A source could not send a chunk.
    NoChunk(Source, Digest),
    /// This entry wrote a version itself and has its chunks.
    Written(Snapshot),
    /// A deadline passed.
    Tick,
}

/// Output of a [`Tracker`].
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Request the head of a peer.
    PullHead(Entry),
    /// Request a chunk from a source.
    FetchChunk(Source, Digest),
    /// Apply a version; it is higher than every version applied before.
    Apply(Arc<Snapshot>),
    /// Store the chunks of this head that the platform lacks, write the head conditionally, then read the head again.
    Restore {
        /// The head.
        head: Head,
        /// The resource version of the object to replace; `None` creates the object.
        resource_version: Option<String>,
    },
    /// Report to operators that an accepted version was displaced, because the platform continued from older contents.
    Displaced(Summary),
    /// Report that a version cannot be decoded and is skipped; the text contains problem and remedy.
    Undecodable(u64, String),
}

impl Tracker {
    /// Creates a tracker without a version.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current version, which is the highest one applied.
    pub fn current(&self) -> Option<&Arc<Snapshot>> {
        self.current.as_ref()
    }

    /// Returns the number of the current version, or zero without one.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |snapshot| snapshot.head.version)
    }

    /// Returns whether a higher version is known that the platform or a peer could send.
    ///
    /// A version that neither can send does not count, because no other entry can fetch it either.
    pub fn is_behind(&self, platform_answers: bool) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|pending| platform_answers || !pending.peers.is_empty())
    }

    /// Sets the position of this entry among the live members, which decides who restores the platform first.
    pub fn set_rank(&mut self, rank: u32) {
        self.rank = rank;
    }

    /// Returns when [`Event::Tick`] is due.
    pub fn deadline(&self) -> Option<Instant> {
        let fetches = self.pending.iter().flat_map(|pending| pending.fetching.values());
        fetches
            .map(|(_, sent)| *sent + FETCH_TIMEOUT)
            .chain(self.restore_at)
            .min()
    }

    /// Handles an event and returns the commands to execute.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Command> {
        match event {
            Event::PlatformHead(stored) => self.platform_head(now, stored),
            Event::PeerVersion(peer, version) => self.peer_version(peer, version),
            Event::PeerHead(peer, head) => self.higher_head(now, head, Source::Peer(peer)),
            Event::Chunk(source, chunk) => self.chunk(now, &source, chunk),
            Event::NoChunk(source, hash) => self.no_chunk(now, &source, hash),
            Event::Written(snapshot) => self.apply(snapshot),
            Event::Tick => self.tick(now),
        }
    }

    fn platform_head(&mut self, now: Instant, stored: Option<Stored>) -> Vec<Command> {
        self.platform = stored.clone().map_or(Observation::Nothing, Observation::Head);
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

    /// Starts to fetch the version of a head if it is higher than all known ones.
    fn higher_head(&mut self, now: Instant, head: Head, source: Source) -> Vec<Command> {
        let known = self.pending.as_ref().map_or(0, |pending| pending.head.version);
        if head.version <= self.version().max(known) || !head.is_intact() || self.rejected.contains(&head.digest) {
            return Vec::new();
        }
        let mut pending = Pending::new(head, source);
        let current = self.current.iter().flat_map(|snapshot| &snapshot.chunks);
        let earlier = self.pending.iter().flat_map(|pending| pending.chunks.values());
        pending.reuse(current.chain(earlier));
        self.pending = Some(pending);
        self.continue_pending(now)
    }

    fn chunk(&mut self, now: Instant, source: &Source, chunk: Chunk) -> Vec<Command> {
        if !chunk.is_intact() {
            return self.no_chunk(now, source, chunk.hash);
        }
        let is_wanted = self.pending.as_mut().is_some_and(|pending| pending.insert(chunk));
        if is_wanted {
            self.continue_pending(now)
        } else {
            Vec::new()
        }
    }

    fn no_chunk(&mut self, now: Instant, source: &Source, hash: Digest) -> Vec<Command> {
        let Some(pending) = &mut self.pending else {
            return Vec::new();
        };
        // When all sources have failed, the fetch stays registered until its timeout, so that sources that fail at once
        // are not asked in a loop.
        match pending.fetching.get_mut(&hash) {
            Some((current, _)) if current == source => pending.try_next_source(now, hash),
            _ => Vec::new(),
        }
    }

    fn tick(&mut self, now: Instant) -> Vec<Command> {
        let mut commands = self
            .pending
            .as_mut()
            .map_or_else(Vec::new, |pending| pending.retry_timed_out(now));
        if self.restore_at.is_some_and(|at| at <= now) {
            commands.extend(self.restore(now));
        }
        commands
    }

    /// Applies the pending version when it is complete, and fetches more of it otherwise.
    fn continue_pending(&mut self, now: Instant) -> Vec<Command> {
        let Some(pending) = &mut self.pending else {
            return Vec::new();
        };
        if !pending.is_complete() {
            return pending.fetch(now);
        }
        let (version, digest) = (pending.head.version, pending.head.digest);
        match self.pending.take().map(Pending::into_snapshot) {
            Some(Ok(snapshot)) => self.apply(snapshot),
            Some(Err(error)) => {
                self.rejected.insert(digest);
                vec![Command::Undecodable(version, error.to_string())]
            }
            None => Vec::new(),
        }
    }

    fn apply(&mut self, snapshot: Snapshot) -> Vec<Command> {
        if snapshot.head.version <= self.version() {
            return Vec::new();
        }
        let mut commands = Vec::new();
        if let Some(old) = &self.current
            && snapshot.head.diverges_from(&old.head)
        {
            commands.push(Command::Displaced(old.head.summary()));
        }
        let version = snapshot.head.version;
        let snapshot = Arc::new(snapshot);
        self.current = Some(Arc::clone(&snapshot));
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.head.version <= version)
        {
            self.pending = None;
        }
        commands.push(Command::Apply(snapshot));
        commands
    }

    /// Schedules a restore when the platform's contents are older than the current version or diverge from it.
    fn schedule_restore(&mut self, now: Instant) {
        let needs_restore = match (&self.platform, &self.current) {
            (Observation::Nothing, Some(_)) => true,
            (Observation::Head(stored), Some(snapshot)) => {
                let (theirs, ours) = (&stored.head, &snapshot.head);
                theirs.version < ours.version || (theirs.version == ours.version && theirs.digest != ours.digest)
            }
            _ => false,
        };
        if !needs_restore {
            self.restore_at = None;
        } else if self.restore_at.is_none() {
            self.restore_at = Some(now + RESTORE_DELAY_PER_RANK * self.rank);
        }
    }

    fn restore(&mut self, now: Instant) -> Option<Command> {
        let snapshot = self.current.as_ref()?;
        let stored = match &self.platform {
            Observation::Unknown => return None,
            Observation::Nothing => None,
            Observation::Head(stored) => Some(stored),
        };
        self.restore_at = Some(now + RESTORE_RETRY_INTERVAL + RESTORE_DELAY_PER_RANK * self.rank);
        let restored = match stored {
            Some(stored) if snapshot.head.diverges_from(&stored.head) => snapshot.head.displacing(&stored.head),
            _ => snapshot.head.clone(),
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
            chunks: BTreeMap::new(),
            fetching: BTreeMap::new(),
            peers,
            source_index: 0,
        }
    }

    /// Reuses chunks that earlier versions share with this one.
    fn reuse<'a>(&mut self, chunks: impl Iterator<Item = &'a Chunk>) {
        let wanted = self.queue.iter().copied().collect::<BTreeSet<_>>();
        let shared = chunks.filter(|chunk| wanted.contains(&chunk.hash));
        self.chunks.extend(shared.map(|chunk| (chunk.hash, chunk.clone())));
        self.queue.retain(|hash| !self.chunks.contains_key(hash));
    }

    fn is_complete(&self) -> bool {
        self.queue.is_empty() && self.fetching.is_empty()
    }

    fn into_snapshot(self) -> Result<Snapshot> {
        let chunks = self
            .head
            .chunks
            .iter()
            .filter_map(|hash| self.chunks.get(hash).cloned());
        let chunks = chunks.collect();
        Snapshot::new(self.head, chunks)
    }

    fn fetch(&mut self, now: Instant) -> Vec<Command> {
        let mut commands = Vec::new();
        while self.fetching.len() < MAX_CONCURRENT_FETCHES {
            let Some(hash) = self.queue.pop_front() else {
                break;
            };
            let source = self.source();
            self.fetching.insert(hash, (source.clone(), now));
            commands.push(Command::FetchChunk(source, hash));
        }
        commands
    }

    /// Returns the next source in round-robin order: the peers that have the version, then the platform.
    fn source(&self) -> Source {
        match self.peers.get(self.source_index % (self.peers.len() + 1)) {
            Some(peer) => Source::Peer(peer.clone()),
            None => Source::Platform,
        }
    }

    /// Requests a chunk from the next source, unless all sources have failed in this round.
    fn try_next_source(&mut self, now: Instant, hash: Digest) -> Vec<Command> {
        let round_over = matches!(self.source(), Source::Platform);
        self.source_index = self.source_index.wrapping_add(1);
        if round_over {
            return Vec::new();
        }
        let source = self.source();
        self.fetching.insert(hash, (source.clone(), now));
        vec![Command::FetchChunk(source, hash)]
    }

    fn retry_timed_out(&mut self, now: Instant) -> Vec<Command> {
        let timed_out = self
            .fetching
            .iter()
            .filter(|(_, (_, sent))| *sent + FETCH_TIMEOUT <= now);
        let timed_out = timed_out.map(|(hash, _)| *hash).collect::<Vec<_>>();
        if timed_out.is_empty() {
            return Vec::new();
        }
        self.source_index = self.source_index.wrapping_add(1);
        for hash in timed_out {
            self.fetching.remove(&hash);
            self.queue.push_back(hash);
        }
        self.fetch(now)
    }

    /// Stores a chunk and returns whether it was missing.
    fn insert(&mut self, chunk: Chunk) -> bool {
        let queued = self.queue.iter().position(|hash| *hash == chunk.hash);
        let is_missing = self.fetching.remove(&chunk.hash).is_some() || queued.is_some();
        if let Some(index) = queued {
            self.queue.remove(index);
        }
        if is_missing {
            self.chunks.insert(chunk.hash, chunk);
        }
        is_missing
    }
}
