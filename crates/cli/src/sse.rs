//! Server-sent events of a generation.

use bytes::{Buf, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

const SEPARATOR: &[u8] = b"\n\n";

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Event {
    pub(crate) name: String,
    pub(crate) id: Option<u32>,
    pub(crate) data: String,
}

/// Reads the events of a response.
#[derive(Debug)]
pub(crate) struct Events {
    body: Incoming,
    buffer: BytesMut,
}

impl Events {
    pub(crate) fn new(body: Incoming) -> Self {
        let buffer = BytesMut::new();
        Self { body, buffer }
    }

    /// Returns the next event, or nothing when the connection has ended.
    pub(crate) async fn next(&mut self) -> Option<Event> {
        loop {
            if let Some(event) = self.take() {
                return Some(event);
            }
            let frame = self.body.frame().await?.ok()?;
            if let Some(data) = frame.data_ref() {
                self.buffer.extend_from_slice(data);
            }
        }
    }

    fn take(&mut self) -> Option<Event> {
        let end = self
            .buffer
            .windows(SEPARATOR.len())
            .position(|pair| pair == SEPARATOR)?;
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
