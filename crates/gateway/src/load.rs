//! The load that an entry host puts on a target.

use serde::{Deserialize, Serialize};

/// The load of one entry host on one target. It is serialized as an array in the order of the fields, to keep messages
/// small.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u64, u64)", into = "(u32, u32, u64, u64)")]
pub struct Load {
    /// Open calls to a service without streams.
    pub calls: u32,
    /// Running streams.
    pub streams: u32,
    /// Prompt tokens of streams before their first event.
    pub prefill_tokens: u64,
    /// Tokens in memory, for streams and backups.
    pub memory_tokens: u64,
}

impl Load {
    /// The load of one call to a service without streams.
    pub const CALL: Self = Self {
        calls: 1,
        streams: 0,
        prefill_tokens: 0,
        memory_tokens: 0,
    };

    /// Returns the load of a stream in its prefill phase, or after it when there are no prefill tokens.
    pub fn stream(prefill_tokens: u64, memory_tokens: u64) -> Self {
        Self {
            calls: 0,
            streams: 1,
            prefill_tokens,
            memory_tokens,
        }
    }

    /// Returns the load of a stream's backup.
    pub fn backup(memory_tokens: u64) -> Self {
        Self {
            memory_tokens,
            ..Self::default()
        }
    }

    /// Returns whether there is no load.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Adds a load, up to the limits of the types, because peers report any numbers.
    pub fn add(&mut self, other: Self) {
        self.calls = self.calls.saturating_add(other.calls);
        self.streams = self.streams.saturating_add(other.streams);
        self.prefill_tokens = self.prefill_tokens.saturating_add(other.prefill_tokens);
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
    }

    /// Subtracts a load, down to zero.
    pub fn subtract(&mut self, other: Self) {
        self.calls = self.calls.saturating_sub(other.calls);
        self.streams = self.streams.saturating_sub(other.streams);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(other.prefill_tokens);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }
}

impl From<(u32, u32, u64, u64)> for Load {
    fn from((calls, streams, prefill_tokens, memory_tokens): (u32, u32, u64, u64)) -> Self {
        Self {
            calls,
            streams,
            prefill_tokens,
            memory_tokens,
        }
    }
}

impl From<Load> for (u32, u32, u64, u64) {
    fn from(load: Load) -> Self {
        (load.calls, load.streams, load.prefill_tokens, load.memory_tokens)
    }
}
