//! Index of the prompt prefixes that engines hold in their caches.
//!
//! Cache events come late and with gaps, so the index is a guess. A wrong guess costs time at the engine, never a wrong
//! answer.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::id::Target;

/// The bytes of prompt text in one block; about 16 tokens.
pub const BLOCK_BYTES: usize = 64;
/// Gaps within this time count as one. A stale block costs less than the loss of all others, so that a target that
/// often loses events is not forgotten all the time.
const GAP_INTERVAL: Duration = Duration::from_secs(30);
/// The longest prefix that is followed, in blocks, so that a long prompt does not cost more than its routing is worth.
const MAX_BLOCKS: usize = 1024;

/// The hash of a block of a prompt and of all blocks before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Block(pub u64);

/// A change in an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// A number that grows by one with every event.
    pub sequence: u64,
    /// What happened.
    pub kind: Kind,
    /// The blocks that it happened to.
    #[serde(default)]
    pub blocks: Vec<Block>,
}

/// What happened in an engine's cache.
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

/// Returns the hashes of the whole blocks of a prompt, as engines publish them: the first eight bytes, in little-endian
/// order, of the `blake3` hash of the text up to the end of the block.
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
    let whole = prompt.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    whole
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
    /// The blocks that are remembered for each target.
    pub blocks_per_target: usize,
    /// How long a block is remembered without an event or a request that confirms it, at most.
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

/// Which blocks each target probably holds.
#[derive(Clone, Debug, Default)]
pub struct Index {
    bounds: Bounds,
    caches: BTreeMap<Target, Cache>,
}

/// The blocks of one target, in two generations. New and confirmed blocks go to the young one; when it is full or old,
/// it replaces the old one. Memory is bounded, and what is not confirmed ages out, without a timestamp per block.
#[derive(Clone, Debug, Default)]
struct Cache {
    next: Option<u64>,
    young: HashSet<Block>,
    old: HashSet<Block>,
    turned: Instant,
    /// When a gap last made the blocks doubtful.
    doubted: Option<Instant>,
}

impl Index {
    /// Creates an empty index.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            caches: BTreeMap::new(),
        }
    }

    /// Takes an event of a target's cache.
    ///
    /// After a gap the blocks known so far are doubtful, because a removal may have been missed. They move to the old
    /// generation, where they are dropped soon unless something confirms them.
    pub fn observe(&mut self, now: Instant, target: &Target, event: &Event) {
        let bounds = self.bounds;
        let cache = self.cache(now, target);
        match cache.next {
            Some(next) if event.sequence < next => return cache.observe_late(event),
            Some(next) if event.sequence > next => cache.doubt(now),
            Some(_) | None => {}
        }
        cache.next = Some(event.sequence + 1);
        match event.kind {
            Kind::Stored => cache.store(now, &event.blocks, &bounds),
            Kind::Removed => cache.remove(&event.blocks),
            Kind::Cleared => cache.clear(),
        }
    }

    /// Notes that a prompt was sent to a target, which will store it; the target's own event comes later.
    pub fn expect(&mut self, now: Instant, target: &Target, blocks: &[Block]) {
        let bounds = self.bounds;
        self.cache(now, target).store(now, blocks, &bounds);
    }

    /// Forgets what is known of a target, as after its restart.
    pub fn forget(&mut self, target: &Target) {
        self.caches.remove(target);
    }

    /// Returns the number of leading blocks of a prompt that a target probably holds.
    pub fn matching(&self, target: &Target, blocks: &[Block]) -> usize {
        let Some(cache) = self.caches.get(target) else {
            return 0;
        };
        blocks.iter().take_while(|block| cache.holds(**block)).count()
    }

    /// Returns the sequence from which the events of a target are asked for.
    pub fn next(&self, target: &Target) -> u64 {
        self.caches.get(target).and_then(|cache| cache.next).unwrap_or(0)
    }

    /// Returns the number of blocks that are remembered.
    pub fn len(&self) -> usize {
        self.caches
            .values()
            .map(|cache| cache.young.len() + cache.old.len())
            .sum()
    }

    /// Returns whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn cache(&mut self, now: Instant, target: &Target) -> &mut Cache {
        let max_age = self.bounds.max_age;
        let cache = self.caches.entry(target.clone()).or_insert_with(|| Cache {
            turned: now,
            ..Cache::default()
        });
        if now.since(cache.turned) >= max_age / 2 {
            cache.turn(now);
        }
        cache
    }
}

impl Cache {
    /// A removal still holds when it comes late; a store may have been undone since.
    fn observe_late(&mut self, event: &Event) {
        if event.kind == Kind::Removed {
            self.remove(&event.blocks);
        }
    }

    fn store(&mut self, now: Instant, blocks: &[Block], bounds: &Bounds) {
        for block in blocks {
            if self.young.len() >= bounds.blocks_per_target / 2 {
                self.turn(now);
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

    fn turn(&mut self, now: Instant) {
        self.old = std::mem::take(&mut self.young);
        self.turned = now;
    }

    /// Makes all blocks old after a gap.
    fn doubt(&mut self, now: Instant) {
        if self.doubted.is_none_or(|doubted| now.since(doubted) >= GAP_INTERVAL) {
            self.doubted = Some(now);
            self.turn(now);
        }
    }

    fn holds(&self, block: Block) -> bool {
        self.young.contains(&block) || self.old.contains(&block)
    }
}
