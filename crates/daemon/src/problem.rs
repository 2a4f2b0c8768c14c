//! Error responses as problem details (RFC 9457), with the `error` member that OpenAI client libraries expect.

use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

use crate::error::{Error, Kind};
use crate::http::{Body, full};

/// Problem details according to RFC 9457.
#[derive(Debug, Serialize)]
pub struct Problem {
    r#type: String,
    title: &'static str,
    status: u16,
    detail: String,
    remedy: String,
    code: &'static str,
    /// Whether "not run" applies to the idempotency key or only to this request.
    #[serde(skip_serializing_if = "Option::is_none")]
    scope: Option<&'static str>,
    error: Compatible,
    #[serde(skip)]
    retry_after: Option<Duration>,
}

/// The `error` object that OpenAI client libraries expect.
#[derive(Debug, Serialize)]
struct Compatible {
    message: String,
    r#type: &'static str,
    code: &'static str,
}

impl Problem {
    /// Builds the problem details of an error.
    pub fn new(error: &Error) -> Self {
        let (status, code, title) = classify(error.kind());
        let message = error.to_string();
        // All error messages have the form `problem; remedy`.
        let (detail, remedy) = message.rsplit_once("; ").unwrap_or((&message, ""));
        Self {
            r#type: format!("urn:hawthornpost:problem:{code}"),
            title,
            status: status.as_u16(),
            detail: detail.to_owned(),
            remedy: remedy.to_owned(),
            code,
            scope: scope(error.kind()),
            error: Compatible {
                r#type: if status.is_server_error() {
                    "server_error"
                } else {
                    "invalid_request_error"
                },
                code,
                message,
            },
            retry_after: retry_after(error.kind()),
        }
    }

    /// Builds the response.
    pub fn into_response(self) -> Response<Body> {
        let text = serde_json::to_vec(&self).unwrap_or_default();
        let mut response = Response::new(full(text));
        *response.status_mut() = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if let Some(delay) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(delay)));
        }
        response
    }
}

fn classify(kind: &Kind) -> (StatusCode, &'static str, &'static str) {
    match kind {
        Kind::Core(error) => classify_core(error.category()),
        Kind::BadRequest { .. } => (StatusCode::BAD_REQUEST, "bad_request", "The request cannot be read"),
        Kind::BodyTooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, "too_large", "The request is too large"),
        Kind::HeadersTooLarge { .. } => (
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "large_head",
            "The request headers are too large",
        ),
        Kind::BodyTimeout { .. } => (
            StatusCode::REQUEST_TIMEOUT,
            "slow_body",
            "The request took too long to arrive",
        ),
        Kind::Unauthorized => (StatusCode::UNAUTHORIZED, "unauthorized", "The key does not give access"),
        Kind::NotFound { .. } => (StatusCode::NOT_FOUND, "not_found", "There is no such thing"),
        Kind::MethodNotAllowed { .. } => (StatusCode::METHOD_NOT_ALLOWED, "method", "The method is not allowed"),
        Kind::Conflict { .. } => (StatusCode::CONFLICT, "conflict", "Another request was first"),
        Kind::NotRun { .. } => (StatusCode::SERVICE_UNAVAILABLE, "not_run", "The action did not run"),
        Kind::OutcomeUnknown { .. } => (
            StatusCode::GATEWAY_TIMEOUT,
            "outcome_unknown",
            "The outcome is not known",
        ),
        Kind::KeyReused => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "key_reused",
            "The key belongs to another action",
        ),
        Kind::ShareExceeded { .. } => (StatusCode::TOO_MANY_REQUESTS, "limited", "The account's share is used"),
        Kind::Unavailable { .. } => (StatusCode::SERVICE_UNAVAILABLE, "unavailable", "Refused for now"),
        Kind::Connect { .. }
        | Kind::Transport { .. }
        | Kind::Status { .. }
        | Kind::Decode { .. }
        | Kind::Peer { .. }
        | Kind::Failed { .. } => (StatusCode::BAD_GATEWAY, "failed", "The work failed"),
        Kind::Timeout { .. } => (StatusCode::GATEWAY_TIMEOUT, "timeout", "No answer in time"),
        Kind::ReadFile { .. } | Kind::Listen { .. } | Kind::Logging { .. } | Kind::Runtime { .. } => {
            (StatusCode::INTERNAL_SERVER_ERROR, "internal", "The daemon failed")
        }
    }
}

fn classify_core(category: hawthornpost_core::Category) -> (StatusCode, &'static str, &'static str) {
    use hawthornpost_core::Category;
    match category {
        Category::Input => (StatusCode::BAD_REQUEST, "bad_request", "The request cannot be read"),
        Category::Conflict => (StatusCode::CONFLICT, "conflict", "Another request was first"),
        Category::Access => (StatusCode::FORBIDDEN, "forbidden", "No access"),
        Category::Missing => (StatusCode::NOT_FOUND, "not_found", "There is no such thing"),
        Category::Unavailable => (StatusCode::SERVICE_UNAVAILABLE, "unavailable", "Refused for now"),
    }
}

fn scope(kind: &Kind) -> Option<&'static str> {
    match kind {
        Kind::NotRun { scope, .. } => Some(scope),
        _ => None,
    }
}

/// Rounds up, because a caller that retries too early is refused again.
fn whole_seconds(delay: Duration) -> u64 {
    let seconds = delay.as_millis().div_ceil(1000).max(1);
    u64::try_from(seconds).unwrap_or(u64::MAX)
}

fn retry_after(kind: &Kind) -> Option<Duration> {
    match kind {
        Kind::Unavailable { retry_after, .. } | Kind::ShareExceeded { retry_after, .. } => Some(*retry_after),
        _ => None,
    }
}
