//! Looks at the heads of requests before the HTTP library reads them.
//!
//! The library drops a Content-Length that stands beside a Transfer-Encoding, so the ambiguity, with which a request can
//! be smuggled past another reader, is seen only in the bytes.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The bytes of a head that are looked at; the library rejects longer heads.
const HEAD_BYTES: usize = 64 << 10;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// What the bytes of the current head say.
#[derive(Debug, Default)]
pub(crate) struct Head {
    bytes: RefCell<Vec<u8>>,
    framing: Cell<Option<Framing>>,
}

/// How a head frames its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// One reading only.
    Clear,
    /// Different readers may find different ends.
    Ambiguous,
}

/// A connection whose heads are looked at.
#[derive(Debug)]
pub(crate) struct Guarded {
    stream: TcpStream,
    head: Rc<Head>,
}

impl Head {
    /// Returns the framing of the current request; `None` when its head came together with an earlier request.
    pub(crate) fn framing(&self) -> Option<Framing> {
        self.framing.get()
    }

    /// Expects the head of the next request.
    pub(crate) fn expect_next(&self) {
        self.framing.set(None);
        self.bytes.borrow_mut().clear();
    }

    fn see(&self, bytes: &[u8]) {
        if self.framing.get().is_some() {
            return;
        }
        let mut seen = self.bytes.borrow_mut();
        let from = seen.len().saturating_sub(HEAD_END.len());
        let room = HEAD_BYTES - seen.len();
        seen.extend_from_slice(&bytes[..bytes.len().min(room)]);
        let end = seen[from..]
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END);
        if let Some(end) = end {
            self.framing.set(Some(framing_of(&seen[..from + end])));
            seen.clear();
        }
    }
}

fn framing_of(head: &[u8]) -> Framing {
    let names = head.split(|byte| *byte == b'\n').skip(1);
    let names = names.filter_map(|line| line.split(|byte| *byte == b':').next());
    let (mut lengths, mut codings) = (0, 0);
    for name in names {
        let name = name.trim_ascii();
        lengths += u32::from(name.eq_ignore_ascii_case(b"content-length"));
        codings += u32::from(name.eq_ignore_ascii_case(b"transfer-encoding"));
    }
    if lengths + codings > 1 {
        Framing::Ambiguous
    } else {
        Framing::Clear
    }
}

impl Guarded {
    /// Looks at the heads that arrive on a connection.
    pub(crate) fn new(stream: TcpStream) -> (Self, Rc<Head>) {
        let head = Rc::<Head>::default();
        let guarded = Self {
            stream,
            head: Rc::clone(&head),
        };
        (guarded, head)
    }
}

impl AsyncRead for Guarded {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.head.see(&buf.filled()[before..]);
        }
        result
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
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
