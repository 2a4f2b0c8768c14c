//! State that this host sends to its peers: the configuration, or its changes since a version, and the targets.
//!
//! Whole state is compressed once per version. Hosts of earlier builds neither ask for changes nor accept compression;
//! they receive the whole state in plain JSON.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::io;

use bytes::Bytes;
use hyper::header::{ACCEPT_ENCODING, CONTENT_ENCODING, CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Response, StatusCode, Uri};
use serde::{Deserialize, Serialize};

use crate::body::Body;
use crate::compression::{self, GZIP};
use crate::config_delta::Delta;
use crate::config_history::History;
use crate::departures::Departure;
use crate::gateway::Gateway;
use crate::metric::{self, Direction};
use crate::platform::Kind;
use crate::response;
use crate::rollout::Order;
use crate::send_rate::Limiter;
use crate::target::Target;

/// The path of the configuration.
pub(crate) const CONFIG_PATH: &str = "/v1/config";
/// The path of the targets.
pub(crate) const TARGETS_PATH: &str = "/v1/targets";
/// The query parameter with the version of the configuration that the peer has.
pub(crate) const SINCE_PARAMETER: &str = "since";
/// The content type of whole state.
const WHOLE_TYPE: &str = "application/json";
/// The content type of changes of the configuration.
pub(crate) const DELTAS_TYPE: &str = "application/vnd.hawthornpost.config-deltas+json";

/// The targets as of a store revision.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Targets {
    /// The store's revision.
    pub revision: u64,
    /// The targets that the store lists.
    #[serde(rename = "targets")]
    pub listed: Vec<Target>,
    /// The targets that have announced that they are leaving, whether the store lists them or not.
    #[serde(default)]
    pub departures: Vec<Departure>,
    /// The rollout orders, if the sender knows them.
    #[serde(default, rename = "rollouts")]
    pub orders: Option<Orders>,
}

/// The rollout orders as of a store revision.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Orders {
    /// The store's revision.
    pub revision: u64,
    /// The orders.
    pub orders: Vec<Order>,
}

/// The responses for peers.
#[derive(Default)]
pub(crate) struct Sender {
    history: RefCell<History>,
    latest: RefCell<Option<Delta>>,
    config: RefCell<Option<Compressed>>,
    targets: RefCell<Option<Compressed>>,
    limiter: Cell<Limiter>,
}

/// Whole state after compression.
struct Compressed {
    /// Identifies the contents: the version of the configuration, or the checksum of the targets.
    key: u64,
    body: Bytes,
}

impl Sender {
    /// Records a change of the configuration.
    pub(crate) fn record_change(&self, delta: &Delta) {
        self.history.borrow_mut().push(delta);
        *self.latest.borrow_mut() = Some(delta.clone());
        self.config.take();
    }

    /// Returns the latest change, if it leads from one version of the configuration to another.
    pub(crate) fn change_between(&self, base: u64, version: u64) -> Option<Delta> {
        let latest = self.latest.borrow();
        latest
            .as_ref()
            .filter(|delta| delta.base() == base && delta.version() == version)
            .cloned()
    }

    /// Responds to a request for the configuration.
    pub(crate) fn send_config(&self, gateway: &Gateway, uri: &Uri, headers: &HeaderMap) -> Response<Body> {
        let Some(config) = gateway.config() else {
            let text = "no configuration is known; ask another entry host";
            return response::text(StatusCode::NOT_FOUND, text);
        };
        let since = since_version(uri);
        if since.is_some_and(|since| since >= config.version) {
            return response::text(StatusCode::NOT_MODIFIED, "");
        }
        if let Some(deltas) = since.and_then(|since| self.history.borrow().since(since)) {
            return page(Kind::Config, DELTAS_TYPE, deltas.into());
        }
        if !accepts_gzip(headers) {
            return plain(Kind::Config, &*config);
        }
        let body = compress_once(&self.config, config.version, || serde_json::to_vec(&*config));
        self.send_compressed(gateway, Kind::Config, body)
    }

