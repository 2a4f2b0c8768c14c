//! The report of a window.

use crate::usage::Counts;

/// The requests of each client account that began to run in a window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The number of the window, counted from the start of 1970 in units of its length.
    pub window: u64,
    /// The counts by account.
    pub counts: Counts,
}
