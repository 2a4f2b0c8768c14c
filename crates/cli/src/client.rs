//! HTTP client for the API of the entry hosts.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::net::TcpStream;

use crate::arguments::Arguments;
use crate::document;
use crate::error::{Error, Kind, Result};

const ENTRIES_VARIABLE: &str = "HAWTHORNPOST_ENTRIES";
/// The number of characters of an error body that are shown when it is not a problem document.
const MAX_DETAIL_CHARS: usize = 300;
const KEY_VARIABLE: &str = "HAWTHORNPOST_KEY";

/// Calls the first reachable entry host of a list.
#[derive(Debug)]
pub(crate) struct Client {
    entries: Vec<SocketAddr>,
    authorization: Option<HeaderValue>,
    timeout: Duration,
}

/// A decoded response body and the address of the entry host that sent it.
#[derive(Debug)]
pub(crate) struct Reply<T> {
    pub(crate) address: SocketAddr,
    pub(crate) value: T,
}

/// Why a call to one address failed.
#[derive(Debug)]
enum Failure {
    /// Nothing was sent, so the call can be retried at another address.
    ConnectFailed(String),
    /// The call may have taken effect.
    ConnectionLost(String),
}

impl Client {
    /// Reads the addresses and the key. Both may be absent, because some commands make no calls.
    pub(crate) fn new(arguments: &Arguments) -> Result<Self> {
        let mut authorization = None;
        if let Some(key) = key(arguments)? {
            let mut value = HeaderValue::from_str(&format!("Bearer {key}")).map_err(|_invalid| Kind::InvalidKey)?;
            value.set_sensitive(true);
            authorization = Some(value);
        }
        Ok(Self {
            entries: entries(arguments)?,
            authorization,
            timeout: Duration::from_secs(arguments.timeout),
        })
    }

    /// Returns the configured addresses; fails if there are none.
    pub(crate) fn entries(&self) -> Result<&[SocketAddr]> {
        if self.entries.is_empty() {
            return Err(Kind::NoAddress.into());
        }
        Ok(&self.entries)
    }

    /// Sends a GET request to the first reachable entry host.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<Reply<T>> {
        let mut last_error = String::new();
        for address in self.entries()? {
            // GET is idempotent, so a call whose connection was lost is also retried at the next address.
            match self.call(*address, Method::GET, path, Bytes::new()).await {
                Ok((status, body)) => return decode(*address, status, &body),
                Err(Failure::ConnectFailed(detail) | Failure::ConnectionLost(detail)) => last_error = detail,
            }
        }
        Err(self.unreachable(last_error))
    }

    /// Sends a POST request to the first reachable entry host.
    pub(crate) async fn post<T: DeserializeOwned>(&self, path: &str, body: &Value) -> Result<Reply<T>> {
        let mut last_error = String::new();
        for address in self.entries()? {
            let body = Bytes::from(body.to_string());
            match self.call(*address, Method::POST, path, body).await {
                Ok((status, body)) => return decode(*address, status, &body),
                Err(Failure::ConnectFailed(detail)) => last_error = detail,
                Err(Failure::ConnectionLost(detail)) => {
                    let address = *address;
                    return Err(Kind::ResponseLost { address, detail }.into());
                }
            }
        }
        Err(self.unreachable(last_error))
    }

    /// Sends a request and returns the response with its body still to be read, or `None` if the host is unreachable or
    /// does not respond in time.
    pub(crate) async fn open_stream(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Option<Response<Incoming>>> {
        let result = tokio::time::timeout(self.timeout, self.send(address, request)).await;
        let Ok(Ok(response)) = result else {
            return Ok(None);
        };
        let status = response.status();
        if status.is_success() {
            return Ok(Some(response));
        }
        let body = tokio::time::timeout(self.timeout, response.into_body().collect()).await;
        match body {
            Ok(Ok(body)) => decode::<Value>(address, status, &body.to_bytes()).map(|_| None),
            _ => Ok(None),
        }
    }

    pub(crate) fn unreachable(&self, last_error: String) -> Error {
        let tried = self.entries.clone();
        Kind::Unreachable { tried, last_error }.into()
    }

    async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> std::result::Result<(StatusCode, Bytes), Failure> {
        let exchange = async {
            let response = self.send(address, request(method, path, body)).await?;
            let status = response.status();
            let body = response.into_body().collect().await;
            let body = body.map_err(|source| Failure::ConnectionLost(source.to_string()))?;
            Ok((status, body.to_bytes()))
        };
        let result = tokio::time::timeout(self.timeout, exchange).await;
        result.unwrap_or_else(|_elapsed| {
            Err(Failure::ConnectionLost(format!(
                "no response within {:?}",
                self.timeout
            )))
        })
    }

    async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> std::result::Result<Response<Incoming>, Failure> {
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|source| Failure::ConnectFailed(format!("{address}: {source}")))?;
        let connection_lost = |source: hyper::Error| Failure::ConnectionLost(source.to_string());
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(connection_lost)?;
        // Connection errors are also returned by `send_request` and by the response body.
        tokio::spawn(connection);
        if let Some(value) = &self.authorization {
            request.headers_mut().insert(AUTHORIZATION, value.clone());
        }
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        sender.send_request(request).await.map_err(connection_lost)
    }
}

