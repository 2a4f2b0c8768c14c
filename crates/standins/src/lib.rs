//! Stand-ins for the systems that hawthornpost talks to; for tests only.
//!
//! Each stand-in is a small HTTP server that runs in its own thread until its [`Handle`] is dropped or a fault
//! ends it. Faults are set with `POST /standin/faults` or [`Handle::set_faults`]; counters are read with
//! `GET /standin/stats` or [`Handle::stats`].
//!
//! | module | stands in for |
//! |--------|---------------|
//! | [`engine`] | a model engine (section 5.2 of the design) |
//! | [`platform`] | the object API (section 5.4) |
//! | [`service`] | a plain service (section 5.3) |
//! | [`fault`] | fault injection, which all stand-ins support |
//! | [`text`] | generated text whose completeness can be verified |

pub mod engine;
mod engine_cache;
mod engine_http;
mod engine_stream;
pub mod fault;
mod http;
pub mod platform;
mod platform_store;
mod server;
pub mod service;
pub mod text;

pub use server::Handle;
