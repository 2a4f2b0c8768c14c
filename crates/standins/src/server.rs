//! The HTTP server that all stand-ins share.

use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::{Value, json};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};

use crate::fault::{Commands, Exit, Injector};
use crate::http::{self, Call, Reply};

/// The maximum size of a request body; larger than any body that hawthornpost sends.
const MAX_BODY_BYTES: usize = 4 << 20;
/// The interval between two attempts to bind the address after a restart.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// The control interface of a stand-in below `/standin/`.
pub(crate) trait Inspect: Send + Sync + 'static {
    /// Returns the value of a path below `/standin/`, or `None` if there is no such path.
    fn inspect(&self, path: &str) -> Option<Value>;
    /// Carries out commands that only some stand-ins support.
    fn command(&self, commands: Commands);
}

/// The request handler of a stand-in.
pub(crate) trait App: Inspect {
    /// Starts background tasks; called in the runtime at every start and restart.
    fn start(self: Arc<Self>);
    /// Handles a request.
    fn call(self: Arc<Self>, call: Call) -> impl Future<Output = Reply> + Send;
}

/// A running stand-in. Dropping the handle stops it and closes its connections.
#[must_use = "dropping the handle stops the stand-in"]
pub struct Handle {
    address: SocketAddr,
    injector: Arc<Injector>,
    app: Arc<dyn Inspect>,
    thread: Option<JoinHandle<()>>,
}

impl Handle {
    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets faults; `change` names the fields of [`Faults`](crate::fault::Faults) that change.
    ///
    /// # Errors
    ///
    /// Fails when a field is unknown or has the wrong type.
    pub fn set_faults(&self, change: &Value) -> Result<(), serde_json::Error> {
        let commands = self.injector.change(change)?;
        self.app.command(commands);
        Ok(())
    }

    /// Returns the counters.
    pub fn stats(&self) -> Value {
        self.app.inspect("stats").unwrap_or_default()
    }

    /// Returns what `GET /standin/{path}` returns.
    pub fn inspect(&self, path: &str) -> Option<Value> {
        self.app.inspect(path)
    }

