//! The work and the state of a target.

use crate::load::Load;

/// A target as the planner sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Occupancy {
    /// The data centre.
    pub data_centre: String,
    /// The load from all hosts.
    pub load: Load,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it takes new work.
    pub condition: Condition,
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// It takes new work.
    Ready,
    /// It is suspect, refuses work, or its entry in the store has lapsed.
    Troubled,
    /// It is leaving.
    Leaving,
}
