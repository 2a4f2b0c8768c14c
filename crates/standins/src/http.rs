//! Bodies and answers.

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
pub(crate) type Answer = Response<Body>;
pub(crate) type Call = Request<Bytes>;

pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Answer {
    let text = serde_json::to_vec(value).unwrap_or_default();
    answer(status, "application/json", Full::new(Bytes::from(text)).boxed_unsync())
}

/// Answers with problem details.
pub(crate) fn problem(status: StatusCode, detail: &str) -> Answer {
    let value = json!({ "type": "about:blank", "status": status.as_u16(), "detail": detail });
    json(status, &value)
}

/// Answers with a stream that the reader pulls.
pub(crate) fn stream(media_type: &'static str, chunks: impl Stream<Item = Bytes> + Send + 'static) -> Answer {
    let frames = chunks.map(|chunk| Ok(Frame::data(chunk)));
    answer(StatusCode::OK, media_type, StreamBody::new(frames).boxed_unsync())
}

fn answer(status: StatusCode, media_type: &'static str, body: Body) -> Answer {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    let media_type = hyper::header::HeaderValue::from_static(media_type);
    answer.headers_mut().insert(hyper::header::CONTENT_TYPE, media_type);
    answer
}

/// Returns the parameters of the query.
pub(crate) fn query(call: &Call) -> BTreeMap<String, String> {
    let pairs = call.uri().query().unwrap_or_default().split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect()
}

/// Returns a header as text.
pub(crate) fn header<'a>(call: &'a Call, name: &str) -> Option<&'a str> {
    call.headers().get(name)?.to_str().ok()
}
