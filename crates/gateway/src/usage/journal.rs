//! The record in the store, which keeps what is to be reported for the next holder of the duty.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::usage::{Counts, Source, Totals};

/// The maximum number of totals of open windows in the record. With them it stays below the size of an object in the
/// store, and its writing below the time between two writes.
const MAX_OPEN_TOTALS: usize = 8000;

/// The windows that are not known to be reported.
///
/// The sums of a window never change once they are recorded, so all holders report the same ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Journal {
    /// The first window whose sums are not decided. No holder decides on earlier ones again.
    pub next: u64,
    /// The sums of ended windows by window and account.
    #[serde(default)]
    pub sums: BTreeMap<u64, Counts>,
    /// The totals of later windows, which would otherwise be lost with all hosts.
    #[serde(default)]
    pub open: Vec<Open>,
}

/// The totals of a process in an open window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// The window.
    pub window: u64,
    /// The process.
    #[serde(flatten)]
    pub source: Source,
    /// The totals by account.
    pub counts: Counts,
}

impl Journal {
    /// Decides on the sums of a window, which is [`Self::next`].
    pub fn close(&mut self, sums: Counts) {
        self.sums.insert(self.next, sums);
        self.next += 1;
    }

    /// Takes over the totals of open windows; none, if there are too many for the store.
    pub fn set_open(&mut self, totals: &Totals) {
        let count = totals
            .since(self.next)
            .map(|(_, _, counts)| counts.len())
            .sum::<usize>();
        if count > MAX_OPEN_TOTALS {
            self.open = Vec::new();
            return;
        }
        let open = totals.since(self.next).map(|(window, source, counts)| Open {
            window,
            source: source.clone(),
            counts: counts.clone(),
        });
        self.open = open.collect();
    }

    /// Merges the recorded totals of open windows into others.
    pub fn merge_open(&self, totals: &mut Totals) {
        for open in &self.open {
            totals.merge(open.window, &open.source, &open.counts);
        }
    }
}
