//! HTTP client of the callers, with discovery of the entry hosts.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{AUTHORIZATION, HOST, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use serde_json::Value;
use tokio::net::TcpStream;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for fetching the list of entry hosts.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a caller avoids an address after a failure.
const AVOID_DURATION: Duration = Duration::from_secs(2);

/// A complete response with its decoded body.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    /// The status.
    pub(crate) status: StatusCode,
    /// The value of `Retry-After`.
    pub(crate) retry_after: Option<Duration>,
    /// The body; `null` when it is not JSON.
    pub(crate) body: Value,
}

/// Why a call got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Failure {
    /// No connection was made.
    #[error("no connection")]
    Connect,
    /// The connection was closed before the response was complete.
    #[error("broken connection")]
    Broken,
    /// The response did not arrive in time.
    #[error("silence")]
    Timeout,
}

/// Client that sends requests with the key of one account.
#[derive(Debug)]
pub(crate) struct Client {
    /// The name of the account.
    pub(crate) account: String,
    /// Time without data after which the caller switches to another entry host.
    pub(crate) patience: Duration,
    key: String,
    /// The bootstrap addresses of entry hosts.
    configured: Vec<SocketAddr>,
    cache: Mutex<Cache>,
}

#[derive(Debug, Default)]
struct Cache {
    addresses: Vec<SocketAddr>,
    expires: Option<Instant>,
    failed: Vec<(SocketAddr, Instant)>,
}

impl Reply {
    /// Returns the problem code, or an empty string when there is none.
    pub(crate) fn code(&self) -> &str {
        self.body["code"].as_str().unwrap_or_default()
    }

    async fn read(response: Response<Incoming>) -> Result<Self, Failure> {
        let status = response.status();
        let retry_after = retry_after(&response);
        let body = response.into_body().collect().await;
        let bytes = body.map_err(|_broken| Failure::Broken)?.to_bytes();
        Ok(Self {
            status,
            retry_after,
            body: serde_json::from_slice(&bytes).unwrap_or_default(),
        })
    }

    /// Reads a complete response within a timeout.
    pub(crate) async fn read_within(response: Response<Incoming>, timeout: Duration) -> Result<Self, Failure> {
        let reply = tokio::time::timeout(timeout, Self::read(response)).await;
        reply.unwrap_or(Err(Failure::Timeout))
    }
}

impl Client {
    /// Creates a client for an account with its bootstrap addresses.
    pub(crate) fn new(account: String, key: String, configured: Vec<SocketAddr>, patience: Duration) -> Self {
        Self {
            account,
            patience,
            key,
            configured,
            cache: Mutex::default(),
        }
    }

    /// Chooses a random entry host, after refreshing the address list if it has expired.
    pub(crate) async fn entry(&self) -> SocketAddr {
        let is_expired = self.cache().expires.is_none_or(|expires| expires <= Instant::now());
        if is_expired {
            self.refresh().await;
        }
        let cache = self.cache();
        let choose = |from: &[SocketAddr]| {
            let usable = from.iter().filter(|address| !cache.avoids(**address));
            let usable = usable.collect::<Vec<_>>();
            (!usable.is_empty()).then(|| *usable[rand::rng().random_range(0..usable.len())])
        };
        let chosen = choose(&cache.addresses).or_else(|| choose(&self.configured));
        chosen.unwrap_or_else(|| self.configured[rand::rng().random_range(0..self.configured.len())])
    }

    /// Avoids an address for [`AVOID_DURATION`].
    pub(crate) fn avoid(&self, address: SocketAddr) {
        let mut cache = self.cache();
        cache.failed.retain(|(failed, _)| *failed != address);
        cache.failed.push((address, Instant::now() + AVOID_DURATION));
    }

    /// Builds a request with the key of the account.
    pub(crate) fn request(&self, method: Method, path: &str, body: &str) -> Request<Full<Bytes>> {
        request(method, path, &self.key, body)
    }

    async fn refresh(&self) {
        let entry = {
            let cache = self.cache();
            let usable = self.configured.iter().filter(|address| !cache.avoids(**address));
            let usable = usable.copied().collect::<Vec<_>>();
            if usable.is_empty() {
                return;
            }
            usable[rand::rng().random_range(0..usable.len())]
        };
        let request = self.request(Method::GET, "/v1/entries", "");
        match exchange(entry, request, ADDRESS_TIMEOUT).await {
            Ok(reply) if reply.status.is_success() => {
                let list = reply.body["entries"].as_array().cloned().unwrap_or_default();
                let addresses = list.iter().filter_map(|item| item.as_str()?.parse().ok());
                let lifetime = reply.body["lifetime_ms"].as_u64().unwrap_or_default();
                let mut cache = self.cache();
                cache.addresses = addresses.collect();
                cache.expires = Some(Instant::now() + Duration::from_millis(lifetime));
            }
            Ok(_) | Err(_) => self.avoid(entry),
        }
    }

    fn cache(&self) -> MutexGuard<'_, Cache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Cache {
    fn avoids(&self, address: SocketAddr) -> bool {
        let now = Instant::now();
        self.failed
            .iter()
            .any(|(failed, until)| *failed == address && *until > now)
    }
}

/// Builds a request; an empty key adds no `Authorization` header.
pub(crate) fn request(method: Method, path: &str, key: &str, body: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::copy_from_slice(body.as_bytes())));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().expect("a path");
    let headers = request.headers_mut();
    headers.insert(HOST, HeaderValue::from_static("hawthornpost"));
    if !key.is_empty() {
        let value = HeaderValue::from_str(&format!("Bearer {key}")).expect("a header value");
        headers.insert(AUTHORIZATION, value);
    }
    request
}

/// Sends a request and returns the response before its body is read.
///
/// # Errors
///
/// Fails when the connection cannot be made or breaks, or when the response does not start in time.
pub(crate) async fn open(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Response<Incoming>, Failure> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected
        .map_err(|_elapsed| Failure::Connect)?
        .map_err(|_refused| Failure::Connect)?;
    // An error of the socket is reported again by the first write.
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_broken| Failure::Connect)?;
    tokio::spawn(connection);
    let response = tokio::time::timeout(timeout, sender.send_request(request)).await;
    response
        .map_err(|_elapsed| Failure::Timeout)?
        .map_err(|_broken| Failure::Broken)
}

/// Sends a request and reads the complete response.
///
/// # Errors
///
/// Fails like [`open`], and when the body is incomplete.
pub(crate) async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Reply, Failure> {
    let response = open(address, request, timeout).await?;
    Reply::read_within(response, timeout).await
}

fn retry_after(response: &Response<Incoming>) -> Option<Duration> {
    let value = response.headers().get(RETRY_AFTER)?.to_str().ok()?;
    value.parse().ok().map(Duration::from_secs)
}
