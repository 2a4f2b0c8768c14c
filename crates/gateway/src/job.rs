//! A client request that is ready to be sent to a target.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hawthornpost_core::clock::Instant;
use http_body_util::Full;
use hyper::header::CONTENT_LENGTH;
use hyper::http::request::Parts;
use hyper::{Method, Request};

use crate::config::{Account, Route};
use crate::dialect::{Dispatch, Metadata};
use crate::gateway::{Admission, BodyBytes, Gateway};

/// A request that was read completely and passed all checks.
#[derive(Debug)]
pub(crate) struct Job {
    /// The decoded metadata.
    pub metadata: Metadata,
    /// The method, the path and the headers to forward.
    pub head: Parts,
    /// The body.
    pub body: Bytes,
    /// The route.
    pub route: Rc<Route>,
    /// The service, chosen from the route's split.
    pub service: String,
    /// The account, if the request carries a known key.
    pub account: Option<Rc<Account>>,
    /// The version of the configuration that the request was checked against.
    pub config: u64,
    /// When the head of the request arrived.
    pub started: Instant,
    /// The deadline of the final response.
    pub deadline: Instant,
    /// Counts the open request.
    pub _admission: Admission,
    /// Counts the buffered bytes of the body.
    pub _bytes: BodyBytes,
}

impl Job {
    /// Returns the remaining time until the deadline of the request or of the shutdown.
    pub(crate) fn time_left(&self, gateway: &Gateway) -> Duration {
        let shutdown = gateway.shutdown_deadline().unwrap_or(self.deadline);
        self.deadline.min(shutdown).since(gateway.now())
    }

    /// Returns the time since the request arrived, in milliseconds.
    pub(crate) fn took_ms(&self, gateway: &Gateway) -> u64 {
        crate::duration::millis(gateway.now().since(self.started))
    }

    /// Returns the priority, where 0 is the highest; the account's overrides the route's.
    pub(crate) fn priority(&self) -> u8 {
        let of_account = self.account.as_ref().and_then(|account| account.priority);
        of_account.unwrap_or(self.route.priority)
    }

    /// Returns the account name for the log; empty without an account.
    pub(crate) fn account_name(&self) -> &str {
        self.account.as_ref().map_or("", |account| account.name.as_str())
    }

    /// Builds the request for a target.
    pub(crate) fn request(&self, gateway: &Gateway, dispatch: &Dispatch<'_>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        let mut headers = self.head.headers.clone();
        gateway.dialect().encode(&mut headers, dispatch);
        if !self.body.is_empty() || self.head.method == Method::POST {
            headers.insert(CONTENT_LENGTH, self.body.len().into());
        }
        *request.headers_mut() = headers;
        request
    }
}
