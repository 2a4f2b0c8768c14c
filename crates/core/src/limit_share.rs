//! The part of a target's capacity that this entry may use.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id::Entry;
use crate::limit::Parameters;

/// Another entry that shares a target with this entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sharer {
    /// The entry.
    pub entry: Entry,
    /// How long it has been counted without interruption.
    pub age: Duration,
}

/// Divides a capacity among entries whose membership views may differ.
///
/// The share shrinks as soon as a view contains more entries, and grows only [`Parameters::growth_delay`] after a view
/// contains fewer. A new entry uses nothing for [`Parameters::settling_time`], so that every other entry has seen it
/// and has reduced its share; a process that starts waits for [`Parameters::growth_delay`], because an earlier process
/// of the same entry may have left requests. Reservations outlive a change of shares, so for
/// [`Parameters::max_lifetime`] a new entry also leaves free what older entries may still hold under their earlier,
/// larger shares. The sum of all reservations then never exceeds the capacity.
#[derive(Clone, Debug)]
pub struct Share {
    since: Instant,
    /// The earliest time at which the share may be used.
    ready: Instant,
    /// Keyed by name, because a new entry must not mask the loss of another entry that still counts.
    others: BTreeMap<Entry, Other>,
}

#[derive(Clone, Copy, Debug)]
struct Other {
    age: Duration,
    seen_at: Instant,
    /// The time until which an entry that is missing from the view still counts.
    until: Option<Instant>,
}

impl Share {
    /// Creates a share that starts now and is not used before `ready`.
    pub fn new(now: Instant, ready: Instant) -> Self {
        Self {
            since: now,
            ready,
            others: BTreeMap::new(),
        }
    }

    /// Resets the age of this entry, after a pause in which other entries may have taken over its share.
    pub fn restart(&mut self, now: Instant) {
        self.since = now;
    }

    /// Suspends the share after a pause, until this entry and the others have seen each other.
    pub fn wait(&mut self, now: Instant, parameters: &Parameters) {
        self.ready = self.ready.max(now + parameters.settling_time);
    }

    /// Returns the time until the share can be used, while other entries may not have seen this one.
    pub fn wait_left(&self, now: Instant, parameters: &Parameters) -> Duration {
        if self.divisor(parameters) <= 1 {
            return Duration::ZERO;
        }
        self.ready.since(now)
    }

    /// Updates the set of other entries.
    pub fn observe(&mut self, now: Instant, view: &[Sharer], parameters: &Parameters) {
        self.expire(now);
        for other in self.others.values_mut() {
            other.until.get_or_insert(now + parameters.growth_delay);
        }
        for sharer in view {
            let other = Other {
                age: sharer.age,
                seen_at: now,
                until: None,
            };
            self.others.insert(sharer.entry.clone(), other);
        }
    }

    /// Returns the tokens that this entry may reserve of the usable capacity of a target.
    pub fn bound(&mut self, now: Instant, usable: u64, parameters: &Parameters) -> u64 {
        self.expire(now);
        let divisor = self.divisor(parameters);
        let equal_share = usable / divisor.max(1);
        if divisor <= 1 {
            return equal_share;
        }
        if now < self.ready {
            return 0;
        }
        if now.since(self.since) >= settled_age(parameters) {
            return equal_share;
        }
        equal_share.min(self.remaining_after_older(now, usable, parameters))
    }

    fn divisor(&self, parameters: &Parameters) -> u64 {
        (count(self.others.len()) + 1).max(u64::from(parameters.min_sharers))
    }

    /// Returns what remains if every older entry holds the largest share that it can have had.
    fn remaining_after_older(&self, now: Instant, usable: u64, parameters: &Parameters) -> u64 {
        let age = now.since(self.since);
        let min_age = settled_age(parameters);
        let is_settled = |other: &&Other| other.until.is_none() && other.age(now) >= min_age;
        // Views differ by up to `propagation_delay`, so this entry takes precedence only if it is older by more.
        let is_older = |other: &&Other| other.age(now) + parameters.propagation_delay >= age;
        let settled_count = count(self.others.values().filter(is_settled).count());
        let older_count = count(self.others.values().filter(is_older).count());
        let largest = usable / settled_count.max(u64::from(parameters.min_sharers)).max(1);
        usable.saturating_sub(older_count * largest)
    }

    fn expire(&mut self, now: Instant) {
        self.others
            .retain(|_, other| other.until.is_none_or(|until| until > now));
    }
}

impl Other {
    fn age(&self, now: Instant) -> Duration {
        self.age + now.since(self.seen_at)
    }
}

/// Returns the age of an entry after which all reservations made before it joined have ended: the other entries learn
/// of it within [`Parameters::settling_time`], and reservations last at most [`Parameters::max_lifetime`].
fn settled_age(parameters: &Parameters) -> Duration {
    parameters.settling_time + parameters.max_lifetime
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
