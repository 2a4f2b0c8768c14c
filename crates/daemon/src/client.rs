//! HTTP client with a connection of its own for each call.
//!
//! A connection can go silent while new ones work, so a new call never depends on an old connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

use crate::error::{Error, Kind, Result};
use crate::timer::Timer;

/// The largest part of an error body that goes into a message.
const MAX_DETAIL_BYTES: usize = 300;

/// The bytes of the read buffer. A stream of an engine has one for minutes; response heads have to fit into it.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// Builds a request without a body.
pub fn request(method: Method, path: impl AsRef<str>) -> Request<Full<Bytes>> {
    with_body(method, path, Bytes::new())
}

/// Builds a request with a JSON body.
pub fn json_request(method: Method, path: impl AsRef<str>, body: &impl Serialize) -> Request<Full<Bytes>> {
    with_body(method, path, serde_json::to_vec(body).unwrap_or_default())
}

/// Builds a request with a body.
///
/// A path that is not a valid URI becomes `/`; targets answer it with status 404.
pub fn with_body(method: Method, path: impl AsRef<str>, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body.into()));
    *request.method_mut() = method;
    *request.uri_mut() = path.as_ref().parse().unwrap_or_default();
    request
}

/// Opens a connection and sends a request; the body of the response is read by the caller.
///
/// # Errors
///
/// Fails when the connection cannot be made or breaks before the head of the response.
pub async fn open(address: SocketAddr, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
    open_on(connect(address).await?, address, request).await
}

/// Sends a request on a connection that was made for it.
///
/// # Errors
///
/// Fails when the connection breaks before the head of the response.
pub async fn open_on(
    stream: TcpStream,
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>> {
    let handshake = http1::Builder::new()
        .read_buf_exact_size(Some(READ_BUFFER_BYTES))
        .handshake(TokioIo::new(stream))
        .await;
    let (mut sender, connection) = handshake.map_err(|source| Kind::Transport { address, source })?;
    tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {address} ended: {error}");
        }
    });
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(HOST, host);
    }
    let response = sender.send_request(request).await;
    response.map_err(|source| Kind::Transport { address, source }.into())
}

/// Sends a request and reads the whole response, within one time limit.
///
/// # Errors
///
/// Fails like [`open`], and when the limit passes or the response has an error status.
pub async fn call(timer: &Timer, limit: Duration, address: SocketAddr, request: Request<Full<Bytes>>) -> Result<Bytes> {
    let (status, body) = exchange(timer, limit, address, request).await?;
    if status.is_success() {
        return Ok(body);
    }
    Err(status_error(address, status, &body))
}

/// Sends a request and reads the whole response whatever its status, within one time limit.
///
/// # Errors
///
/// Fails like [`open`], and when the limit passes.
pub async fn exchange(
    timer: &Timer,
    limit: Duration,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes)> {
    let whole = async {
        let response = open(address, request).await?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|source| Kind::Transport { address, source })?;
        Ok((status, body.to_bytes()))
    };
    match timer.limit(limit, whole).await {
        Some(result) => result,
        None => Err(Kind::Timeout { address, limit }.into()),
    }
}

/// Decodes a JSON body.
///
/// # Errors
///
/// Fails when the body is not the expected JSON.
pub fn decode<T: DeserializeOwned>(address: SocketAddr, body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|source| Kind::Decode { address, source }.into())
}

/// Describes a response with an error status.
pub fn status_error(address: SocketAddr, status: StatusCode, body: &[u8]) -> Error {
    let shown = &body[..body.len().min(MAX_DETAIL_BYTES)];
    Error::from(Kind::Status {
        address,
        status,
        detail: String::from_utf8_lossy(shown).into_owned(),
    })
}

/// Makes a connection.
///
/// # Errors
///
/// Fails when the connection cannot be made.
pub async fn connect(address: SocketAddr) -> Result<TcpStream> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|source| Kind::Connect { address, source })?;
    stream
        .set_nodelay(true)
        .map_err(|source| Kind::Connect { address, source })?;
    Ok(stream)
}
