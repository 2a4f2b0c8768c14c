//! How an attempt of a stream ended.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hyper::Response;

use crate::body::Body;
use crate::stall::Stall;
use crate::stream_progress::Progress;

/// How an attempt ended.
pub(crate) enum Outcome {
    /// The stream is complete.
    Completed,
    /// The engine did not run the request.
    NotRun {
        reason: String,
        /// Whether the engine received the request.
        was_received: bool,
    },
    /// The engine failed; the stream can be resumed at another engine from its last event.
    Broken {
        reason: String,
        stalled_for: Duration,
        /// Whether the engine's host is unreachable, so that the run does not count towards the attempt limit of the route.
        is_unreachable: bool,
        /// Whether the connection ended before the response did.
        is_disconnected: bool,
    },
    /// A response of the engine that is not a stream.
    Other(Response<Body>),
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

pub(super) fn broken(stream: &Progress, reason: String, since: Instant) -> Outcome {
    Outcome::Broken {
        reason,
        stalled_for: stream.gateway.now().since(since.max(stream.output.last_at)),
        is_unreachable: false,
        is_disconnected: false,
    }
}

pub(super) fn disconnected(stream: &Progress, reason: String, since: Instant) -> Outcome {
    Outcome::Broken {
        reason,
        stalled_for: stream.gateway.now().since(since.max(stream.output.last_at)),
        is_unreachable: false,
        is_disconnected: true,
    }
}

pub(super) fn stalled(stream: &Progress, stall: Stall, since: Instant) -> Outcome {
    Outcome::Broken {
        reason: stall.reason().to_owned(),
        stalled_for: stream.gateway.now().since(since.max(stream.output.last_at)),
        is_unreachable: stall == Stall::Unreachable,
        is_disconnected: false,
    }
}

pub(super) fn truncated(stream: &Progress, since: Instant) -> Outcome {
    let reason = "the stream ended before its first event or within an event";
    disconnected(stream, reason.to_owned(), since)
}
