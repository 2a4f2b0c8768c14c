//! Response bodies for callers.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// A body that is complete in memory or streamed.
#[derive(Debug)]
pub enum Body {
    /// The complete body; `None` once it has been read.
    Full(Option<Bytes>),
    /// A streamed body.
    Stream(Stream),
}

/// A streamed body; dropping it aborts the task that produces it.
pub struct Stream {
    receiver: mpsc::Receiver<Part>,
    _task: Task,
}

/// A chunk of a streamed body, or its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// Bytes.
    Bytes(Bytes),
    /// The body is complete.
    End,
}

/// A task that is aborted on drop.
#[derive(Debug)]
pub struct Task(pub JoinHandle<()>);

/// The body was truncated. The error closes the connection, so that the body does not look complete.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the response body was truncated")]
pub struct Broken;

impl Body {
    /// Creates a complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// Creates a streamed body that a task produces.
    pub fn stream(receiver: mpsc::Receiver<Part>, task: Task) -> Self {
        Self::Stream(Stream { receiver, _task: task })
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(
                bytes
                    .take()
                    .filter(|bytes| !bytes.is_empty())
                    .map(|bytes| Ok(Frame::data(bytes))),
            ),
            Self::Stream(stream) => stream.receiver.poll_recv(cx).map(|part| match part {
                Some(Part::Bytes(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Part::End) => None,
                None => Some(Err(Broken)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl fmt::Debug for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Stream").finish_non_exhaustive()
    }
}

impl From<Infallible> for Broken {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}
