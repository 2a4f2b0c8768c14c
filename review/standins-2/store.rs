//! The platform's metadata store: objects by kind and name, lists, watches and status writes.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::standins::http::{self, Request};

/// The time that the store takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// The maximum number of objects on a page.
const PAGE_OBJECTS: usize = 500;

/// How the store treats calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Up = 0,
    /// It answers each call with 503.
    Busy = 1,
}

/// An object as JSON texts, which are sent as they were written.
#[derive(Clone, Debug)]
struct Object {
    spec: Vec<u8>,
    status: Vec<u8>,
    revision: u64,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<(String, String), Object>,
    /// The changes with their revision and kind.
    events: Vec<(u64, String, Vec<u8>)>,
    revision: u64,
}

/// A running store.
#[derive(Clone, Debug)]
pub struct Store {
    address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    mode: Arc<AtomicU8>,
}

impl Store {
    /// Starts an empty store.
    pub fn start(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let state = State {
            revision: 100,
            ..State::default()
        };
        let store = Self {
            address,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            mode: Arc::default(),
        };
        let own = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = own.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how the store treats calls.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::SeqCst);
        self.shared.1.notify_all();
    }

    /// Creates or replaces the spec of an object; returns the time of the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: impl AsRef<[u8]>) -> Instant {
        let mut state = self.state();
        let revision = state.revision + 1;
        let key = (kind.to_owned(), name.to_owned());
        let status = state
            .objects
            .get(&key)
            .map_or(b"null".to_vec(), |object| object.status.clone());
        let object = Object {
            spec: spec.as_ref().to_vec(),
            status,
            revision,
        };
        self.commit(&mut state, key, object);
        Instant::now()
    }

    /// Removes an object; returns the time of the acknowledgement.
    pub fn delete(&self, kind: &str, name: &str) -> Instant {
        let mut state = self.state();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = state.objects.remove(&key) {
            state.revision += 1;
            let revision = state.revision;
            let event = join(&[br#"{"deleted":true,"object":"#, &encode(name, &object), b"}"]);
            state.events.push((revision, kind.to_owned(), event));
            self.shared.1.notify_all();
        }
        Instant::now()
    }

    /// Returns the status of an object as text.
    pub fn status(&self, kind: &str, name: &str) -> String {
        let state = self.state();
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
        object.map_or(String::new(), |object| {
            String::from_utf8_lossy(&object.status).into_owned()
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no thread panics with the state")
    }

    fn commit(&self, state: &mut State, key: (String, String), object: Object) {
        state.revision = object.revision;
        let event = join(&[br#"{"deleted":false,"object":"#, &encode(&key.1, &object), b"}"]);
        state.events.push((object.revision, key.0.clone(), event));
        state.objects.insert(key, object);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            thread::sleep(ANSWER_TIME);
            let (status, body) = if self.is_up() {
                self.answer(&request)
            } else {
                (503, Vec::new())
            };
            if http::write_response(&mut writer, status, &[("content-type", "application/json")], &body).is_err() {
                return;
            }
        }
    }

    fn is_up(&self) -> bool {
        self.mode.load(Ordering::SeqCst) == Mode::Up as u8
    }

    fn answer(&self, request: &Request) -> (u16, Vec<u8>) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let Some(path) = path.strip_prefix("/hawthornpost/objects/") else {
            return (404, Vec::new());
        };
        match (request.method.as_str(), path.split_once('/')) {
            ("GET", None) => self.list_or_watch(path, query),
            ("GET", Some((kind, name))) => {
                let object = self.state().objects.get(&(kind.to_owned(), name.to_owned())).cloned();
                object.map_or((404, Vec::new()), |object| (200, encode(name, &object)))
            }
            ("PUT", Some((kind, name))) => self.replace(kind, name, &request.body),
            _ => (405, Vec::new()),
        }
    }

    /// Replaces the status of an object whose revision the caller knows.
    fn replace(&self, kind: &str, name: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let Some(name) = name.strip_suffix("/status") else {
            return (405, Vec::new());
        };
        let text = String::from_utf8_lossy(body);
        let base = member(&text, "metadata").and_then(|metadata| member(metadata, "revision")?.parse::<u64>().ok());
        let mut state = self.state();
        let key = (kind.to_owned(), name.to_owned());
        let Some(mut object) = state.objects.get(&key).cloned() else {
            return (404, Vec::new());
        };
        if base.is_some_and(|base| base != object.revision) {
            return (409, encode(name, &object));
        }
        object.status = member(&text, "status").unwrap_or("null").as_bytes().to_vec();
        object.revision = state.revision + 1;
        self.commit(&mut state, key, object.clone());
        (200, encode(name, &object))
    }

    fn list_or_watch(&self, kind: &str, query: &str) -> (u16, Vec<u8>) {
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let number = |name: &str| parameter(name).and_then(|value| value.parse::<u64>().ok());
        match number("watch") {
            Some(since) => self.watch(kind, since, Duration::from_millis(number("wait-ms").unwrap_or(0))),
            None => self.list(kind, &parameter("after").unwrap_or_default()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, Vec<u8>) {
        let state = self.state();
        let of_kind = state
            .objects
            .iter()
            .filter(|((other, name), _)| other == kind && name.as_str() > after);
        let mut items = of_kind
            .map(|((_, name), object)| encode(name, object))
            .collect::<Vec<_>>();
        let has_more = items.len() > PAGE_OBJECTS;
        items.truncate(PAGE_OBJECTS);
        let end = format!(r#"],"has-more":{has_more},"store-revision":{}}}"#, state.revision);
        (200, join(&[br#"{"items":["#, &items.join(&b','), end.as_bytes()]))
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, Vec<u8>) {
        let deadline = Instant::now() + wait;
        let mut state = self.state();
        loop {
            if !self.is_up() {
                return (503, Vec::new());
            }
            let later = state
                .events
                .iter()
                .filter(|(revision, other, _)| *revision > since && other == kind);
            let events = later.map(|(_, _, event)| event.clone()).collect::<Vec<_>>();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() {
                let end = format!(r#"],"store-revision":{}}}"#, state.revision);
                return (200, join(&[br#"{"events":["#, &events.join(&b','), end.as_bytes()]));
            }
            state = self
                .shared
                .1
                .wait_timeout(state, remaining)
                .expect("no thread panics with the state")
                .0;
        }
    }
}

fn encode(name: &str, object: &Object) -> Vec<u8> {
    let head = format!(
        r#"{{"metadata":{{"name":"{name}","revision":{}}},"spec":"#,
        object.revision
    );
    join(&[head.as_bytes(), &object.spec, br#","status":"#, &object.status, b"}"])
}

fn join(parts: &[&[u8]]) -> Vec<u8> {
    parts.concat()
}

/// Returns the JSON text of a member of an object. Names inside of other members are passed over.
pub fn member<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let (mut depth, mut in_string, mut start) = (0, false, None);
    let bytes = object.as_bytes();
    let key = format!("\"{name}\":");
    for (at, byte) in bytes.iter().enumerate() {
        if in_string {
            in_string = !(*byte == b'"' && bytes[at - 1] != b'\\');
            continue;
        }
        match byte {
            b'"' if depth == 1 && start.is_none() && object[at..].starts_with(&key) => {
                start = Some(at + key.len());
                in_string = true;
            }
            b'"' => in_string = true,
            b'{' | b'[' => depth += 1,
            b',' if depth == 1 && start.is_some_and(|start| start < at) => return Some(object[start?..at].trim()),
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return Some(object[start?..at].trim());
                }
            }
            _ => {}
        }
    }
    None
}
