//! Fetches the configuration and the targets from a peer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::header::{CONTENT_ENCODING, CONTENT_TYPE};
use serde::Deserialize;

use crate::call::{Bounds, Call};
use crate::compression::{self, GZIP};
use crate::config::Config;
use crate::config_delta::{self, Delta};
use crate::duration::millis;
use crate::event::Event;
use crate::gateway::Gateway;
use crate::metric::{self, Direction};
use crate::outbound;
use crate::platform::Kind;
use crate::state_sender::{CONFIG_PATH, DELTAS_TYPE, SINCE_PARAMETER, TARGETS_PATH, Targets};

/// The maximum size of state in JSON, before compression.
const MAX_STATE_BYTES: usize = 8 << 20;
/// The bounds of a call to a peer.
const CALL_BOUNDS: Bounds = Bounds {
    connect_timeout: Duration::from_millis(500),
    total_timeout: Duration::from_millis(500),
    max_bytes: MAX_STATE_BYTES,
};

/// The reason why state could not be fetched.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    #[error("{0}")]
    Call(#[from] outbound::Failure),
    #[error("cannot decompress the response: {0}")]
    Compression(#[from] std::io::Error),
    #[error("cannot decode the response: {0}")]
    Json(#[from] serde_json::Error),
    #[error("{0}")]
    Delta(#[from] config_delta::Failure),
}

impl Failure {
    /// Returns whether the peer responded, although without the state.
    pub(crate) fn is_response(&self) -> bool {
        !matches!(self, Self::Call(failure) if !matches!(failure, outbound::Failure::Status { .. }))
    }
}

/// Fetches the configuration and activates it if it is newer. Changes that cannot be applied are replaced by the whole
/// configuration.
///
/// # Errors
///
/// Fails when the peer does not respond with a configuration, or is sending state to another peer.
pub(crate) async fn fetch_config(gateway: &Gateway, address: SocketAddr) -> Result<(), Failure> {
    let version = gateway.config_version();
    if version == 0 {
        return fetch_whole_config(gateway, address).await;
    }
    let path = format!("{CONFIG_PATH}?{SINCE_PARAMETER}={version}");
    let response = call(gateway, address, Kind::Config, &path).await?;
    let result = if has_deltas(&response) {
        apply_deltas(gateway, &response)
    } else {
        apply_whole_config(gateway, &response)
    };
    match result {
        Err(error) if has_deltas(&response) => {
            log::debug!("cannot apply changes of the configuration from peer {address}: {error}");
            fetch_whole_config(gateway, address).await
        }
        result => result,
    }
}

/// Fetches the targets.
///
/// # Errors
///
/// Fails when the peer does not respond with targets, or is sending state to another peer.
pub(crate) async fn fetch_targets(gateway: &Gateway, address: SocketAddr) -> Result<Targets, Failure> {
    let response = call(gateway, address, Kind::Targets, TARGETS_PATH).await?;
    decode(&response)
}

async fn fetch_whole_config(gateway: &Gateway, address: SocketAddr) -> Result<(), Failure> {
    let response = call(gateway, address, Kind::Config, CONFIG_PATH).await?;
    apply_whole_config(gateway, &response)
}

fn apply_whole_config(gateway: &Gateway, response: &Response<Bytes>) -> Result<(), Failure> {
    gateway.activate_config(decode::<Config>(response)?, "peer");
    Ok(())
}

fn apply_deltas(gateway: &Gateway, response: &Response<Bytes>) -> Result<(), Failure> {
    let deltas = decode::<Vec<Delta>>(response)?;
    Ok(gateway.apply_config_deltas(&deltas)?)
}

async fn call(gateway: &Gateway, address: SocketAddr, kind: Kind, path: &str) -> Result<Response<Bytes>, Failure> {
    let started = gateway.now();
    let call = Call {
        accept_encoding: Some(GZIP),
        ..Call::get(address, path)
    };
    let response = call.run_for_response(gateway.timer(), CALL_BOUNDS).await?;
    let bytes = response.body().len();
    metric::record_transfer(kind, Direction::Fetched, bytes);
    Event::StateFetched {
        kind: kind.name(),
        form: if has_deltas(&response) { "changes" } else { "whole" },
        peer: &address.to_string(),
        bytes,
        took_ms: millis(gateway.now().since(started)),
        what: "state was fetched from a peer",
    }
    .log();
    Ok(response)
}

fn has_deltas(response: &Response<Bytes>) -> bool {
    let content_type = response.headers().get(CONTENT_TYPE);
    content_type.is_some_and(|value| value == DELTAS_TYPE)
}

fn decode<T: for<'a> Deserialize<'a>>(response: &Response<Bytes>) -> Result<T, Failure> {
    let encoding = response.headers().get(CONTENT_ENCODING);
    if encoding.is_some_and(|value| value == GZIP) {
        let json = compression::decompress(response.body(), MAX_STATE_BYTES)?;
        Ok(serde_json::from_slice(&json)?)
    } else {
        Ok(serde_json::from_slice(response.body())?)
    }
}
