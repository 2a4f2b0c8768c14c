//! Limits on the events of an engine, in number and in time.

use std::time::Duration;

use bytes::Bytes;
use hawthornpost_core::clock::Instant;

use crate::dialect::Metadata;
use crate::event_stream::Event;
use crate::intake::Excess;

/// The number of events that a stream may have in addition to its tokens, such as comments.
const EXTRA_EVENTS: u64 = 64;
/// The assumed maximum number of tokens of a request that names none.
const DEFAULT_TOKENS: u64 = 16 << 10;
/// The largest maximum number of tokens that counts.
const MAX_TOKENS: u64 = 128 << 10;
/// The maximum time from one numbered event to the end of the next one while bytes arrive.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1500);
/// The maximum size of the events before the first numbered one, in bytes.
const MAX_HELD_BYTES: usize = 32 << 10;

/// The events of an attempt, and what the request allows.
#[derive(Debug)]
pub(crate) struct Quota {
    tokens: u64,
    events: u64,
    /// Whether the attempt goes on with a stream of which the caller has a part.
    is_resumed: bool,
    /// The id that the first numbered event follows; `None` until it is known.
    base: Option<u64>,
    /// The events before the first numbered one, which are not forwarded unless it arrives or the stream completes.
    held: Vec<Event>,
    held_bytes: usize,
    has_numbered_event: bool,
    timeout: Duration,
    /// When the first bytes after the last numbered event arrived.
    bytes_since: Option<Instant>,
}

/// Returns the maximum number of tokens of a stream.
pub(crate) fn max_tokens(metadata: &Metadata) -> u64 {
    match metadata.output_tokens {
        0 => DEFAULT_TOKENS,
        tokens => tokens.min(MAX_TOKENS),
    }
}

impl Quota {
    /// Creates the limits of an attempt that follows the last event, with a timeout of the first numbered event.
    pub(crate) fn new(metadata: &Metadata, last_event: Option<u64>, first_timeout: Duration) -> Self {
        Self {
            tokens: max_tokens(metadata),
            events: 0,
            is_resumed: last_event.is_some(),
            base: last_event,
            held: Vec::new(),
            held_bytes: 0,
            has_numbered_event: false,
            timeout: first_timeout.max(EVENT_TIMEOUT),
            bytes_since: None,
        }
    }

    /// Records that bytes have arrived.
    pub(crate) fn record_bytes(&mut self, now: Instant) {
        self.bytes_since.get_or_insert(now);
    }

    /// Records that a numbered event has been forwarded.
    pub(crate) fn record_progress(&mut self) {
        self.timeout = EVENT_TIMEOUT;
        self.bytes_since = None;
    }

    /// Returns whether bytes have arrived for too long without a numbered event.
    pub(crate) fn is_overdue(&self, now: Instant) -> bool {
        self.bytes_since.is_some_and(|since| now.since(since) >= self.timeout)
    }

    /// Counts events and returns the events that may be forwarded now.
    ///
    /// # Errors
    ///
    /// Fails when the stream has more events than the request allows, or has begun and contains other bytes than events.
    pub(crate) fn admit_all(&mut self, events: impl Iterator<Item = Event>) -> Result<Vec<Event>, Excess> {
        let mut admitted = Vec::new();
        for event in events {
            admitted.extend(self.admit(event)?);
        }
        Ok(admitted)
    }

    fn admit(&mut self, event: Event) -> Result<Vec<Event>, Excess> {
        let limit = self.tokens + EXTRA_EVENTS;
        self.events += 1;
        if self.events > limit {
            return Err(Excess::Events);
        }
        let Some(id) = event.id else {
            return self.admit_unnumbered(event);
        };
        if id > self.base.unwrap_or(id).saturating_add(limit) {
            return Err(Excess::Events);
        }
        self.base = Some(self.base.unwrap_or(id));
        self.has_numbered_event = true;
        let mut events = self.take_held();
        events.push(event);
        Ok(events)
    }

    fn admit_unnumbered(&mut self, event: Event) -> Result<Vec<Event>, Excess> {
        let has_begun = self.is_resumed || self.has_numbered_event;
        if has_begun && !event.is_well_formed() {
            return Err(Excess::Foreign);
        }
        if self.has_numbered_event {
            return Ok(vec![event]);
        }
        if self.is_resumed {
            // Without a numbered event, it is not known to belong to the stream.
            return Ok(Vec::new());
        }
        self.held_bytes += event.bytes.len();
        if self.held_bytes > MAX_HELD_BYTES {
            return Err(Excess::Events);
        }
        // A copy, as the event would keep the whole read buffer in memory.
        let bytes = Bytes::copy_from_slice(&event.bytes);
        self.held.push(Event { bytes, ..event });
        Ok(Vec::new())
    }

    /// Returns the events that were held back.
    pub(crate) fn take_held(&mut self) -> Vec<Event> {
        self.held_bytes = 0;
        std::mem::take(&mut self.held)
    }
}
