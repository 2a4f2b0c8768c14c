//! A version of the configuration: routes, services, accounts and limits.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// A complete version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes refer to.
    pub services: Vec<Service>,
    /// The client accounts; `None` if requests need no key.
    pub accounts: Option<Vec<Account>>,
    /// Limits for client requests.
    pub limits: Limits,
}

/// A route: maps a host name and a path prefix to services.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name.
    pub name: String,
    /// The host name, in lower case.
    pub host: String,
    /// The path prefix; it begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be retried.
    pub kind: Kind,
    /// The request timeout.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout: Duration,
    /// The latency objective.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub objective: Duration,
    /// The priority, where 0 is the highest.
    pub priority: u8,
    /// The services with their weights.
    pub split: Vec<Share>,
    /// The maximum number of targets that may run one request.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub anonymous: bool,
    /// Whether a stream may be resumed at another target.
    pub resumable: bool,
    /// The objective for the gap between two events of a stream.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub gap: Option<Duration>,
}

/// How requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The response is a stream of events.
    Streaming,
}

/// A service's share of the requests of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The name of the service.
    pub service: String,
    /// The weight relative to the other shares.
    pub weight: f64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name.
    pub name: String,
    /// The properties of its model engines; `None` for a plain service.
    pub engine: Option<Engine>,
    /// The maximum number of connections that a target accepts from all hosts together; `None` if it is not known.
    #[serde(default)]
    pub max_connections: Option<u32>,
    /// The bounds on the number of its targets; `None` if the gateway does not order targets for it.
    #[serde(default)]
    pub scaling: Option<Scaling>,
}

/// The bounds on the number of targets of a service in one data centre.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scaling {
    /// The minimum number of targets.
    pub min: u32,
    /// The maximum number of targets.
    pub max: u32,
    /// The time from an order to the first request that a new target serves.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub startup: Duration,
}

/// Properties of the model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// The maximum number of concurrent requests of an engine.
    pub slots: u32,
    /// The KV cache capacity of an engine in tokens.
    pub memory_tokens: u64,
    /// Whether an engine can replicate a running request to another engine.
    pub backups: bool,
    /// The number of tokens in one event of a stream.
    pub stride: u32,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The name.
    pub name: String,
    /// The access keys.
    pub keys: Vec<String>,
    /// The priority; overrides that of the route.
    pub priority: Option<u8>,
}

/// Limits for client requests and connections.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// The timeout for reading a request head.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub header_timeout: Duration,
    /// The timeout of an idle connection.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
