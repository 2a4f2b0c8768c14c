//! Endpoints of the gateway itself: readiness, address lookup, state for peers, metrics and the state dump.

use std::collections::BTreeMap;
use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper::{Response, StatusCode, Uri};
use serde::Serialize;
use serde_json::json;

use crate::body::Body;
use crate::gateway::Gateway;
use crate::metric;
use crate::response;
use crate::state_sender::{CONFIG_PATH, TARGETS_PATH};

/// The maximum TTL of an address lookup response. A short one moves callers away from a failed host soon.
const MAX_ADDRESS_TTL: Duration = Duration::from_secs(2);

const JSON: &str = "application/json";
const METRICS: &str = "text/plain; version=0.0.4";

/// Responds to a readiness probe.
pub(crate) fn readiness(gateway: &Gateway, path: &str) -> Response<Body> {
    if !gateway.dialect().is_readiness(path) {
        return response::text(StatusCode::NOT_FOUND, "no such page; ask for the readiness");
    }
    if gateway.is_ready() {
        response::text(StatusCode::OK, "ready")
    } else {
        response::text(StatusCode::SERVICE_UNAVAILABLE, "not ready; ask another entry host")
    }
}

/// Responds to an address lookup of a caller.
pub(crate) fn lookup(gateway: &Gateway, path: &str) -> Response<Body> {
    if !gateway.dialect().is_lookup(path) {
        return response::text(StatusCode::NOT_FOUND, "no such page; ask for the addresses");
    }
    let addresses = gateway.peers().available_addresses();
    if addresses.is_empty() {
        return response::text(
            StatusCode::SERVICE_UNAVAILABLE,
            "no entry host takes requests; ask again",
        );
    }
    let ttl = MAX_ADDRESS_TTL.min(gateway.limits().address_lifetime);
    page(JSON, gateway.dialect().encode_addresses(&addresses, ttl))
}

/// Responds to a peer that fetches the configuration or the targets.
pub(crate) fn for_peer(gateway: &Gateway, uri: &Uri, headers: &HeaderMap) -> Response<Body> {
    match uri.path() {
        CONFIG_PATH => gateway.state_sender().send_config(gateway, uri, headers),
        TARGETS_PATH => gateway.state_sender().send_targets(gateway, headers),
        path => metrics(gateway, path),
    }
}

/// Responds with the metrics or the state dump.
pub(crate) fn metrics(gateway: &Gateway, path: &str) -> Response<Body> {
    match path {
        "/metrics" => page(METRICS, metric::render(gateway).into_bytes()),
        "/v1/dump" => json_page(&dump(gateway)),
        _ => response::text(StatusCode::NOT_FOUND, "no such page; see docs/OPERATIONS.md"),
    }
}

fn dump(gateway: &Gateway) -> serde_json::Value {
    let fleet = gateway.fleet().borrow();
    let targets = fleet.targets().map(|target| {
        json!({
            "target": **target,
            "own_load": fleet.own_load(&target.id),
            "suspect": fleet.is_suspect(gateway.now(), &target.id),
        })
    });
    let mut overload = gateway.overload().borrow_mut();
    let levels = overload.levels(gateway.now()).into_iter().collect::<BTreeMap<_, _>>();
    json!({
        "entry": gateway.settings().entry.name,
        "phase": format!("{:?}", gateway.phase()),
        "ready": gateway.is_ready(),
        "config": gateway.config_version(),
        "targets_revision": gateway.fleet_revision(),
        "targets": targets.collect::<Vec<_>>(),
        "members": gateway.peers().members(),
        "duties": gateway.duties().map(|duties| duties.dump(gateway.lease_now())),
        "quarantine": gateway.quarantine().dump(gateway.now()),
        "admission_levels": levels,
        "open_requests": gateway.open_requests(),
    })
}

fn json_page(value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => page(JSON, bytes),
        Err(error) => {
            log::error!("cannot encode a response body: {error}");
            response::text(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the page cannot be encoded; see the log",
            )
        }
    }
}

fn page(content_type: &'static str, bytes: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(Body::full(bytes));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static(content_type));
    response
}
