//! Daemon of hawthornpost: kernel, plug-ins, clients of other systems and servers.
//!
//! | module | purpose |
//! |--------|---------|
//! | [`access`] | authentication by API key |
//! | [`actions`] | service calls that are executed at most once |
//! | [`admin`] | status, state dump and drain endpoints for operators |
//! | [`claims`] | batched writes to the shards of the claim store |
//! | [`client`] | HTTP client that opens a connection per request |
//! | [`completions`] | completions API for callers |
//! | [`configuration`] | synchronization of the active configuration |
//! | [`engine`] | streaming client of the inference engines |
//! | [`entries`] | discovery of entry addresses for callers |
//! | [`event`] | numbered log events |
//! | [`generations`] | running generations and their replicas |
//! | [`http`] | HTTP server for callers and operators |
//! | [`kernel`] | event loop, shared context and shutdown phases |
//! | [`leaving`] | targets that are leaving and get no new work |
//! | [`limits`] | capacity, load, prompt caches and retry budgets of targets |
//! | [`logging`] | log output |
//! | [`members`] | cluster membership of entry hosts |
//! | [`metric`] | metrics and their endpoint |
//! | [`orders`] | orders to engines |
//! | [`pause`] | detection of pauses of the process |
//! | [`peer`] | RPC between entry hosts |
//! | [`platform`] | client of the platform API |
//! | [`plugin`] | plug-in registry |
//! | [`problem`] | error responses as problem details |
//! | [`rollouts`] | version selection and samples for rollouts |
//! | [`routing`] | selection of targets |
//! | [`services`] | proxy for plain services |
//! | [`settings`] | settings file |
//! | [`timer`] | timers on the process clock |

pub mod access;
pub mod actions;
pub mod admin;
pub mod claims;
pub mod client;
pub mod completions;
mod completions_reader;
pub mod configuration;
mod configuration_admin;
mod configuration_store;
pub mod engine;
pub mod entries;
mod error;
pub mod event;
pub mod generations;
mod generations_attempt;
mod generations_replica;
mod generations_running;
pub mod http;
pub mod kernel;
pub mod leaving;
pub mod limits;
pub mod logging;
pub mod members;
pub mod metric;
pub mod orders;
pub mod pause;
pub mod peer;
pub mod platform;
pub mod plugin;
pub mod problem;
pub mod rollouts;
pub mod routing;
pub mod services;
pub mod settings;
pub mod timer;

pub use error::{Error, Result};
