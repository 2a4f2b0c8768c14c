//! Parser for `text/event-stream` bodies.

use bytes::{Bytes, BytesMut};

/// An event with its unmodified bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The id, if the event has a numeric one.
    pub id: Option<u64>,
    /// The bytes, including the empty line that terminates the event.
    pub bytes: Bytes,
}

impl Event {
    /// Returns whether all lines are comments or fields of an event.
    pub fn is_well_formed(&self) -> bool {
        let lines = self.bytes.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii_end);
        lines.filter(|line| !line.is_empty()).all(|line| {
            let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
            matches!(name, b"" | b"data" | b"event" | b"id" | b"retry")
        })
    }
}

/// Splits a body into complete events; an incomplete event at the end is never returned.
///
/// ```
/// use hawthornpost_gateway::event_stream::Splitter;
///
/// let mut splitter = Splitter::default();
/// splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
/// assert_eq!(splitter.next().and_then(|event| event.id), Some(1));
/// assert!(splitter.next().is_none());
/// assert!(splitter.has_incomplete_event());
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    scanned: usize,
}

impl Splitter {
    /// Appends bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether bytes of an incomplete event are buffered.
    pub fn has_incomplete_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the length of the first complete event, including the empty line that terminates it.
    fn first_event_len(&mut self) -> Option<usize> {
        let start = self.scanned.saturating_sub(3);
        for at in start..self.buffer.len() {
            let rest = &self.buffer[at..];
            if rest.starts_with(b"\n\n") {
                return Some(at + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(at + 3);
            }
        }
        self.scanned = self.buffer.len();
        None
    }
}

impl Iterator for Splitter {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        let end = self.first_event_len()?;
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = id_of(&bytes);
        Some(Event { id, bytes })
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
