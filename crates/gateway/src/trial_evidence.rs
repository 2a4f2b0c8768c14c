//! The counts of a trial, which hosts exchange.

use std::collections::BTreeMap;

use hawthornpost_core::rollout::{Pair, Rate};
use serde::{Deserialize, Serialize};

use crate::baseline::Baseline;

/// The kinds of latency that have a baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
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
    /// Returns the number of outcomes, which grows with time.
    pub(crate) fn outcomes(&self) -> u64 {
        let counts = Latency::ALL.into_iter().flat_map(|kind| self.routes(kind).values());
        counts.map(|counts| counts.old + counts.new).sum()
    }

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
    /// Returns the outcomes of both versions.
    pub(crate) fn rates(&self) -> Pair {
        let rate = |bad, of| Rate { bad, of };
        Pair {
            new: rate(self.new_bad, self.new),
            old: rate(self.old_bad, self.old),
        }
    }
}
