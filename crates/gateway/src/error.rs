//! The error type of the crate.

use std::net::SocketAddr;
use std::path::PathBuf;

hawthornpost_core::error_wrapper!();

#[derive(Debug, thiserror::Error)]
pub(crate) enum Kind {
    #[error("{0}")]
    Core(#[from] hawthornpost_core::Error),
    #[error("cannot read {path}: {source}; check the path and its permissions", path = path.display())]
    ReadFile { path: PathBuf, source: std::io::Error },
    #[error("cannot listen on {address}: {source}; choose a free address in section [listen]")]
    Listen {
        address: SocketAddr,
        source: std::io::Error,
    },
    #[error("cannot start: {source}; check the limits of the process")]
    Runtime { source: std::io::Error },
    #[error("cannot set up logging: {source}; start it once in a process")]
    Logging { source: log::SetLoggerError },
}
