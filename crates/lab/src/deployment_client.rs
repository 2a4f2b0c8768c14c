//! What callers need to talk to entry hosts.

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

/// The time limit of a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// The time limit of a question for addresses.
const ADDRESS_LIMIT: Duration = Duration::from_secs(1);
/// How long a caller leaves an address that failed alone.
const AVOIDED: Duration = Duration::from_secs(2);

/// A whole answer.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    /// The status.
    pub(crate) status: StatusCode,
    /// The value of `Retry-After`.
    pub(crate) retry_after: Option<Duration>,
    /// The body; `null` when it is no JSON.
    pub(crate) body: Value,
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Failure {
    /// No connection was made.
    #[error("no connection")]
    Connect,
    /// The connection broke.
    #[error("broken connection")]
    Broken,
    /// The answer did not come in time.
    #[error("silence")]
    Silent,
}

/// The access of one account.
#[derive(Debug)]
pub(crate) struct Client {
    /// The name of the account.
    pub(crate) account: String,
    /// The silence after which the caller goes to another entry host.
    pub(crate) patience: Duration,
    key: String,
    /// The addresses that the account was told when it was set up.
    known: Vec<SocketAddr>,
    listed: Mutex<Listed>,
}

#[derive(Debug, Default)]
struct Listed {
    addresses: Vec<SocketAddr>,
    expires: Option<Instant>,
    failed: Vec<(SocketAddr, Instant)>,
}

impl Answer {
    /// Returns the code of a problem, or an empty text.
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

    /// Reads an answer within a time limit.
    pub(crate) async fn read_within(response: Response<Incoming>, limit: Duration) -> Result<Self, Failure> {
        let answer = tokio::time::timeout(limit, Self::read(response)).await;
        answer.unwrap_or(Err(Failure::Silent))
    }
}

impl Client {
    /// Creates the access of an account that knows some addresses.
    pub(crate) fn new(account: String, key: String, known: Vec<SocketAddr>, patience: Duration) -> Self {
        Self {
            account,
            patience,
            key,
            known,
            listed: Mutex::default(),
        }
    }

    /// Chooses an entry host and asks for the addresses when the last list has expired.
    pub(crate) async fn entry(&self) -> SocketAddr {
        let is_expired = self.listed().expires.is_none_or(|expires| expires <= Instant::now());
        if is_expired {
            self.refresh().await;
        }
        let listed = self.listed();
        let choose = |from: &[SocketAddr]| {
            let usable = from.iter().filter(|address| !listed.avoids(**address));
            let usable = usable.collect::<Vec<_>>();
            (!usable.is_empty()).then(|| *usable[rand::rng().random_range(0..usable.len())])
        };
        let chosen = choose(&listed.addresses).or_else(|| choose(&self.known));
        chosen.unwrap_or_else(|| self.known[rand::rng().random_range(0..self.known.len())])
    }

    /// Leaves an address alone for a while.
    pub(crate) fn avoid(&self, address: SocketAddr) {
        let mut listed = self.listed();
        listed.failed.retain(|(known, _)| *known != address);
        listed.failed.push((address, Instant::now() + AVOIDED));
    }

    /// Builds a request of the account.
    pub(crate) fn request(&self, method: Method, path: &str, body: &str) -> Request<Full<Bytes>> {
        request(method, path, &self.key, body)
    }

    async fn refresh(&self) {
        let asked = {
            let listed = self.listed();
            let usable = self.known.iter().filter(|address| !listed.avoids(**address));
            let usable = usable.copied().collect::<Vec<_>>();
            if usable.is_empty() {
                return;
            }
            usable[rand::rng().random_range(0..usable.len())]
        };
        let request = self.request(Method::GET, "/v1/entries", "");
        match exchange(asked, request, ADDRESS_LIMIT).await {
            Ok(answer) if answer.status.is_success() => {
                let list = answer.body["entries"].as_array().cloned().unwrap_or_default();
                let addresses = list.iter().filter_map(|item| item.as_str()?.parse().ok());
                let lifetime = answer.body["lifetime_ms"].as_u64().unwrap_or_default();
                let mut listed = self.listed();
                listed.addresses = addresses.collect();
                listed.expires = Some(Instant::now() + Duration::from_millis(lifetime));
            }
            Ok(_) | Err(_) => self.avoid(asked),
        }
    }

    fn listed(&self) -> MutexGuard<'_, Listed> {
        self.listed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Listed {
    fn avoids(&self, address: SocketAddr) -> bool {
        let now = Instant::now();
        self.failed
            .iter()
            .any(|(failed, until)| *failed == address && *until > now)
    }
}

/// Builds a request; an empty key is left out.
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

/// Sends a request and returns the response with the body still to be read.
///
/// # Errors
///
/// Fails without a connection, when it breaks and when no response begins in time.
pub(crate) async fn open(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<Response<Incoming>, Failure> {
    let connected = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
    let stream = connected
        .map_err(|_elapsed| Failure::Connect)?
        .map_err(|_refused| Failure::Connect)?;
    // An error here shows again at the first write.
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_broken| Failure::Connect)?;
    tokio::spawn(connection);
    let response = tokio::time::timeout(limit, sender.send_request(request)).await;
    response
        .map_err(|_elapsed| Failure::Silent)?
        .map_err(|_broken| Failure::Broken)
}

/// Sends a request and reads the whole answer.
///
/// # Errors
///
/// Fails like [`open`] and when the body breaks off.
pub(crate) async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<Answer, Failure> {
    let response = open(address, request, limit).await?;
    Answer::read_within(response, limit).await
}

fn retry_after(response: &Response<Incoming>) -> Option<Duration> {
    let value = response.headers().get(RETRY_AFTER)?.to_str().ok()?;
    value.parse().ok().map(Duration::from_secs)
}
