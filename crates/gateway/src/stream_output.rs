//! Output of a stream to its caller.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hawthornpost_core::clock::Instant;
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};

use crate::body::{Body, Part, Task};
use crate::response;

/// The maximum number of buffered parts for a slow reader; beyond it, backpressure slows the engine down.
pub const MAX_BUFFERED_PARTS: usize = 256;
/// The maximum size of the buffered parts in bytes.
pub const MAX_BUFFERED_BYTES: u32 = 128 << 10;

/// Sends the events of a stream to its caller.
#[derive(Debug)]
pub struct Output {
    head: Option<oneshot::Sender<Head>>,
    parts: mpsc::Sender<Part>,
    /// A permit for each byte that may be buffered.
    space: Arc<Semaphore>,
    /// The number of forwarded events.
    pub events: u64,
    /// When the first event was forwarded.
    pub first_at: Option<Instant>,
    /// When the last event was forwarded.
    pub last_at: Instant,
    /// The longest time between two events.
    pub longest_pause: Duration,
}

/// The receiving end of an [`Output`], from which the response is built.
#[derive(Debug)]
pub struct Input {
    head: oneshot::Receiver<Head>,
    parts: mpsc::Receiver<Part>,
}

/// The bytes of a part, which take space until they have been written to the caller.
struct Buffered {
    bytes: Bytes,
    _space: OwnedSemaphorePermit,
}

/// The head of the response to a caller.
#[derive(Debug)]
enum Head {
    /// A stream with the headers of its first engine.
    Stream(HeaderMap),
    /// Any other response.
    Other(Response<Body>),
}

impl Output {
    /// Creates both ends of the output.
    pub fn new() -> (Self, Input) {
        let (head_sender, head) = oneshot::channel();
        let (parts_sender, parts) = mpsc::channel(MAX_BUFFERED_PARTS);
        let output = Self {
            head: Some(head_sender),
            parts: parts_sender,
            space: Arc::new(Semaphore::new(MAX_BUFFERED_BYTES as usize)),
            events: 0,
            first_at: None,
            last_at: Instant::ZERO,
            longest_pause: Duration::ZERO,
        };
        (output, Input { head, parts })
    }

    /// Returns whether the head of the response has been sent.
    pub fn has_begun(&self) -> bool {
        self.head.is_none()
    }

    /// Forwards an event, and before the first one the headers; returns whether the caller is still connected.
    pub async fn forward(&mut self, now: Instant, headers: &mut HeaderMap, bytes: Bytes) -> bool {
        if let Some(head) = self.head.take() {
            self.first_at = Some(now);
            if head.send(Head::Stream(std::mem::take(headers))).is_err() {
                return false;
            }
        } else {
            self.longest_pause = self.longest_pause.max(now.since(self.last_at));
        }
        self.last_at = now;
        self.events += 1;
        let size = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        let space = Arc::clone(&self.space).acquire_many_owned(size.min(MAX_BUFFERED_BYTES));
        let Ok(space) = space.await else {
            return false;
        };
        let bytes = Bytes::from_owner(Buffered { bytes, _space: space });
        self.parts.send(Part::Bytes(bytes)).await.is_ok()
    }

    /// Marks the stream as complete; waits for a slow reader, because a stream without the mark looks truncated.
    pub async fn finish(&self) {
        // The receiver is dropped only when the caller has disconnected.
        let _is_sent = self.parts.send(Part::End).await;
    }

    /// Sends a response other than a stream, unless the stream has begun.
    pub fn respond(&mut self, response: Response<Body>) {
        if let Some(head) = self.head.take() {
            // The receiver is dropped only when the caller has disconnected.
            let _is_sent = head.send(Head::Other(response));
        }
    }
}

impl AsRef<[u8]> for Buffered {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Input {
    /// Waits for the head of the response; dropping the response body aborts the task.
    pub async fn response(self, task: Task) -> Response<Body> {
        match self.head.await {
            Ok(Head::Stream(headers)) => {
                let mut response = Response::new(Body::stream(self.parts, task));
                *response.headers_mut() = headers;
                response
            }
            Ok(Head::Other(response)) => response,
            Err(_) => response::text(StatusCode::BAD_GATEWAY, "the stream broke off; its outcome is unknown"),
        }
    }
}
