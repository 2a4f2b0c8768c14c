//! A server of a plain service.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::standins::http::{self, Request, header};

/// The interval at which open connections notice that the server has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A request at a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    /// The id of the client's attempt.
    pub attempt: String,
    pub server: String,
    /// The tenant that the request names.
    pub tenant: Option<String>,
    /// Whether the server ran it to a good end and answered.
    pub is_answered: bool,
    /// Whether the server began to run it.
    pub has_run: bool,
    /// When the server answered with a failure of its own.
    pub failed_at: Option<Instant>,
}

impl Arrival {
    /// Returns a line for the record.
    pub fn line(&self) -> String {
        let end = match (self.has_run, self.is_answered, self.failed_at) {
            (false, ..) => "turned away",
            (true, _, Some(_)) => "run and answered 500",
            (true, false, None) => "run, not answered",
            (true, true, None) => "run and answered",
        };
        format!(
            "request {} of tenant {} reaches server {}: {end}",
            self.attempt,
            self.tenant.as_deref().unwrap_or("(none)"),
            self.server
        )
    }
}

/// All requests at all servers of a script.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// What a server is.
#[derive(Clone, Debug)]
pub struct Identity {
    pub id: String,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub address: SocketAddr,
    /// The time of its start in Unix milliseconds.
    pub born: u64,
}

impl Identity {
    /// Returns the entry of the server in the store.
    pub fn entry(&self, state: &str) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"{}","slots":6,"state":"{state}","cold-left-ms":0,"sequence":1,"born":{}}}"#,
            self.service, self.address, self.zone, self.version, self.born
        )
    }
}

/// A running server.
#[derive(Clone, Debug)]
pub struct Service {
    pub identity: Identity,
    arrivals: Arrivals,
    work: Duration,
    has_ended: Arc<AtomicBool>,
    /// The pause in milliseconds for which the server asks when it refuses requests; 0 while it serves them.
    pause_ms: Arc<AtomicU64>,
    failures: Share,
    losses: Share,
}

/// A share of the requests, in percent, spread evenly over them.
#[derive(Clone, Debug, Default)]
struct Share {
    percent: Arc<AtomicU64>,
    sum: Arc<AtomicU64>,
}

impl Share {
    /// Returns whether the next request belongs to the share.
    fn takes_next(&self) -> bool {
        let percent = self.percent.load(Ordering::SeqCst);
        let before = self.sum.fetch_add(percent, Ordering::SeqCst);
        before / 100 != (before + percent) / 100
    }
}

impl Service {
    /// Starts a server that works for this time on each request.
    pub fn start(identity: Identity, work: Duration, arrivals: &Arrivals) -> Self {
        let listener = TcpListener::bind(identity.address).expect("the server's address is free");
        listener.set_nonblocking(true).expect("a listener that does not block");
        let service = Self {
            identity,
            arrivals: Arc::clone(arrivals),
            work,
            has_ended: Arc::default(),
            pause_ms: Arc::default(),
            failures: Share::default(),
            losses: Share::default(),
        };
        let own = service.clone();
        thread::spawn(move || {
            while !own.has_ended.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let service = own.clone();
                        thread::spawn(move || service.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        service
    }

    /// Ends the server: its connections are closed and new ones are refused.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
    }

    /// Makes the server refuse all requests and ask for a pause, or serve them again.
    pub fn set_pause(&self, pause: Duration) {
        self.pause_ms.store(
            u64::try_from(pause.as_millis()).expect("a short pause"),
            Ordering::SeqCst,
        );
    }

    /// Makes the server answer this share of its requests with status 500.
    pub fn set_failures(&self, percent: u64) {
        self.failures.percent.store(percent, Ordering::SeqCst);
    }

    /// Makes the server lose the answers of this share of the requests that it has run: it closes their connections.
    pub fn set_losses(&self, percent: u64) {
        self.losses.percent.store(percent, Ordering::SeqCst);
    }

    fn serve(&self, stream: TcpStream) {
        let configured = stream.set_nonblocking(false).and_then(|()| stream.set_nodelay(true));
        if configured
            .and_then(|()| stream.set_read_timeout(Some(POLL_INTERVAL)))
            .is_err()
        {
            return;
        }
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while !self.has_ended.load(Ordering::SeqCst) {
            // A request begins with its first byte; until then the connection is idle.
            match std::io::BufRead::fill_buf(&mut reader) {
                Ok([]) => return,
                Ok(_) => {}
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) =>
                {
                    continue;
                }
                Err(_) => return,
            }
            if reader.get_ref().set_read_timeout(Some(Duration::from_secs(5))).is_err() {
                return;
            }
            let Ok(Some(request)) = http::read_request(&mut reader) else {
                return;
            };
            if self.handle(&request, &mut writer).is_err() {
                return;
            }
            if reader.get_ref().set_read_timeout(Some(POLL_INTERVAL)).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Request, writer: &mut TcpStream) -> std::io::Result<()> {
        let id = &self.identity.id;
        let attempt = header(&request.headers, "x-hawthornpost-attempt-id")
            .unwrap_or_default()
            .to_owned();
        let named = ("x-hawthornpost-attempt-id", attempt.as_str());
        let not_run = ("x-hawthornpost-not-executed", "1");
        if request.path == "/healthz" {
            return http::write_response(writer, 200, &[("x-hawthornpost-instance-id", id)], b"");
        }
        let expected = header(&request.headers, "x-hawthornpost-expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            let instance = ("x-hawthornpost-instance-id", id.as_str());
            return http::write_response(writer, 421, &[named, not_run, instance], b"");
        }
        let index = {
            let mut arrivals = self.arrivals.lock().expect("no thread panics with the arrivals");
            arrivals.push(Arrival {
                at: Instant::now(),
                attempt: attempt.clone(),
                server: id.clone(),
                tenant: header(&request.headers, "x-hawthornpost-tenant").map(str::to_owned),
                is_answered: false,
                has_run: false,
                failed_at: None,
            });
            arrivals.len() - 1
        };
        let pause_ms = self.pause_ms.load(Ordering::SeqCst);
        if pause_ms > 0 {
            let seconds = format!("{:.1}", pause_ms as f64 / 1000.0);
            return http::write_response(writer, 503, &[named, not_run, ("retry-after", &seconds)], b"");
        }
        self.arrivals.lock().expect("no thread panics with the arrivals")[index].has_run = true;
        thread::sleep(self.work);
        let has_failed = self.failures.takes_next();
        if self.has_ended.load(Ordering::SeqCst) || self.losses.takes_next() {
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        let stamp = format!("stamp-of-{id}");
        let headers = [
            named,
            ("x-hawthornpost-server-stamp", stamp.as_str()),
            ("x-hawthornpost-server-load", "1,0,6"),
            ("keep-alive", "timeout=5"),
        ];
        let body = [b"done: ", &request.body[..]].concat();
        let status = if has_failed { 500 } else { 200 };
        http::write_response(writer, status, &headers, &body)?;
        let arrival = &mut self.arrivals.lock().expect("no thread panics with the arrivals")[index];
        arrival.is_answered = !has_failed;
        arrival.failed_at = has_failed.then(Instant::now);
        Ok(())
    }
}
