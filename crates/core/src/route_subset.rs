//! Subsetting: limits the targets that each entry connects to in a large fleet.

use std::collections::BTreeMap;

use crate::id::{Entry, Target};

/// Assigns entries to targets by rendezvous hashing with balanced load.
///
/// Every target is shared by the `sharers` entries that rank highest for it. Entries that are more than one target
/// below the mean rank before all others, and those above the mean after them, because rendezvous hashing alone does
/// not distribute targets evenly. Every entry computes the same assignment from the same view.
#[derive(Clone, Copy, Debug)]
pub struct Subset {
    /// The number of entries that share a target.
    pub sharers: usize,
}

/// The assignment state of an entry.
struct Assignee {
    key: u64,
    targets: usize,
}

/// The number of targets of an entry, compared with the current mean. The order of the variants is the rank.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Load {
    Below,
    Even,
    Above,
}

impl Subset {
    /// Returns the entries that share each target.
    ///
    /// With at most `sharers` entries, all share every target.
    pub fn assign<'t, 'e>(self, targets: &[&'t Target], entries: &[&'e Entry]) -> BTreeMap<&'t Target, Vec<&'e Entry>> {
        if entries.len() <= self.sharers {
            return targets.iter().map(|target| (*target, entries.to_vec())).collect();
        }
        let assignee = |entry: &&Entry| Assignee {
            key: hash(entry.as_str()),
            targets: 0,
        };
        let mut assignees = entries.iter().map(assignee).collect::<Vec<_>>();
        let mut sorted = targets.to_vec();
        sorted.sort_unstable();
        let numbered = sorted.into_iter().enumerate();
        numbered
            .map(|(assigned, target)| {
                let mean = assigned * self.sharers / entries.len();
                let selected = self.select(target, mean, &mut assignees);
                (target, selected.into_iter().map(|index| entries[index]).collect())
            })
            .collect()
    }

    fn select(self, target: &Target, mean: usize, assignees: &mut [Assignee]) -> Vec<usize> {
        let target = hash(target.as_str());
        let indexed = assignees.iter().enumerate();
        let mut ranked = indexed
            .map(|(index, assignee)| (assignee.load(mean), mix(assignee.key ^ target), index))
            .collect::<Vec<_>>();
        ranked.select_nth_unstable(self.sharers);
        ranked.truncate(self.sharers);
        for (_, _, index) in &ranked {
            assignees[*index].targets += 1;
        }
        ranked.into_iter().map(|(_, _, index)| index).collect()
    }
}

impl Assignee {
    fn load(&self, mean: usize) -> Load {
        if self.targets + 1 < mean {
            Load::Below
        } else if self.targets > mean {
            Load::Above
        } else {
            Load::Even
        }
    }
}

fn hash(name: &str) -> u64 {
    let mut first = [0; 8];
    blake3::Hasher::new()
        .update(name.as_bytes())
        .finalize_xof()
        .fill(&mut first);
    u64::from_le_bytes(first)
}

/// Mixes the combined hashes of a target and an entry; hashing 2 million pairs with `blake3` would take too long.
fn mix(key: u64) -> u64 {
    // The finalizer of SplitMix64.
    let key = (key ^ (key >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let key = (key ^ (key >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    key ^ (key >> 31)
}
