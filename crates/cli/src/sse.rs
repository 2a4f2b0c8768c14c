//! Decoder for server-sent events.

use bytes::{Buf, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

const SEPARATOR: &[u8] = b"\n\n";

/// A server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Event {
    pub(crate) name: String,
    pub(crate) id: Option<u32>,
    pub(crate) data: String,
}

/// Reads events from a response body.
#[derive(Debug)]
pub(crate) struct Reader {
    body: Incoming,
    buffer: BytesMut,
}

impl Reader {
    pub(crate) fn new(body: Incoming) -> Self {
        let buffer = BytesMut::new();
        Self { body, buffer }
    }

    /// Returns the next event, or `None` when the body ends or the connection fails.
    pub(crate) async fn next(&mut self) -> Option<Event> {
        loop {
            if let Some(event) = self.take_buffered() {
                return Some(event);
            }
            let frame = self.body.frame().await?.ok()?;
            if let Some(data) = frame.data_ref() {
                self.buffer.extend_from_slice(data);
            }
        }
    }

    /// Removes the first complete event from the buffer and decodes it.
    fn take_buffered(&mut self) -> Option<Event> {
        let end = self
            .buffer
            .windows(SEPARATOR.len())
            .position(|bytes| bytes == SEPARATOR)?;
        let text = self.buffer.split_to(end);
        self.buffer.advance(SEPARATOR.len());
        let mut event = Event::default();
        for line in String::from_utf8_lossy(&text).lines() {
            match line.split_once(':') {
                Some(("event", name)) => name.trim().clone_into(&mut event.name),
                Some(("id", id)) => event.id = id.trim().parse().ok(),
                Some(("data", data)) => event.data.push_str(data.strip_prefix(' ').unwrap_or(data)),
                _ => {}
            }
        }
        Some(event)
    }
}
