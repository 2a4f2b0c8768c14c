//! Calls to entry hosts.

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
/// The characters that are shown of a refusal that is not a problem.
const MAX_DETAIL: usize = 300;
const KEY_VARIABLE: &str = "HAWTHORNPOST_KEY";

/// Calls one of several entry hosts.
#[derive(Debug)]
pub(crate) struct Client {
    entries: Vec<SocketAddr>,
    authorization: Option<HeaderValue>,
    limit: Duration,
}

/// An answer with the address that gave it.
#[derive(Debug)]
pub(crate) struct Answer<T> {
    pub(crate) address: SocketAddr,
    pub(crate) value: T,
}

/// Why a call to one address failed.
#[derive(Debug)]
enum Failure {
    /// Nothing was sent, so that another address can be tried.
    NotConnected(String),
    Broken(String),
}

impl Client {
    /// Reads the addresses and the key; verbs that make no calls need neither.
    pub(crate) fn new(arguments: &Arguments) -> Result<Self> {
        let mut authorization = None;
        if let Some(key) = key(arguments)? {
            let mut value = HeaderValue::from_str(&format!("Bearer {key}")).map_err(|_invalid| Kind::Key)?;
            value.set_sensitive(true);
            authorization = Some(value);
        }
        Ok(Self {
            entries: entries(arguments)?,
            authorization,
            limit: Duration::from_secs(arguments.timeout),
        })
    }

    /// Returns the addresses that were given.
    pub(crate) fn entries(&self) -> Result<&[SocketAddr]> {
        if self.entries.is_empty() {
            return Err(Kind::NoEntry.into());
        }
        Ok(&self.entries)
    }

    /// Reads a path at the first entry host that can be reached.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<Answer<T>> {
        let mut last = String::new();
        for address in self.entries()? {
            // Reading has no effect, so that a broken call is repeated at another address too.
            match self.exchange(*address, Method::GET, path, Bytes::new()).await {
                Ok((status, body)) => return decode(*address, status, &body),
                Err(Failure::NotConnected(detail) | Failure::Broken(detail)) => last = detail,
            }
        }
        Err(self.unreachable(last))
    }

    /// Posts a body to the first entry host that can be reached.
    pub(crate) async fn post<T: DeserializeOwned>(&self, path: &str, body: &Value) -> Result<Answer<T>> {
        let mut last = String::new();
        for address in self.entries()? {
            let body = Bytes::from(body.to_string());
            match self.exchange(*address, Method::POST, path, body).await {
                Ok((status, body)) => return decode(*address, status, &body),
                Err(Failure::NotConnected(detail)) => last = detail,
                Err(Failure::Broken(detail)) => {
                    let address = *address;
                    return Err(Kind::Lost { address, detail }.into());
                }
            }
        }
        Err(self.unreachable(last))
    }

    /// Sends a request and returns the response while its body is arriving, or nothing when the host cannot be used.
    pub(crate) async fn open(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Option<Response<Incoming>>> {
        let opened = tokio::time::timeout(self.limit, self.start(address, request)).await;
        let Ok(Ok(response)) = opened else {
            return Ok(None);
        };
        let status = response.status();
        if status.is_success() {
            return Ok(Some(response));
        }
        let body = tokio::time::timeout(self.limit, response.into_body().collect()).await;
        match body {
            Ok(Ok(body)) => decode::<Value>(address, status, &body.to_bytes()).map(|_| None),
            _ => Ok(None),
        }
    }

    pub(crate) fn unreachable(&self, last: String) -> Error {
        let tried = self.entries.clone();
        Kind::Unreachable { tried, last }.into()
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> std::result::Result<(StatusCode, Bytes), Failure> {
        let whole = async {
            let response = self.start(address, request(method, path, body)).await?;
            let status = response.status();
            let body = response.into_body().collect().await;
            let body = body.map_err(|source| Failure::Broken(source.to_string()))?;
            Ok((status, body.to_bytes()))
        };
        let limited = tokio::time::timeout(self.limit, whole).await;
        limited.unwrap_or_else(|_elapsed| Err(Failure::Broken(format!("no answer within {:?}", self.limit))))
    }

    async fn start(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> std::result::Result<Response<Incoming>, Failure> {
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|source| Failure::NotConnected(format!("{address}: {source}")))?;
        let broken = |source: hyper::Error| Failure::Broken(source.to_string());
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(broken)?;
        // The response reports what goes wrong on the connection.
        tokio::spawn(connection);
        if let Some(value) = &self.authorization {
            request.headers_mut().insert(AUTHORIZATION, value.clone());
        }
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        sender.send_request(request).await.map_err(broken)
    }
}

/// Builds a request with a JSON body.
pub(crate) fn request(method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    let has_body = !body.is_empty();
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    // A name that makes no valid path is asked for as `/`, which the daemon answers with status 404.
    *request.uri_mut() = path.parse().unwrap_or_default();
    if has_body {
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(CONTENT_TYPE, json);
    }
    request
}

fn decode<T: DeserializeOwned>(address: SocketAddr, status: StatusCode, body: &[u8]) -> Result<Answer<T>> {
    if !status.is_success() {
        return Err(refusal(address, status, body));
    }
    let decoded = serde_json::from_slice(body);
    decoded
        .map(|value| Answer { address, value })
        .map_err(|source| Error::from(answer_error(address, &source)))
}

fn answer_error(address: SocketAddr, source: &serde_json::Error) -> Kind {
    Kind::Answer {
        address,
        detail: source.to_string(),
    }
}

fn refusal(address: SocketAddr, status: StatusCode, body: &[u8]) -> Error {
    let problem = serde_json::from_slice::<Value>(body).unwrap_or_default();
    let detail = match (problem["detail"].as_str(), problem["remedy"].as_str()) {
        (Some(detail), Some(remedy)) if !remedy.is_empty() => format!("{detail}; {remedy}"),
        (Some(detail), _) => detail.to_owned(),
        (None, _) => String::from_utf8_lossy(body).chars().take(MAX_DETAIL).collect(),
    };
    let kind = match status {
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => Kind::Access { address, detail },
        StatusCode::CONFLICT => Kind::Conflict { detail, problem },
        status => Kind::Refused {
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
    let texts = list.split(',').map(str::trim).filter(|text| !text.is_empty());
    texts
        .map(|text| {
            text.parse().map_err(|_invalid| {
                let text = text.to_owned();
                Kind::Address { text }.into()
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
