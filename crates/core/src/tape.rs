//! Compact storage of the tokens of one generation.
//!
//! Token ids, the end of each token's text and the joined text are stored in three buffers, so that a token costs its
//! text and eight bytes.

use std::ops::Range;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};
use crate::wire::{Finish, Token};

/// The bytes of a token besides its text: its id and the end of its text.
const TOKEN_OVERHEAD: usize = 2 * size_of::<u32>();

/// All tokens of one generation so far, from index 0.
///
/// ```
/// use hawthornpost_core::tape::Tape;
/// use hawthornpost_core::wire::Token;
///
/// let mut tape = Tape::new();
/// tape.push(&Token { id: 7, text: "dear".to_owned() });
/// assert_eq!((tape.len(), tape.text(0..1)), (1, "dear"));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tape {
    ids: Vec<u32>,
    ends: Vec<u32>,
    text: String,
    finish: Option<Finish>,
}

/// Consecutive tokens of a generation, as sent to a replica.
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

/// A segment before its offsets are checked.
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

/// What became of a segment that was appended to a tape.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    /// The tape now contains the whole segment.
    Stored,
    /// The segment begins after the end of the tape.
    Gap,
    /// The segment contradicts a token or the end that the tape already has.
    Mismatch,
}

impl Tape {
    /// Creates an empty tape.
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

    /// Returns the token ids from index 0.
    pub fn ids(&self) -> &[u32] {
        &self.ids
    }

    /// Returns why the generation ended, once it has ended.
    pub fn finish(&self) -> Option<Finish> {
        self.finish
    }

    /// Returns the id at `index`.
    pub fn id(&self, index: u32) -> Option<u32> {
        self.ids.get(index as usize).copied()
    }

    /// Returns the text of the tokens in `range`, cut at the end of the tape.
    pub fn text(&self, range: Range<u32>) -> &str {
        &self.text[self.start(range.start)..self.start(range.end)]
    }

    /// Returns the bytes that the tokens in `range` take.
    pub fn cost(&self, range: Range<u32>) -> usize {
        let tokens = range.end.min(self.len()).saturating_sub(range.start);
        self.text(range).len() + tokens as usize * TOKEN_OVERHEAD
    }

    /// Adds a token.
    pub fn push(&mut self, token: &Token) {
        self.text.push_str(&token.text);
        self.ids.push(token.id);
        self.ends.push(index(self.text.len()));
    }

    /// Notes that the generation ended.
    pub fn set_finish(&mut self, finish: Finish) {
        self.finish = Some(finish);
    }

    /// Returns a copy of the tokens from index `first`, with the end of the generation if it is known.
    pub fn segment(&self, first: u32) -> Segment {
        let first = first.min(self.len());
        let start = self.start(first);
        let ends = self.ends[first as usize..].iter();
        Segment {
            first,
            ids: self.ids[first as usize..].to_vec(),
            ends: ends.map(|end| end - index(start)).collect(),
            text: self.text[start..].to_owned(),
            finish: self.finish,
        }
    }

    /// Adds the part of a segment that the tape does not have yet. Does nothing unless the segment fits.
    pub fn append(&mut self, segment: &Segment) -> Fit {
        if segment.first > self.len() {
            return Fit::Gap;
        }
        let known = &self.ids[segment.first as usize..];
        let overlap = known.len().min(segment.ids.len());
        if known[..overlap] != segment.ids[..overlap] || self.contradicts_end(segment) {
            return Fit::Mismatch;
        }
        let skipped = overlap.checked_sub(1).map_or(0, |last| segment.ends[last]);
        let base = index(self.text.len());
        self.ids.extend_from_slice(&segment.ids[overlap..]);
        self.ends
            .extend(segment.ends[overlap..].iter().map(|end| base + end - skipped));
        self.text.push_str(&segment.text[skipped as usize..]);
        self.finish = self.finish.or(segment.finish);
        Fit::Stored
    }

    fn contradicts_end(&self, segment: &Segment) -> bool {
        let after_end = self.finish.is_some() && segment.end() > self.len();
        let early_end = segment.finish.is_some() && segment.end() < self.len();
        after_end || early_end
    }

    fn start(&self, index: u32) -> usize {
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

    /// Returns the bytes of the segment in memory.
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

impl From<Segment> for Tape {
    /// Makes a tape of a segment that begins at index 0; any other segment gives an empty tape.
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

/// Returns the bytes that a token takes on a tape.
pub(crate) fn token_cost(token: &Token) -> usize {
    token.text.len() + TOKEN_OVERHEAD
}

/// Converts a length to an index. A generation has fewer than 2^32 tokens and bytes, because token limits are `u32` and
/// prompts are at most 1 MB.
fn index(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
