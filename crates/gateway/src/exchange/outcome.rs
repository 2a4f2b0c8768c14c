//! How an attempt at a target of a plain service ended.

use bytes::Bytes;
use hyper::http::response::Parts;

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum Outcome {
    /// A complete response of the target.
    Completed(Box<Parts>, Bytes),
    /// The request did not run.
    NotRun {
        reason: String,
        /// Whether the target received the request.
        was_received: bool,
    },
    /// The request may have run, and there is no usable response.
    Unknown(String),
}

impl Outcome {
    /// Returns the end of an attempt of which nothing was sent.
    pub(super) fn unsent(reason: String) -> Self {
        Self::NotRun {
            reason,
            was_received: false,
        }
    }
}
