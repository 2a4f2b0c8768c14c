//! A plain service.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hawthornpost_core::wire::REQUEST_HEADER;
use hyper::header::HeaderValue;
use hyper::{Method, StatusCode};
use serde::Serialize;
use serde_json::{Value, json};

use crate::fault::{Commands, End, Gate};
use crate::http::{self, Answer, Call};
use crate::server::{self, App, Handle, Inspect};

const KEY_HEADER: &str = "idempotency-key";
/// Carries the claim id by which a status lookup finds the action.
pub const CLAIM_HEADER: &str = "hawthornpost-claim";

/// The settings of a service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the service.
    pub service: String,
    /// The version that the service reports.
    pub version: String,
    /// The time of a call; the effect of an action happens in its middle.
    pub latency: Duration,
    /// Whether `GET /actions/{claim}` answers.
    pub status_lookup: bool,
    /// The calls that fit into memory; the service dies when it holds more.
    pub capacity: usize,
    /// The seed of the faults.
    pub seed: u64,
}

/// How often an action ran.
#[derive(Clone, Debug, Serialize)]
struct Action {
    path: String,
    key: String,
    claim: String,
    runs: u64,
}

#[derive(Default)]
struct State {
    actions: BTreeMap<(String, String, String), Action>,
    /// Claims whose call arrived but did not take effect yet.
    arrived: BTreeMap<String, usize>,
    running: usize,
    sequence: u64,
    lookups: u64,
    last: Option<(HeaderValue, Value)>,
}

struct Service {
    settings: Settings,
    gate: Arc<Gate>,
    state: Mutex<State>,
}

/// Counts a call while it runs.
struct Running<'a> {
    service: &'a Service,
}

/// Starts a service.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn start(address: SocketAddr, settings: Settings) -> io::Result<Handle> {
    let gate = Arc::new(Gate::new(settings.seed));
    let service = Arc::new(Service {
        settings,
        gate: Arc::clone(&gate),
        state: Mutex::default(),
    });
    server::start(address, &service, &gate)
}

impl Settings {
    /// Returns settings with quick defaults.
    pub fn new(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            version: "v1".to_owned(),
            latency: Duration::from_millis(10),
            status_lookup: false,
            capacity: 10_000,
            seed: 0,
        }
    }
}

impl App for Service {
    fn start(self: Arc<Self>) {
        // Calls of the process that died have no effect any more.
        let mut state = self.state();
        state.running = 0;
        state.arrived.clear();
    }

    async fn call(self: Arc<Self>, call: Call) -> Answer {
        let path = call.uri().path().to_owned();
        match (call.method(), path.as_str()) {
            (&Method::GET, "/v1/load") => self.load(),
            (&Method::GET, "/healthz") => http::json(StatusCode::OK, &json!({ "healthy": true })),
            (&Method::GET, path) => match path.strip_prefix("/actions/") {
                Some(claim) if self.settings.status_lookup => self.status(claim),
                _ => self.lookup(&call).await,
            },
            (&Method::POST, _) => self.act(&call).await,
            _ => http::problem(StatusCode::METHOD_NOT_ALLOWED, "use GET or POST"),
        }
    }
}

impl Inspect for Service {
    fn inspect(&self, path: &str) -> Option<Value> {
        let state = self.state();
        let actions = state.actions.values().collect::<Vec<_>>();
        match path {
            "actions" => Some(json!(actions)),
            "stats" => Some(json!({
                "actions": actions.len(),
                "runs": actions.iter().map(|action| action.runs).sum::<u64>(),
                "most_runs": actions.iter().map(|action| action.runs).max(),
                "lookups": state.lookups,
                "running": state.running,
            })),
            _ => None,
        }
    }

    fn command(&self, _commands: Commands) {}
}

impl Service {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn load(&self) -> Answer {
        let mut state = self.state();
        state.sequence += 1;
        let load = json!({
            "service": self.settings.service,
            "version": self.settings.version,
            "running": state.running,
            "waiting": 0,
            "capacity": self.settings.capacity,
            "sequence": state.sequence,
        });
        http::json(StatusCode::OK, &load)
    }

    fn status(&self, claim: &str) -> Answer {
        let state = self.state();
        let is_done = state.actions.values().any(|action| action.claim == claim);
        let is_running = state.arrived.contains_key(claim);
        let word = match (is_done, is_running) {
            (true, _) => "done",
            (false, true) => "unknown",
            (false, false) => "never",
        };
        http::json(StatusCode::OK, &json!({ "state": word }))
    }

    async fn lookup(&self, call: &Call) -> Answer {
        let _running = self.enter();
        self.work().await;
        self.work().await;
        self.state().lookups += 1;
        let result = json!({ "path": call.uri().path(), "query": call.uri().query(), "state": "known" });
        self.answer(call, result)
    }

    async fn act(&self, call: &Call) -> Answer {
        let _running = self.enter();
        let request = http::header(call, REQUEST_HEADER).unwrap_or_default();
        let claim = http::header(call, CLAIM_HEADER).unwrap_or(request).to_owned();
        *self.state().arrived.entry(claim.clone()).or_default() += 1;
        self.work().await;
        let result = self.take_effect(call, claim);
        self.work().await;
        self.answer(call, result)
    }

    fn take_effect(&self, call: &Call, claim: String) -> Value {
        let path = call.uri().path().to_owned();
        let key = http::header(call, KEY_HEADER).unwrap_or_default().to_owned();
        let mut state = self.state();
        state.arrived.remove(&claim);
        let number = state.actions.len() + 1;
        let action = state
            .actions
            .entry((path.clone(), key.clone(), claim.clone()))
            .or_insert(Action {
                path,
                key,
                claim,
                runs: 0,
            });
        action.runs += 1;
        let body = String::from_utf8_lossy(call.body());
        json!({ "number": number, "runs": action.runs, "path": action.path, "body": body })
    }

    async fn work(&self) {
        let running = self.state().running;
        tokio::time::sleep(self.gate.slowed(self.settings.latency / 2, running)).await;
        self.gate.thawed().await;
    }

    fn enter(&self) -> Running<'_> {
        let mut state = self.state();
        state.running += 1;
        if state.running > self.settings.capacity {
            let restart = self.gate.current().restart_ms.map(Duration::from_millis);
            self.gate.end(End::Died(restart));
        }
        Running { service: self }
    }

    /// Answers with the id of the request, or as the faults say with an earlier answer.
    fn answer(&self, call: &Call, result: Value) -> Answer {
        let (method, path) = (call.method().as_str(), call.uri().path());
        let id = call.headers().get(REQUEST_HEADER).cloned();
        let mut sent = (id.unwrap_or_else(|| HeaderValue::from_static("none")), result);
        let own = sent.clone();
        let mut state = self.state();
        if let Some(last) = &state.last {
            if self.gate.hits(|faults| &mut faults.duplicate, method, path) {
                sent = last.clone();
            } else if self.gate.hits(|faults| &mut faults.cross, method, path) {
                sent.0 = last.0.clone();
            }
        }
        state.last = Some(own);
        let mut answer = http::json(StatusCode::OK, &sent.1);
        answer.headers_mut().insert(REQUEST_HEADER, sent.0);
        answer
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut state = self.service.state();
        state.running = state.running.saturating_sub(1);
    }
}
