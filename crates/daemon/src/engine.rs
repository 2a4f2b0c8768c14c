//! Client of the streaming protocol of the engines.

use std::net::SocketAddr;

use bytes::{Buf, Bytes, BytesMut};
use hawthornpost_core::id::{Attempt, Request};
use hawthornpost_core::wire::{Frame, Generate};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Response, StatusCode};

use crate::client;
use crate::error::{Error, Kind, Result};

/// The longest accepted line of an event stream; a longer one is a protocol error.
const MAX_LINE_BYTES: usize = 1 << 20;

/// The open stream of one attempt.
#[derive(Debug)]
pub struct Stream {
    address: SocketAddr,
    body: Incoming,
    buffer: BytesMut,
}

/// One event of a stream.
#[derive(Debug)]
pub enum Event {
    /// Tokens.
    Frame(Frame),
    /// The engine ended the stream normally.
    Done,
}

impl Stream {
    /// Starts an attempt.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be reached or refuses the attempt.
    pub async fn start(address: SocketAddr, generate: &Generate) -> Result<Self> {
        let request = client::json_request(Method::POST, "/v1/completions", generate);
        Self::from_response(address, client::send(address, request).await?).await
    }

    /// Attaches to a running generation on a new connection.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be reached, does not run the request, or refuses the attempt.
    pub async fn attach(address: SocketAddr, request: Request, attempt: Attempt, from: u32) -> Result<Self> {
        let path = format!("/v1/completions/{request}?attempt={attempt}&from={from}");
        let response = client::send(address, client::request(Method::GET, path)).await?;
        Self::from_response(address, response).await
    }

    /// Reads the next event; `None` means that the connection ended without `[DONE]`.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or an event cannot be decoded.
    pub async fn next(&mut self) -> Result<Option<Event>> {
        loop {
            while let Some(line) = self.take_line() {
                if let Some(data) = line.strip_prefix(b"data:") {
                    return self.decode(data.trim_ascii()).map(Some);
                }
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(Error::failed(
                    "the engine sent a line that is too long",
                    "check the engine's version",
                ));
            }
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            let address = self.address;
            let frame = frame.map_err(|source| Kind::Transport { address, source })?;
            if let Some(data) = frame.data_ref() {
                self.buffer.extend_from_slice(data);
            }
        }
    }

    async fn from_response(address: SocketAddr, response: Response<Incoming>) -> Result<Self> {
        let status = response.status();
        if status != StatusCode::OK {
            let body = response.into_body().collect().await;
            let body = body.map_or_else(|_broken| Bytes::new(), http_body_util::Collected::to_bytes);
            return Err(client::status_error(address, status, &body));
        }
        Ok(Self {
            address,
            body: response.into_body(),
            buffer: BytesMut::new(),
        })
    }

    fn take_line(&mut self) -> Option<Bytes> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let line = self.buffer.split_to(end).freeze();
        self.buffer.advance(1);
        Some(line)
    }

    fn decode(&self, data: &[u8]) -> Result<Event> {
        if data == b"[DONE]" {
            return Ok(Event::Done);
        }
        client::decode(self.address, data).map(Event::Frame)
    }
}

/// Cancels all attempts of a request up to the given number.
///
/// # Errors
///
/// Fails when the engine cannot be reached.
pub async fn cancel(address: SocketAddr, request: Request, attempt: Attempt) -> Result<()> {
    let path = format!("/v1/completions/{request}?attempt={attempt}");
    client::send(address, client::request(Method::DELETE, path))
        .await
        .map(drop)
}
