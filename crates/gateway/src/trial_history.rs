//! The outcomes of a trial over time, and the test of the new version by them.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornpost_core::rollout::{self, Pair};

use crate::trial_evidence::Latency;

/// The number of intervals of an order's duration for which outcomes are kept apart.
const INTERVALS: u32 = 24;
/// The share of bad outcomes below which a version is never rolled back. Servers also fail for reasons that do not
/// depend on the version.
const MIN_BAD_SHARE: f64 = 0.08;

/// The probability that a good version is rolled back during its trial.
pub(crate) const ROLLBACK_FALSE_ALARMS: f64 = 0.001;
/// The probability that a good version is not completed. A bad one that is completed cannot be rolled back any more, as
/// the old targets stop.
pub(crate) const COMPLETION_FALSE_ALARMS: f64 = 0.02;

/// What is counted together: one kind of latency, on one route or on all of them.
pub(crate) type Group = (Latency, Option<String>);

/// The outcomes of all hosts by group since the start of the trial.
pub(crate) type Totals = BTreeMap<Group, Pair>;

/// The totals at the ends of past intervals.
///
/// Outcomes count when this host learns of them, so that hosts need not send theirs by interval.
#[derive(Debug)]
pub(crate) struct History {
    interval: Duration,
    past: Vec<Totals>,
}

impl History {
    /// Creates the history of a trial of this duration.
    pub(crate) fn new(duration: Duration) -> Self {
        Self {
            interval: duration / INTERVALS,
            past: Vec::new(),
        }
    }

    /// Ends an interval with these totals, if the trial is old enough for it.
    pub(crate) fn record(&mut self, age: Duration, totals: &Totals) {
        let ended = self.past.len() + 1;
        if ended < INTERVALS as usize && age >= self.interval * u32::try_from(ended).unwrap_or(u32::MAX) {
            self.past.push(totals.clone());
        }
    }

    /// Returns whether the new version is worse, over the whole trial or since any interval: successes from before a
    /// version turned bad must not hide its failures.
    /// A good version is found bad with at most the probability `false_alarms` in each group.
    pub(crate) fn is_bad(&self, totals: &Totals, false_alarms: f64) -> bool {
        totals.iter().any(|(group, total)| {
            let intervals = self.intervals(group, *total);
            rollout::find_worse(&[*total], MIN_BAD_SHARE, 1, false_alarms).is_some()
                || rollout::find_worse(&intervals, MIN_BAD_SHARE, INTERVALS, false_alarms).is_some()
        })
    }

    /// Returns the counts of a group in each interval, the last of which has not ended.
    fn intervals(&self, group: &Group, total: Pair) -> Vec<Pair> {
        let past = self
            .past
            .iter()
            .map(|totals| totals.get(group).copied().unwrap_or_default());
        let ends = past.chain([total]).collect::<Vec<_>>();
        let starts = [Pair::default()].into_iter().chain(ends.iter().copied());
        ends.iter().zip(starts).map(|(end, start)| end.minus(start)).collect()
    }
}
