//! The error type of the crate.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// An error with the remedy in its message.
pub struct Error {
    kind: Box<Kind>,
}

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

impl From<Kind> for Error {
    fn from(kind: Kind) -> Self {
        Self { kind: Box::new(kind) }
    }
}

impl From<hawthornpost_core::Error> for Error {
    fn from(error: hawthornpost_core::Error) -> Self {
        Kind::Core(error).into()
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.kind, f)
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.kind, f)
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        std::error::Error::source(&*self.kind)
    }
}
