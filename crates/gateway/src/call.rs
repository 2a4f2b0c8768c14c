//! Small HTTP calls to engines and peers, each on its own connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hawthornpost_daemon::timer::Timer;
use http_body_util::Full;
use hyper::header::{ACCEPT_ENCODING, CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response, StatusCode};

use crate::outbound::{Connection, Failure};

/// An HTTP call.
#[derive(Clone, Debug)]
pub(crate) struct Call<'a> {
    /// The method.
    pub method: Method,
    /// The address of the server.
    pub address: SocketAddr,
    /// The path.
    pub path: &'a str,
    /// The content coding that is accepted for the response body, if any.
    pub accept_encoding: Option<&'static str>,
    /// The JSON body; empty if there is none.
    pub body: Bytes,
}

/// Limits of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// The connect timeout.
    pub connect_timeout: Duration,
    /// The timeout of the whole call.
    pub total_timeout: Duration,
    /// The maximum size of the response body in bytes.
    pub max_bytes: usize,
}

impl<'a> Call<'a> {
    /// Creates a GET call.
    pub(crate) fn get(address: SocketAddr, path: &'a str) -> Self {
        Self {
            method: Method::GET,
            address,
            path,
            accept_encoding: None,
            body: Bytes::new(),
        }
    }

    /// Makes the call and returns the body of a successful response.
    ///
    /// # Errors
    ///
    /// Fails when there is no complete response within the limits, or when its status is not a success.
    pub(crate) async fn run(self, timer: &Timer, bounds: Bounds) -> Result<Bytes, Failure> {
        self.run_for_response(timer, bounds).await.map(Response::into_body)
    }

    /// Makes the call and returns a successful response with its headers.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::run`].
    pub(crate) async fn run_for_response(self, timer: &Timer, bounds: Bounds) -> Result<Response<Bytes>, Failure> {
        let address = self.address;
        let exchange = async {
            let mut connection = Connection::open(address, bounds.connect_timeout).await?;
            connection
                .exchange_for_response(self.request()?, bounds.max_bytes)
                .await
        };
        let response = timer.timeout(bounds.total_timeout, exchange).await;
        let response = response.unwrap_or(Err(Failure::Timeout { address }))?;
        if response.status().is_success() {
            Ok(response)
        } else {
            Err(unexpected_status(address, response.status()))
        }
    }

    fn request(self) -> Result<Request<Full<Bytes>>, Failure> {
        let request = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header(HOST, self.address.to_string());
        let request = match self.accept_encoding {
            Some(coding) => request.header(ACCEPT_ENCODING, coding),
            None => request,
        };
        let request = if self.body.is_empty() {
            request
        } else {
            request.header(CONTENT_TYPE, "application/json")
        };
        request.body(Full::new(self.body)).map_err(|error| Failure::Broken {
            address: self.address,
            reason: error.to_string(),
        })
    }
}

fn unexpected_status(address: SocketAddr, status: StatusCode) -> Failure {
    Failure::Status {
        address,
        status: status.as_u16(),
    }
}
