//! Usage of client accounts, counted in windows of true time and reported by the holder of the duty.
//!
//! | module | concern |
//! |--------|---------|
//! | [`report`] | the report of a window |
//! | `runner` | sends the reports |

pub mod report;
pub(crate) mod runner;

pub use report::Report;
