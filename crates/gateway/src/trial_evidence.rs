//! The counts of a trial, which hosts exchange.

use std::collections::BTreeMap;

use hawthornpost_core::rollout::{self, Rate};
use serde::{Deserialize, Serialize};

use crate::baseline::Baseline;

/// The share of bad outcomes below which a version is never rolled back. Servers also fail for reasons that do not
/// depend on the version.
const MIN_BAD_SHARE: f64 = 0.08;

/// The kinds of latency that have a baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Latency {
    /// The time to the response, or to the first event of a stream.
    Response,
    /// The mean interval between events.
    EventInterval,
}

/// The counts of one route during a trial. The short field names keep messages small.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Outcomes of the old version.
    #[serde(rename = "o", default)]
    pub old: u64,
    /// Bad outcomes of the old version: failures and slow responses.
    #[serde(rename = "ob", default)]
    pub old_bad: u64,
    /// Outcomes of the new version.
    #[serde(rename = "n", default)]
    pub new: u64,
    /// Bad outcomes of the new version.
    #[serde(rename = "nb", default)]
    pub new_bad: u64,
    /// The latencies of the old version.
    #[serde(rename = "l", default, skip_serializing_if = "Baseline::is_empty")]
    pub baseline: Baseline,
}

/// The counts by route.
pub type RouteCounts = BTreeMap<String, Counts>;

/// The counts of one host. The kinds are apart because a slow version may be slow in one of them only.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Responses, first events of streams, and failures.
    #[serde(rename = "counts")]
    pub responses: RouteCounts,
    /// Intervals between events of streams.
    #[serde(default)]
    pub intervals: RouteCounts,
}

impl Latency {
    pub(crate) const ALL: [Self; 2] = [Self::Response, Self::EventInterval];
}

impl Evidence {
    pub(crate) fn routes(&self, kind: Latency) -> &RouteCounts {
        match kind {
            Latency::Response => &self.responses,
            Latency::EventInterval => &self.intervals,
        }
    }

    pub(crate) fn routes_mut(&mut self, kind: Latency) -> &mut RouteCounts {
        match kind {
            Latency::Response => &mut self.responses,
            Latency::EventInterval => &mut self.intervals,
        }
    }
}

impl Counts {
    pub(crate) fn add(&mut self, other: Self) {
        self.old += other.old;
        self.old_bad += other.old_bad;
        self.new += other.new;
        self.new_bad += other.new_bad;
        self.baseline.add(other.baseline);
    }

    pub(crate) fn sum(counts: impl Iterator<Item = Self>) -> Self {
        counts.fold(Self::default(), |mut sum, counts| {
            sum.add(counts);
            sum
        })
    }

    pub(crate) fn is_bad(&self) -> bool {
        let new = Rate {
            bad: self.new_bad,
            of: self.new,
        };
        let old = Rate {
            bad: self.old_bad,
            of: self.old,
        };
        rollout::is_worse(new, old, MIN_BAD_SHARE)
    }
}
