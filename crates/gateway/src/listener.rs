//! Listeners for callers, readiness probes, address lookups, peers and metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use crate::body::Body;
use crate::connection_guard::Guard;
use crate::error::{Kind, Result};
use crate::gateway::{Gateway, Phase};
use crate::head_guard::{Framing, Stream};

/// The delay after a failed accept, which is usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The minimum size of a connection's read buffer that hyper allows.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// The purpose of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Requests of callers.
    Callers,
    /// Readiness probes.
    Readiness,
    /// Address lookups of callers.
    Directory,
    /// Other entry hosts.
    Peers,
    /// Metrics and the state dump.
    Metrics,
}

/// Binds a listener and serves it in the background.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub(crate) async fn start(gateway: &Rc<Gateway>, address: SocketAddr, purpose: Purpose) -> Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| Kind::Listen { address, source })?;
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move { accept(gateway, listener, address, purpose).await });
    Ok(())
}

async fn accept(gateway: Rc<Gateway>, listener: TcpListener, address: SocketAddr, purpose: Purpose) {
    let mut phase = gateway.watch_phase();
    loop {
        let accepted = tokio::select! {
            // A connection that was established before the listener closes gets an answer.
            biased;
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closed) => return,
        };
        match accepted {
            Ok((stream, client)) => {
                let gateway = Rc::clone(&gateway);
                tokio::task::spawn_local(async move { serve(gateway, stream, client, purpose).await });
            }
            Err(error) => {
                log::debug!("cannot accept a connection at {address}: {error}");
                gateway.timer().sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(gateway: Rc<Gateway>, stream: TcpStream, client: SocketAddr, purpose: Purpose) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY on the connection from {client}: {error}");
        return;
    }
    let _guard = (purpose == Purpose::Callers).then(|| Guard::new(&gateway));
    let limits = gateway.table().limits();
    let handler = Rc::clone(&gateway);
    let (stream, head) = Stream::new(stream, limits.header_timeout);
    let service = service_fn(move |request| {
        let (gateway, head) = (Rc::clone(&handler), Rc::clone(&head));
        async move {
            let response = handle(gateway, request, purpose, head.framing()).await;
            head.reset();
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(gateway.idle_timer().clone())
        .header_read_timeout(Duration::ZERO)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    // A stopping process closes connections with its responses only: a request may be on its way on any other one.
    if let Err(error) = connection.await {
        log::debug!("connection from {client} ended with an error: {error}");
    }
}

async fn handle(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    purpose: Purpose,
    framing: Option<Framing>,
) -> Response<Body> {
    match purpose {
        Purpose::Callers => crate::ingress::handle(gateway, request, framing).await,
        Purpose::Readiness => crate::directory::readiness(&gateway, request.uri().path()),
        Purpose::Directory => crate::directory::lookup(&gateway, request.uri().path()),
        Purpose::Peers => crate::directory::for_peer(&gateway, request.uri(), request.headers()),
        Purpose::Metrics => crate::directory::metrics(&gateway, request.uri().path()),
    }
}
