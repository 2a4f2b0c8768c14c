//! The HTTP API of an engine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hawthornpost_core::id::{Attempt, Model, Request, Version};
use hawthornpost_core::wire::Generate;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::engine::{Engine, Rejection, State};
use crate::engine_stream::Reader;
use crate::fault::Commands;
use crate::http::{self, Call, Reply};
use crate::server::{App, Inspect};

/// An order that changes what an engine serves.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Order {
    #[serde(rename = "order_id")]
    id: String,
    fencing: u64,
    kind: Kind,
    #[serde(default)]
    model: Option<Model>,
    #[serde(default)]
    version: Option<Version>,
    #[serde(default)]
    adapter: Option<String>,
    #[serde(default)]
    role: Option<String>,
    expires_in_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Load,
    Unload,
    Role,
}

impl App for Engine {
    fn start(self: Arc<Self>) {
        self.reset();
        self.state().cache.clear(Instant::now());
        tokio::spawn(self.publish_load());
    }

    async fn call(self: Arc<Self>, call: Call) -> Reply {
        let path = call.uri().path().to_owned();
        let query = http::query(&call);
        match (call.method(), path.as_str()) {
            (&Method::POST, "/v1/completions") => self.start_completion(call.body()),
            (&Method::GET, "/v1/load") => match self.state().published_load() {
                Some(load) => http::json(StatusCode::OK, load),
                None => http::problem(StatusCode::SERVICE_UNAVAILABLE, "no report yet"),
            },
            (&Method::GET, "/v1/cache-events") => self.cache_events(&query),
            (&Method::POST, "/v1/orders") => self.order(call.body()).await,
            (&Method::GET, "/healthz") => http::json(StatusCode::OK, &json!({ "healthy": true })),
            (method, path) => match path.strip_prefix("/v1/completions/") {
                Some(id) => self.running_completion(method, id, &query),
                None => http::problem(StatusCode::NOT_FOUND, "no such path"),
            },
        }
    }
}

impl Inspect for Engine {
    fn inspect(&self, path: &str) -> Option<Value> {
        match path {
            "stats" => Some(self.stats()),
            "orders" => Some(Value::Array(self.state().orders.clone())),
            _ => None,
        }
    }

    fn command(&self, _commands: Commands) {}
}

impl Engine {
    fn start_completion(self: &Arc<Self>, body: &[u8]) -> Reply {
        let body = match serde_json::from_slice::<Generate>(body) {
            Ok(body) => body,
            Err(error) => return http::problem(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let next = u32::try_from(body.resume_tokens.len()).unwrap_or(u32::MAX);
        let started = self.generate(&body);
        self.stream(body.request_id, body.attempt, next, started)
    }

    fn running_completion(self: &Arc<Self>, method: &Method, id: &str, query: &BTreeMap<String, String>) -> Reply {
        let number = |key: &str| query.get(key).and_then(|value| value.parse::<u64>().ok());
        let (Ok(request), Some(attempt)) = (id.parse::<Request>(), number("attempt")) else {
            return http::problem(
                StatusCode::BAD_REQUEST,
                "the request id or the attempt is missing or malformed",
            );
        };
        let attempt = Attempt::from(attempt);
        if method == Method::DELETE {
            return match self.cancel(request, attempt) {
                Ok(()) => http::json(StatusCode::OK, &json!({ "cancelled": true })),
                Err(rejection) => rejection_response(rejection),
            };
        }
        let from = u32::try_from(number("from").unwrap_or_default()).unwrap_or(u32::MAX);
        let attached = self.attach(request, attempt, from);
        self.stream(request, attempt, from, attached)
    }

    fn stream(
        self: &Arc<Self>,
        request: Request,
        attempt: Attempt,
        next: u32,
        started: Result<u64, Rejection>,
    ) -> Reply {
        let reader = started.map(|serial| Reader::new(self, request, serial, attempt, next));
        let reader = match reader {
            Ok(Some(reader)) => reader,
            Ok(None) => return rejection_response(Rejection::NotRunning),
            Err(rejection) => return rejection_response(rejection),
        };
        let events = futures_util::stream::unfold(reader, |mut reader| async {
            let event = reader.next().await?;
            Some((event, reader))
        });
        http::stream("text/event-stream", events)
    }

    fn cache_events(&self, query: &BTreeMap<String, String>) -> Reply {
        let from = query.get("from").and_then(|from| from.parse().ok()).unwrap_or_default();
        let events = self.state().cache.events(from, Instant::now(), self.settings.cache_lag);
        let lines = events.into_iter().map(|event| Bytes::from(format!("{event}\n")));
        http::stream(
            "application/x-ndjson",
            futures_util::stream::iter(lines.collect::<Vec<_>>()),
        )
    }

    async fn order(&self, body: &[u8]) -> Reply {
        let order = match serde_json::from_slice::<Order>(body) {
            Ok(order) => order,
            Err(error) => return http::problem(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        if !self.record_order(&order) {
            return http::problem(
                StatusCode::CONFLICT,
                "the fencing number is older than one that was seen",
            );
        }
        tokio::time::sleep(self.settings.order_time).await;
        if self.settings.order_time > Duration::from_millis(order.expires_in_ms) {
            return http::problem(
                StatusCode::REQUEST_TIMEOUT,
                "the order expired before it was carried out",
            );
        }
        self.state().apply(&order);
        http::json(StatusCode::OK, &json!({ "order_id": order.id, "done": true }))
    }

    fn record_order(&self, order: &Order) -> bool {
        let mut state = self.state();
        let is_old = order.fencing < state.fencing;
        let is_accepted = !(is_old && self.settings.checks_fencing);
        state.fencing = state.fencing.max(order.fencing);
        state.counters.refused_orders += u64::from(!is_accepted);
        let mut entry = json!(order);
        entry["accepted"] = json!(is_accepted);
        entry["old"] = json!(is_old);
        state.orders.push(entry);
        is_accepted
    }
}

impl State {
    fn apply(&mut self, order: &Order) {
        let served = order.model.clone().zip(order.version.clone());
        match (order.kind, served) {
            (Kind::Load, Some(served)) => {
                self.served.insert(served);
            }
            (Kind::Unload, Some(served)) => {
                self.served.remove(&served);
            }
            (Kind::Role, _) => self.role = order.role.clone().unwrap_or_default(),
            (Kind::Load | Kind::Unload, None) => {}
        }
    }
}

fn rejection_response(rejection: Rejection) -> Reply {
    match rejection {
        Rejection::NotServed => http::problem(
            StatusCode::NOT_FOUND,
            "the engine does not serve this model and version",
        ),
        Rejection::StaleAttempt => {
            http::problem(StatusCode::CONFLICT, "the attempt is not higher than one that was seen")
        }
        Rejection::NotRunning => http::problem(StatusCode::NOT_FOUND, "the request is not running"),
    }
}
