//! HTTP client that opens a new connection for each request.
//!
//! An established connection can hang while new ones work, so connections are not reused.

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

/// The longest excerpt of an error body in an error message.
const MAX_DETAIL_BYTES: usize = 300;

/// The size of the read buffer. An engine stream holds one for minutes, so it is small; response heads must fit into
/// it.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// Builds a request without a body.
pub fn request(method: Method, path: impl AsRef<str>) -> Request<Full<Bytes>> {
    request_with_body(method, path, Bytes::new())
}

/// Builds a request with a JSON body.
pub fn json_request(method: Method, path: impl AsRef<str>, body: &impl Serialize) -> Request<Full<Bytes>> {
    request_with_body(method, path, serde_json::to_vec(body).unwrap_or_default())
}

/// Builds a request with a body.
///
/// A path that is not a valid URI is replaced by `/`, for which targets return status 404.
pub fn request_with_body(method: Method, path: impl AsRef<str>, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body.into()));
    *request.method_mut() = method;
    *request.uri_mut() = path.as_ref().parse().unwrap_or_default();
    request
}

/// Opens a connection and sends a request. Returns the response with a body that has not been read yet.
///
/// # Errors
///
/// Fails when the connection cannot be opened or breaks before the head of the response.
pub async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
    send_on(connect(address).await?, address, request).await
}

/// Sends a request on a new connection.
///
/// # Errors
///
/// Fails when the connection breaks before the head of the response.
pub async fn send_on(
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
/// Fails like [`send`], and when the limit passes or the response has an error status.
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
/// Fails like [`send`], and when the limit passes.
pub async fn exchange(
    timer: &Timer,
    limit: Duration,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes)> {
    let exchange = async {
        let response = send(address, request).await?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|source| Kind::Transport { address, source })?;
        Ok((status, body.to_bytes()))
    };
    match timer.timeout(limit, exchange).await {
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

/// Builds the error for a response with an error status.
pub fn status_error(address: SocketAddr, status: StatusCode, body: &[u8]) -> Error {
    let shown = &body[..body.len().min(MAX_DETAIL_BYTES)];
    Error::from(Kind::Status {
        address,
        status,
        detail: String::from_utf8_lossy(shown).into_owned(),
    })
}

/// Opens a connection.
///
/// # Errors
///
/// Fails when the connection cannot be opened.
pub async fn connect(address: SocketAddr) -> Result<TcpStream> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|source| Kind::Connect { address, source })?;
    stream
        .set_nodelay(true)
        .map_err(|source| Kind::Connect { address, source })?;
    Ok(stream)
}
