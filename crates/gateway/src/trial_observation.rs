//! What a host tells its peers of a trial.

use serde::{Deserialize, Serialize};

use crate::rollout::{Order, State};
use crate::trial_evidence::Evidence;

/// The state and the counts of a trial at one host, for its peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// The order.
    pub order: Order,
    /// The state of the order at that host, which is the verdict once there is one.
    pub state: State,
    /// The time since the first host received the order, in milliseconds.
    pub age_ms: u64,
    /// Whether the sender hears of enough hosts. Otherwise its state and its time may be those of before a pause.
    #[serde(default = "is_current_by_default")]
    pub is_current: bool,
    /// Identifies the process, whose counts begin at zero.
    #[serde(default)]
    pub process: u64,
    /// The counts.
    #[serde(flatten)]
    pub evidence: Evidence,
}

fn is_current_by_default() -> bool {
    true
}
