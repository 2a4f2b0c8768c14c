//! A stand-in for the platform's object API.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::fault::{Commands, Injector};
use crate::http::{self, Call, Reply};
use crate::platform_store::{Change, Rejection, Store};
use crate::server::{self, App, Handle, Inspect};

const PREFIX: &str = "/apis/hawthornpost.dev/v1/";
/// Clients expect a bookmark at least every second as a keep-alive; half of it tolerates scheduling delays on a busy
/// machine.
const BOOKMARK_INTERVAL: Duration = Duration::from_millis(500);

/// The settings of a platform.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Objects to create at the start, each with an additional field `plural`.
    pub objects: Vec<Value>,
    /// The processing time of a call.
    pub latency: Duration,
    /// The random seed for faults.
    pub seed: u64,
}

struct Platform {
    injector: Arc<Injector>,
    store: Mutex<Store>,
    calls: Mutex<BTreeMap<String, u64>>,
    changed: watch::Sender<u64>,
    latency: Duration,
}

struct Watcher {
    platform: Arc<Platform>,
    plural: String,
    after: u64,
    restores: u64,
    changed: watch::Receiver<u64>,
    ready: VecDeque<Bytes>,
    ended: bool,
}

/// Starts a platform.
///
/// # Errors
///
/// Fails when the address cannot be bound or an object of the settings is malformed.
pub fn start(address: SocketAddr, settings: Settings) -> io::Result<Handle> {
    let mut store = Store::default();
    for mut object in settings.objects {
        let plural = object.as_object_mut().and_then(|fields| fields.remove("plural"));
        let plural = plural.as_ref().and_then(Value::as_str).unwrap_or_default();
        store
            .create(plural, object)
            .map_err(|rejection| io::Error::other(format!("object of plural `{plural}`: {rejection:?}")))?;
    }
    let injector = Arc::new(Injector::new(settings.seed));
    let platform = Arc::new(Platform {
        injector: Arc::clone(&injector),
        store: Mutex::new(store),
        calls: Mutex::default(),
        changed: watch::Sender::new(0),
        latency: settings.latency,
    });
    server::start(address, &platform, &injector)
}

impl App for Platform {
    fn start(self: Arc<Self>) {}

    async fn call(self: Arc<Self>, call: Call) -> Reply {
        let time = self.injector.scaled_delay(self.latency, usize::MAX);
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
        let Some(path) = call.uri().path().strip_prefix(PREFIX) else {
            return reject(Rejection::NotFound);
        };
        let (plural, name) = path.split_once('/').unwrap_or((path, ""));
        let query = http::query(&call);
        if query.get("watch").is_some_and(|value| value != "0" && value != "false") {
            self.count("watch", plural);
            return self.watch(plural, query.get("resourceVersion").map(String::as_str));
        }
        match (call.method(), name) {
            (&Method::GET, "") => self.list(plural),
            (&Method::GET, name) => {
                self.count("get", plural);
                respond(StatusCode::OK, self.store().get(plural, name))
            }
            (&Method::POST, "") => self.write("create", plural, &call, |store, object| store.create(plural, object)),
            (&Method::PUT, name) if !name.is_empty() => self.write("update", plural, &call, |store, object| {
                store.update(plural, name, object)
            }),
            (&Method::DELETE, name) if !name.is_empty() => self.delete(plural, name, call.body()),
            _ => status(StatusCode::METHOD_NOT_ALLOWED, "MethodNotAllowed"),
        }
    }
}

impl Inspect for Platform {
    fn inspect(&self, path: &str) -> Option<Value> {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        (path == "stats").then(|| json!({ "calls": &*calls, "resourceVersion": self.store().version() }))
    }

    fn command(&self, commands: Commands) {
        if commands.snapshot {
            self.store().take_snapshot();
        }
        if commands.restore {
            self.store().restore();
            self.notify_watchers();
        }
    }
}