    /// Responds to a request for the targets.
    pub(crate) fn send_targets(&self, gateway: &Gateway, headers: &HeaderMap) -> Response<Body> {
        if gateway.fleet_revision() == 0 {
            return response::text(StatusCode::NOT_FOUND, "no targets are known; ask another entry host");
        }
        let targets = Targets {
            revision: gateway.fleet_revision(),
            listed: gateway
                .fleet()
                .borrow()
                .listed()
                .map(|target| (**target).clone())
                .collect(),
            departures: sorted_departures(gateway),
            orders: known_orders(gateway),
        };
        if !accepts_gzip(headers) {
            return plain(Kind::Targets, &targets);
        }
        // Targets may change without a new revision, so the contents identify them.
        let json = match serde_json::to_vec(&targets) {
            Ok(json) => json,
            Err(error) => return encoding_failed(&error.into()),
        };
        let key = u64::from(compression::checksum(&json));
        let body = compress_once(&self.targets, key, || Ok(json));
        self.send_compressed(gateway, Kind::Targets, body)
    }

    fn send_compressed(&self, gateway: &Gateway, kind: Kind, body: io::Result<Bytes>) -> Response<Body> {
        let body = match body {
            Ok(body) => body,
            Err(error) => return encoding_failed(&error),
        };
        let mut limiter = self.limiter.get();
        if !limiter.admit(gateway.now(), body.len()) {
            let text = "another transfer takes the link; ask another entry host or again later";
            return response::text(StatusCode::SERVICE_UNAVAILABLE, text);
        }
        self.limiter.set(limiter);
        let mut response = page(kind, WHOLE_TYPE, body);
        response
            .headers_mut()
            .insert(CONTENT_ENCODING, HeaderValue::from_static(GZIP));
        response
    }
}

impl fmt::Debug for Sender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Sender")
            .field("history", &self.history)
            .finish_non_exhaustive()
    }
}

/// Returns the compressed state with this key, which is encoded only if it was not before.
fn compress_once(
    cache: &RefCell<Option<Compressed>>,
    key: u64,
    encode: impl FnOnce() -> serde_json::Result<Vec<u8>>,
) -> io::Result<Bytes> {
    let mut cache = cache.borrow_mut();
    if let Some(cached) = cache.as_ref().filter(|cached| cached.key == key) {
        return Ok(cached.body.clone());
    }
    let body = Bytes::from(compression::compress(&encode()?)?);
    *cache = Some(Compressed {
        key,
        body: body.clone(),
    });
    Ok(body)
}

fn known_orders(gateway: &Gateway) -> Option<Orders> {
    let rollouts = gateway.rollouts().borrow();
    let revision = rollouts.revision()?;
    Some(Orders {
        revision,
        orders: rollouts.orders(),
    })
}

/// Returns the departures in an order that depends on nothing else, so that equal state is compressed once.
fn sorted_departures(gateway: &Gateway) -> Vec<Departure> {
    let mut departures = gateway.fleet().borrow().departures().cloned().collect::<Vec<_>>();
    departures.sort();
    departures
}

fn since_version(uri: &Uri) -> Option<u64> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    let mut since = pairs.filter(|(name, _)| *name == SINCE_PARAMETER);
    since.next()?.1.parse().ok()
}

fn accepts_gzip(headers: &HeaderMap) -> bool {
    let accepted = headers.get_all(ACCEPT_ENCODING).iter();
    let mut accepted = accepted
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    accepted.any(|coding| coding.trim() == GZIP)
}

fn plain(kind: Kind, state: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(state) {
        Ok(json) => page(kind, WHOLE_TYPE, json.into()),
        Err(error) => encoding_failed(&error.into()),
    }
}

fn page(kind: Kind, content_type: &'static str, body: Bytes) -> Response<Body> {
    metric::record_transfer(kind, Direction::Sent, body.len());
    let mut response = Response::new(Body::full(body));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn encoding_failed(error: &io::Error) -> Response<Body> {
    log::error!("cannot encode state for a peer: {error}");
    let text = "the state cannot be encoded; see the log";
    response::text(StatusCode::INTERNAL_SERVER_ERROR, text)
}
