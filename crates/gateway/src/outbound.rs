//! Client connections to targets, the store and peers.

use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hawthornpost_daemon::timer::Timer;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::intake::{Excess, Limits, Meter, Stream};

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
    /// The connection was refused, so nothing was sent.
    #[error("cannot connect to {address}: the connection was refused; check that the process is running")]
    Refused {
        /// The address.
        address: SocketAddr,
    },
    /// There was no response to the connection attempt, so nothing was sent.
    #[error("cannot connect to {address}: no response within {limit:?}; check that its host and the network are up")]
    ConnectTimeout {
        /// The address.
        address: SocketAddr,
        /// The timeout.
        limit: Duration,
    },
    /// This host has no room for another connection, so nothing was sent.
    #[error(
        "cannot connect to {address}: this host uses its share of the target's connections; raise max-connections of the service if the target accepts more"
    )]
    NoRoom {
        /// The address.
        address: SocketAddr,
    },
    /// The connection was closed before the request was sent.
    #[error("{address} closed the connection before the request was sent; it has too many connections or is stopping")]
    Reset {
        /// The address.
        address: SocketAddr,
    },
    /// The connection failed before a byte of the request was sent.
    #[error("connection to {address} failed before the request was sent: {reason}")]
    Unsent {
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
    /// The response exceeds its limits.
    #[error("response of {address} was cut off: {excess}; the outcome is unknown")]
    Excess {
        /// The address.
        address: SocketAddr,
        /// The limit.
        excess: Excess,
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
    meter: Rc<Meter>,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection within a timeout.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::Connect`], [`Failure::Refused`], [`Failure::Reset`] or [`Failure::ConnectTimeout`].
    pub async fn open(address: SocketAddr, connect_timeout: Duration) -> Result<Self, Failure> {
        let stream = connect(address, connect_timeout).await?;
        Self::handshake(address, stream).await
    }

    /// Opens a connection that is reset when it is closed, so that no data of an abandoned request arrives later.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::open`].
    pub async fn open_with_reset(address: SocketAddr, connect_timeout: Duration) -> Result<Self, Failure> {
        let stream = connect(address, connect_timeout).await?;
        stream.set_zero_linger().map_err(|error| Failure::Connect {
            address,
            reason: error.to_string(),
        })?;
        Self::handshake(address, stream).await
    }

    async fn handshake(address: SocketAddr, stream: TcpStream) -> Result<Self, Failure> {
        let (stream, meter) = Stream::new(stream);
        let handshake = http1::Builder::new()
            .read_buf_exact_size(Some(READ_BUFFER_BYTES))
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|error| Failure::Connect {
            address,
            reason: error.to_string(),
        })?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended with an error: {error}");
            }
        });
        Ok(Self {
            address,
            sender,
            meter,
            driver,
        })
    }

    /// Returns whether the connection can send another request.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits for the end of a connection without an open request; returns whether it ended in time.
    pub(crate) async fn closes_within(&mut self, timer: &Timer, limit: Duration) -> bool {
        timer.timeout(limit, &mut self.driver).await.is_some()
    }

    /// Returns the meter, which knows whether a byte of the current request was sent.
    pub(crate) fn meter(&self) -> &Rc<Meter> {
        &self.meter
    }

    /// Sets the limits of responses, which are those of plain services initially.
    pub fn set_limits(&self, limits: Limits) {
        self.meter.set_limits(limits);
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::Unsent`] or [`Failure::Broken`] when the connection fails before that, and with
    /// [`Failure::Excess`] when the response exceeds its limits or announces a body that does.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Failure> {
        self.meter.start();
        let response = self.sender.send_request(request).await;
        self.meter.finish_head();
        let response = response.map_err(|error| self.failure(&error))?;
        if response.body().size_hint().lower() > self.meter.limits().bytes as u64 {
            return Err(self.excess(Excess::Bytes));
        }
        Ok(response)
    }

    /// Reads a body; `admit` checks the number of buffered bytes.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::Broken`] when the connection fails, and with [`Failure::Excess`] when the response exceeds its
    /// limits.
    pub async fn read(
        &self,
        mut body: Incoming,
        mut admit: impl FnMut(usize) -> Result<(), Excess>,
    ) -> Result<Bytes, Failure> {
        // The frames are copied: each keeps a read buffer in memory, and a frame may be as small as a byte.
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| self.failure(&error))?;
            bytes.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()));
            admit(bytes.capacity()).map_err(|excess| self.excess(excess))?;
        }
        Ok(bytes.freeze())
    }

    fn failure(&self, error: &hyper::Error) -> Failure {
        if let Some(excess) = Excess::of(error) {
            return self.excess(excess);
        }
        if !self.meter.has_sent() {
            return Failure::Unsent {
                address: self.address,
                reason: format_chain(error),
            };
        }
        Failure::Broken {
            address: self.address,
            reason: format_chain(error),
        }
    }

    fn excess(&self, excess: Excess) -> Failure {
        Failure::Excess {
            address: self.address,
            excess,
        }
    }

    /// Sends a request and reads the complete response, which may have at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::Broken`] when the connection fails, and with [`Failure::Excess`] when the response is too large.
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
        self.set_limits(Limits::size(max_bytes));
        let (head, body) = self.send(request).await?.into_parts();
        let body = self.read(body, |_bytes| Ok(())).await?;
        Ok(Response::from_parts(head, body))
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

async fn connect(address: SocketAddr, connect_timeout: Duration) -> Result<TcpStream, Failure> {
    let failed = |reason: String| Failure::Connect { address, reason };
    let connected = timeout(connect_timeout, TcpStream::connect(address)).await;
    let stream = connected
        .map_err(|_elapsed| Failure::ConnectTimeout {
            address,
            limit: connect_timeout,
        })?
        .map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused => Failure::Refused { address },
            ErrorKind::ConnectionReset => Failure::Reset { address },
            _ => failed(error.to_string()),
        })?;
    stream.set_nodelay(true).map_err(|error| failed(error.to_string()))?;
    Ok(stream)
}

/// Returns whether a new connection to an address is refused within a timeout.
pub(crate) async fn refuses_connections(address: SocketAddr, connect_timeout: Duration) -> bool {
    let connected = timeout(connect_timeout, TcpStream::connect(address)).await;
    connected.is_ok_and(|result| result.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused))
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
