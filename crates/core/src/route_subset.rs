//! The targets that each entry uses in a large fleet.

use std::collections::BTreeMap;

use crate::id::{Entry, Target};

/// The subset of targets that each entry talks to.
///
/// Every target is shared by the `sharers` entries that rendezvous hashing ranks highest for it. Entries that are more
/// than one target behind the mean go first, and those that are ahead of it last, because rendezvous hashing alone
/// does not keep the numbers even. Every entry computes the same assignment from the same view.
#[derive(Clone, Copy, Debug)]
pub struct Subset {
    /// The number of entries that share a target.
    pub sharers: usize,
}

/// An entry while targets are assigned.
struct Taker {
    key: u64,
    targets: usize,
}

/// Whether an entry has fewer or more targets than the mean so far.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Pace {
    Behind,
    Even,
    Ahead,
}

impl Subset {
    /// Returns the entries that share each target.
    ///
    /// With at most `sharers` entries, all share every target.
    pub fn assign<'t, 'e>(self, targets: &[&'t Target], entries: &[&'e Entry]) -> BTreeMap<&'t Target, Vec<&'e Entry>> {
        if entries.len() <= self.sharers {
            return targets.iter().map(|target| (*target, entries.to_vec())).collect();
        }
        let taker = |entry: &&Entry| Taker {
            key: hash(entry.as_str()),
            targets: 0,
        };
        let mut takers = entries.iter().map(taker).collect::<Vec<_>>();
        let mut sorted = targets.to_vec();
        sorted.sort_unstable();
        let numbered = sorted.into_iter().enumerate();
        numbered
            .map(|(number, target)| {
                let mean = number * self.sharers / entries.len();
                let chosen = self.take(target, mean, &mut takers);
                (target, chosen.into_iter().map(|index| entries[index]).collect())
            })
            .collect()
    }

    fn take(self, target: &Target, mean: usize, takers: &mut [Taker]) -> Vec<usize> {
        let target = hash(target.as_str());
        let indexed = takers.iter().enumerate();
        let mut ranked = indexed
            .map(|(index, taker)| (taker.pace(mean), mix(taker.key ^ target), index))
            .collect::<Vec<_>>();
        ranked.select_nth_unstable(self.sharers);
        ranked.truncate(self.sharers);
        for (_, _, index) in &ranked {
            takers[*index].targets += 1;
        }
        ranked.into_iter().map(|(_, _, index)| index).collect()
    }
}

impl Taker {
    fn pace(&self, mean: usize) -> Pace {
        if self.targets + 1 < mean {
            Pace::Behind
        } else if self.targets > mean {
            Pace::Ahead
        } else {
            Pace::Even
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

/// Spreads the combined keys of a target and an entry; hashing 2 million pairs with `blake3` would take too long.
fn mix(key: u64) -> u64 {
    // The finalizer of SplitMix64.
    let key = (key ^ (key >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let key = (key ^ (key >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    key ^ (key >> 31)
}