impl Platform {
    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, verb: &str, plural: &str) {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        for key in [verb.to_owned(), format!("{verb} {plural}")] {
            *calls.entry(key).or_default() += 1;
        }
    }

    fn notify_watchers(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn list(&self, plural: &str) -> Reply {
        self.count("list", plural);
        let store = self.store();
        let list = json!({
            "apiVersion": "hawthornpost.dev/v1",
            "kind": "List",
            "metadata": { "resourceVersion": store.version().to_string() },
            "items": store.list(plural).iter().map(AsRef::as_ref).collect::<Vec<&Value>>(),
        });
        http::json(StatusCode::OK, &list)
    }

    fn write(
        &self,
        verb: &str,
        plural: &str,
        call: &Call,
        apply: impl FnOnce(&mut Store, Value) -> Result<Arc<Value>, Rejection>,
    ) -> Reply {
        self.count(verb, plural);
        let Ok(object) = serde_json::from_slice::<Value>(call.body()) else {
            return reject(Rejection::Invalid);
        };
        if !object.get("metadata").is_some_and(Value::is_object) {
            return reject(Rejection::Invalid);
        }
        let result = apply(&mut self.store(), object);
        if result.is_err() {
            self.count("refused", plural);
        }
        self.notify_watchers();
        let success = if verb == "create" {
            StatusCode::CREATED
        } else {
            StatusCode::OK
        };
        respond(success, result)
    }

    fn delete(&self, plural: &str, name: &str, body: &[u8]) -> Reply {
        self.count("delete", plural);
        let options = serde_json::from_slice::<Value>(body).unwrap_or_default();
        let condition = options
            .pointer("/preconditions/resourceVersion")
            .and_then(Value::as_str);
        let result = self.store().delete(plural, name, condition);
        self.notify_watchers();
        respond(StatusCode::OK, result)
    }

    fn watch(self: Arc<Self>, plural: &str, after: Option<&str>) -> Reply {
        let after = after.filter(|version| *version != "0").map(str::parse::<u64>);
        let mut watcher = Watcher {
            changed: self.changed.subscribe(),
            restores: self.store().restores,
            platform: Arc::clone(&self),
            plural: plural.to_owned(),
            after: 0,
            ready: VecDeque::new(),
            ended: false,
        };
        match after {
            Some(Err(_)) => return status(StatusCode::BAD_REQUEST, "BadRequest"),
            Some(Ok(version)) if self.store().changes(plural, version).is_err() => return reject(Rejection::Expired),
            Some(Ok(version)) => watcher.after = version,
            None => watcher.queue_existing(),
        }
        let chunks = futures_util::stream::unfold(watcher, |mut watcher| async {
            let chunk = watcher.next().await?;
            Some((chunk, watcher))
        });
        http::stream("application/json", chunks)
    }
}

impl Watcher {
    /// Queues the existing objects as the first events.
    fn queue_existing(&mut self) {
        let store = self.platform.store();
        self.after = store.version();
        let existing = store.list(&self.plural);
        self.ready = existing.iter().map(|object| encode_event("ADDED", object)).collect();
    }

    async fn next(&mut self) -> Option<Bytes> {
        loop {
            self.platform.injector.wait_while_frozen().await;
            if let Some(chunk) = self.ready.pop_front() {
                return Some(chunk);
            }
            if self.ended || self.platform.injector.current().outage {
                return None;
            }
            self.changed.mark_unchanged();
            self.read_changes();
            if !self.ready.is_empty() || self.ended {
                continue;
            }
            if tokio::time::timeout(BOOKMARK_INTERVAL, self.changed.changed())
                .await
                .is_err()
            {
                let bookmark = json!({ "metadata": { "resourceVersion": self.after.to_string() } });
                self.ready.push_back(encode_event("BOOKMARK", &bookmark));
            }
        }
    }

    fn read_changes(&mut self) {
        let platform = Arc::clone(&self.platform);
        let store = platform.store();
        if store.restores != self.restores {
            self.ended = true;
            return;
        }
        match store.changes(&self.plural, self.after) {
            Ok(changes) => {
                self.after = store.version();
                for change in &changes {
                    self.queue(change);
                }
            }
            Err(rejection) => {
                self.ready
                    .push_back(encode_event("ERROR", &rejection_status(rejection).1));
                self.ended = true;
            }
        }
    }

    fn queue(&mut self, change: &Change) {
        let chunk = encode_event(change.kind, &change.object);
        let injector = &self.platform.injector;
        if injector.triggers(|faults| &mut faults.duplicate, "WATCH", &self.plural) {
            self.ready.push_back(chunk.clone());
        }
        self.ready.push_back(chunk);
    }
}

fn encode_event(kind: &str, object: &Value) -> Bytes {
    Bytes::from(format!("{}\n", json!({ "type": kind, "object": object })))
}

fn respond(success: StatusCode, result: Result<Arc<Value>, Rejection>) -> Reply {
    match result {
        Ok(object) => http::json(success, &*object),
        Err(rejection) => reject(rejection),
    }
}

fn reject(rejection: Rejection) -> Reply {
    let (code, body) = rejection_status(rejection);
    http::json(code, &body)
}

fn rejection_status(rejection: Rejection) -> (StatusCode, Value) {
    let (code, reason) = match rejection {
        Rejection::NotFound => (StatusCode::NOT_FOUND, "NotFound"),
        Rejection::AlreadyExists => (StatusCode::CONFLICT, "AlreadyExists"),
        Rejection::Conflict => (StatusCode::CONFLICT, "Conflict"),
        Rejection::Invalid => (StatusCode::UNPROCESSABLE_ENTITY, "Invalid"),
        Rejection::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "RequestEntityTooLarge"),
        Rejection::Expired => (StatusCode::GONE, "Expired"),
    };
    (code, status_body(code, reason))
}

fn status(code: StatusCode, reason: &str) -> Reply {
    http::json(code, &status_body(code, reason))
}

fn status_body(code: StatusCode, reason: &str) -> Value {
    json!({
        "apiVersion": "v1",
        "kind": "Status",
        "status": "Failure",
        "reason": reason,
        "code": code.as_u16(),
        "message": format!("the platform refused the call: {reason}"),
    })
}
