//! The prefix cache of an engine and its events, which are published with a delay.

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// The size of a cache block in bytes of prompt.
pub(crate) const BLOCK_BYTES: usize = 64;
/// The number of events that are kept for readers.
const MAX_EVENTS: usize = 10_000;
/// The number of bytes of a block's hash that are published.
const HASH_BYTES: usize = 8;

/// A first-in, first-out cache of blocks, and the log of its events.
#[derive(Debug)]
pub(crate) struct Cache {
    capacity: usize,
    order: VecDeque<u64>,
    blocks: BTreeSet<u64>,
    events: VecDeque<Event>,
    sequence: u64,
}

#[derive(Debug)]
struct Event {
    at: Instant,
    sequence: u64,
    kind: &'static str,
    blocks: Vec<u64>,
}

/// Returns the hashes of the complete blocks of a prompt. Each hash covers all text up to the end of its block: it is the
/// first eight bytes, in little-endian order, of the `blake3` hash of that text.
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks
        .map(|block| {
            hasher.update(block);
            let mut bytes = [0; HASH_BYTES];
            hasher.finalize_xof().fill(&mut bytes);
            u64::from_le_bytes(bytes)
        })
        .collect()
}

impl Cache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            order: VecDeque::new(),
            blocks: BTreeSet::new(),
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Returns the length of the cached prefix of the prompt in bytes.
    pub(crate) fn cached_prefix_bytes(&self, prompt: &str) -> usize {
        let hashes = block_hashes(prompt);
        hashes.iter().take_while(|hash| self.blocks.contains(*hash)).count() * BLOCK_BYTES
    }

    /// Stores the blocks of a prompt and removes the oldest ones beyond the capacity.
    pub(crate) fn store(&mut self, prompt: &str, now: Instant) {
        let mut stored = block_hashes(prompt);
        stored.retain(|hash| self.blocks.insert(*hash));
        self.order.extend(&stored);
        let excess = self.order.len().saturating_sub(self.capacity);
        let removed = self.order.drain(..excess).collect::<Vec<_>>();
        for hash in &removed {
            self.blocks.remove(hash);
        }
        self.record("stored", stored, now);
        self.record("removed", removed, now);
    }

    /// Removes all blocks.
    pub(crate) fn clear(&mut self, now: Instant) {
        self.order.clear();
        self.blocks.clear();
        self.sequence += 1;
        self.push("cleared", Vec::new(), now);
    }

    /// Discards the newest event, so that readers see a gap in the sequence numbers.
    pub(crate) fn discard_newest_event(&mut self) {
        self.events.pop_back();
    }

    /// Returns the events with at least the sequence number `from` that are at least as old as `lag`.
    pub(crate) fn events(&self, from: u64, now: Instant, lag: Duration) -> Vec<Value> {
        let events = self.events.iter();
        events
            .filter(|event| event.sequence >= from && now.duration_since(event.at) >= lag)
            .map(|event| json!({ "sequence": event.sequence, "kind": event.kind, "blocks": event.blocks }))
            .collect()
    }

    fn record(&mut self, kind: &'static str, blocks: Vec<u64>, now: Instant) {
        if !blocks.is_empty() {
            self.sequence += 1;
            self.push(kind, blocks, now);
        }
    }

    fn push(&mut self, kind: &'static str, blocks: Vec<u64>, at: Instant) {
        let sequence = self.sequence;
        self.events.push_back(Event {
            at,
            sequence,
            kind,
            blocks,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
