//! Load and measurement tool of hawthornpost.
//!
//! Every experiment is a module that registers itself in [`EXPERIMENTS`], prints a table and can write it as CSV.

mod backlog;
pub mod experiment;
mod membership;
mod overload;
mod path;
mod path_caller;
mod path_daemon;
mod path_engine;
mod resume;
mod resume_baseline;
mod resume_run;
mod rollouts;

pub use experiment::{EXPERIMENTS, Experiment};
