//! Helpers for requests and responses.

use std::collections::BTreeMap;
use std::convert::Infallible;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use serde_json::json;

pub(crate) type Body = UnsyncBoxBody<Bytes, Infallible>;
pub(crate) type Reply = Response<Body>;
pub(crate) type Call = Request<Bytes>;

pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    let text = serde_json::to_vec(value).unwrap_or_default();
    response(status, "application/json", Full::new(Bytes::from(text)).boxed_unsync())
}

/// Returns a response with problem details.
pub(crate) fn problem(status: StatusCode, detail: &str) -> Reply {
    let value = json!({ "type": "about:blank", "status": status.as_u16(), "detail": detail });
    json(status, &value)
}

/// Returns a response whose body is a stream, read as fast as the client reads.
pub(crate) fn stream(media_type: &'static str, chunks: impl Stream<Item = Bytes> + Send + 'static) -> Reply {
    let frames = chunks.map(|chunk| Ok(Frame::data(chunk)));
    response(StatusCode::OK, media_type, StreamBody::new(frames).boxed_unsync())
}

fn response(status: StatusCode, media_type: &'static str, body: Body) -> Reply {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let media_type = hyper::header::HeaderValue::from_static(media_type);
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, media_type);
    response
}

/// Returns the query parameters.
pub(crate) fn query(call: &Call) -> BTreeMap<String, String> {
    let pairs = call.uri().query().unwrap_or_default().split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect()
}

/// Returns the value of a header if it is valid text.
pub(crate) fn header<'a>(call: &'a Call, name: &str) -> Option<&'a str> {
    call.headers().get(name)?.to_str().ok()
}