    /// Waits until the stand-in has exited.
    pub fn wait(mut self) {
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been printed.
            let _ = thread.join();
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.injector.exit(Exit::Stopped);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl fmt::Debug for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Handle")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// Starts a stand-in in its own thread.
pub(crate) fn start<A: App>(address: SocketAddr, app: &Arc<A>, injector: &Arc<Injector>) -> io::Result<Handle> {
    let listener = bind(address)?;
    let address = listener.local_addr()?;
    let shared = (Arc::clone(app), Arc::clone(injector));
    let thread = thread::Builder::new().spawn(move || run(listener, address, &shared.0, &shared.1))?;
    Ok(Handle {
        address,
        injector: Arc::clone(injector),
        app: Arc::<A>::clone(app),
        thread: Some(thread),
    })
}

fn bind(address: SocketAddr) -> io::Result<StdListener> {
    // The standard library sets SO_REUSEADDR on listeners, so a stand-in can rebind its port immediately.
    let listener = StdListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn run<A: App>(first_listener: StdListener, address: SocketAddr, app: &Arc<A>, injector: &Arc<Injector>) {
    let mut listener = Some(first_listener);
    loop {
        let Ok(runtime) = Builder::new_current_thread().enable_all().build() else {
            return;
        };
        let Some(bound) = listener.take().or_else(|| rebind(address, injector)) else {
            return;
        };
        let exit = serve(&runtime, bound, app, injector);
        // Dropping the runtime drops all tasks, which closes all connections.
        drop(runtime);
        match exit {
            Exit::Crashed(Some(delay)) => thread::sleep(delay),
            Exit::Crashed(None) | Exit::Stopped => return,
        }
        if !injector.restart() {
            return;
        }
    }
}

fn rebind(address: SocketAddr, injector: &Injector) -> Option<StdListener> {
    while !injector.is_stopped() {
        if let Ok(listener) = bind(address) {
            return Some(listener);
        }
        thread::sleep(REBIND_INTERVAL);
    }
    None
}

fn serve<A: App>(runtime: &Runtime, listener: StdListener, app: &Arc<A>, injector: &Arc<Injector>) -> Exit {
    runtime.block_on(async {
        let Ok(listener) = TcpListener::from_std(listener) else {
            return Exit::Stopped;
        };
        Arc::clone(app).start();
        let mut exited = std::pin::pin!(injector.exited());
        loop {
            tokio::select! {
                exit = &mut exited => return exit,
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    tokio::spawn(serve_connection(stream, Arc::clone(app), Arc::clone(injector)));
                },
            }
        }
    })
}

async fn serve_connection<A: App>(stream: TcpStream, app: Arc<A>, injector: Arc<Injector>) {
    // Token frames are small and must not wait for an acknowledgement. If setting the option fails, so does the first
    // write.
    let _ = stream.set_nodelay(true);
    let is_control = Arc::new(AtomicBool::new(false));
    let connection_io = Connection {
        stream,
        number: injector.open_connection(),
        injector: Arc::clone(&injector),
        is_control: Arc::clone(&is_control),
    };
    let service = service_fn(move |request| {
        handle(
            request,
            Arc::clone(&app),
            Arc::clone(&injector),
            Arc::clone(&is_control),
        )
    });
    // Errors only mean that the peer or a fault closed the connection.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(connection_io), service)
        .await;
}

/// An error that makes hyper close the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("the connection was closed by an injected fault")]
struct Closed;

async fn handle<A: App>(
    request: Request<Incoming>,
    app: Arc<A>,
    injector: Arc<Injector>,
    is_control: Arc<AtomicBool>,
) -> Result<Reply, Closed> {
    let (parts, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return Ok(http::problem(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
    };
    let call = Request::from_parts(parts, body.to_bytes());
    if let Some(path) = call.uri().path().strip_prefix("/standin/") {
        is_control.store(true, Ordering::Relaxed);
        return Ok(handle_control(&call, path, &*app, &injector));
    }
    handle_with_faults(call, app, injector).await
}

fn handle_control(call: &Call, path: &str, app: &impl App, injector: &Injector) -> Reply {
    if path != "faults" {
        return match app.inspect(path) {
            Some(value) => http::json(StatusCode::OK, &value),
            None => http::problem(StatusCode::NOT_FOUND, "use /standin/faults or /standin/stats"),
        };
    }
    if call.method() == hyper::Method::GET {
        return http::json(StatusCode::OK, &injector.current());
    }
    let changed = serde_json::from_slice(call.body()).and_then(|change: Value| injector.change(&change));
    match changed {
        Ok(commands) => {
            app.command(commands);
            http::json(StatusCode::OK, &json!({ "set": true }))
        }
        Err(error) => http::problem(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

async fn handle_with_faults<A: App>(call: Call, app: Arc<A>, injector: Arc<Injector>) -> Result<Reply, Closed> {
    injector.wait_while_frozen().await;
    let faults = injector.current();
    if faults.outage {
        return Err(Closed);
    }
    if faults.leaving {
        return Ok(unavailable());
    }
    let (method, path) = (call.method().as_str().to_owned(), call.uri().path().to_owned());
    if injector.triggers(|faults| &mut faults.fail, &method, &path) {
        return Ok(http::problem(StatusCode::INTERNAL_SERVER_ERROR, "a fault is set"));
    }
    if injector.triggers(|faults| &mut faults.late, &method, &path) {
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(faults.late_ms)).await;
            app.call(call).await
        });
        return Err(Closed);
    }
    let response = app.call(call).await;
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    injector.wait_while_frozen().await;
    if injector.triggers(|faults| &mut faults.lose, &method, &path) {
        return Err(Closed);
    }
    Ok(response)
}

fn unavailable() -> Reply {
    let mut response = http::problem(StatusCode::SERVICE_UNAVAILABLE, "the server is leaving");
    let second = hyper::header::HeaderValue::from_static("1");
    response.headers_mut().insert(hyper::header::RETRY_AFTER, second);
    response
}

/// A connection that a fault can silence.
struct Connection {
    stream: TcpStream,
    number: u64,
    injector: Arc<Injector>,
    /// Set on connections that carried a request to `/standin/`. They are never silenced, so that the response to the
    /// request that sets the fault can be sent.
    is_control: Arc<AtomicBool>,
}

impl Connection {
    fn is_silent(&self) -> bool {
        self.injector.is_silent(self.number) && !self.is_control.load(Ordering::Relaxed)
    }
}

// A silenced connection returns `Pending` without registering a waker, so it never makes progress again.
impl AsyncRead for Connection {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
