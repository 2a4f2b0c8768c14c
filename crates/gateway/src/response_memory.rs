//! Memory of the responses that the process buffers, which is limited for all of them together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

use crate::intake::Excess;

/// The maximum total size of buffered responses in bytes.
const MAX_TOTAL_BYTES: usize = 32 << 20;
/// The size in bytes above which a response may use only half of the total, so that large responses leave room for others.
const LARGE_RESPONSE_BYTES: usize = 128 << 10;

/// The buffered bytes of all responses.
#[derive(Debug, Default)]
pub struct Pool {
    used: AtomicUsize,
}

/// Guard that counts the buffered bytes of a response until it is dropped.
#[derive(Debug)]
pub struct Share {
    pool: Arc<Pool>,
    bytes: usize,
}

/// Buffered bytes with their share.
struct Held {
    bytes: Bytes,
    _share: Share,
}

impl Pool {
    /// Returns an empty share.
    pub fn share(self: &Arc<Self>) -> Share {
        Share {
            pool: Arc::clone(self),
            bytes: 0,
        }
    }

    /// Returns the number of buffered bytes.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}

impl Share {
    /// Grows to a number of bytes.
    ///
    /// # Errors
    ///
    /// Fails when the responses would be too large together.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), Excess> {
        let added = bytes.saturating_sub(self.bytes);
        let limit = if bytes > LARGE_RESPONSE_BYTES {
            MAX_TOTAL_BYTES / 2
        } else {
            MAX_TOTAL_BYTES
        };
        if added > 0 && self.pool.used() + added > limit {
            return Err(Excess::Memory);
        }
        self.pool.used.fetch_add(added, Ordering::Relaxed);
        self.bytes += added;
        Ok(())
    }

    /// Returns the bytes with the share, which is released when they are dropped.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Held { bytes, _share: self })
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.pool.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
