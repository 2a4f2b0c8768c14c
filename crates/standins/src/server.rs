//! The server that all stand-ins share.

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

use crate::fault::{Commands, End, Gate};
use crate::http::{self, Answer, Call};

/// Larger than any body that hawthornpost sends.
const MAX_BODY_BYTES: usize = 4 << 20;
const REBIND_PAUSE: Duration = Duration::from_millis(20);

/// What a stand-in shows and changes outside its protocol.
pub(crate) trait Inspect: Send + Sync + 'static {
    /// Answers a request below `/standin/`.
    fn inspect(&self, path: &str) -> Option<Value>;
    /// Carries out the commands that only this stand-in knows.
    fn command(&self, commands: Commands);
}

/// What a stand-in does with requests.
pub(crate) trait App: Inspect {
    /// Starts background tasks; called inside the runtime at every start.
    fn start(self: Arc<Self>);
    /// Answers a request.
    fn call(self: Arc<Self>, call: Call) -> impl Future<Output = Answer> + Send;
}

/// Keeps a stand-in running; dropping it stops the stand-in and closes its connections.
#[must_use = "dropping the handle stops the stand-in"]
pub struct Handle {
    address: SocketAddr,
    gate: Arc<Gate>,
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
        let commands = self.gate.change(change)?;
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

    /// Waits until the stand-in has died.
    pub fn wait(mut self) {
        if let Some(thread) = self.thread.take() {
            // A panic of the thread is already printed.
            let _ = thread.join();
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.gate.end(End::Stopped);
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

/// Starts a stand-in in a thread of its own.
pub(crate) fn start<A: App>(address: SocketAddr, app: &Arc<A>, gate: &Arc<Gate>) -> io::Result<Handle> {
    let listener = bind(address)?;
    let address = listener.local_addr()?;
    let served = (Arc::clone(app), Arc::clone(gate));
    let thread = thread::Builder::new().spawn(move || run(listener, address, &served.0, &served.1))?;
    Ok(Handle {
        address,
        gate: Arc::clone(gate),
        app: Arc::<A>::clone(app),
        thread: Some(thread),
    })
}

fn bind(address: SocketAddr) -> io::Result<StdListener> {
    // The listener of the standard library sets SO_REUSEADDR, so a stand-in can start again on its port at once.
    let listener = StdListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn run<A: App>(first: StdListener, address: SocketAddr, app: &Arc<A>, gate: &Arc<Gate>) {
    let mut listener = Some(first);
    loop {
        let Ok(runtime) = Builder::new_current_thread().enable_all().build() else {
            return;
        };
        let Some(bound) = listener.take().or_else(|| rebind(address, gate)) else {
            return;
        };
        let end = serve(&runtime, bound, app, gate);
        // Dropping the runtime drops all tasks, which closes all connections.
        drop(runtime);
        match end {
            End::Died(Some(pause)) => thread::sleep(pause),
            End::Died(None) | End::Stopped => return,
        }
        if !gate.restart() {
            return;
        }
    }
}

fn rebind(address: SocketAddr, gate: &Gate) -> Option<StdListener> {
    while !gate.is_stopped() {
        if let Ok(listener) = bind(address) {
            return Some(listener);
        }
        thread::sleep(REBIND_PAUSE);
    }
    None
}

fn serve<A: App>(runtime: &Runtime, listener: StdListener, app: &Arc<A>, gate: &Arc<Gate>) -> End {
    runtime.block_on(async {
        let Ok(listener) = TcpListener::from_std(listener) else {
            return End::Stopped;
        };
        Arc::clone(app).start();
        let mut ended = std::pin::pin!(gate.ended());
        loop {
            tokio::select! {
                end = &mut ended => return end,
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    tokio::spawn(connection(stream, Arc::clone(app), Arc::clone(gate)));
                },
            }
        }
    })
}

async fn connection<A: App>(stream: TcpStream, app: Arc<A>, gate: Arc<Gate>) {
    // Tokens are small and must not wait for an acknowledgement; an error here shows again at the first write.
    let _ = stream.set_nodelay(true);
    let control = Arc::new(AtomicBool::new(false));
    let line = Line {
        stream,
        number: gate.open_connection(),
        gate: Arc::clone(&gate),
        control: Arc::clone(&control),
    };
    let service = service_fn(move |request| answer(request, Arc::clone(&app), Arc::clone(&gate), Arc::clone(&control)));
    // Errors are connections that the peer closed or that a fault closed.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(line), service)
        .await;
}

/// An error that makes hyper close the connection without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the connection is closed by a fault")]
struct Closed;

async fn answer<A: App>(
    request: Request<Incoming>,
    app: Arc<A>,
    gate: Arc<Gate>,
    control: Arc<AtomicBool>,
) -> Result<Answer, Closed> {
    let (parts, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return Ok(http::problem(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
    };
    let call = Request::from_parts(parts, body.to_bytes());
    if let Some(path) = call.uri().path().strip_prefix("/standin/") {
        control.store(true, Ordering::Relaxed);
        return Ok(inspect(&call, path, &*app, &gate));
    }
    with_faults(call, app, gate).await
}

fn inspect(call: &Call, path: &str, app: &impl App, gate: &Gate) -> Answer {
    if path != "faults" {
        return match app.inspect(path) {
            Some(value) => http::json(StatusCode::OK, &value),
            None => http::problem(StatusCode::NOT_FOUND, "use /standin/faults or /standin/stats"),
        };
    }
    if call.method() == hyper::Method::GET {
        return http::json(StatusCode::OK, &gate.current());
    }
    let changed = serde_json::from_slice(call.body()).and_then(|change: Value| gate.change(&change));
    match changed {
        Ok(commands) => {
            app.command(commands);
            http::json(StatusCode::OK, &json!({ "set": true }))
        }
        Err(error) => http::problem(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

async fn with_faults<A: App>(call: Call, app: Arc<A>, gate: Arc<Gate>) -> Result<Answer, Closed> {
    gate.thawed().await;
    let faults = gate.current();
    if faults.outage {
        return Err(Closed);
    }
    if faults.leaving {
        return Ok(leaving());
    }
    let (method, path) = (call.method().as_str().to_owned(), call.uri().path().to_owned());
    if gate.hits(|faults| &mut faults.fail, &method, &path) {
        return Ok(http::problem(StatusCode::INTERNAL_SERVER_ERROR, "a fault is set"));
    }
    if gate.hits(|faults| &mut faults.late, &method, &path) {
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(faults.late_ms)).await;
            app.call(call).await
        });
        return Err(Closed);
    }
    let answer = app.call(call).await;
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    gate.thawed().await;
    if gate.hits(|faults| &mut faults.lose, &method, &path) {
        return Err(Closed);
    }
    Ok(answer)
}

fn leaving() -> Answer {
    let mut answer = http::problem(StatusCode::SERVICE_UNAVAILABLE, "the server is leaving");
    let second = hyper::header::HeaderValue::from_static("1");
    answer.headers_mut().insert(hyper::header::RETRY_AFTER, second);
    answer
}

/// A connection that a fault can make silent.
struct Line {
    stream: TcpStream,
    number: u64,
    gate: Arc<Gate>,
    /// Set on connections that carried a request to `/standin/`, so that the answer to a fault can be sent.
    control: Arc<AtomicBool>,
}

impl Line {
    fn is_silent(&self) -> bool {
        self.gate.is_silent(self.number) && !self.control.load(Ordering::Relaxed)
    }
}

// A silent connection returns `Pending` without a waker: it never makes progress again.
impl AsyncRead for Line {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Line {
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
