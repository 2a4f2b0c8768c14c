//! Approximate index of the prompt prefixes that engines hold in their caches.
//!
//! Cache events arrive late and with gaps, so the index may be wrong. A wrong entry costs recomputation at the engine
//! but never affects the answer.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::id::Target;

/// The bytes of prompt text in one block; about 16 tokens.
pub const BLOCK_BYTES: usize = 64;
/// Gaps in the event sequence within this interval are handled as one. A stale block costs less than the loss of all
/// others, so a target that often loses events must not be evicted repeatedly.
const MIN_GAP_INTERVAL: Duration = Duration::from_secs(30);
/// The maximum number of blocks that are hashed per prompt, so that hashing a long prompt does not cost more than
/// prefix-aware routing saves.
const MAX_PROMPT_BLOCKS: usize = 1024;

/// The hash of a block of a prompt and all blocks before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Block(pub u64);

/// A change in an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The sequence number, which increases by one with every event.
    pub sequence: u64,
    /// The kind of the change.
    pub kind: Kind,
    /// The affected blocks.
    #[serde(default)]
    pub blocks: Vec<Block>,
}

/// The kind of a change in an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Blocks were stored.
    Stored,
    /// Blocks were removed.
    Removed,
    /// All blocks were removed.
    Cleared,
}

/// Returns the hashes of the complete blocks of a prompt, as published by engines: the first eight bytes, in
/// little-endian order, of the `blake3` hash of the text up to the end of the block.
///
/// ```
/// use hawthornpost_core::prefix::blocks;
///
/// let (short, long) = ("a".repeat(64), "a".repeat(128));
/// assert_eq!(blocks(&short)[0], blocks(&long)[0]);
/// assert_eq!(blocks(&long).len(), 2);
/// ```
pub fn blocks(prompt: &str) -> Vec<Block> {
    let mut hasher = blake3::Hasher::new();
    let complete = prompt.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_PROMPT_BLOCKS);
    complete
        .map(|block| {
            hasher.update(block);
            let mut first = [0; 8];
            hasher.finalize_xof().fill(&mut first);
            Block(u64::from_le_bytes(first))
        })
        .collect()
}

/// Bounds of the index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The maximum number of blocks per target.
    pub blocks_per_target: usize,
    /// The maximum age of a block that no event or request has confirmed.
    pub max_age: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            blocks_per_target: 4096,
            max_age: Duration::from_secs(600),
        }
    }
}

/// Maps each target to the blocks that it probably caches.
#[derive(Clone, Debug, Default)]
pub struct Index {
    bounds: Bounds,
    caches: BTreeMap<Target, Cache>,
}

/// The blocks of one target in two generations. New and confirmed blocks are added to the young generation, which
/// replaces the old one when it is full or old. This bounds memory and evicts unconfirmed blocks without a timestamp
/// per block.
#[derive(Clone, Debug, Default)]
struct Cache {
    next_sequence: Option<u64>,
    young: HashSet<Block>,
    old: HashSet<Block>,
    rotated_at: Instant,
    /// When the last gap was handled.
    last_gap: Option<Instant>,
}

impl Index {
    /// Creates an empty index.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            caches: BTreeMap::new(),
        }
    }

    /// Applies an event of a target's cache.
    ///
    /// After a gap in the sequence, a removal may have been missed. All known blocks therefore move to the old
    /// generation, which is evicted soon unless blocks are confirmed.
    pub fn observe(&mut self, now: Instant, target: &Target, event: &Event) {
        let bounds = self.bounds;
        let cache = self.cache(now, target);
        match cache.next_sequence {
            Some(next) if event.sequence < next => return cache.apply_late(event),
            Some(next) if event.sequence > next => cache.handle_gap(now),
            Some(_) | None => {}
        }
        cache.next_sequence = Some(event.sequence + 1);
        match event.kind {
            Kind::Stored => cache.store(now, &event.blocks, &bounds),
            Kind::Removed => cache.remove(&event.blocks),
            Kind::Cleared => cache.clear(),
        }
    }

    /// Records that a prompt was sent to a target, which will cache it; the target's own event arrives later.
    pub fn record_sent(&mut self, now: Instant, target: &Target, blocks: &[Block]) {
        let bounds = self.bounds;
        self.cache(now, target).store(now, blocks, &bounds);
    }

    /// Removes all blocks of a target, for example after its restart.
    pub fn forget(&mut self, target: &Target) {
        self.caches.remove(target);
    }

    /// Returns the number of leading blocks of a prompt that a target probably caches.
    pub fn matching(&self, target: &Target, blocks: &[Block]) -> usize {
        let Some(cache) = self.caches.get(target) else {
            return 0;
        };
        blocks.iter().take_while(|block| cache.contains(**block)).count()
    }

    /// Returns the sequence number of the next event of a target.
    pub fn next(&self, target: &Target) -> u64 {
        self.caches
            .get(target)
            .and_then(|cache| cache.next_sequence)
            .unwrap_or(0)
    }

    /// Returns the number of blocks in the index.
    pub fn len(&self) -> usize {
        self.caches
            .values()
            .map(|cache| cache.young.len() + cache.old.len())
            .sum()
    }

    /// Returns whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn cache(&mut self, now: Instant, target: &Target) -> &mut Cache {
        let max_age = self.bounds.max_age;
        let cache = self.caches.entry(target.clone()).or_insert_with(|| Cache {
            rotated_at: now,
            ..Cache::default()
        });
        if now.since(cache.rotated_at) >= max_age / 2 {
            cache.rotate(now);
        }
        cache
    }
}

impl Cache {
    /// Applies an out-of-order event: a late removal is still valid, but a stored block may have been removed since.
    fn apply_late(&mut self, event: &Event) {
        if event.kind == Kind::Removed {
            self.remove(&event.blocks);
        }
    }

    fn store(&mut self, now: Instant, blocks: &[Block], bounds: &Bounds) {
        for block in blocks {
            if self.young.len() >= bounds.blocks_per_target / 2 {
                self.rotate(now);
            }
            self.old.remove(block);
            self.young.insert(*block);
        }
    }

    fn remove(&mut self, blocks: &[Block]) {
        for block in blocks {
            self.young.remove(block);
            self.old.remove(block);
        }
    }

    fn clear(&mut self) {
        self.young.clear();
        self.old.clear();
    }

    fn rotate(&mut self, now: Instant) {
        self.old = std::mem::take(&mut self.young);
        self.rotated_at = now;
    }

    /// Moves all blocks to the old generation after a gap.
    fn handle_gap(&mut self, now: Instant) {
        if self
            .last_gap
            .is_none_or(|last_gap| now.since(last_gap) >= MIN_GAP_INTERVAL)
        {
            self.last_gap = Some(now);
            self.rotate(now);
        }
    }

    fn contains(&self, block: Block) -> bool {
        self.young.contains(&block) || self.old.contains(&block)
    }
}
