//! Division of an entry's room among accounts.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::id::Account;

/// How long an account counts as active after its last request.
const ACTIVE_FOR: Duration = Duration::from_secs(60);
/// The part of the room, in thousandths, that the lowest priority may fill beyond its account's share.
const BORROW_BASE: u64 = 800;
/// What each step of priority adds to that part, in thousandths: priority 5 borrows up to 90 %, priority 9 up to 98 %.
const BORROW_STEP: u64 = 20;

/// What each account uses, and what it is entitled to.
///
/// An account may always use its share of the room among the active accounts. It may borrow idle room beyond its share
/// up to a bound that depends on its priority; the rest is kept for accounts that are below their share. Callers of an
/// account are spread over the entries by `discovery`, so that the shares of all entries add up to the account's share
/// of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    usage: BTreeMap<Account, Usage>,
    used: u64,
    active_shares: u64,
    swept: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Usage {
    tokens: u64,
    share: u32,
    asked: Instant,
}

impl Accounts {
    /// Records that an account asks for room.
    pub fn ask(&mut self, now: Instant, account: &Account, share: u32) {
        self.sweep(now);
        self.active_shares += u64::from(share);
        let usage = self.usage.entry(account.clone()).or_insert(Usage {
            tokens: 0,
            share: 0,
            asked: now,
        });
        self.active_shares -= u64::from(usage.share);
        usage.share = share;
        usage.asked = now;
    }

    /// Returns whether the account may use this many more tokens of a room of `total` tokens.
    pub fn allows(&self, account: &Account, priority: u8, tokens: u64, total: u64) -> bool {
        let lent = total * (BORROW_BASE + BORROW_STEP * u64::from(priority.min(9))) / 1000;
        if self.used + tokens <= lent {
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

    /// Forgets idle accounts, so that memory follows the active accounts and their shares go to the others.
    fn sweep(&mut self, now: Instant) {
        if now.since(self.swept) < ACTIVE_FOR / 4 {
            return;
        }
        self.swept = now;
        self.usage
            .retain(|_, usage| usage.tokens > 0 || now.since(usage.asked) < ACTIVE_FOR);
        self.active_shares = self.usage.values().map(|usage| u64::from(usage.share)).sum();
    }
}
