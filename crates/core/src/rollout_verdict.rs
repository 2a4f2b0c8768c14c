//! The verdict on a run of a rollout.

use std::fmt;

use jiff::Timestamp;
use serde::{Deserialize, Serialize};

use crate::id::Route;

/// The state of a run. Every state except `Running` is final.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Verdict {
    /// The rollout is in progress.
    #[default]
    Running,
    /// All traffic is on the new version.
    Done {
        /// When the last step completed.
        at: Timestamp,
    },
    /// All traffic is back on the old version.
    Reversed {
        /// When the verdict was reached.
        at: Timestamp,
        /// The reason.
        reason: Reason,
    },
}

/// Why a run was reversed, with the compared counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Reason {
    /// The metric that was compared.
    pub metric: Metric,
    /// The route, or `None` for all minor routes together or for all routes.
    pub route: Option<Route>,
    /// The new version's count.
    pub new: Rate,
    /// The old version's count for the same time and routes.
    pub old: Rate,
}

/// The metric that was compared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Metric {
    /// Failed requests.
    Errors,
    /// Requests whose first token took longer than this many milliseconds.
    FirstToken(u32),
    /// Requests with a mean time between tokens above this many milliseconds.
    Gap(u32),
    /// Engine deaths, as a count of deaths and seconds of engine time.
    Deaths,
    /// An operator aborted the run.
    Aborted(String),
}

/// A number of bad events out of a total.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rate {
    /// The number of bad events.
    pub bad: u64,
    /// The total.
    pub of: u64,
}

impl Verdict {
    /// Merges a verdict of another entry and returns whether this one changed.
    ///
    /// A reversal takes precedence over a completion, and of two equal verdicts the earlier one does, so that all
    /// entries converge to the same verdict.
    pub fn merge(&mut self, other: &Self) -> bool {
        let replaces = match (&*self, other) {
            (Self::Done { at }, Self::Done { at: earlier }) => earlier < at,
            (
                Self::Reversed { at, reason },
                Self::Reversed {
                    at: earlier,
                    reason: other,
                },
            ) => (earlier, other) < (at, reason),
            (own, other) => other.rank() > own.rank(),
        };
        if replaces {
            self.clone_from(other);
        }
        replaces
    }

    const fn rank(&self) -> u8 {
        match self {
            Self::Running => 0,
            Self::Done { .. } => 1,
            Self::Reversed { .. } => 2,
        }
    }

    /// Returns whether the run is over.
    pub const fn is_final(&self) -> bool {
        !matches!(self, Self::Running)
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            metric,
            route,
            new,
            old,
        } = self;
        let what = match metric {
            Metric::Errors => "failed requests".to_owned(),
            Metric::FirstToken(millis) => format!("requests with the first token after more than {millis} ms"),
            Metric::Gap(millis) => format!("requests with more than {millis} ms between tokens"),
            Metric::Deaths => "deaths of engines in seconds of engine time".to_owned(),
            Metric::Aborted(author) => return write!(f, "ended by {author}"),
        };
        let scope = match route {
            Some(route) => format!("route {route}"),
            None if *metric == Metric::Deaths => "all routes".to_owned(),
            None => "small routes".to_owned(),
        };
        let (new_bad, new_of, old_bad, old_of) = (new.bad, new.of, old.bad, old.of);
        write!(
            f,
            "{what}, {scope}: {new_bad} of {new_of} at the new version, {old_bad} of {old_of} at the old one"
        )
    }
}
