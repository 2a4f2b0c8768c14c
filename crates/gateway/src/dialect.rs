//! Request and response headers, decoded and encoded by the adapter of a platform.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::HeaderName;

use crate::fleet::Report;
use crate::prompt::{Part, Parts};

/// Metadata of a client request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metadata {
    /// The id of the client's attempt.
    pub id: String,
    /// The client's timeout.
    pub deadline: Option<Duration>,
    /// The key of a client account.
    pub key: Option<String>,
    /// The id of the last event that the client has received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// The number of prompt tokens of a generation request.
    pub prompt_tokens: u64,
    /// The maximum number of output tokens.
    pub output_tokens: u64,
    /// The parts of the prompt that other requests may contain as well.
    pub shared_parts: Parts,
    /// The last part of the prompt, which belongs to the request or its session.
    pub own_part: Option<Part>,
}

/// Metadata that the gateway adds to a request for a target.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// The id of the expected incarnation; any other one must refuse the request.
    pub instance: &'a str,
    /// The remaining time until the deadline.
    pub time_left: Duration,
    /// The client account.
    pub account: Option<&'a str>,
    /// The priority at an engine, where 0 is the highest; `None` for plain services.
    pub priority: Option<u8>,
    /// The engine to which the run is replicated as it progresses.
    pub backup: Option<SocketAddr>,
    /// The copy from which the run is resumed.
    pub source: Option<Source<'a>>,
    /// The id of the last event that the client has received.
    pub last_event: Option<u64>,
}

/// The copy of a run.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// The engine that holds the copy.
    pub address: SocketAddr,
    /// The id of the request that runs.
    pub id: &'a str,
}

/// Metadata of a target's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// The id of the request to which it responds.
    pub id: Option<String>,
    /// The guarantee of the target that the request did not run.
    pub refusal: Option<Refusal>,
    /// The id of the responding incarnation.
    pub instance: Option<String>,
    /// Whether the response carries the target's signature.
    pub signed: bool,
    /// The load report of the target.
    pub report: Option<Report>,
    /// Whether the responding incarnation is leaving and wants no new work.
    pub is_leaving: bool,
    /// The pause that an overloaded target asks for.
    pub pause: Option<Pause>,
}

/// Why a target did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The target does not take it.
    Rejected,
    /// The request reached another incarnation than the expected one.
    Misdirected,
}

/// The time for which an overloaded target wants no work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pause {
    /// A duration, of any length.
    For(Duration),
    /// A value that is not a duration.
    Invalid(String),
}

/// Adapter for the header names and formats of a platform.
pub trait Dialect {
    /// Decodes the headers of a client's request.
    ///
    /// # Errors
    ///
    /// Fails with a message for the client when a header is missing or malformed.
    fn decode(&self, headers: &HeaderMap) -> Result<Metadata, String>;

    /// Returns whether a header is set only by the system and must be removed from client requests.
    fn is_reserved(&self, name: &HeaderName) -> bool;

    /// Adds the gateway's headers to a request for a target.
    fn encode(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Decodes the head of a target's response.
    fn decode_reply(&self, status: u16, headers: &HeaderMap) -> Reply;

    /// Returns path and body of the call that copies a run to another engine while the run continues.
    fn encode_copy(&self, request: &str, target: SocketAddr) -> (&'static str, Vec<u8>);

    /// Decodes the response to [`Dialect::encode_copy`] and returns the handle of the copy.
    fn decode_copy_handle(&self, body: &[u8]) -> Option<String>;

    /// Returns the path of a copy; a DELETE request frees the copy.
    fn copy_path(&self, handle: &str) -> String;

    /// Returns the path at which an engine reports its state.
    fn engine_state_path(&self) -> &'static str;

    /// Decodes an engine's state and returns its memory in tokens; `None` if the body is not a valid state.
    fn decode_engine_memory(&self, body: &[u8]) -> Option<u64>;

    /// Returns whether a path on the directory listener is an address lookup.
    fn is_lookup(&self, path: &str) -> bool;

    /// Encodes the JSON response to an address lookup.
    fn encode_addresses(&self, addresses: &[SocketAddr], ttl: Duration) -> Vec<u8>;

    /// Returns whether a path on the readiness listener is the readiness probe.
    fn is_readiness(&self, path: &str) -> bool;
}
