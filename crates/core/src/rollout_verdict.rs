//! How a run ended.

use std::fmt;

use jiff::Timestamp;
use serde::{Deserialize, Serialize};

use crate::id::Route;

/// The state of a run; once it is not running it stays so.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Verdict {
    /// Traffic is moving.
    #[default]
    Running,
    /// All traffic is on the new version.
    Done {
        /// When the last step was complete.
        at: Timestamp,
    },
    /// All traffic is back on the old version.
    Reversed {
        /// When the verdict was reached.
        at: Timestamp,
        /// Why.
        reason: Reason,
    },
}

/// Why a run was reversed, in figures.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Reason {
    /// What was compared.
    pub metric: Metric,
    /// The route; `None` stands for the minor routes together, or for all.
    pub route: Option<Route>,
    /// The new version's count.
    pub new: Rate,
    /// The old version's count over the same time and route.
    pub old: Rate,
}

/// What was compared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Metric {
    /// Failed requests.
    Errors,
    /// Requests whose first token took longer than this many milliseconds.
    FirstToken(u32),
    /// Requests with a mean time between tokens above this many milliseconds.
    Gap(u32),
    /// Deaths of engines per 1,000 seconds of engine time.
    Deaths,
    /// An operator ended the run.
    Aborted(String),
}

/// So many of so many.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rate {
    /// How many were bad.
    pub bad: u64,
    /// Out of how many.
    pub of: u64,
}

impl Verdict {
    /// Takes a verdict of another entry and returns whether this one changed.
    ///
    /// A reversal wins over a completion, and the earlier of two equal ones wins, so that all entries end with the same.
    pub fn merge(&mut self, other: &Self) -> bool {
        let wins = match (&*self, other) {
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
        if wins {
            self.clone_from(other);
        }
        wins
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
            Metric::Aborted(who) => return write!(f, "ended by {who}"),
        };
        let place = match route {
            Some(route) => format!("route {route}"),
            None if *metric == Metric::Deaths => "all routes".to_owned(),
            None => "small routes".to_owned(),
        };
        let (new_bad, new_of, old_bad, old_of) = (new.bad, new.of, old.bad, old.of);
        write!(
            f,
            "{what}, {place}: {new_bad} of {new_of} at the new version, {old_bad} of {old_of} at the old one"
        )
    }
}
