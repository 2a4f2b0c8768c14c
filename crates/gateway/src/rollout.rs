//! Orders to move a service to targets of another version.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// An operator's order, with the state that was last written to the store.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The service, which is also the name of the order.
    pub service: String,
    /// The new version of the service.
    pub version: String,
    /// The time limit of the order.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub duration: Duration,
    /// The state.
    pub state: State,
    /// Whether the store holds no state of this order yet.
    pub is_new: bool,
    /// The revision of the order's last change.
    pub revision: u64,
}

/// The state of an order. All but the first are final once the store holds them.
///
/// Until then they are verdicts of hosts, and the higher one of two counts: a host that has seen a version fail prevails
/// over those that have not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The new version is on trial.
    #[default]
    InProgress,
    /// The new version has replaced the old one.
    Completed,
    /// The service stays at the old version.
    RolledBack,
}

impl State {
    /// Returns whether the order has ended.
    pub fn is_final(self) -> bool {
        self != Self::InProgress
    }

    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::InProgress => "in progress",
            Self::Completed => "completed",
            Self::RolledBack => "rolled back",
        }
    }
}
