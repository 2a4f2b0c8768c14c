//! Claims that make an action run at most once.
//!
//! A claim is a record in a shard object of the platform. The entry whose claim id stands in the record is the only
//! sender of the call, for as long as the record is kept. A record that is closed as not run proves that the call was
//! not sent and never will be.
//!
//! | type | concern |
//! |------|---------|
//! | [`Machine`] | the claimant: one action from the claim to its outcome |
//! | [`Batch`] | the writer of one shard: groups claims and outcomes of many claimants into one write |
//! | [`Shard`] | the contents of a shard object and the rules for changing it |
//! | [`Segment`] | an immutable part of a shard with settled records |

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
pub use machine::{Call, Command, Event, Found, Limits, Machine, Outcome, Scope};
pub use shard::{Index, Policy, Put, SealedSegment, Segment, Shard, Verdict};

/// The number of shards. At four writes a second each, all shards together need 256 of the several hundred writes a
/// second that the platform accepts.
pub const SHARDS: u8 = 64;

/// The length of keys and hashes in bytes; 128 bits make an accidental collision among the keys of a day negligible.
const HASH_BYTES: usize = 16;

/// The longest answer that is kept for late retries, in bytes.
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
        // The names hold no NUL byte, so the separators keep different triples apart.
        hasher.update(account.as_str().as_bytes()).update(&[0]);
        hasher.update(service.as_str().as_bytes()).update(&[0]);
        hasher.update(idempotency_key.as_bytes());
        Self::from_hash(hasher.finalize())
    }

    /// Returns the number of the shard that the key belongs to.
    pub const fn shard(&self) -> u8 {
        self.0[0] % SHARDS
    }
}

impl Digest {
    /// Hashes a path and a body: the same key with another path is another action, too.
    pub fn new(path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(path.as_bytes()).update(&[0]).update(body);
        Self::from_hash(hasher.finalize())
    }
}

/// Returns the name of a shard's object.
pub fn shard_name(shard: u8) -> String {
    format!("shard-{shard:02}")
}

/// What is kept about one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: Key,
    /// The random id of the claim; the entry that drew it is the only sender.
    pub claim: Claim,
    /// The entry that claimed.
    pub entry: Entry,
    /// The target that was chosen; a status lookup asks it.
    pub target: Target,
    /// The hash of path and body.
    pub body: Digest,
    /// When the claim was made, in milliseconds of Unix time; it decides how long the record is kept.
    pub at_ms: u64,
    /// How far the action is.
    pub state: State,
}

/// How far an action is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The sender may send, may have sent, or may have died; nobody else sends.
    Claimed,
    /// The call ran and this was the answer.
    Done(Answer),
    /// Nothing was sent and nothing will be.
    NotRun,
}

/// The answer to an action, as it is kept for late retries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The status code; absent when a status lookup said that the action ran.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// The body; absent when it is not text, is longer than [`MAX_ANSWER_BYTES`] or is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
}

impl Answer {
    /// Keeps what a target answered, as far as it may be kept.
    pub fn new(status: u16, body: &[u8]) -> Self {
        let text = std::str::from_utf8(body)
            .ok()
            .filter(|text| text.len() <= MAX_ANSWER_BYTES);
        Self {
            status: Some(status),
            body: text.map(str::to_owned),
        }
    }

    /// The answer of a status lookup: the action ran, and nothing else is known.
    pub const fn resolved() -> Self {
        Self {
            status: None,
            body: None,
        }
    }
}

impl Record {
    /// The serialized size of the fields with a fixed length, names and punctuation included.
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

// Quotes and backslashes take one byte more in JSON, control characters five.
fn escaped_bytes(text: &str) -> usize {
    let extra = text.bytes().map(|byte| match byte {
        b'"' | b'\\' => 1,
        0..0x20 => 5,
        _ => 0,
    });
    text.len() + extra.sum::<usize>()
}
