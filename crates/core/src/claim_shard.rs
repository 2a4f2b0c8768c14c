use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Key, Record, State};
use crate::id::Claim;
use crate::platform::Version;

/// Retention and segment size of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// How long records are kept.
    pub retention: Duration,
    /// The estimated shard size at which the settled records are moved to a segment, in bytes.
    pub seal_bytes: usize,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(24 * 60 * 60),
            // Every write sends the whole object, so a larger limit costs bytes per write. A smaller limit creates more
            // segments, and the list of one day's segments has to stay well below the limit.
            seal_bytes: 100_000,
        }
    }
}

/// The contents of a shard object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// The records that are not in a segment.
    pub records: Vec<Record>,
    /// The segments, oldest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub segments: Vec<SealedSegment>,
}

/// The entry of a segment in its shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedSegment {
    /// The name of the segment's object.
    pub name: String,
    /// When its newest claim was made, in milliseconds since the Unix epoch.
    pub newest_ms: u64,
}

/// The contents of a segment object: settled records, immutable once created.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The records.
    pub records: Vec<Record>,
}

/// A requested change of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Put {
    /// Adds a claim for a key that has no record.
    Claim(Record),
    /// Settles the claim with this id.
    Outcome {
        /// The key.
        key: Key,
        /// The claim that is settled.
        claim: Claim,
        /// The settled state.
        state: State,
    },
    /// Adds a tombstone: marks a key without a record as not run.
    Tombstone(Record),
    /// Changes nothing; the verdict returns the record of the key.
    Find(Key),
}

/// The result of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The platform holds the change.
    Stored,
    /// The change was not made because the key has this record.
    Held(Record),
    /// The change was not made because this segment holds a record of the key.
    Sealed(String),
    /// The change was not made and will not be.
    Refused,
    /// The change may have been made or may still be made.
    Unknown,
}

/// The keys in the sealed segments of a shard.
#[derive(Clone, Debug, Default)]
pub struct Index {
    // Each segment name is stored once; keys map to its position.
    segments: Vec<String>,
    keys: HashMap<Key, u32>,
}

impl Put {
    /// Returns the key that the change applies to.
    pub const fn key(&self) -> &Key {
        match self {
            Self::Claim(record) | Self::Tombstone(record) => &record.key,
            Self::Outcome { key, .. } | Self::Find(key) => key,
        }
    }
}

impl Index {
    /// Returns the name of the segment that holds the key.
    pub fn find(&self, key: &Key) -> Option<&str> {
        let position = self.keys.get(key)?;
        self.segments.get(*position as usize).map(String::as_str)
    }

    /// Returns whether the index holds the keys of the segment.
    pub fn contains_segment(&self, name: &str) -> bool {
        self.segments.iter().any(|known| known == name)
    }

    /// Adds the keys of a segment.
    pub fn add(&mut self, name: &str, segment: &Segment) {
        let position = u32::try_from(self.segments.len()).unwrap_or(u32::MAX);
        self.segments.push(name.to_owned());
        self.keys
            .extend(segment.records.iter().map(|record| (record.key, position)));
    }

