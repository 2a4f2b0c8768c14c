//! The object that names a version.

use jiff::Timestamp;
use serde::{Deserialize, Serialize};

use crate::config::Digest;

/// The number of earlier versions that a head lists.
const MAX_HISTORY: usize = 16;

/// What the platform stores as the current configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The number of the version.
    pub version: u64,
    /// The hashes of the chunks in order.
    pub chunks: Vec<Digest>,
    /// The version that this one was made from.
    pub base: u64,
    /// Who made the version.
    pub author: String,
    /// When the version was made.
    pub at: Timestamp,
    /// A random number that tells two equal changes apart.
    pub nonce: u64,
    /// Earlier versions, newest first.
    pub history: Vec<Past>,
    /// Versions that were accepted while the platform held older contents and that this line of versions replaced.
    /// Later heads keep the list, so that an operator who looks after the next change still sees them.
    pub displaced: Vec<Past>,
    /// The hash of everything above except the lists of other versions.
    pub digest: Digest,
}

/// An earlier version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Past {
    /// The number of the version.
    pub version: u64,
    /// Who made the version.
    pub author: String,
    /// When the version was made.
    pub at: Timestamp,
    /// The digest of the head.
    pub digest: Digest,
}

/// What a new head consists of apart from its predecessor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// The hashes of the chunks in order.
    pub chunks: Vec<Digest>,
    /// Who makes the version.
    pub author: String,
    /// When the version is made.
    pub at: Timestamp,
    /// A random number.
    pub nonce: u64,
}

impl Head {
    /// Makes the head that follows `previous`.
    pub fn following(previous: Option<&Self>, proposal: Proposal) -> Self {
        let base = previous.map_or(0, |head| head.version);
        let history = previous.map_or_else(Vec::new, Self::lineage);
        let displaced = previous.map_or_else(Vec::new, |head| head.displaced.clone());
        Self::sealed(base + 1, base, proposal, history, displaced)
    }

    /// Makes the head that puts the contents of `self` above a head that was accepted on older contents of the
    /// platform.
    ///
    /// The result is a function of the two heads, so that entries which make it at the same time write the same head.
    #[must_use]
    pub fn displacing(&self, other: &Self) -> Self {
        let proposal = Proposal {
            chunks: self.chunks.clone(),
            author: self.author.clone(),
            at: self.at,
            nonce: self.nonce,
        };
        let mut displaced = vec![other.as_past()];
        displaced.extend(other.displaced.iter().chain(&self.displaced).cloned());
        displaced.dedup();
        displaced.truncate(MAX_HISTORY);
        let version = self.version.max(other.version) + 1;
        Self::sealed(version, self.version, proposal, self.lineage(), displaced)
    }

    /// Returns whether the digest fits the contents.
    pub fn is_intact(&self) -> bool {
        self.digest == self.computed_digest()
    }

    /// Returns whether the head is, follows or replaces the version with this digest.
    pub fn covers(&self, digest: &Digest) -> bool {
        self.digest == *digest || self.past().any(|past| past.digest == *digest)
    }

    /// Returns whether another head belongs to a line of versions that this one does not follow.
    ///
    /// A version older than the list of earlier ones counts as followed.
    pub fn diverges_from(&self, other: &Self) -> bool {
        let oldest = self.history.last().map_or(self.version, |past| past.version);
        other.version >= oldest && !self.covers(&other.digest)
    }

    /// Returns whether the list of earlier versions is long enough to hold this version.
    pub fn reaches_back_to(&self, version: u64) -> bool {
        self.base == 0
            || self.version <= version
            || self.history.len() < MAX_HISTORY
            || self.history.last().is_some_and(|past| past.version <= version)
    }

    /// Returns the head as an entry of a history.
    pub fn as_past(&self) -> Past {
        Past {
            version: self.version,
            author: self.author.clone(),
            at: self.at,
            digest: self.digest,
        }
    }

    fn past(&self) -> impl Iterator<Item = &Past> {
        self.history.iter().chain(&self.displaced)
    }

    fn lineage(&self) -> Vec<Past> {
        let own = std::iter::once(self.as_past());
        own.chain(self.history.iter().cloned()).take(MAX_HISTORY).collect()
    }

    fn sealed(version: u64, base: u64, proposal: Proposal, history: Vec<Past>, displaced: Vec<Past>) -> Self {
        let mut head = Self {
            version,
            chunks: proposal.chunks,
            base,
            author: proposal.author,
            at: proposal.at,
            nonce: proposal.nonce,
            history,
            displaced,
            digest: Digest::of([]),
        };
        head.digest = head.computed_digest();
        head
    }

    fn computed_digest(&self) -> Digest {
        let mut hasher = blake3::Hasher::new();
        for number in [self.version, self.base, self.nonce, self.chunks.len() as u64] {
            hasher.update(&number.to_le_bytes());
        }
        hasher.update(&self.at.as_nanosecond().to_le_bytes());
        for chunk in &self.chunks {
            hasher.update(chunk.as_bytes());
        }
        hasher.update(self.author.as_bytes());
        Digest::from(hasher.finalize())
    }
}
