//! A complete version with its chunks and document.

use std::sync::Arc;

use crate::config::{Chunk, Digest, Document, Head};
use crate::error::Result;

/// A head with its chunks and the document assembled from them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The head.
    pub head: Head,
    /// The chunks in the order of the head.
    pub chunks: Vec<Chunk>,
    /// The document.
    pub document: Arc<Document>,
}

impl Snapshot {
    /// Verifies the chunks and assembles the document.
    ///
    /// # Errors
    ///
    /// Fails when the chunks do not match the head or are malformed.
    pub fn new(head: Head, chunks: Vec<Chunk>) -> Result<Self> {
        let document = Arc::new(Chunk::assemble(&head, &chunks)?);
        Ok(Self { head, chunks, document })
    }

    /// Returns the chunk with this hash.
    pub fn chunk(&self, hash: &Digest) -> Option<&Chunk> {
        self.chunks.iter().find(|chunk| chunk.hash == *hash)
    }
}
