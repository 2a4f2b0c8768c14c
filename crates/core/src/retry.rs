//! Retry budgets.
//!
//! A retry is allowed only while retries are a small part of the first tries, so that a failing target or account does
//! not multiply its own load.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id::{Account, Target};

/// The retries that each first try pays for.
const RATIO: f64 = 0.1;
/// Retries per second that are allowed without first tries, so that a quiet account is not left without any.
const TRICKLE: f64 = 0.1;
/// The largest number of retries that first tries and time can save up.
const MAX_SAVED: f64 = 10.0;
/// The tokens that pay for one retry. A generation that is lost after this many has paid for its own resume, so that the
/// loss of an engine with many long generations does not exhaust the budget.
const TOKENS_PER_RETRY: f64 = 256.0;
/// The largest number of retries that tokens can save up; an engine serves fewer requests at once.
const MAX_EARNED: f64 = 512.0;
/// How long an unused balance is remembered; by then the trickle has filled it up.
const REMEMBERED: Duration = Duration::from_secs(100);

/// Budgets of retries for each target and each account.
///
/// ```
/// use hawthornpost_core::clock::Instant;
/// use hawthornpost_core::retry::Budget;
///
/// let (target, account) = ("engine-1".parse()?, "crews".parse()?);
/// let mut budget = Budget::default();
/// let allowed = (0..100).filter(|_| budget.withdraw(Instant::ZERO, &target, &account)).count();
/// assert_eq!(allowed, 10);
/// # Ok::<(), hawthornpost_core::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Budget {
    targets: BTreeMap<Target, Balance>,
    accounts: BTreeMap<Account, Balance>,
    swept: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Balance {
    saved: f64,
    earned: f64,
    at: Instant,
}

impl Budget {
    /// Records a first try at a target.
    pub fn deposit(&mut self, now: Instant, target: &Target, account: &Account) {
        self.sweep(now);
        Balance::of(&mut self.targets, target, now).add(RATIO);
        Balance::of(&mut self.accounts, account, now).add(RATIO);
    }

    /// Records tokens that a target produced for an account.
    pub fn earn(&mut self, now: Instant, target: &Target, account: &Account, tokens: u32) {
        let retries = f64::from(tokens) / TOKENS_PER_RETRY;
        Balance::of(&mut self.targets, target, now).earn(retries);
        Balance::of(&mut self.accounts, account, now).earn(retries);
    }

    /// Returns whether a request may be tried again after it failed at this target, and charges the retry.
    #[must_use = "a retry that is not allowed has to be answered with an error"]
    pub fn withdraw(&mut self, now: Instant, failed: &Target, account: &Account) -> bool {
        self.sweep(now);
        let target = Balance::of(&mut self.targets, failed, now);
        let account = Balance::of(&mut self.accounts, account, now);
        let allowed = target.total() >= 1.0 && account.total() >= 1.0;
        if allowed {
            target.spend();
            account.spend();
        }
        allowed
    }

    /// Returns the number of balances that are remembered.
    pub fn len(&self) -> usize {
        self.targets.len() + self.accounts.len()
    }

    /// Returns whether no balance is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn sweep(&mut self, now: Instant) {
        if now.since(self.swept) < REMEMBERED {
            return;
        }
        self.swept = now;
        self.targets.retain(|_, balance| now.since(balance.at) < REMEMBERED);
        self.accounts.retain(|_, balance| now.since(balance.at) < REMEMBERED);
    }
}

impl Balance {
    fn of<'a, K: Clone + Ord>(balances: &'a mut BTreeMap<K, Self>, key: &K, now: Instant) -> &'a mut Self {
        let full = Self {
            saved: MAX_SAVED,
            earned: 0.0,
            at: now,
        };
        let balance = balances.entry(key.clone()).or_insert(full);
        balance.add(now.since(balance.at).as_secs_f64() * TRICKLE);
        balance.at = now;
        balance
    }

    fn add(&mut self, retries: f64) {
        self.saved = (self.saved + retries).min(MAX_SAVED);
    }

    fn earn(&mut self, retries: f64) {
        self.earned = (self.earned + retries).min(MAX_EARNED);
    }

    fn total(&self) -> f64 {
        self.saved + self.earned
    }

    fn spend(&mut self) {
        let earned = self.earned.min(1.0);
        self.earned -= earned;
        self.saved -= 1.0 - earned;
    }
}
