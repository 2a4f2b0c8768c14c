//! Answers of the gateway's own.

use std::time::Duration;

use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::body::Body;

/// Builds an answer with a text for the caller.
pub(crate) fn own(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::whole(text));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Builds a refusal of a request that did not run and never will.
pub(crate) fn refusal(text: &'static str, retry_after: Duration) -> Response<Body> {
    let mut response = own(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = format!("{:.2}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Marks that the connection ends after this answer.
pub(crate) fn close(response: &mut Response<Body>) {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}
