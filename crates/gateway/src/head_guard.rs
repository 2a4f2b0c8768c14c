//! Inspects the raw heads of requests for ambiguous framing before the HTTP library parses them, and limits the time in
//! which they arrive.
//!
//! The library removes a Content-Length header next to Transfer-Encoding. This ambiguity, which allows request smuggling
//! past another HTTP parser, is therefore visible only in the raw bytes.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The maximum number of inspected bytes of a head; the library rejects longer heads.
const MAX_HEAD_BYTES: usize = 64 << 10;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The framing of the current request, determined from the bytes of its head.
#[derive(Debug, Default)]
pub(crate) struct Head {
    bytes: RefCell<Vec<u8>>,
    framing: Cell<Option<Framing>>,
    /// When the first byte of the head arrived.
    first_at: Cell<Option<Instant>>,
}

/// How a request head delimits its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// All parsers find the same end of the body.
    Unambiguous,
    /// Different parsers may find different ends of the body.
    Ambiguous,
}

/// A connection whose request heads are inspected.
#[derive(Debug)]
pub(crate) struct Stream {
    inner: TcpStream,
    head: Rc<Head>,
    timeout: Duration,
}

impl Head {
    /// Returns the framing of the current request; `None` if its head was received together with an earlier request.
    pub(crate) fn framing(&self) -> Option<Framing> {
        self.framing.get()
    }

    /// Resets the state for the head of the next request.
    pub(crate) fn reset(&self) {
        self.framing.set(None);
        self.first_at.set(None);
        self.bytes.borrow_mut().clear();
    }

    /// Returns whether the head is incomplete and its first byte arrived longer ago than the timeout.
    fn is_overdue(&self, timeout: Duration) -> bool {
        let first_at = self.first_at.get();
        self.framing.get().is_none() && first_at.is_some_and(|first_at| first_at.elapsed() > timeout)
    }

    fn inspect(&self, bytes: &[u8]) {
        if self.framing.get().is_some() {
            return;
        }
        self.first_at.set(self.first_at.get().or_else(|| Some(Instant::now())));
        let mut head = self.bytes.borrow_mut();
        let from = head.len().saturating_sub(HEAD_END.len());
        let room = MAX_HEAD_BYTES - head.len();
        head.extend_from_slice(&bytes[..bytes.len().min(room)]);
        let end = head[from..]
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END);
        if let Some(end) = end {
            self.framing.set(Some(framing_of(&head[..from + end])));
            head.clear();
        }
    }
}

fn framing_of(head: &[u8]) -> Framing {
    let names = head.split(|byte| *byte == b'\n').skip(1);
    let names = names.filter_map(|line| line.split(|byte| *byte == b':').next());
    let (mut lengths, mut encodings) = (0, 0);
    for name in names {
        let name = name.trim_ascii();
        lengths += u32::from(name.eq_ignore_ascii_case(b"content-length"));
        encodings += u32::from(name.eq_ignore_ascii_case(b"transfer-encoding"));
    }
    if lengths + encodings > 1 {
        Framing::Ambiguous
    } else {
        Framing::Unambiguous
    }
}

impl Stream {
    /// Wraps a connection with a timeout of heads; returns the shared state of its request heads as well.
    pub(crate) fn new(stream: TcpStream, timeout: Duration) -> (Self, Rc<Head>) {
        let head = Rc::<Head>::default();
        let stream = Self {
            inner: stream,
            head: Rc::clone(&head),
            timeout,
        };
        (stream, head)
    }
}

impl AsyncRead for Stream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        if matches!(result, Poll::Ready(Ok(()))) {
            let bytes = &buf.filled()[before..];
            self.head.inspect(bytes);
            if !bytes.is_empty() && self.head.is_overdue(self.timeout) {
                return Poll::Ready(Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    "the head arrives too slowly",
                )));
            }
        }
        result
    }
}

impl AsyncWrite for Stream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
