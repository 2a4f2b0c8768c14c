//! What is known of a service at a point in time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::scaling::Occupancy;
use crate::scaling::occupancy::Condition;

/// The targets and the requests of a service.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    /// The targets.
    pub targets: Vec<Occupancy>,
    /// The memory of an engine in tokens; `None` for a plain service.
    pub memory_tokens: Option<u64>,
    /// Whether engines hold copies of the streams of other data centres.
    pub has_copies: bool,
    /// The time that a request to a plain service takes; `None` if it is not known.
    pub response_time: Option<Duration>,
    /// Requests per second by the data centre of the host that received them.
    pub requests: BTreeMap<String, f64>,
    /// Whether a rollout moves the service to another version.
    pub is_rolling_out: bool,
}

impl Sample {
    /// Returns the number of targets of a data centre that are not leaving.
    pub fn present(&self, data_centre: &str) -> u32 {
        let targets = self.targets.iter().filter(|target| target.data_centre == data_centre);
        let present = targets.filter(|target| target.condition != Condition::Leaving);
        u32::try_from(present.count()).unwrap_or(u32::MAX)
    }

    /// Returns the data centres that have targets.
    pub fn data_centres(&self) -> BTreeSet<&str> {
        self.targets.iter().map(|target| target.data_centre.as_str()).collect()
    }

    /// Returns whether any target is in this condition.
    pub fn has(&self, condition: Condition) -> bool {
        self.targets.iter().any(|target| target.condition == condition)
    }

    /// Returns the requests per second of all hosts.
    pub fn total_requests(&self) -> f64 {
        self.requests.values().sum()
    }
}
