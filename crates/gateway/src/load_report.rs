//! Incremental reports of a host's load on targets, for its peers.
//!
//! Many small hosts with some ten streams each would take half of a 10 Mbit/s link with 60 hosts if they reported their
//! whole load at each change. A report therefore holds the changed entries and a few unchanged ones in turn, so that
//! peers soon recover from a lost report and a new peer soon knows the whole load.

use std::collections::BTreeMap;
use std::ops::Bound;

use crate::load::Load;

/// The number of entries per report that are refreshed in turn, whether or not they have changed.
const REFRESHED_ENTRIES: usize = 1;
/// The number of reports that announce the end of work at a target, since no later report repeats it.
const END_ANNOUNCEMENTS: u8 = 3;

/// Builds the reports of one host.
#[derive(Debug, Default)]
pub struct Reporter {
    reported: BTreeMap<String, Load>,
    /// Targets without load any more, with the number of further reports that announce it.
    ended: BTreeMap<String, u8>,
    /// The id of the entry that was refreshed last.
    last_refreshed: String,
}

impl Reporter {
    /// Returns the next report for the current loads. An empty load means that there is none any more.
    pub fn report(&mut self, loads: &BTreeMap<String, Load>) -> BTreeMap<String, Load> {
        self.update_ended(loads);
        let changed = loads.iter().filter(|(id, load)| self.reported.get(*id) != Some(*load));
        let mut report = changed
            .map(|(id, load)| (id.clone(), *load))
            .collect::<BTreeMap<_, _>>();
        report.extend(self.ended.keys().map(|id| (id.clone(), Load::default())));
        for _ in 0..REFRESHED_ENTRIES.min(loads.len()) {
            let after = (Bound::Excluded(self.last_refreshed.as_str()), Bound::Unbounded);
            let next = loads.range::<str, _>(after).next().or_else(|| loads.iter().next());
            if let Some((id, load)) = next {
                report.insert(id.clone(), *load);
                self.last_refreshed.clone_from(id);
            }
        }
        self.reported.clone_from(loads);
        report
    }

    /// Returns whether another report is due even if no load changes.
    pub fn is_pending(&self) -> bool {
        !self.ended.is_empty()
    }

    fn update_ended(&mut self, loads: &BTreeMap<String, Load>) {
        self.ended.retain(|id, remaining| {
            *remaining -= 1;
            *remaining > 0 && !loads.contains_key(id)
        });
        let ended = self.reported.keys().filter(|id| !loads.contains_key(*id));
        let ended = ended.map(|id| (id.clone(), END_ANNOUNCEMENTS)).collect::<Vec<_>>();
        self.ended.extend(ended);
    }
}
