//! Daemon of hawthornpost: kernel, plug-ins and edges.
//!
//! | module | concern |
//! |--------|---------|
//! | [`access`] | who may call what |
//! | [`actions`] | calls that run at most once |
//! | [`admin`] | operators' endpoints |
//! | [`claims`] | writers of the shards of claims |
//! | [`client`] | HTTP client with a connection per call |
//! | [`completions`] | generations for callers |
//! | [`configuration`] | the configuration in force |
//! | [`engine`] | client of the engines' protocol |
//! | [`entries`] | entry addresses for callers |
//! | [`event`] | numbered log events |
//! | [`generations`] | running generations and their copies |
//! | [`http`] | server for callers and operators |
//! | [`kernel`] | the loop, the context and the phases of a run |
//! | [`leaving`] | targets that are leaving |
//! | [`limits`] | room, load and caches of targets |
//! | [`logging`] | log output |
//! | [`members`] | live entry hosts |
//! | [`metric`] | names and page of the metrics |
//! | [`orders`] | orders to engines |
//! | [`peer`] | calls between entry hosts |
//! | [`platform`] | client of the platform API |
//! | [`plugin`] | plug-ins that register themselves |
//! | [`problem`] | errors as problem details |
//! | [`rollouts`] | version for a request, evidence |
//! | [`routing`] | choice of target |
//! | [`services`] | plain services for callers |
//! | [`settings`] | settings of the daemon |
//! | [`timer`] | the timer service, driven by the clock |

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
