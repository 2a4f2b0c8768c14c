//! Hop-by-hop headers.

use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes hop-by-hop headers and headers that describe the framing of the body.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok());
    let named = named
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse::<HeaderName>().ok());
    for name in named.collect::<Vec<_>>() {
        headers.remove(name);
    }
    let fixed = [
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        KEEP_ALIVE,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        PROXY_CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    for name in fixed {
        headers.remove(name);
    }
}

/// Returns whether the body of a response may be an event stream. Without a content type it may.
pub(crate) fn may_be_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let media_type = content_type.and_then(|value| value.split(';').next());
    media_type.is_none_or(|media_type| media_type.trim().eq_ignore_ascii_case("text/event-stream"))
}
