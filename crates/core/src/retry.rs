//! Retry budgets.
//!
//! Retries are limited to a small fraction of the first attempts, so that a failing target or account does not amplify
//! its own load.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id::{Account, Target};

/// The retries that each first attempt adds to the budget.
const RETRIES_PER_ATTEMPT: f64 = 0.1;
/// The retries that are added per second regardless of first attempts, so that an account with little traffic can
/// retry.
const MIN_RETRIES_PER_SECOND: f64 = 0.1;
/// The maximum balance from first attempts and elapsed time.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// The number of generated tokens that add one retry. A generation that is lost after this many tokens has earned
/// the retry that resumes it, so the loss of an engine with many long generations does not exhaust the budget.
const TOKENS_PER_RETRY: f64 = 256.0;
/// The maximum balance from generated tokens; an engine serves fewer requests concurrently.
const MAX_EARNED_RETRIES: f64 = 512.0;
/// The time after which an unused balance is removed; by then [`MIN_RETRIES_PER_SECOND`] has refilled it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(100);

/// Retry budgets of each target and each account.
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
    swept_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Balance {
    saved: f64,
    earned: f64,
    updated_at: Instant,
}

impl Budget {
    /// Records the first attempt of a request at a target.
    pub fn deposit(&mut self, now: Instant, target: &Target, account: &Account) {
        self.sweep(now);
        Balance::get_or_insert(&mut self.targets, target, now).add(RETRIES_PER_ATTEMPT);
        Balance::get_or_insert(&mut self.accounts, account, now).add(RETRIES_PER_ATTEMPT);
    }

    /// Records tokens that a target generated for an account.
    pub fn earn(&mut self, now: Instant, target: &Target, account: &Account, tokens: u32) {
        let retries = f64::from(tokens) / TOKENS_PER_RETRY;
        Balance::get_or_insert(&mut self.targets, target, now).earn(retries);
        Balance::get_or_insert(&mut self.accounts, account, now).earn(retries);
    }

    /// Returns whether a request may be retried after it failed at this target, and withdraws the retry if so.
    #[must_use = "a retry that is not allowed has to be answered with an error"]
    pub fn withdraw(&mut self, now: Instant, failed: &Target, account: &Account) -> bool {
        self.sweep(now);
        let target = Balance::get_or_insert(&mut self.targets, failed, now);
        let account = Balance::get_or_insert(&mut self.accounts, account, now);
        let allowed = target.total() >= 1.0 && account.total() >= 1.0;
        if allowed {
            target.spend();
            account.spend();
        }
        allowed
    }

    /// Returns the number of balances in memory.
    pub fn len(&self) -> usize {
        self.targets.len() + self.accounts.len()
    }

    /// Returns whether there are no balances in memory.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn sweep(&mut self, now: Instant) {
        if now.since(self.swept_at) < IDLE_TIMEOUT {
            return;
        }
        self.swept_at = now;
        self.targets
            .retain(|_, balance| now.since(balance.updated_at) < IDLE_TIMEOUT);
        self.accounts
            .retain(|_, balance| now.since(balance.updated_at) < IDLE_TIMEOUT);
    }
}

impl Balance {
    fn get_or_insert<'a, K: Clone + Ord>(balances: &'a mut BTreeMap<K, Self>, key: &K, now: Instant) -> &'a mut Self {
        let full = Self {
            saved: MAX_SAVED_RETRIES,
            earned: 0.0,
            updated_at: now,
        };
        let balance = balances.entry(key.clone()).or_insert(full);
        balance.add(now.since(balance.updated_at).as_secs_f64() * MIN_RETRIES_PER_SECOND);
        balance.updated_at = now;
        balance
    }

    fn add(&mut self, retries: f64) {
        self.saved = (self.saved + retries).min(MAX_SAVED_RETRIES);
    }

    fn earn(&mut self, retries: f64) {
        self.earned = (self.earned + retries).min(MAX_EARNED_RETRIES);
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
