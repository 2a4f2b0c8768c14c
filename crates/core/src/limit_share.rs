//! The part of a target's capacity that this entry may use.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id::Entry;
use crate::limit::Timing;

/// Another entry that shares a target with this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sharer {
    /// The entry.
    pub entry: Entry,
    /// For how long it has counted without a break.
    pub age: Duration,
}

/// Divides a capacity among entries that don't agree on who is there.
///
/// The share falls at once when a view has more sharers, and rises only [`Timing::rise`] after a view has fewer. A
/// newcomer takes nothing for [`Timing::settle`], so that every other entry has seen it and has fallen; a process that
/// starts waits for [`Timing::rise`], because an earlier process of the same entry may have left requests. Charges
/// outlive a change of shares, so for [`Timing::hold`] a newcomer also leaves free what the entries before it may still
/// hold of their earlier, larger shares. The sum of all charges then never exceeds the capacity.
#[derive(Clone, Debug)]
pub struct Share {
    since: Instant,
    /// When the share may be used at the earliest.
    ready: Instant,
    /// By name, because a newcomer must not hide the loss of another entry that still counts.
    others: BTreeMap<Entry, Other>,
}

#[derive(Clone, Copy, Debug)]
struct Other {
    age: Duration,
    seen: Instant,
    /// Until when an entry that is no longer in the view counts.
    until: Option<Instant>,
}

impl Share {
    /// Creates a share that begins now and is not used before `ready`.
    pub fn new(now: Instant, ready: Instant) -> Self {
        Self {
            since: now,
            ready,
            others: BTreeMap::new(),
        }
    }

    /// Begins anew, as after a pause in which the other entries may have taken this entry's share.
    pub fn restart(&mut self, now: Instant) {
        self.since = now;
    }

    /// Waits, as after a pause, until this entry has seen the others and they have seen it.
    pub fn wait(&mut self, now: Instant, timing: &Timing) {
        self.ready = self.ready.max(now + timing.settle);
    }

    /// Returns how long the share cannot be used yet because other entries may not have seen this one.
    pub fn wait_left(&self, now: Instant, timing: &Timing) -> Duration {
        if self.divisor(timing) <= 1 {
            return Duration::ZERO;
        }
        self.ready.since(now)
    }

    /// Takes a new view of the other entries.
    pub fn observe(&mut self, now: Instant, view: &[Sharer], timing: &Timing) {
        self.expire(now);
        for other in self.others.values_mut() {
            other.until.get_or_insert(now + timing.rise);
        }
        for sharer in view {
            let other = Other {
                age: sharer.age,
                seen: now,
                until: None,
            };
            self.others.insert(sharer.entry.clone(), other);
        }
    }

    /// Returns the tokens that this entry may hold at a target with this usable capacity.
    pub fn bound(&mut self, now: Instant, usable: u64, timing: &Timing) -> u64 {
        self.expire(now);
        let divisor = self.divisor(timing);
        let fair = usable / divisor.max(1);
        if divisor <= 1 {
            return fair;
        }
        if now < self.ready {
            return 0;
        }
        if now.since(self.since) >= settled_after(timing) {
            return fair;
        }
        fair.min(self.left_by_elders(now, usable, timing))
    }

    fn divisor(&self, timing: &Timing) -> u64 {
        (count(self.others.len()) + 1).max(u64::from(timing.floor))
    }

    /// Returns what remains when every entry before this one holds the largest share it can have had.
    fn left_by_elders(&self, now: Instant, usable: u64, timing: &Timing) -> u64 {
        let age = now.since(self.since);
        let settled_age = settled_after(timing);
        let settled = |other: &&Other| other.until.is_none() && other.age(now) >= settled_age;
        // Views differ by up to `spread`; an entry goes first only when it is older by more than that.
        let elder = |other: &&Other| other.age(now) + timing.spread >= age;
        let settled = count(self.others.values().filter(settled).count());
        let elders = count(self.others.values().filter(elder).count());
        let largest = usable / settled.max(u64::from(timing.floor)).max(1);
        usable.saturating_sub(elders * largest)
    }

    fn expire(&mut self, now: Instant) {
        self.others
            .retain(|_, other| other.until.is_none_or(|until| until > now));
    }
}

impl Other {
    fn age(&self, now: Instant) -> Duration {
        self.age + now.since(self.seen)
    }
}

/// Returns the age from which every charge taken before an entry came has ended: the others learn of it within
/// [`Timing::settle`], and their charges last [`Timing::hold`].
fn settled_after(timing: &Timing) -> Duration {
    timing.settle + timing.hold
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