    /// Removes the segments that the shard no longer lists.
    pub fn retain(&mut self, listed: &[SealedSegment]) {
        if self
            .segments
            .iter()
            .all(|name| listed.iter().any(|sealed| sealed.name == *name))
        {
            return;
        }
        let segments = std::mem::take(&mut self.segments);
        let mut new_positions = BTreeMap::new();
        for (position, name) in (0_u32..).zip(segments) {
            if listed.iter().any(|sealed| sealed.name == name) {
                new_positions.insert(position, u32::try_from(self.segments.len()).unwrap_or(u32::MAX));
                self.segments.push(name);
            }
        }
        self.keys.retain(|_, position| {
            let kept = new_positions.get(position);
            *position = kept.copied().unwrap_or(*position);
            kept.is_some()
        });
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

impl Shard {
    /// Returns the record of a key.
    pub fn find(&self, key: &Key) -> Option<&Record> {
        self.records.iter().find(|record| record.key == *key)
    }

    /// Applies a change if the rules allow it. `None` means that the contents changed and have to be written.
    ///
    /// `index` must contain all segments that the shard lists.
    pub fn apply(&mut self, put: &Put, index: &Index) -> Option<Verdict> {
        let verdict = self.check(put, index);
        if verdict.is_none() {
            self.apply_unchecked(put);
        }
        verdict
    }

    /// Returns the result of a change that needs no write, or `None` if the change has to be written.
    ///
    /// `index` must contain all segments that the shard lists.
    pub fn check(&self, put: &Put, index: &Index) -> Option<Verdict> {
        let Some(found) = self.find(put.key()) else {
            let sealed = index.find(put.key()).map(|name| Verdict::Sealed(name.to_owned()));
            // An outcome or a lookup needs a record.
            let needs_record = matches!(put, Put::Outcome { .. } | Put::Find(_));
            return sealed.or_else(|| needs_record.then_some(Verdict::Refused));
        };
        let (claim, state) = match put {
            Put::Claim(record) => (record.claim, &State::Claimed),
            Put::Tombstone(record) => (record.claim, &State::NotRun),
            Put::Outcome { claim, state, .. } => (*claim, state),
            Put::Find(_) => return Some(Verdict::Held(found.clone())),
        };
        // A change is checked again after its write result was lost; finding it proves that the write took effect.
        if found.claim == claim && found.state == *state {
            return Some(Verdict::Stored);
        }
        let settles = matches!(put, Put::Outcome { .. }) && found.claim == claim && !found.is_settled();
        (!settles).then(|| Verdict::Held(found.clone()))
    }

    fn apply_unchecked(&mut self, put: &Put) {
        match put {
            Put::Claim(record) => self.records.push(record.with_state(State::Claimed)),
            Put::Tombstone(record) => self.records.push(record.with_state(State::NotRun)),
            Put::Outcome { key, state, .. } => {
                if let Some(found) = self.records.iter_mut().find(|record| record.key == *key) {
                    found.state = state.clone();
                }
            }
            Put::Find(_) => {}
        }
    }

    /// Returns the segment to create before the next write if the shard has reached its size limit.
    ///
    /// Name and contents depend only on the shard at this version. Every writer that seals it therefore creates the
    /// same segment, and an `AlreadyExists` error means that the segment exists with these contents.
    pub fn seal(&self, number: u8, version: Version, policy: Policy) -> Option<(SealedSegment, Segment)> {
        if self.estimated_bytes() < policy.seal_bytes {
            return None;
        }
        let settled = self.records.iter().filter(|record| record.is_settled());
        let segment = Segment {
            records: settled.cloned().collect(),
        };
        let newest_ms = segment.records.iter().map(|record| record.at_ms).max()?;
        let name = format!("{}-{version}", super::shard_name(number));
        Some((SealedSegment { name, newest_ms }, segment))
    }

    /// Replaces the settled records by the segment that holds them.
    pub fn sealed(&mut self, sealed: SealedSegment) {
        self.records.retain(|record| !record.is_settled());
        self.segments.push(sealed);
    }

    /// Removes records and segments older than the retention and returns the names of the removed segments.
    pub fn expire(&mut self, wall_ms: u64, policy: Policy) -> Vec<String> {
        let retention_ms = u64::try_from(policy.retention.as_millis()).unwrap_or(u64::MAX);
        let oldest_ms = wall_ms.saturating_sub(retention_ms);
        self.records.retain(|record| record.at_ms >= oldest_ms);
        let expired = self.segments.extract_if(.., |sealed| sealed.newest_ms < oldest_ms);
        expired.map(|sealed| sealed.name).collect()
    }

    /// Estimates the serialized size in bytes.
    pub fn estimated_bytes(&self) -> usize {
        let records = self.records.iter().map(Record::estimated_bytes).sum::<usize>();
        let segments = self.segments.iter().map(|sealed| sealed.name.len() + 48).sum::<usize>();
        records + segments
    }
}
