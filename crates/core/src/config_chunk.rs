//! Content-addressed chunks of a configuration.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::{Digest, Document, Head};
use crate::config_record::Record;
use crate::error::{Error, Kind, Result};

/// The largest chunk. The platform rejects values above 1 MB, and JSON quoting can double the size of a text.
const MAX_CHUNK_BYTES: usize = 256 * 1024;
/// The mean chunk size. A change transfers one chunk and the head; with 3.6 MB of configuration, their sum is smallest
/// at this size, where the head's list of hashes is as large as one chunk.
const MEAN_CHUNK_BYTES: u64 = 16 * 1024;

/// An immutable part of a document, stored under its hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The hash of the text.
    pub hash: Digest,
    /// Records as JSON, one per line.
    pub text: Arc<str>,
}

impl Chunk {
    /// Splits a document into chunks.
    ///
    /// Chunk boundaries depend only on the names and sizes of the records, so that a change of one record changes one
    /// chunk.
    ///
    /// # Errors
    ///
    /// Fails when a record cannot be encoded.
    pub fn split(document: &Document) -> Result<Vec<Self>> {
        let mut chunks = Vec::new();
        let mut text = String::new();
        for record in Record::all(document) {
            let line = serde_json::to_string(&record).map_err(|source| Error::from(Kind::Decode { source }))?;
            if text.len() + line.len() >= MAX_CHUNK_BYTES {
                chunks.push(Self::new(std::mem::take(&mut text)));
            }
            text.push_str(&line);
            text.push('\n');
            if ends_chunk(&record, line.len()) {
                chunks.push(Self::new(std::mem::take(&mut text)));
            }
        }
        if !text.is_empty() {
            chunks.push(Self::new(text));
        }
        Ok(chunks)
    }

    /// Returns whether the text matches the hash.
    pub fn is_intact(&self) -> bool {
        Digest::of(self.text.as_bytes()) == self.hash
    }

    /// Builds the document of a head from its chunks, given in the order of the head.
    ///
    /// # Errors
    ///
    /// Fails when a chunk is missing, corrupt or malformed, or when rules and inventory conflict.
    pub fn assemble<'a>(head: &Head, chunks: impl IntoIterator<Item = &'a Self>) -> Result<Document> {
        let error = |problem| {
            Error::from(Kind::Assembly {
                version: head.version,
                problem,
            })
        };
        let mut document = Document {
            version: head.version,
            ..Document::default()
        };
        let mut hashes = head.chunks.iter();
        for chunk in chunks {
            if hashes.next() != Some(&chunk.hash) || !chunk.is_intact() {
                return Err(error("a chunk does not match its hash in the head"));
            }
            for line in chunk.text.lines() {
                let record: Record =
                    serde_json::from_str(line).map_err(|source| Error::from(Kind::Decode { source }))?;
                if !record.insert_into(&mut document) {
                    return Err(error("a record appears twice"));
                }
            }
        }
        if hashes.next().is_some() {
            return Err(error("a chunk is missing"));
        }
        document.rules.check(&document.inventory)?;
        Ok(document)
    }

    fn new(text: String) -> Self {
        Self {
            hash: Digest::of(&text),
            text: Arc::from(text),
        }
    }
}

/// Returns whether a chunk ends after a record, decided by the hash of the record's section with a probability that is
/// proportional to the record's size.
fn ends_chunk(record: &Record, bytes: usize) -> bool {
    let name = Digest::of(record.section());
    let [a, b, c, d, ..] = *name.as_bytes();
    let draw = u64::from(u32::from_le_bytes([a, b, c, d]));
    draw * MEAN_CHUNK_BYTES < (bytes as u64) << u32::BITS
}
