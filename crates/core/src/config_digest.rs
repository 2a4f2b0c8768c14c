//! Hashes of stored content.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::hex::Hex;
use serde_with::serde_as;

/// A BLAKE3 hash, serialized as hexadecimal digits.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(#[serde_as(as = "Hex")] [u8; 32]);

impl Digest {
    /// Returns the hash of some bytes.
    pub fn of(bytes: impl AsRef<[u8]>) -> Self {
        Self(*blake3::hash(bytes.as_ref()).as_bytes())
    }

    /// Creates a digest from the bytes of a hash.
    pub const fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the hash.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl From<blake3::Hash> for Digest {
    fn from(hash: blake3::Hash) -> Self {
        Self(*hash.as_bytes())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        blake3::Hash::from_bytes(self.0).fmt(f)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.8}", blake3::Hash::from_bytes(self.0).to_hex())
    }
}
