//! Responses that the gateway itself generates.

use std::time::Duration;

use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::body::Body;

/// Builds a plain text response.
pub(crate) fn text(status: StatusCode, message: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::full(message));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Builds a 503 response with `Retry-After` for a request that did not run and will not run.
pub(crate) fn refusal(message: &'static str, retry_after: Duration) -> Response<Body> {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, message);
    let seconds = format!("{:.2}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Sets `Connection: close` on a response.
pub(crate) fn close(response: &mut Response<Body>) {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}
