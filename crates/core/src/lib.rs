//! Sans-I/O core of hawthornpost: state machines that map typed events to typed commands.
//!
//! The crate performs no I/O and reads no clock; callers pass the time in. The daemon, the model checkers, the fuzzers
//! and the benchmarks therefore run the same code.
//!
//! | module | concern |
//! |--------|---------|
//! | [`assembly`] | assembly of an answer from the frames of its attempts |
//! | [`backlog`] | accounting of the bytes buffered for slow readers |
//! | [`claim`] | at-most-once execution of actions |
//! | [`clock`] | points in time, passed in by the caller |
//! | [`config`] | versioned configuration and its distribution |
//! | [`discovery`] | discovery of entry addresses, draining |
//! | [`duty`] | calls that one host at a time makes |
//! | [`generation`] | state machine of a generation: attempts, replication, release |
//! | [`handle`] | resume handles |
//! | [`id`] | typed names and ids |
//! | [`inventory`] | the register of targets |
//! | [`lease`] | lease timing without a shared clock |
//! | [`limit`] | admission control: token quotas, shares of accounts, early rejection |
//! | [`limit_level`] | admission by level: which requests run while a service is overloaded |
//! | [`membership`] | membership protocol of the entry hosts |
//! | [`order`] | fenced orders to engines |
//! | [`platform`] | objects and errors of the platform API |
//! | [`prefix`] | prefix caches of engines |
//! | [`replica`] | replicas of generations, held for peers |
//! | [`retry`] | retry budgets |
//! | [`rollout`] | gradual rollouts between versions |
//! | [`route`] | selection of a target |
//! | [`rules`] | rules for accounts, models, services and rollouts |
//! | [`settings`] | checked INI files |
//! | [`timer`] | timer queue |
//! | [`transcript`] | tokens of one generation |
//! | [`wire`] | request and response bodies |

pub mod assembly;
pub mod backlog;
pub mod claim;
pub mod clock;
pub mod config;
mod config_chunk;
mod config_diff;
mod config_digest;
mod config_freshness;
mod config_head;
mod config_record;
mod config_snapshot;
mod config_status;
mod config_tracker;
mod config_writer;
pub mod discovery;
mod discovery_drain;
pub mod duty;
mod duty_calls;
mod duty_candidate;
mod duty_identity;
mod duty_own;
mod duty_report;
mod duty_step;
mod error;
mod error_wrapper;
pub mod generation;
mod generation_gaps;
mod generation_machine;
mod generation_replication;
mod generation_request;
mod generation_upstream;
pub mod handle;
pub mod id;
pub mod inventory;
mod inventory_import;
pub mod lease;
pub mod limit;
mod limit_account;
mod limit_length;
pub mod limit_level;
mod limit_limiter;
mod limit_quota;
mod limit_reservation;
mod limit_share;
pub mod membership;
mod membership_settings;
mod membership_table;
pub mod order;
pub mod platform;
pub mod prefix;
pub mod replica;
pub mod retry;
pub mod rollout;
mod rollout_counters;
mod rollout_evidence;
mod rollout_judge;
mod rollout_ledger;
mod rollout_registry;
mod rollout_share;
mod rollout_verdict;
pub mod route;
mod route_subset;
pub mod rules;
mod rules_check;
pub mod settings;
pub mod timer;
pub mod transcript;
pub mod wire;

pub use error::{Category, Error, Result};
