//! Gradual rollouts between versions: evidence, traffic share and verdicts.
//!
//! There is no central controller. Every entry counts the results of its requests ([`Ledger`]), merges the counters of
//! the others ([`Evidence`]), computes the allowed [`Share`] from configuration, time and counters, and may reach a
//! final [`Verdict`], which is broadcast to all entries. [`Registry`] holds this state for all rollouts of an entry.

use std::fmt;

use jiff::Timestamp;
use serde::{Deserialize, Serialize};

use crate::id::{Entry, Rollout, Route, Target, Version};
pub use crate::rollout_counters::{Counters, Histogram};
pub use crate::rollout_evidence::Evidence;
pub use crate::rollout_judge::{Pair, find_worse, judge};
pub use crate::rollout_ledger::{Cell, Key, Ledger};
pub use crate::rollout_registry::{Choice, Command, Delta, Known, Registry, Report, Revisions};
pub use crate::rollout_share::{Fleet, Schedule, Share};
pub use crate::rollout_verdict::{Metric, Rate, Reason, Verdict};

/// One run of a rollout. The same rollout with another start or version is another run.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run {
    /// The rollout.
    pub rollout: Rollout,
    /// The new version.
    pub to: Version,
    /// When the rollout starts.
    pub start: Timestamp,
}

/// The writer of a ledger: one run of an entry's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The entry.
    pub entry: Entry,
    /// The incarnation of the entry at its start.
    pub incarnation: u64,
}

/// Whether a version is the one that traffic moves from or to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Side {
    /// The version that traffic moves from.
    #[serde(rename = "o")]
    Old,
    /// The version that traffic moves to.
    #[serde(rename = "n")]
    New,
}

/// One observation of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The route of the request.
    pub route: Route,
    /// The version that served it.
    pub side: Side,
    /// The target that served it.
    pub target: Target,
    /// The observation.
    pub outcome: Outcome,
}

/// The observation of a request or its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request succeeded.
    Served,
    /// The request failed for a reason other than the death of its engine.
    Failed,
    /// The first token arrived after this many milliseconds.
    FirstToken(u32),
    /// The mean time between tokens in milliseconds, and the number of tokens it covers.
    ///
    /// There is one sample per request or per few hundred tokens, so that samples are independent of each other; the
    /// gaps within one request are not.
    Gap(u32, u32),
    /// The engine died. The death counts once for the engine, regardless of how many requests and entries it affects.
    EngineDied,
}

impl fmt::Debug for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} to {} from {}", self.rollout, self.to, self.start)
    }
}
