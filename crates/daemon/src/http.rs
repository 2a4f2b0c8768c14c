//! HTTP server for callers and operators.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use hawthornpost_core::id::Account;
use http_body_util::channel::Channel;
use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use linkme::distributed_slice;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::access::{self, Access};
use crate::error::{Error, Kind, Result};
use crate::event::Event;
use crate::kernel::{Context, Phase};
use crate::metric;
use crate::plugin::{PLUGINS, Plugin, Stage};
use crate::problem::Problem;

/// All registered routes; each module registers its own at link time.
#[distributed_slice]
pub static ROUTES: [Route];

/// The largest accepted request head; a larger one is refused with status 431.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The largest request head that hyper buffers. hyper refuses a larger head with an empty body, so the margin above
/// [`MAX_HEAD_BYTES`] lets most callers receive the problem details.
const HEAD_BUFFER_BYTES: usize = 4 * MAX_HEAD_BYTES;
/// The bytes of a header line besides name and value: `: ` and CRLF.
const HEADER_LINE_BYTES: usize = 4;
/// The size of the kernel send buffer of a connection. By default the kernel buffers up to 4 MB for a slow caller,
/// which the memory bounds of the settings do not cover.
const SEND_BUFFER_BYTES: u32 = 16 << 10;
/// The length of the queue of connections that are not accepted yet.
const LISTEN_BACKLOG: u32 = 1024;
/// The retry delay for callers while the memory for request bodies is exhausted.
const BODY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The body of a response: complete in memory, or a stream.
pub type Body = Either<Full<Bytes>, Channel<Bytes, Infallible>>;

/// The future of a handler.
pub type Handled = LocalBoxFuture<'static, Result<Response<Body>>>;

/// A method, a path and their handler.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    /// The method.
    pub method: fn() -> Method,
    /// The path, with parameters such as `{name}` and an optional trailing `{*rest}`.
    pub path: &'static str,
    /// The required credentials.
    pub access: Access,
    /// The handler.
    pub handle: fn(Rc<Context>, Call) -> Handled,
}

/// An authenticated request.
#[derive(Debug)]
pub struct Call {
    /// The request.
    pub request: Request<Incoming>,
    /// The parameters of the path.
    pub parameters: Vec<(String, String)>,
    /// The client account, for routes with [`Access::Account`].
    pub account: Option<Account>,
}

impl Call {
    /// Returns a path parameter, or an empty string when the route has no parameter of this name.
    pub fn parameter(&self, name: &str) -> &str {
        let found = self.parameters.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Returns a header value, if it is present and valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.request.headers().get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the IP address of the caller, if it is known.
    pub fn caller(&self) -> Option<IpAddr> {
        self.request.extensions().get().copied()
    }

    /// Returns the client account of the caller.
    ///
    /// # Errors
    ///
    /// Fails on routes that do not require an account.
    pub fn account(&self) -> Result<&Account> {
        self.account.as_ref().ok_or_else(|| Kind::Unauthorized.into())
    }

    /// Reads the whole body within the size and time limits of the settings.
    ///
    /// # Errors
    ///
    /// Fails when the body is too large or arrives too slowly, when the connection breaks, and while the memory for
    /// request bodies is exhausted.
    pub async fn body(self, context: &Context) -> Result<Bytes> {
        let limits = &context.settings().limits;
        let declared = self.request.body().size_hint();
        if declared.lower() > limits.body_bytes as u64 {
            return Err(Kind::BodyTooLarge {
                limit: limits.body_bytes,
            }
            .into());
        }
        let quota = context.component::<Quota>();
        let _reserved = quota.reserve(declared.upper(), limits.body_bytes)?;
        let body = Limited::new(self.request.into_body(), limits.body_bytes).collect();
        let Some(result) = context.timer().timeout(limits.body_timeout, body).await else {
            return Err(Kind::BodyTimeout {
                limit: limits.body_timeout,
            }
            .into());
        };
        match result {
            Ok(collected) => Ok(collected.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(Kind::BodyTooLarge {
                limit: limits.body_bytes,
            }
            .into()),
            Err(error) => Err(Error::bad_request(error, "send the whole body")),
        }
    }

    /// Reads and decodes a JSON body.
    ///
    /// # Errors
    ///
    /// Fails like [`Call::body`], and with line and column when the body is not the expected JSON.
    pub async fn json<T: DeserializeOwned>(self, context: &Context) -> Result<T> {
        let body = self.body(context).await?;
        serde_json::from_slice(&body).map_err(|source| Error::bad_request(source, "correct the JSON at that place"))
    }
}

/// Limits the total memory of the request bodies that are being received.
#[derive(Debug)]
struct Quota {
    available: Semaphore,
}

impl Quota {
    /// Reserves memory for a body; without a declared length, for the largest allowed body.
    fn reserve(&self, declared: Option<u64>, largest: usize) -> Result<SemaphorePermit<'_>> {
        let bytes = declared.unwrap_or(largest as u64).min(largest as u64);
        let reserved = self
            .available
            .try_acquire_many(u32::try_from(bytes).unwrap_or(u32::MAX));
        reserved.map_err(|_full| Error::unavailable("too many request bodies are arriving", BODY_RETRY_AFTER))
    }
}

/// Builds a body from complete contents.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Either::Left(Full::new(bytes.into()))
}

/// Builds a JSON response.
pub fn json(value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(text));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

#[distributed_slice(PLUGINS)]
static HTTP: Plugin = Plugin {
    name: "http",
    stage: Stage::Server,
    start,
};

/// Finds routes by path; a path has one route per method.
struct Router {
    paths: matchit::Router<Vec<&'static Route>>,
}

