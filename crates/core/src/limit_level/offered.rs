//! Recent work by priority and account.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::limit_level::{Demand, Rank};

/// The part of the work of each priority that is always admitted, so that no kind of request starves.
pub const MIN_PART: f64 = 0.05;
/// The time constant with which offered work is forgotten.
const MEMORY: Duration = Duration::from_secs(5);
/// The interval at which forgotten work is removed.
const DECAY_INTERVAL: Duration = Duration::from_millis(100);
/// The number of recent requests of an account below which it is forgotten.
const MIN_REQUESTS: f64 = 0.02;

/// The work that callers asked for lately, whether it was admitted or not.
#[derive(Clone, Debug, Default)]
pub struct Offered {
    priorities: BTreeMap<u8, BTreeMap<String, Share>>,
    decayed_at: Instant,
}

/// The work of an account in one priority.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    /// The offered work, in the unit of [`Demand::work`].
    work: f64,
    /// The admitted part of that work.
    admitted: f64,
    requests: f64,
    weight: f64,
    /// The number of admissions that are due, below 1 between two requests. Refusals add to it, so that an account that
    /// was refused goes first when it returns.
    credit: f64,
}

impl Offered {
    /// Records a request. `random`, between 0 and 1, spreads the first admissions of an account over the hosts.
    pub fn record(&mut self, now: Instant, demand: &Demand<'_>, random: f64) {
        self.decay(now);
        let accounts = self.priorities.entry(demand.priority).or_default();
        if !accounts.contains_key(demand.account) {
            let share = Share {
                credit: random,
                ..Share::default()
            };
            accounts.insert(demand.account.to_owned(), share);
        }
        if let Some(share) = accounts.get_mut(demand.account) {
            share.work += demand.work;
            share.requests += 1.0;
            share.weight = f64::from(demand.weight.max(1));
        }
    }

    /// Returns the part of an account's requests that is admitted at a level, from 0 to 1, and the rank of the request.
    pub fn part(&self, demand: &Demand<'_>, level: f64) -> (f64, Rank) {
        let total = self.priorities.values().map(work_of).sum::<f64>();
        let ahead = self
            .priorities
            .range(..demand.priority)
            .map(|(_, accounts)| work_of(accounts));
        let behind = self
            .priorities
            .iter()
            .filter(|(priority, _)| **priority > demand.priority);
        // The minimum parts of the less urgent work count too; otherwise more than the level would be admitted.
        let reserved = MIN_PART * behind.map(|(_, accounts)| work_of(accounts)).sum::<f64>();
        let room = level * total - ahead.sum::<f64>() - reserved;
        let accounts = self.priorities.get(&demand.priority);
        let Some((accounts, share)) = accounts.and_then(|all| Some((all, all.get(demand.account)?))) else {
            return (1.0, rank(demand, 1.0));
        };
        let least = MIN_PART * work_of(accounts);
        let fill = fill_level(accounts, room.max(least));
        let part = (fill * share.weight / share.work).min(1.0);
        (part, rank(demand, 1.0 / part))
    }

    /// Decides on a request for which `part` of the requests of its account is admitted.
    pub fn admit(&mut self, demand: &Demand<'_>, part: f64) -> bool {
        let accounts = self.priorities.get_mut(&demand.priority);
        let Some(share) = accounts.and_then(|accounts| accounts.get_mut(demand.account)) else {
            return true;
        };
        share.credit = (share.credit + part).min(1.0);
        // The sum of rounded parts may miss a whole number by a little.
        let is_admitted = share.credit >= 1.0 - f64::EPSILON.sqrt();
        if is_admitted {
            share.credit -= 1.0;
        }
        is_admitted
    }

    /// Returns whether an account offers more than its weighted share of the work in its priority.
    pub fn is_above_share(&self, demand: &Demand<'_>) -> bool {
        let accounts = self.priorities.get(&demand.priority);
        let Some((accounts, share)) = accounts.and_then(|all| Some((all, all.get(demand.account)?))) else {
            return false;
        };
        let weight = accounts.values().map(|share| share.weight).sum::<f64>();
        share.work * weight > work_of(accounts) * share.weight
    }

    /// Records the admission of a request that was recorded before.
    pub fn record_admitted(&mut self, demand: &Demand<'_>) {
        let accounts = self.priorities.get_mut(&demand.priority);
        if let Some(share) = accounts.and_then(|accounts| accounts.get_mut(demand.account)) {
            share.admitted += demand.work;
        }
    }

    /// Returns the part of the admitted work that is at least as urgent as a priority, from 0 to 1; 1 without any.
    pub fn ahead_part(&self, priority: u8) -> f64 {
        let total = self.priorities.values().map(admitted_of).sum::<f64>();
        let ahead = self
            .priorities
            .range(..=priority)
            .map(|(_, accounts)| admitted_of(accounts));
        if total > 0.0 { ahead.sum::<f64>() / total } else { 1.0 }
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.since(self.decayed_at);
        if elapsed < DECAY_INTERVAL {
            return;
        }
        self.decayed_at = now;
        let factor = (-elapsed.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        for accounts in self.priorities.values_mut() {
            for share in accounts.values_mut() {
                share.work *= factor;
                share.admitted *= factor;
                share.requests *= factor;
            }
            accounts.retain(|_, share| share.requests >= MIN_REQUESTS);
        }
        self.priorities.retain(|_, accounts| !accounts.is_empty());
    }
}

fn rank(demand: &Demand<'_>, excess: f64) -> Rank {
    Rank {
        priority: demand.priority,
        excess,
    }
}

fn work_of(accounts: &BTreeMap<String, Share>) -> f64 {
    accounts.values().map(|share| share.work).sum()
}

fn admitted_of(accounts: &BTreeMap<String, Share>) -> f64 {
    accounts.values().map(|share| share.admitted).sum()
}

/// Returns the work for each unit of weight that each account may have, so that all together have `room` and none has
/// more than it offered (weighted max-min fairness).
fn fill_level(accounts: &BTreeMap<String, Share>, room: f64) -> f64 {
    let mut shares = accounts.values().collect::<Vec<_>>();
    shares.sort_by(|one, other| (one.work / one.weight).total_cmp(&(other.work / other.weight)));
    let mut room = room;
    let mut weight = shares.iter().map(|share| share.weight).sum::<f64>();
    for share in shares {
        if share.work * weight > room * share.weight {
            return room / weight;
        }
        room -= share.work;
        weight -= share.weight;
    }
    f64::INFINITY
}
