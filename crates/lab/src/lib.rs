//! Load and measurement tool of hawthornpost.
//!
//! Every experiment is a module that registers itself in [`EXPERIMENTS`], prints a table and can write it as CSV.

mod backlog;
mod claims;
mod deployment;
mod deployment_action;
mod deployment_client;
mod deployment_entry;
mod deployment_faults;
mod deployment_files;
mod deployment_fleet;
mod deployment_generation;
mod deployment_plan;
mod deployment_report;
pub mod experiment;
mod inforce;
mod membership;
mod overload;
mod overload_level;
mod path;
mod path_caller;
mod path_daemon;
mod path_engine;
mod resume;
mod resume_baseline;
mod resume_run;
mod rollouts;
mod routing;

pub use experiment::{EXPERIMENTS, Experiment};
