//! Division of an entry's quota among accounts.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id::Account;

/// How long an account counts as active after its last request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The utilisation of the quota, in thousandths, up to which the lowest priority may exceed its account's share.
const MIN_BORROW_PERMILLE: u64 = 800;
/// The increment of this utilisation per priority level, in thousandths: priority 5 may borrow up to 90 %, priority 9
/// up to 98 %.
const BORROW_PERMILLE_PER_PRIORITY: u64 = 20;

/// The usage and the share of each account.
///
/// An account may always use its share of the quota among the active accounts. It may borrow unused quota beyond its
/// share, up to a utilisation that depends on the priority of the request; the rest is reserved for accounts below
/// their share. `discovery` spreads the callers of an account over the entries, so that the shares at all entries add
/// up to the account's share of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    usage: BTreeMap<Account, Usage>,
    used: u64,
    active_shares: u64,
    swept_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Usage {
    tokens: u64,
    share: u32,
    last_request: Instant,
}

impl Accounts {
    /// Records a request of an account and the account's weight.
    pub fn record_request(&mut self, now: Instant, account: &Account, share: u32) {
        self.sweep(now);
        self.active_shares += u64::from(share);
        let usage = self.usage.entry(account.clone()).or_insert(Usage {
            tokens: 0,
            share: 0,
            last_request: now,
        });
        self.active_shares -= u64::from(usage.share);
        usage.share = share;
        usage.last_request = now;
    }

    /// Returns whether the account may use `tokens` more tokens of a quota of `total` tokens.
    pub fn allows(&self, account: &Account, priority: u8, tokens: u64, total: u64) -> bool {
        let borrowable =
            total * (MIN_BORROW_PERMILLE + BORROW_PERMILLE_PER_PRIORITY * u64::from(priority.min(9))) / 1000;
        if self.used + tokens <= borrowable {
            return true;
        }
        let Some(usage) = self.usage.get(account) else {
            return false;
        };
        let entitled = total * u64::from(usage.share) / self.active_shares.max(1);
        usage.tokens + tokens <= entitled && self.used + tokens <= total
    }

    /// Returns the tokens that an account uses.
    pub fn used_by(&self, account: &Account) -> u64 {
        self.usage.get(account).map_or(0, |usage| usage.tokens)
    }

    /// Returns the tokens that all accounts use.
    pub fn used(&self) -> u64 {
        self.used
    }

    pub(crate) fn reserve(&mut self, account: &Account, tokens: u64) {
        self.used += tokens;
        if let Some(usage) = self.usage.get_mut(account) {
            usage.tokens += tokens;
        }
    }

    pub(crate) fn release(&mut self, account: &Account, tokens: u64) {
        self.used = self.used.saturating_sub(tokens);
        if let Some(usage) = self.usage.get_mut(account) {
            usage.tokens = usage.tokens.saturating_sub(tokens);
        }
    }

    /// Removes idle accounts, so that memory use follows the active accounts and their shares go to the others.
    fn sweep(&mut self, now: Instant) {
        if now.since(self.swept_at) < IDLE_TIMEOUT / 4 {
            return;
        }
        self.swept_at = now;
        self.usage
            .retain(|_, usage| usage.tokens > 0 || now.since(usage.last_request) < IDLE_TIMEOUT);
        self.active_shares = self.usage.values().map(|usage| u64::from(usage.share)).sum();
    }
}
