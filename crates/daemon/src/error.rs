//! The error type of the daemon.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hyper::StatusCode;

hawthornpost_core::error_wrapper!();

#[derive(Debug, thiserror::Error)]
pub(crate) enum Kind {
    #[error("{0}")]
    Core(#[from] hawthornpost_core::Error),
    #[error("cannot read {path}: {source}; check the path and its permissions", path = path.display())]
    ReadFile { path: PathBuf, source: std::io::Error },
    #[error("cannot listen on {address}: {source}; choose a free address in the settings")]
    Listen {
        address: SocketAddr,
        source: std::io::Error,
    },
    #[error("cannot set up logging: {source}; check the [log] section of the settings")]
    Logging { source: log::SetLoggerError },
    #[error("cannot start the runtime: {source}; check the limits of the process")]
    Runtime { source: std::io::Error },
    #[error("no connection to {address}: {source}; check that the process runs and the address is right")]
    Connect {
        address: SocketAddr,
        source: std::io::Error,
    },
    #[error("connection to {address} failed: {source}; the call may be repeated on a new connection")]
    Transport { address: SocketAddr, source: hyper::Error },
    #[error("no answer from {address} within {limit:?}; check its load and the network")]
    Timeout { address: SocketAddr, limit: Duration },
    #[error("{address} answered with status {status}: {detail}; see the log of that process")]
    Status {
        address: SocketAddr,
        status: StatusCode,
        detail: String,
    },
    #[error("{address} sent a body that cannot be decoded: {source}; check its version")]
    Decode {
        address: SocketAddr,
        source: serde_json::Error,
    },
    #[error("peer {address} cannot be called: {source}; check that it runs and has the same peer key")]
    Peer {
        address: SocketAddr,
        source: jsonrpsee::core::client::Error,
    },
    #[error("the request cannot be read: {detail}; {remedy}")]
    BadRequest { detail: String, remedy: String },
    #[error("the request body is larger than {limit} bytes; send a shorter one")]
    BodyTooLarge { limit: usize },
    #[error("the request headers are larger than {limit} bytes; send fewer or shorter ones")]
    HeadersTooLarge { limit: usize },
    #[error("the request body did not arrive within {limit:?}; send it at once")]
    BodyTimeout { limit: Duration },
    #[error("the key is missing or not known; send `Authorization: Bearer KEY` with a key of this deployment")]
    Unauthorized,
    #[error("there is no {what}; {remedy}")]
    NotFound { what: String, remedy: String },
    #[error("the method is not allowed here; use {allowed}")]
    MethodNotAllowed { allowed: String },
    #[error("{detail}; {remedy}")]
    Conflict { detail: String, remedy: String },
    #[error("{detail}; retry after {retry_after:?}")]
    Unavailable { detail: String, retry_after: Duration },
    #[error("{detail}; retry after {retry_after:?} or ask the operators for a larger share")]
    ShareExceeded { detail: String, retry_after: Duration },
    #[error("{detail}; {remedy}")]
    NotRun {
        scope: &'static str,
        detail: String,
        remedy: String,
    },
    #[error("it is not known whether the action ran; ask for it at GET {lookup}")]
    OutcomeUnknown { lookup: String },
    #[error("the key was used for another path or body; use a new key for each action")]
    KeyReused,
    #[error("{detail}; {remedy}")]
    Failed { detail: String, remedy: String },
}

impl Error {
    pub(crate) fn kind(&self) -> &Kind {
        &self.kind
    }

    /// Returns whether a target refused work because it is shutting down (status 503).
    pub fn is_leaving(&self) -> bool {
        matches!(&*self.kind, Kind::Status { status, .. } if *status == StatusCode::SERVICE_UNAVAILABLE)
    }

    /// Builds the error for a generation that arrives before this entry host knows its share of the target capacity.
    pub fn not_ready(retry_after: Duration) -> Self {
        Self::unavailable(
            "this entry host has just started or was paused and takes no generations yet; ask another one",
            retry_after,
        )
    }

    /// Builds the error for a malformed request.
    pub fn bad_request(detail: impl std::fmt::Display, remedy: impl Into<String>) -> Self {
        Self::from(Kind::BadRequest {
            detail: detail.to_string(),
            remedy: remedy.into(),
        })
    }

    /// Builds the error for a resource that does not exist.
    pub fn not_found(what: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self::from(Kind::NotFound {
            what: what.into(),
            remedy: remedy.into(),
        })
    }

    /// Builds the error for a conflict with another request or writer.
    pub fn conflict(detail: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self::from(Kind::Conflict {
            detail: detail.into(),
            remedy: remedy.into(),
        })
    }

    /// Builds the error for work that is refused temporarily.
    pub fn unavailable(detail: impl Into<String>, retry_after: Duration) -> Self {
        Self::from(Kind::Unavailable {
            detail: detail.into(),
            retry_after,
        })
    }

    /// Builds the error for an account that has used up its share.
    pub fn share_exceeded(detail: impl Into<String>, retry_after: Duration) -> Self {
        Self::from(Kind::ShareExceeded {
            detail: detail.into(),
            retry_after,
        })
    }

    /// Builds the error for work that failed and is not retried.
    pub fn failed(detail: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self::from(Kind::Failed {
            detail: detail.into(),
            remedy: remedy.into(),
        })
    }
}
