//! Client connections to targets, the store and peers.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// The size of a connection's read buffer; response heads have to fit into it.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// The reason why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The connection could not be established, so nothing was sent.
    #[error("cannot connect to {address}: {reason}; check that the process is running")]
    Connect {
        /// The address.
        address: SocketAddr,
        /// The error.
        reason: String,
    },
    /// The connection failed after the request may have been sent.
    #[error("connection to {address} failed: {reason}; the outcome is unknown")]
    Broken {
        /// The address.
        address: SocketAddr,
        /// The error.
        reason: String,
    },
    /// The timeout elapsed after the request may have been sent.
    #[error("request to {address} timed out; the outcome is unknown")]
    Timeout {
        /// The address.
        address: SocketAddr,
    },
    /// The response status is not a success.
    #[error("{address} responded with status {status}")]
    Status {
        /// The address.
        address: SocketAddr,
        /// The status.
        status: u16,
    },
}

/// An HTTP/1 client connection, which is closed on drop.
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection within a timeout.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::Connect`].
    pub async fn open(address: SocketAddr, connect_timeout: Duration) -> Result<Self, Failure> {
        let failed = |reason: String| Failure::Connect { address, reason };
        let connected = timeout(connect_timeout, TcpStream::connect(address)).await;
        let stream = connected
            .map_err(|_elapsed| failed(format!("no response within {connect_timeout:?}")))?
            .map_err(|error| failed(error.to_string()))?;
        stream.set_nodelay(true).map_err(|error| failed(error.to_string()))?;
        let handshake = http1::Builder::new()
            .read_buf_exact_size(Some(READ_BUFFER_BYTES))
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|error| failed(error.to_string()))?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended with an error: {error}");
            }
        });
        Ok(Self {
            address,
            sender,
            driver,
        })
    }

    /// Returns whether the connection can send another request.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::Broken`] when the connection fails before that.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Failure> {
        let address = self.address;
        let response = self.sender.send_request(request).await;
        response.map_err(|error| Failure::Broken {
            address,
            reason: format_chain(&error),
        })
    }

    /// Sends a request and reads the complete response, whose body may have at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::Broken`] when the connection fails or the body is too large.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let response = self.exchange_for_response(request, max_bytes).await?;
        Ok((response.status(), response.into_body()))
    }

    /// Sends a request and reads the complete response like [`Self::exchange`]; returns it with its headers.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::exchange`].
    pub(crate) async fn exchange_for_response(
        &mut self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, Failure> {
        let (head, body) = self.send(request).await?.into_parts();
        let body = Limited::new(body, max_bytes).collect().await;
        let body = body.map_err(|error| Failure::Broken {
            address: self.address,
            reason: error.to_string(),
        })?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// Returns whether the host of an address responds to a connection attempt within a timeout. A refused connection counts
/// as a response: a draining server accepts no new connections, and one that has exited resets its existing ones.
pub(crate) async fn is_reachable(address: SocketAddr, connect_timeout: Duration) -> bool {
    timeout(connect_timeout, TcpStream::connect(address)).await.is_ok()
}

/// Formats an error with the chain of its sources.
pub(crate) fn format_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
