//! At-most-once execution of actions.
//!
//! A claim is a record in a shard object on the platform. As long as the record is kept, only the entry that wrote the
//! claim id in it may send the call. A record in state [`State::NotRun`] proves that the call was not sent and never
//! will be.
//!
//! | type | concern |
//! |------|---------|
//! | [`Machine`] | the claimant: drives one action from the claim to its outcome |
//! | [`Batch`] | the writer of one shard: combines claims and outcomes of many claimants into one write |
//! | [`Shard`] | the contents of a shard object and the rules for its changes |
//! | [`Segment`] | an immutable part of a shard, holding settled records |

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::hex::Hex;
use serde_with::serde_as;

use crate::id::{Account, Claim, Entry, Service, Target};

#[path = "claim_batch.rs"]
mod batch;
#[path = "claim_machine.rs"]
mod machine;
#[path = "claim_shard.rs"]
mod shard;

pub use batch::{Batch, Command as BatchCommand, Event as BatchEvent, Ticket};
pub use machine::{Call, Command, Event, Lookup, Machine, Outcome, Scope, Timeouts};
pub use shard::{Index, Policy, Put, SealedSegment, Segment, Shard, Verdict};

/// The number of shards. At four writes per second each, all shards together use 256 of the several hundred writes per
/// second that the platform accepts.
pub const SHARD_COUNT: u8 = 64;

/// The length of keys and hashes in bytes. With 128 bits, an accidental collision among the keys of one day is
/// negligible.
const HASH_BYTES: usize = 16;

/// The longest response body that is kept for late retries, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4096;

macro_rules! hash {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[serde_as]
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $type(#[serde_as(as = "Hex")] [u8; HASH_BYTES]);

        impl $type {
            fn from_hash(hash: blake3::Hash) -> Self {
                let mut bytes = [0; HASH_BYTES];
                bytes.copy_from_slice(&hash.as_bytes()[..HASH_BYTES]);
                Self(bytes)
            }
        }

        impl fmt::Debug for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0[..4].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
            }
        }
    };
}

hash!(
    /// The key of an action: a hash of account, service and idempotency key.
    Key
);
hash!(
    /// The hash of the body of a call.
    Digest
);

impl Key {
    /// Hashes account, service and the caller's idempotency key.
    ///
    /// ```
    /// use hawthornpost_core::{claim::Key, id::{Account, Service}};
    ///
    /// let (crews, pay) = (Account::new("crews")?, Service::new("pay")?);
    /// assert_eq!(Key::new(&crews, &pay, "7"), Key::new(&crews, &pay, "7"));
    /// assert_ne!(Key::new(&crews, &pay, "7"), Key::new(&crews, &pay, "8"));
    /// # Ok::<(), hawthornpost_core::Error>(())
    /// ```
    pub fn new(account: &Account, service: &Service, idempotency_key: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        // Names contain no NUL byte, so the separators make the encoding of the triple unambiguous.
        hasher.update(account.as_str().as_bytes()).update(&[0]);
        hasher.update(service.as_str().as_bytes()).update(&[0]);
        hasher.update(idempotency_key.as_bytes());
        Self::from_hash(hasher.finalize())
    }

    /// Returns the number of the shard that stores the key.
    pub const fn shard(&self) -> u8 {
        self.0[0] % SHARD_COUNT
    }
}

impl Digest {
    /// Hashes a path and a body. The path is included because the same key with another path is another action.
    pub fn new(path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(path.as_bytes()).update(&[0]).update(body);
        Self::from_hash(hasher.finalize())
    }
}

/// Returns the name of a shard's platform object.
pub fn shard_name(shard: u8) -> String {
    format!("shard-{shard:02}")
}

/// The stored state of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: Key,
    /// The random id of the claim; only the entry that generated it may send the call.
    pub claim: Claim,
    /// The entry that made the claim.
    pub entry: Entry,
    /// The chosen target, which also answers status lookups.
    pub target: Target,
    /// The hash of path and body.
    pub body: Digest,
    /// When the claim was made, in milliseconds since the Unix epoch. The retention of the record counts from here.
    pub at_ms: u64,
    /// The progress of the action.
    pub state: State,
}

/// The progress of an action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The claimant may send the call, may have sent it or may have crashed. No other entry sends it.
    Claimed,
    /// The call ran and returned this response.
    Done(Answer),
    /// The call was not sent and never will be.
    NotRun,
}

/// The response to an action, stored for late retries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The status code; absent when only a status lookup reported that the action ran.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// The body; absent when it is not UTF-8, exceeds [`MAX_ANSWER_BYTES`] or is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
}

impl Answer {
    /// Creates the stored form of a target's response, dropping a body that must not be stored.
    pub fn new(status: u16, body: &[u8]) -> Self {
        let text = std::str::from_utf8(body)
            .ok()
            .filter(|text| text.len() <= MAX_ANSWER_BYTES);
        Self {
            status: Some(status),
            body: text.map(str::to_owned),
        }
    }

    /// Returns the response recorded after a status lookup: the action ran, and nothing else is known.
    pub const fn resolved() -> Self {
        Self {
            status: None,
            body: None,
        }
    }
}

impl Record {
    /// The serialized size of the fixed-length fields, including field names and punctuation.
    const FIXED_BYTES: usize = 205;

    /// Returns whether the state can no longer change.
    pub const fn is_settled(&self) -> bool {
        !matches!(self.state, State::Claimed)
    }

    pub(crate) fn with_state(&self, state: State) -> Self {
        Self { state, ..self.clone() }
    }

    /// Estimates the serialized size in bytes.
    pub fn estimated_bytes(&self) -> usize {
        let answer = match &self.state {
            State::Done(answer) => answer.body.as_deref().map_or(0, escaped_bytes) + 32,
            State::Claimed | State::NotRun => 0,
        };
        Self::FIXED_BYTES + self.entry.as_str().len() + self.target.as_str().len() + answer
    }
}

// JSON escapes add one byte to a quote or backslash and five to a control character.
fn escaped_bytes(text: &str) -> usize {
    let extra = text.bytes().map(|byte| match byte {
        b'"' | b'\\' => 1,
        0..0x20 => 5,
        _ => 0,
    });
    text.len() + extra.sum::<usize>()
}
