//! A stand-in for a plain service.

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

use crate::fault::{Commands, Exit, Injector};
use crate::http::{self, Call, Reply};
use crate::server::{self, App, Handle, Inspect};

const KEY_HEADER: &str = "idempotency-key";
/// The header with the claim id, by which a status lookup finds the action.
pub const CLAIM_HEADER: &str = "hawthornpost-claim";

/// The settings of a service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the service.
    pub service: String,
    /// The version that the service reports.
    pub version: String,
    /// The processing time of a call; an action takes effect halfway through.
    pub latency: Duration,
    /// Whether `GET /actions/{claim}` is supported.
    pub status_lookup: bool,
    /// The number of concurrent calls that fit into memory; the service crashes when there are more.
    pub capacity: usize,
    /// The random seed for faults.
    pub seed: u64,
}

/// An action and the number of its runs.
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
    /// The number of calls by claim that were received but have not taken effect yet.
    pending: BTreeMap<String, usize>,
    running: usize,
    sequence: u64,
    lookups: u64,
    last_response: Option<(HeaderValue, Value)>,
}

struct Service {
    settings: Settings,
    injector: Arc<Injector>,
    state: Mutex<State>,
}

/// Counts a call as running until it is dropped.
struct Guard<'a> {
    service: &'a Service,
}

/// Starts a service.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn start(address: SocketAddr, settings: Settings) -> io::Result<Handle> {
    let injector = Arc::new(Injector::new(settings.seed));
    let service = Arc::new(Service {
        settings,
        injector: Arc::clone(&injector),
        state: Mutex::default(),
    });
    server::start(address, &service, &injector)
}

impl Settings {
    /// Returns settings with defaults for fast tests.
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
        // Calls of a crashed process never take effect.
        let mut state = self.state();
        state.running = 0;
        state.pending.clear();
    }

    async fn call(self: Arc<Self>, call: Call) -> Reply {
        let path = call.uri().path().to_owned();
        match (call.method(), path.as_str()) {
            (&Method::GET, "/v1/load") => self.load(),
            (&Method::GET, "/healthz") => http::json(StatusCode::OK, &json!({ "healthy": true })),
            (&Method::GET, path) => match path.strip_prefix("/actions/") {
                Some(claim) if self.settings.status_lookup => self.action_status(claim),
                _ => self.lookup(&call).await,
            },
            (&Method::POST, _) => self.run_action(&call).await,
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

    fn load(&self) -> Reply {
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

    fn action_status(&self, claim: &str) -> Reply {
        let state = self.state();
        let is_done = state.actions.values().any(|action| action.claim == claim);
        let is_running = state.pending.contains_key(claim);
        let status = match (is_done, is_running) {
            (true, _) => "done",
            (false, true) => "unknown",
            (false, false) => "never",
        };
        http::json(StatusCode::OK, &json!({ "state": status }))
    }

    async fn lookup(&self, call: &Call) -> Reply {
        let _running = self.start_call();
        self.simulate_work().await;
        self.simulate_work().await;
        self.state().lookups += 1;
        let result = json!({ "path": call.uri().path(), "query": call.uri().query(), "state": "known" });
        self.respond(call, result)
    }

    async fn run_action(&self, call: &Call) -> Reply {
        let _running = self.start_call();
        let request = http::header(call, REQUEST_HEADER).unwrap_or_default();
        let claim = http::header(call, CLAIM_HEADER).unwrap_or(request).to_owned();
        *self.state().pending.entry(claim.clone()).or_default() += 1;
        self.simulate_work().await;
        let result = self.record_run(call, claim);
        self.simulate_work().await;
        self.respond(call, result)
    }

    fn record_run(&self, call: &Call, claim: String) -> Value {
        let path = call.uri().path().to_owned();
        let key = http::header(call, KEY_HEADER).unwrap_or_default().to_owned();
        let mut state = self.state();
        state.pending.remove(&claim);
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

    async fn simulate_work(&self) {
        let running = self.state().running;
        tokio::time::sleep(self.injector.scaled_delay(self.settings.latency / 2, running)).await;
        self.injector.wait_while_frozen().await;
    }

    fn start_call(&self) -> Guard<'_> {
        let mut state = self.state();
        state.running += 1;
        if state.running > self.settings.capacity {
            let restart = self.injector.current().restart_ms.map(Duration::from_millis);
            self.injector.exit(Exit::Crashed(restart));
        }
        Guard { service: self }
    }

    /// Builds the response with the id of the request. The faults `duplicate` and `cross` replace it by the previous
    /// response or its id.
    fn respond(&self, call: &Call, result: Value) -> Reply {
        let (method, path) = (call.method().as_str(), call.uri().path());
        let id = call.headers().get(REQUEST_HEADER).cloned();
        let mut sent = (id.unwrap_or_else(|| HeaderValue::from_static("none")), result);
        let own = sent.clone();
        let mut state = self.state();
        if let Some(last) = &state.last_response {
            if self.injector.triggers(|faults| &mut faults.duplicate, method, path) {
                sent = last.clone();
            } else if self.injector.triggers(|faults| &mut faults.cross, method, path) {
                sent.0 = last.0.clone();
            }
        }
        state.last_response = Some(own);
        let mut response = http::json(StatusCode::OK, &sent.1);
        response.headers_mut().insert(REQUEST_HEADER, sent.0);
        response
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        let mut state = self.service.state();
        state.running = state.running.saturating_sub(1);
    }
}
