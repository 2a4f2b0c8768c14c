//! The head object of a configuration version.

use jiff::Timestamp;
use serde::{Deserialize, Serialize};

use crate::config::Digest;

/// The number of earlier or displaced versions that a head lists.
const MAX_HISTORY: usize = 16;

/// The head of a version; the platform stores the head of the current one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The number of the version.
    pub version: u64,
    /// The hashes of the chunks in order.
    pub chunks: Vec<Digest>,
    /// The version that this one is based on.
    pub base: u64,
    /// The author of the version.
    pub author: String,
    /// When the version was created.
    pub at: Timestamp,
    /// A random number that distinguishes two equal changes.
    pub nonce: u64,
    /// Earlier versions, newest first.
    pub history: Vec<Summary>,
    /// Versions that were accepted while the platform had been restored to older contents, and that this history has
    /// displaced. Later heads keep the list so that operators still see it after the next change.
    pub displaced: Vec<Summary>,
    /// The hash of all other fields except `history` and `displaced`.
    pub digest: Digest,
}

/// The identity of an earlier or displaced version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Summary {
    /// The number of the version.
    pub version: u64,
    /// The author of the version.
    pub author: String,
    /// When the version was created.
    pub at: Timestamp,
    /// The digest of the head.
    pub digest: Digest,
}

/// The contents of a new head, without the fields that depend on its predecessor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// The hashes of the chunks in order.
    pub chunks: Vec<Digest>,
    /// The author of the version.
    pub author: String,
    /// When the version is created.
    pub at: Timestamp,
    /// A random number that distinguishes two equal changes.
    pub nonce: u64,
}

impl Head {
    /// Creates the head that follows `previous`.
    pub fn following(previous: Option<&Self>, proposal: Proposal) -> Self {
        let base = previous.map_or(0, |head| head.version);
        let history = previous.map_or_else(Vec::new, Self::history_with_self);
        let displaced = previous.map_or_else(Vec::new, |head| head.displaced.clone());
        Self::with_digest(base + 1, base, proposal, history, displaced)
    }

    /// Creates a head with the contents of `self` that displaces a head accepted on older contents of the platform.
    ///
    /// The result depends only on the two heads, so that entries that create it concurrently write the same head.
    #[must_use]
    pub fn displacing(&self, other: &Self) -> Self {
        let proposal = Proposal {
            chunks: self.chunks.clone(),
            author: self.author.clone(),
            at: self.at,
            nonce: self.nonce,
        };
        let mut displaced = vec![other.summary()];
        displaced.extend(other.displaced.iter().chain(&self.displaced).cloned());
        displaced.dedup();
        displaced.truncate(MAX_HISTORY);
        let version = self.version.max(other.version) + 1;
        Self::with_digest(version, self.version, proposal, self.history_with_self(), displaced)
    }

    /// Returns whether the digest matches the contents.
    pub fn is_intact(&self) -> bool {
        self.digest == self.computed_digest()
    }

    /// Returns whether the head is, follows or displaces the version with this digest.
    pub fn covers(&self, digest: &Digest) -> bool {
        self.digest == *digest || self.past().any(|past| past.digest == *digest)
    }

    /// Returns whether another head is missing from the history of this one.
    ///
    /// A version older than the listed history counts as part of it.
    pub fn diverges_from(&self, other: &Self) -> bool {
        let oldest = self.history.last().map_or(self.version, |past| past.version);
        other.version >= oldest && !self.covers(&other.digest)
    }

    /// Returns whether the listed history reaches back to this version.
    pub fn reaches_back_to(&self, version: u64) -> bool {
        self.base == 0
            || self.version <= version
            || self.history.len() < MAX_HISTORY
            || self.history.last().is_some_and(|past| past.version <= version)
    }

    /// Returns the head in the form used by `history` and `displaced`.
    pub fn summary(&self) -> Summary {
        Summary {
            version: self.version,
            author: self.author.clone(),
            at: self.at,
            digest: self.digest,
        }
    }

    fn past(&self) -> impl Iterator<Item = &Summary> {
        self.history.iter().chain(&self.displaced)
    }

    fn history_with_self(&self) -> Vec<Summary> {
        let own = std::iter::once(self.summary());
        own.chain(self.history.iter().cloned()).take(MAX_HISTORY).collect()
    }

    fn with_digest(
        version: u64,
        base: u64,
        proposal: Proposal,
        history: Vec<Summary>,
        displaced: Vec<Summary>,
    ) -> Self {
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
