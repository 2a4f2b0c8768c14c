//! What became of a window.

use std::time::Duration;

/// An outcome for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A window was reported.
    Reported {
        /// The window.
        window: u64,
        /// The number of reported requests.
        requests: u64,
        /// The number of accounts.
        accounts: usize,
        /// The number of processes whose counts this host has.
        sources: usize,
        /// The time since the end of the window.
        age: Duration,
    },
    /// Successive windows were not reported in time.
    Missed {
        /// The first window.
        first: u64,
        /// The number of windows.
        count: u64,
        /// The reason, and where to look.
        reason: &'static str,
    },
    /// Counts of a window arrived after its report.
    Late {
        /// The window.
        window: u64,
        /// The number of requests that the report lacks.
        requests: u64,
    },
}