impl Router {
    fn new() -> Self {
        let mut paths = matchit::Router::new();
        let mut sorted = ROUTES.iter().collect::<Vec<_>>();
        sorted.sort_by_key(|route| route.path);
        for same_path in sorted.chunk_by(|left, right| left.path == right.path) {
            // Overlapping patterns of two plug-ins are a bug.
            paths
                .insert(same_path[0].path, same_path.to_vec())
                .unwrap_or_else(|error| panic!("route {}: {error}", same_path[0].path));
        }
        Self { paths }
    }

    fn find(&self, method: &Method, path: &str) -> Result<(&'static Route, Vec<(String, String)>)> {
        let matched = self
            .paths
            .at(path)
            .map_err(|_no_match| Error::not_found(format!("path {path}"), "see the paths in docs/operators.md"))?;
        let route = matched.value.iter().find(|route| (route.method)() == *method);
        let Some(route) = route else {
            let allowed = matched.value.iter().map(|route| (route.method)().to_string());
            return Err(Kind::MethodNotAllowed {
                allowed: allowed.collect::<Vec<_>>().join(", "),
            }
            .into());
        };
        let parameters = matched
            .params
            .iter()
            .map(|(key, value)| (key.to_owned(), value.to_owned()));
        Ok((route, parameters.collect()))
    }
}

fn start(context: &Rc<Context>) -> Result<()> {
    let listener = listen_for_callers(context.settings().entry.listen)?;
    let available = Semaphore::new(context.settings().limits.request_bytes);
    context.provide(Rc::new(Quota { available }));
    let context = Rc::clone(context);
    tokio::task::spawn_local(accept(context, listener));
    Ok(())
}

/// Opens a listening socket.
///
/// # Errors
///
/// Fails when the socket cannot be bound to the address.
pub fn listen(address: SocketAddr) -> Result<TcpListener> {
    let open = || {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    };
    open().map_err(|source| Kind::Listen { address, source }.into())
}

/// Opens the listening socket for callers; accepted connections inherit its small send buffer.
fn listen_for_callers(address: SocketAddr) -> Result<TcpListener> {
    let open = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    open().map_err(|source| Kind::Listen { address, source }.into())
}

async fn accept(context: Rc<Context>, listener: TcpListener) {
    let router = Rc::new(Router::new());
    let open = Arc::new(Semaphore::new(context.settings().limits.connections));
    loop {
        // A connection beyond the limit waits in the accept queue of the kernel.
        let Ok(permit) = Arc::clone(&open).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, peer)) => {
                let (context, router) = (Rc::clone(&context), Rc::clone(&router));
                tokio::task::spawn_local(async move {
                    serve(context, router, stream, peer.ip()).await;
                    drop(permit);
                });
            }
            Err(error) => {
                Event::AcceptFailed { error: &error }.log();
                context.timer().sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(context: Rc<Context>, router: Rc<Router>, stream: TcpStream, caller: IpAddr) {
    // Tokens are small writes, which Nagle's algorithm would delay.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY on the connection of a caller: {error}");
    }
    let header_timeout = context.settings().limits.header_timeout;
    let mut phase = context.watch_phase();
    // A connection that was accepted after draining began still gets one error response, so that the caller does not
    // see it close without an answer.
    let is_draining = context.phase() >= Phase::Draining;
    let service = service_fn(move |mut request: Request<Incoming>| {
        let (context, router) = (Rc::clone(&context), Rc::clone(&router));
        request.extensions_mut().insert(caller);
        async move { Ok::<_, Infallible>(respond(context, &router, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(HEAD_BUFFER_BYTES)
        .keep_alive(!is_draining)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = phase.wait_for(|phase| *phase >= Phase::Draining), if !is_draining => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("connection of a caller failed: {error}");
    }
}

async fn respond(context: Rc<Context>, router: &Router, request: Request<Incoming>) -> Response<Body> {
    let response = match dispatch(context, router, request).await {
        Ok(response) => response,
        Err(error) => Problem::new(&error).into_response(),
    };
    metric::count_response(response.status());
    response
}

fn check_head(request: &Request<Incoming>) -> Result<()> {
    let lines = request.headers().iter();
    let headers = lines.map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_BYTES);
    let path = request.uri().path_and_query().map_or(0, |path| path.as_str().len());
    if path + headers.sum::<usize>() > MAX_HEAD_BYTES {
        return Err(Kind::HeadersTooLarge { limit: MAX_HEAD_BYTES }.into());
    }
    Ok(())
}

async fn dispatch(context: Rc<Context>, router: &Router, request: Request<Incoming>) -> Result<Response<Body>> {
    check_head(&request)?;
    let (route, parameters) = router.find(request.method(), request.uri().path())?;
    let account = access::check(&context, route.access, request.headers())?;
    let call = Call {
        request,
        parameters,
        account,
    };
    let _work = context.begin_work();
    (route.handle)(Rc::clone(&context), call).await
}

#[distributed_slice(ROUTES)]
static HEALTH: Route = Route {
    method: || Method::GET,
    path: "/healthz",
    access: Access::Public,
    handle: |_, _| Box::pin(async { Ok(Response::new(full("ok\n"))) }),
};

#[distributed_slice(ROUTES)]
static READY: Route = Route {
    method: || Method::GET,
    path: "/readyz",
    access: Access::Public,
    handle: |context, _| Box::pin(async move { Ok(ready(&context)) }),
};

fn ready(context: &Context) -> Response<Body> {
    let configured = context.component::<crate::configuration::Current>().version() > 0;
    let has_capacity = context.component::<crate::limits::Limits>().is_ready();
    if configured && has_capacity && context.phase() == Phase::Running {
        return Response::new(full("ready\n"));
    }
    let mut response = Response::new(full("not ready\n"));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}
