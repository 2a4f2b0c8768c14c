//! One version of the configuration: routes, services, accounts and limits.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// A whole version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes lead to.
    pub services: Vec<Service>,
    /// The client accounts; `None` when requests need no key.
    pub accounts: Option<Vec<Account>>,
    /// Bounds on what a client may send.
    pub limits: Limits,
}

/// Where the requests of a host name and path prefix go.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name.
    pub name: String,
    /// The host name, in lower case.
    pub host: String,
    /// The path prefix; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time that a request may wait for its answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout: Duration,
    /// The time within which an answer is on time.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub objective: Duration,
    /// The rank, where 0 is the highest.
    pub priority: u8,
    /// The services with their weights.
    pub split: Vec<Share>,
    /// The number of targets that may run one request.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Whether a stream may be continued at another target.
    pub resumable: bool,
    /// The longest pause between events for which a stream is on time.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub gap: Option<Duration>,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of events.
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
    /// The model engines of the service, when it has any.
    pub engine: Option<Engine>,
}

/// The model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// The requests that an engine runs at once.
    pub slots: u32,
    /// The tokens that an engine's memory holds.
    pub memory_tokens: u64,
    /// Whether an engine can copy a running request to another one as it grows.
    pub backups: bool,
    /// The tokens in one event of a stream.
    pub stride: u32,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The name.
    pub name: String,
    /// The keys that give access.
    pub keys: Vec<String>,
    /// The rank, which goes before the route's.
    pub priority: Option<u8>,
}

/// Bounds on what a client may send, and on how long it may take.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub header_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// The time within which the head has to arrive.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub header_timeout: Duration,
    /// The time for which a connection may be idle.
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
