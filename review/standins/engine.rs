//! Model servers of one service: they stream events and count what reaches them and what they run.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::Record;
use super::http::{self, Request};
use super::store::Store;
use super::unix_millis;

/// How a server answers.
#[derive(Clone, Copy)]
pub struct Manner {
    /// The time to the first event.
    pub first: Duration,
    /// The time between two events.
    pub gap: Duration,
    /// The number of events of a stream.
    pub events: u64,
    /// Of ten requests, how many it answers with status 500.
    pub failures_in_ten: u64,
}

/// A request that reached a server.
#[derive(Clone)]
pub struct Arrival {
    pub at: Duration,
    pub id: String,
    pub is_bad: bool,
}

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    version: String,
    born: u128,
    sequence: AtomicU64,
    shared: Arc<Shared>,
}

struct Shared {
    id: String,
    manner: Manner,
    record: Arc<Record>,
    arrivals: Mutex<Vec<Arrival>>,
    /// Of ten requests, how many it answers with status 500 now.
    failures_in_ten: AtomicU64,
    /// After its end a server closes every connection.
    has_ended: AtomicU64,
}

impl Engine {
    pub fn start(
        service: &str,
        id: &str,
        address: SocketAddr,
        zone: &str,
        version: &str,
        manner: Manner,
        record: &Arc<Record>,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            manner,
            record: Arc::clone(record),
            arrivals: Mutex::default(),
            failures_in_ten: AtomicU64::new(manner.failures_in_ten),
            has_ended: AtomicU64::new(0),
        });
        let own = Arc::clone(&shared);
        http::serve(address, move |request, stream| own.handle(request, stream))?;
        Ok(Self {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            version: version.to_owned(),
            born: unix_millis(),
            sequence: AtomicU64::new(1),
            shared,
        })
    }

    /// Writes the server's entry into the store.
    pub fn register(&self, store: &Store, state: &str) {
        let Self {
            service,
            address,
            zone,
            version,
            born,
            ..
        } = self;
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        store.put(
            "servers",
            &self.id,
            &format!(
                r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":64,"state":"{state}","cold-left-ms":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":{born}}}"#
            ),
        );
    }

    /// Changes how many of ten requests the server answers with status 500.
    pub fn set_failures(&self, failures_in_ten: u64) {
        self.shared.failures_in_ten.store(failures_in_ten, Ordering::Relaxed);
    }

    /// Ends the server at once and removes its entry.
    pub fn stop(&self, store: &Store) {
        self.shared.has_ended.store(1, Ordering::Relaxed);
        store.delete("servers", &self.id);
    }

    /// Returns what has reached the server.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.arrivals.lock().unwrap().clone()
    }
}

impl Shared {
    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        if self.has_ended.load(Ordering::Relaxed) > 0 {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if request.path == "/healthz" {
            return http::respond(stream, 200, &[("X-Hawthornpost-Instance-Id", &self.id)], b"");
        }
        if request.path == "/hawthornpost/report" {
            let report = r#"{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kv-used":0,"kv-total":88000,"handles":0}"#;
            return http::respond(stream, 200, &[("Content-Type", "application/json")], report.as_bytes());
        }
        let Some(id) = request.header("x-hawthornpost-attempt-id") else {
            return http::respond(stream, 400, &[("X-Hawthornpost-Not-Executed", "1")], b"");
        };
        let expected = request.header("x-hawthornpost-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [
                ("X-Hawthornpost-Attempt-Id", id),
                ("X-Hawthornpost-Instance-Id", &self.id),
            ];
            return http::respond(stream, 421, &headers, b"");
        }
        let is_bad = {
            let mut arrivals = self.arrivals.lock().unwrap();
            // Spread evenly: with 3 of 10, the requests 0, 4 and 7 of each ten fail.
            let failures = self.failures_in_ten.load(Ordering::Relaxed);
            let is_bad = arrivals.len() as u64 * failures % 10 < failures;
            arrivals.push(Arrival {
                at: self.record.now(),
                id: id.to_owned(),
                is_bad,
            });
            is_bad
        };
        self.record.line(&format!(
            "server {} runs {id}{}",
            self.id,
            if is_bad { " and fails" } else { "" }
        ));
        let stamp = format!("stamp-of-{}", self.id);
        let headers = [
            ("X-Hawthornpost-Attempt-Id", id),
            ("X-Hawthornpost-Server-Stamp", stamp.as_str()),
        ];
        if is_bad {
            return http::respond(stream, 500, &headers, b"failed");
        }
        self.stream(&headers, stream)
    }

    fn stream(&self, headers: &[(&str, &str)], stream: &mut TcpStream) -> io::Result<()> {
        let mut head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n".to_owned();
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        stream.write_all(head.as_bytes())?;
        let Manner { first, gap, events, .. } = self.manner;
        for number in 1..=events {
            thread::sleep(if number == 1 { first } else { gap });
            if self.has_ended.load(Ordering::Relaxed) > 0 {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let event = format!("id: {number}\ndata: piece-{number}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}
