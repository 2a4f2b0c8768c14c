//! The error type of the crate.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Value, json};

hawthornpost_core::error_wrapper!();

#[derive(Debug, thiserror::Error)]
pub(crate) enum Kind {
    #[error("cannot read {path}: {source}; check the path and its permissions", path = path.display())]
    ReadFile { path: PathBuf, source: io::Error },
    #[error("{path}: {source}", path = path.display())]
    InvalidFile {
        path: PathBuf,
        source: hawthornpost_core::Error,
    },
    #[error("{source}")]
    Inconsistent { source: hawthornpost_core::Error },
    #[error("cannot read standard input: {source}; pass UTF-8 text")]
    ReadStdin { source: io::Error },
    #[error("no log line has request id {request}; pass the logs of all entry hosts for the time of the request")]
    RequestNotFound { request: String },
    #[error("cannot write the output: {source}; check that standard output is open")]
    WriteOutput { source: io::Error },
    #[error("no address of an entry host is given; use `--entry IP:PORT` or HAWTHORNPOST_ENTRIES")]
    NoAddress,
    #[error("HAWTHORNPOST_ENTRIES contains `{text}`, which is not an address; use a comma-separated list of IP:PORT")]
    InvalidAddress { text: String },
    #[error("the key contains characters that are not allowed in an HTTP header; use printable ASCII")]
    InvalidKey,
    #[error(
        "cannot reach any of {tried:?} (last error: {last_error}); check the addresses and that the daemons are running"
    )]
    Unreachable { tried: Vec<SocketAddr>, last_error: String },
    #[error(
        "the connection to {address} was lost before the response ({detail}); run `hawthornpost status` and \
         `hawthornpost history` to see whether the call took effect"
    )]
    ResponseLost { address: SocketAddr, detail: String },
    #[error("{address} denied access: {detail}; use the key file of an operator (of an account for `send`)")]
    AccessDenied { address: SocketAddr, detail: String },
    #[error("{address} rejected the call with status {status}: {detail}")]
    Rejected {
        address: SocketAddr,
        status: u16,
        detail: String,
        problem: Value,
    },
    #[error(
        "another change was applied first: {detail}; run `hawthornpost diff`, merge the files and apply them again"
    )]
    Conflict { detail: String, problem: Value },
    #[error("cannot decode the response of {address}: {detail}; check that it runs the same version")]
    InvalidResponse { address: SocketAddr, detail: String },
    #[error("{state} after {timeout:?}; it may still complete, check with `hawthornpost {command}`")]
    Timeout {
        state: String,
        timeout: Duration,
        command: String,
    },
    #[error("{detail}")]
    Reversed { detail: String },
    #[error("the generation failed: {detail}")]
    Generation { detail: String },
    #[error("the generation cannot be resumed: {detail}; send the request again")]
    ResumeFailed { detail: String },
}

impl Error {
    /// Returns the process exit code for the error.
    pub fn exit_code(&self) -> u8 {
        match *self.kind {
            Kind::WriteOutput { .. }
            | Kind::ResponseLost { .. }
            | Kind::Rejected { .. }
            | Kind::InvalidResponse { .. }
            | Kind::Generation { .. }
            | Kind::ResumeFailed { .. } => 1,
            Kind::NoAddress | Kind::InvalidAddress { .. } | Kind::InvalidKey => 2,
            Kind::RequestNotFound { .. }
            | Kind::ReadStdin { .. }
            | Kind::ReadFile { .. }
            | Kind::InvalidFile { .. }
            | Kind::Inconsistent { .. } => 3,
            Kind::Conflict { .. } => 4,
            Kind::Unreachable { .. } => 5,
            Kind::AccessDenied { .. } => 6,
            Kind::Timeout { .. } => 7,
            Kind::Reversed { .. } => 8,
        }
    }

    pub(crate) fn kind(&self) -> &Kind {
        &self.kind
    }

    /// Returns the error as JSON, with the problem details from the daemon.
    pub(crate) fn to_json(&self) -> Value {
        let problem = match &*self.kind {
            Kind::Rejected { problem, .. } | Kind::Conflict { problem, .. } => problem.clone(),
            _ => Value::Null,
        };
        json!({ "error": self.to_string(), "exit_code": self.exit_code(), "problem": problem })
    }
}
