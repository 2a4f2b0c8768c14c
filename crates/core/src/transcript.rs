//! Compact storage of the tokens of one generation.
//!
//! Token ids, the end of each token's text and the joined text are stored in three buffers, so that a token costs its
//! text and eight bytes.

use std::ops::Range;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};
use crate::wire::{Finish, Token};

/// The bytes per token in addition to its text: its id and the end offset of its text.
const TOKEN_OVERHEAD: usize = 2 * size_of::<u32>();

/// All tokens of one generation so far, starting at index 0.
///
/// ```
/// use hawthornpost_core::transcript::Transcript;
/// use hawthornpost_core::wire::Token;
///
/// let mut transcript = Transcript::new();
/// transcript.push(&Token { id: 7, text: "dear".to_owned() });
/// assert_eq!((transcript.len(), transcript.text(0..1)), (1, "dear"));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transcript {
    ids: Vec<u32>,
    ends: Vec<u32>,
    text: String,
    finish: Option<Finish>,
}

/// A range of consecutive tokens of a generation, as sent to a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Shape")]
pub struct Segment {
    first: u32,
    ids: Vec<u32>,
    ends: Vec<u32>,
    text: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    finish: Option<Finish>,
}

/// A deserialized segment whose offsets have not been validated.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Shape {
    first: u32,
    ids: Vec<u32>,
    ends: Vec<u32>,
    text: String,
    #[serde(default)]
    finish: Option<Finish>,
}

/// The result of appending a segment to a transcript.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    /// The transcript now contains the whole segment.
    Stored,
    /// The segment starts after the end of the transcript.
    Gap,
    /// The segment conflicts with a token or the end of the transcript.
    Mismatch,
}

impl Transcript {
    /// Creates an empty transcript.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of tokens.
    pub fn len(&self) -> u32 {
        index(self.ids.len())
    }

    /// Returns whether there is no token.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Returns the token ids, starting at index 0.
    pub fn ids(&self) -> &[u32] {
        &self.ids
    }

    /// Returns the finish reason, or `None` while the generation runs.
    pub fn finish(&self) -> Option<Finish> {
        self.finish
    }

    /// Returns the id at `index`.
    pub fn id(&self, index: u32) -> Option<u32> {
        self.ids.get(index as usize).copied()
    }

    /// Returns the text of the tokens in `range`, clamped to the end of the transcript.
    pub fn text(&self, range: Range<u32>) -> &str {
        &self.text[self.text_start(range.start)..self.text_start(range.end)]
    }

    /// Returns the memory size of the tokens in `range`, in bytes.
    pub fn cost(&self, range: Range<u32>) -> usize {
        let tokens = range.end.min(self.len()).saturating_sub(range.start);
        self.text(range).len() + tokens as usize * TOKEN_OVERHEAD
    }

    /// Appends a token.
    pub fn push(&mut self, token: &Token) {
        self.text.push_str(&token.text);
        self.ids.push(token.id);
        self.ends.push(index(self.text.len()));
    }

    /// Records the finish reason.
    pub fn set_finish(&mut self, finish: Finish) {
        self.finish = Some(finish);
    }

    /// Returns a copy of the tokens from index `first`, with the finish reason if the generation has finished.
    pub fn segment(&self, first: u32) -> Segment {
        let first = first.min(self.len());
        let start = self.text_start(first);
        let ends = self.ends[first as usize..].iter();
        Segment {
            first,
            ids: self.ids[first as usize..].to_vec(),
            ends: ends.map(|end| end - index(start)).collect(),
            text: self.text[start..].to_owned(),
            finish: self.finish,
        }
    }

    /// Appends the part of a segment that the transcript lacks. Does nothing if the segment does not fit.
    pub fn append(&mut self, segment: &Segment) -> Fit {
        if segment.first > self.len() {
            return Fit::Gap;
        }
        let existing = &self.ids[segment.first as usize..];
        let overlap = existing.len().min(segment.ids.len());
        if existing[..overlap] != segment.ids[..overlap] || self.conflicts_with_end(segment) {
            return Fit::Mismatch;
        }
        let skipped_bytes = overlap.checked_sub(1).map_or(0, |last| segment.ends[last]);
        let text_length = index(self.text.len());
        self.ids.extend_from_slice(&segment.ids[overlap..]);
        self.ends.extend(
            segment.ends[overlap..]
                .iter()
                .map(|end| text_length + end - skipped_bytes),
        );
        self.text.push_str(&segment.text[skipped_bytes as usize..]);
        self.finish = self.finish.or(segment.finish);
        Fit::Stored
    }

    fn conflicts_with_end(&self, segment: &Segment) -> bool {
        let after_end = self.finish.is_some() && segment.end() > self.len();
        let early_end = segment.finish.is_some() && segment.end() < self.len();
        after_end || early_end
    }

    fn text_start(&self, index: u32) -> usize {
        let end = |last: u32| {
            self.ends
                .get(last as usize)
                .map_or(self.text.len(), |end| *end as usize)
        };
        index.checked_sub(1).map_or(0, end)
    }
}

impl Segment {
    /// Returns the index of the first token.
    pub fn first(&self) -> u32 {
        self.first
    }

    /// Returns the index after the last token.
    pub fn end(&self) -> u32 {
        self.first + index(self.ids.len())
    }

    /// Returns the memory size of the segment, in bytes.
    pub fn cost(&self) -> usize {
        self.text.len() + self.ids.len() * TOKEN_OVERHEAD
    }

    fn is_consistent(&self) -> bool {
        self.ids.len() == self.ends.len()
            && self.ends.is_sorted()
            && self.ends.iter().all(|end| self.text.is_char_boundary(*end as usize))
            && self.ends.last().copied().unwrap_or(0) == index(self.text.len())
            && self.first.checked_add(index(self.ids.len())).is_some()
    }
}

impl TryFrom<Shape> for Segment {
    type Error = Error;

    fn try_from(shape: Shape) -> Result<Self> {
        let segment = Self {
            first: shape.first,
            ids: shape.ids,
            ends: shape.ends,
            text: shape.text,
            finish: shape.finish,
        };
        if segment.is_consistent() {
            return Ok(segment);
        }
        Err(Error::from(Kind::MalformedChunk))
    }
}

impl From<Segment> for Transcript {
    /// Converts a segment that starts at index 0; any other segment gives an empty transcript.
    fn from(segment: Segment) -> Self {
        if segment.first > 0 {
            return Self::new();
        }
        Self {
            ids: segment.ids,
            ends: segment.ends,
            text: segment.text,
            finish: segment.finish,
        }
    }
}

/// Returns the memory size of a token, in bytes.
pub(crate) fn token_cost(token: &Token) -> usize {
    token.text.len() + TOKEN_OVERHEAD
}

/// Converts a length to an index. A generation has fewer than 2^32 tokens and bytes, because token limits are `u32` and
/// prompts are limited to 1 MB.
fn index(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
