//! Limits on the bytes of a response, in number and in time, enforced where they are read from the connection.
//!
//! The HTTP library skips informational responses without a limit and reads bodies as long as they last. Only the raw
//! connection sees every byte.

use std::cell::Cell;
use std::error::Error;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::gateway::Gateway;
use crate::target::Target;

/// The maximum size of a response head, together with the informational responses before it.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// The maximum time from the first byte of a response to the end of its head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// The default maximum size of the response of a plain service.
pub const DEFAULT_RESPONSE_BYTES: usize = 512 << 10;
/// The maximum time from the first byte of the response of a plain service to its last byte.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// The bytes of a stream in addition to those of its tokens.
const STREAM_BASE_BYTES: usize = 256 << 10;
/// The mean size of a token in a stream, at most.
const MAX_TOKEN_BYTES: usize = 4 << 10;

/// The limits of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of bytes, including the head and the framing.
    pub bytes: usize,
    /// The maximum time from the first byte to the last one, if there is one.
    pub timeout: Option<Duration>,
}

/// The limit that a response exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Excess {
    /// The head, or the informational responses before it, have no end.
    #[error("the response head exceeds its limit of bytes or time")]
    Head,
    /// The response is too large.
    #[error("the response exceeds its limit of bytes")]
    Bytes,
    /// The response arrives too slowly.
    #[error("the response exceeds its limit of time")]
    Time,
    /// An event is too large.
    #[error("an event exceeds its limit of bytes")]
    Event,
    /// The stream has more events than the request allows tokens, or ids beyond them.
    #[error("the events exceed the maximum number of output tokens")]
    Events,
    /// A stream holds bytes that are no event, such as the text of an error.
    #[error("the stream contains bytes that are no event")]
    Foreign,
    /// The responses that the process buffers are too large together.
    #[error("the buffered responses exceed their limit of bytes")]
    Memory,
}

/// The received part of the current response of a connection, and its limits; whether its request was sent.
#[derive(Debug)]
pub(crate) struct Meter {
    limits: Cell<Limits>,
    has_head: Cell<bool>,
    bytes: Cell<usize>,
    first_at: Cell<Option<Instant>>,
    /// Whether a byte of the current request was written.
    has_sent: Cell<bool>,
}

/// A connection whose responses are limited.
#[derive(Debug)]
pub(crate) struct Stream {
    stream: TcpStream,
    meter: Rc<Meter>,
}

impl Limits {
    /// Returns the limits of a response of a plain service with a maximum size.
    pub(crate) fn response(bytes: usize) -> Self {
        Self {
            bytes,
            timeout: Some(RESPONSE_TIMEOUT),
        }
    }

    /// Returns the limits of a stream with a maximum number of tokens.
    pub(crate) fn stream(tokens: u64) -> Self {
        let tokens = usize::try_from(tokens).unwrap_or(usize::MAX);
        Self {
            bytes: tokens.saturating_mul(MAX_TOKEN_BYTES).saturating_add(STREAM_BASE_BYTES),
            timeout: None,
        }
    }

    /// Returns the limits of a response of which only the size is limited here.
    pub(crate) fn size(bytes: usize) -> Self {
        Self { bytes, timeout: None }
    }
}

impl Excess {
    /// Returns the exceeded limit if it is among the causes of an error.
    pub(crate) fn of(error: &(dyn Error + 'static)) -> Option<Self> {
        let mut cause = Some(error);
        while let Some(error) = cause {
            if let Some(hyper) = error.downcast_ref::<hyper::Error>()
                && hyper.is_parse_too_large()
            {
                return Some(Self::Head);
            }
            let inner = error.downcast_ref::<io::Error>().and_then(io::Error::get_ref);
            if let Some(excess) = inner.and_then(|inner| inner.downcast_ref::<Self>()) {
                return Some(*excess);
            }
            cause = error.source();
        }
        None
    }

    /// Marks a target as suspect, unless the limit is one of this process.
    pub(crate) fn report(self, gateway: &Gateway, target: &Target) {
        if self != Self::Memory {
            gateway.suspect(target, &self.to_string());
        }
    }
}

impl Meter {
    fn new() -> Self {
        Self {
            limits: Cell::new(Limits::response(DEFAULT_RESPONSE_BYTES)),
            has_head: Cell::default(),
            bytes: Cell::default(),
            first_at: Cell::default(),
            has_sent: Cell::default(),
        }
    }

    /// Starts to count the response to a new request.
    pub(crate) fn start(&self) {
        self.has_head.set(false);
        self.bytes.set(0);
        self.first_at.set(None);
        self.has_sent.set(false);
    }

    /// Returns whether a byte of the current request was written to the connection, so that it may run.
    pub(crate) fn has_sent(&self) -> bool {
        self.has_sent.get()
    }

    fn record_sent(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(bytes)) if *bytes > 0) {
            self.has_sent.set(true);
        }
    }

    /// Records that the head of the response is complete.
    pub(crate) fn finish_head(&self) {
        self.has_head.set(true);
    }

    /// Returns the limits.
    pub(crate) fn limits(&self) -> Limits {
        self.limits.get()
    }

    /// Replaces the limits, also those of the current response.
    pub(crate) fn set_limits(&self, limits: Limits) {
        self.limits.set(limits);
    }

    fn record(&self, bytes: usize, now: Instant) -> Result<(), Excess> {
        let first_at = self.first_at.get().unwrap_or(now);
        self.first_at.set(Some(first_at));
        self.bytes.set(self.bytes.get() + bytes);
        let elapsed = now.duration_since(first_at);
        if !self.has_head.get() {
            let is_exceeded = self.bytes.get() > MAX_HEAD_BYTES || elapsed > HEAD_TIMEOUT;
            return if is_exceeded { Err(Excess::Head) } else { Ok(()) };
        }
        let limits = self.limits.get();
        if self.bytes.get() > limits.bytes {
            return Err(Excess::Bytes);
        }
        if limits.timeout.is_some_and(|timeout| elapsed > timeout) {
            return Err(Excess::Time);
        }
        Ok(())
    }
}

impl Stream {
    /// Wraps a connection; returns the meter of its responses as well.
    pub(crate) fn new(stream: TcpStream) -> (Self, Rc<Meter>) {
        let meter = Rc::new(Meter::new());
        let stream = Self {
            stream,
            meter: Rc::clone(&meter),
        };
        (stream, meter)
    }
}

impl AsyncRead for Stream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let bytes = buf.filled().len() - before;
        if bytes == 0 {
            return Poll::Ready(Ok(()));
        }
        let recorded = self.meter.record(bytes, Instant::now());
        Poll::Ready(recorded.map_err(io::Error::other))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.meter.record_sent(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.meter.record_sent(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
