//! The platform's metadata store: objects by kind and name with revisions, watches and conditional writes of a status.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use super::Record;
use super::http::{self, Request};

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
    status: String,
}

#[derive(Default)]
struct State {
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind and JSON text of each change.
    history: Vec<(u64, String, String)>,
    revision: u64,
    /// Whether the store is silent: calls wait until it is back.
    is_silent: bool,
    /// When calls for changes of the configuration arrived.
    config_watches: Vec<Duration>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Arc<Record>,
}

impl Store {
    pub fn start(address: SocketAddr, record: &Arc<Record>) -> io::Result<Self> {
        let store = Self {
            state: Arc::default(),
            record: Arc::clone(record),
        };
        let shared = store.clone();
        http::serve(address, move |request, stream| shared.handle(request, stream))?;
        Ok(store)
    }

    /// Creates an object or replaces its spec; the status stays.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let status = state
            .objects
            .get(&key)
            .map_or("null".to_owned(), |object| object.status.clone());
        let spec = spec.to_owned();
        self.replace(&mut state, key, spec, status);
    }

    /// Returns the status of an object as JSON.
    pub fn status(&self, kind: &str, name: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
        object.map_or("null".to_owned(), |object| object.status.clone())
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.state.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = state.objects.remove(&key) {
            state.revision += 1;
            let event = format!(r#"{{"object":{},"deleted":true}}"#, text(name, &object));
            let revision = state.revision;
            state.history.push((revision, key.0, event));
            self.state.1.notify_all();
        }
    }

    /// Leaves all calls without an answer, or answers again, also those that came meanwhile.
    pub fn set_silent(&self, is_silent: bool) {
        self.state.0.lock().unwrap().is_silent = is_silent;
        self.state.1.notify_all();
    }

    /// Returns when calls for changes of the configuration arrived since a time.
    pub fn config_watches(&self, since: Duration) -> Vec<Duration> {
        let state = self.state.0.lock().unwrap();
        state.config_watches.iter().copied().filter(|at| *at >= since).collect()
    }

    fn wait_while_silent(&self) {
        let state = self.state.0.lock().unwrap();
        let _state = self.state.1.wait_while(state, |state| state.is_silent).unwrap();
    }

    fn replace(&self, state: &mut State, key: (String, String), spec: String, status: String) -> Object {
        if let Some(known) = state.objects.get(&key)
            && known.spec == spec
            && known.status == status
        {
            return known.clone();
        }
        state.revision += 1;
        let object = Object {
            revision: state.revision,
            spec,
            status,
        };
        let event = format!(r#"{{"object":{},"deleted":false}}"#, text(&key.1, &object));
        state.history.push((object.revision, key.0.clone(), event));
        state.objects.insert(key, object.clone());
        self.state.1.notify_all();
        object
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        self.wait_while_silent();
        let Some(path) = request.path.strip_prefix("/hawthornpost/objects/") else {
            return json(stream, 404, "{}");
        };
        if request.method == "PUT" {
            return self.put_status(path, request, stream);
        }
        if request.method != "GET" {
            return json(stream, 400, "{}");
        }
        match request.parameter("watch").and_then(|since| since.parse().ok()) {
            Some(since) => {
                let wait = request
                    .parameter("wait-ms")
                    .and_then(|wait| wait.parse().ok())
                    .unwrap_or(0);
                if path == "config" {
                    let at = self.record.now();
                    self.state.0.lock().unwrap().config_watches.push(at);
                }
                let events = self.watch(path, since, Duration::from_millis(wait));
                self.wait_while_silent();
                json(stream, 200, &events)
            }
            None => json(stream, 200, &self.list(path)),
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let items = state.objects.iter().filter(|((other, _), _)| other == kind);
        let items = items
            .map(|((_, name), object)| text(name, object))
            .collect::<Vec<_>>()
            .join(",");
        format!(
            r#"{{"items":[{items}],"has-more":false,"store-revision":{}}}"#,
            state.revision
        )
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> String {
        let deadline = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let events = state
                .history
                .iter()
                .filter(|(revision, other, _)| *revision > since && other == kind);
            let events = events.map(|(_, _, event)| event.as_str()).collect::<Vec<_>>();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return format!(r#"{{"events":[{events}],"store-revision":{}}}"#, state.revision);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Replaces a status if the call carries the current revision of the object, or none.
    fn put_status(&self, path: &str, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let Some((kind, name)) = path.strip_suffix("/status").and_then(|path| path.split_once('/')) else {
            return json(stream, 404, "{}");
        };
        let body = String::from_utf8_lossy(&request.body);
        let revision = after(&body, r#""revision":"#).map(|rest| {
            rest.chars()
                .take_while(char::is_ascii_digit)
                .collect::<String>()
                .parse::<u64>()
                .unwrap_or(0)
        });
        let status = after(&body, r#""status":"#).map(|rest| object_at(rest).to_owned());
        let key = (kind.to_owned(), name.to_owned());
        let mut state = self.state.0.lock().unwrap();
        let Some(known) = state.objects.get(&key).cloned() else {
            return json(stream, 404, "{}");
        };
        if revision.is_some_and(|revision| revision != known.revision) {
            let body = text(name, &known);
            drop(state);
            return json(stream, 409, &body);
        }
        let status = status.unwrap_or("null".to_owned());
        self.record.line(&format!(
            "store: status of {kind}/{name} from {} to {status}",
            known.status
        ));
        let object = self.replace(&mut state, key, known.spec, status);
        drop(state);
        json(stream, 200, &text(name, &object))
    }
}

fn text(name: &str, object: &Object) -> String {
    let Object { revision, spec, status } = object;
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{revision},"created":{revision},"finalizers":[],"deleting":false}},"spec":{spec},"status":{status}}}"#
    )
}

fn json(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    http::respond(stream, status, &[("Content-Type", "application/json")], body.as_bytes())
}

fn after<'a>(text: &'a str, mark: &str) -> Option<&'a str> {
    text.find(mark).map(|at| &text[at + mark.len()..])
}

/// Returns the JSON object with which a text begins. Its strings hold no braces here.
fn object_at(text: &str) -> &str {
    let mut depth = 0;
    for (at, byte) in text.bytes().enumerate() {
        match byte {
            b'{' => depth += 1,
            b'}' => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return &text[..=at];
        }
    }
    text
}
