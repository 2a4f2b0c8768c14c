//! Stored pieces of a configuration.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::{Digest, Document, Head};
use crate::config_record::Record;
use crate::error::{Error, Kind, Result};

/// The largest chunk; the platform refuses values above 1 MB, and JSON quoting can double a text.
const MAX_BYTES: usize = 256 * 1024;
/// The mean size. With 3.6 MB of configuration the list of hashes in the head is then as large as one chunk, which
/// makes the bytes that a change moves the smallest.
const MEAN_BYTES: u64 = 16 * 1024;

/// An immutable piece of a document, stored under its hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The hash of the text.
    pub hash: Digest,
    /// Records, one a line.
    pub text: Arc<str>,
}

impl Chunk {
    /// Cuts a document into chunks.
    ///
    /// The places of the cuts depend only on the names of the records, so that a change of one record changes one
    /// chunk.
    ///
    /// # Errors
    ///
    /// Fails when a record cannot be encoded.
    pub fn cut(document: &Document) -> Result<Vec<Self>> {
        let mut chunks = Vec::new();
        let mut text = String::new();
        for record in Record::all(document) {
            let line = serde_json::to_string(&record).map_err(|source| Error::from(Kind::Decode { source }))?;
            if text.len() + line.len() >= MAX_BYTES {
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

    /// Returns whether the text has the hash.
    pub fn is_intact(&self) -> bool {
        Digest::of(self.text.as_bytes()) == self.hash
    }

    /// Builds the document that a head names from its chunks in order.
    ///
    /// # Errors
    ///
    /// Fails when a chunk is missing, damaged or malformed, or when rules and inventory contradict each other.
    pub fn assemble<'a>(head: &Head, chunks: impl IntoIterator<Item = &'a Self>) -> Result<Document> {
        let failed = |problem| {
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
                return Err(failed("a chunk does not have the hash that the head names"));
            }
            for line in chunk.text.lines() {
                let record: Record =
                    serde_json::from_str(line).map_err(|source| Error::from(Kind::Decode { source }))?;
                if !record.insert_into(&mut document) {
                    return Err(failed("a record stands twice"));
                }
            }
        }
        if hashes.next().is_some() {
            return Err(failed("a chunk is missing"));
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

/// Ends a chunk after a record with a chance proportional to the record's size.
fn ends_chunk(record: &Record, bytes: usize) -> bool {
    let name = Digest::of(record.section());
    let [a, b, c, d, ..] = *name.as_bytes();
    let draw = u64::from(u32::from_le_bytes([a, b, c, d]));
    draw * MEAN_BYTES < (bytes as u64) << u32::BITS
}