/// Builds a request with a JSON body.
pub(crate) fn request(method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    let has_body = !body.is_empty();
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    // A name that does not form a valid path is requested as `/`, for which the daemon returns status 404.
    *request.uri_mut() = path.parse().unwrap_or_default();
    if has_body {
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(CONTENT_TYPE, json);
    }
    request
}

fn decode<T: DeserializeOwned>(address: SocketAddr, status: StatusCode, body: &[u8]) -> Result<Reply<T>> {
    if !status.is_success() {
        return Err(status_error(address, status, body));
    }
    let decoded = serde_json::from_slice(body);
    decoded
        .map(|value| Reply { address, value })
        .map_err(|source| Error::from(decode_error(address, &source)))
}

fn decode_error(address: SocketAddr, source: &serde_json::Error) -> Kind {
    Kind::InvalidResponse {
        address,
        detail: source.to_string(),
    }
}

fn status_error(address: SocketAddr, status: StatusCode, body: &[u8]) -> Error {
    let problem = serde_json::from_slice::<Value>(body).unwrap_or_default();
    let detail = match (problem["detail"].as_str(), problem["remedy"].as_str()) {
        (Some(detail), Some(remedy)) if !remedy.is_empty() => format!("{detail}; {remedy}"),
        (Some(detail), _) => detail.to_owned(),
        (None, _) => String::from_utf8_lossy(body).chars().take(MAX_DETAIL_CHARS).collect(),
    };
    let kind = match status {
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => Kind::AccessDenied { address, detail },
        StatusCode::CONFLICT => Kind::Conflict { detail, problem },
        status => Kind::Rejected {
            address,
            status: status.as_u16(),
            detail,
            problem,
        },
    };
    kind.into()
}

fn entries(arguments: &Arguments) -> Result<Vec<SocketAddr>> {
    if !arguments.entry.is_empty() {
        return Ok(arguments.entry.clone());
    }
    let list = std::env::var(ENTRIES_VARIABLE).unwrap_or_default();
    let items = list.split(',').map(str::trim).filter(|text| !text.is_empty());
    items
        .map(|text| {
            text.parse().map_err(|_invalid| {
                let text = text.to_owned();
                Kind::InvalidAddress { text }.into()
            })
        })
        .collect()
}

fn key(arguments: &Arguments) -> Result<Option<String>> {
    match &arguments.key_file {
        Some(path) => document::read(path).map(|key| Some(key.trim().to_owned())),
        None => Ok(std::env::var(KEY_VARIABLE).ok()),
    }
}
