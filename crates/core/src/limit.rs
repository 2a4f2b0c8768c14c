//! Admission control: token quotas per target, fair shares of accounts and early rejection.
//!
//! A request is charged with its prompt and its expected answer. The memory that it reserves grows in small steps
//! within the quota, so that the memory of a target is never exceeded. The charges may add up to more than the quota
//! ([`Timing::overbook`]), because few requests reach their maximum length at the same time.
//!
//! The entries that share a target divide its capacity without coordination ([`Share`]). The load report of the target,
//! which lags behind, is a second bound ([`Room`]). Accounts divide the quota of an entry ([`Accounts`]). [`Gate`]
//! combines the three.

use std::time::Duration;

use crate::id::Account;

pub use crate::limit_account::Accounts;
pub use crate::limit_charge::Charge;
pub use crate::limit_gate::Gate;
pub use crate::limit_length::Lengths;
pub use crate::limit_room::Room;
pub use crate::limit_share::{Share, Sharer};

/// Time constants and bounds of admission control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The maximum time until a membership view reaches every entry.
    pub spread: Duration,
    /// How long a new entry reserves nothing; longer than `spread` and `pause` together.
    pub settle: Duration,
    /// How long an entry that is gone still counts: the time in which targets drop the requests of a failed entry.
    pub rise: Duration,
    /// The maximum lifetime of a reservation.
    pub hold: Duration,
    /// The time between two ticks above which the process counts as paused, so that its shares are invalidated.
    pub pause: Duration,
    /// The age after which a load report is ignored.
    pub report: Duration,
    /// The minimum number of entries by which capacities are divided.
    pub floor: u32,
    /// The part of a capacity that is kept free to absorb underestimates, in thousandths.
    pub headroom: u32,
    /// The maximum sum of the charges, in thousandths of the quota.
    pub overbook: u32,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            spread: Duration::from_secs(5),
            settle: Duration::from_secs(8),
            rise: Duration::from_secs(10),
            hold: Duration::from_secs(600),
            pause: Duration::from_secs(1),
            report: Duration::from_secs(3),
            floor: 1,
            headroom: 50,
            overbook: 1350,
        }
    }
}

impl Timing {
    /// Returns the usable part of a capacity.
    pub fn usable(&self, capacity: u64) -> u64 {
        capacity - capacity * u64::from(self.headroom.min(1000)) / 1000
    }

    /// Returns the maximum sum of the charges within a quota.
    pub fn chargeable(&self, quota: u64) -> u64 {
        quota * u64::from(self.overbook.max(1000)) / 1000
    }
}

/// A request for admission.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The account that is charged.
    pub account: &'a Account,
    /// The priority of the request, from 0 to 9.
    pub priority: u8,
    /// The weight of the account, relative to the other accounts.
    pub share: u32,
    /// The tokens of the prompt and of the part of the answer that was already generated.
    pub prompt: u64,
    /// The tokens that are expected to follow.
    pub expected: u64,
}

/// The tokens of an answer that are reserved before they are generated, so that generation does not wait for memory.
const RESERVATION_STEP_TOKENS: u64 = 128;

impl Demand<'_> {
    /// Returns the tokens of memory that the request reserves initially.
    pub fn held(&self) -> u64 {
        self.prompt.saturating_add(self.expected.min(RESERVATION_STEP_TOKENS))
    }

    /// Returns the tokens that the request is charged with: prompt and expected answer.
    pub fn tokens(&self) -> u64 {
        self.prompt.saturating_add(self.expected)
    }
}

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// This entry was started or paused recently and waits until its share is known.
    Settling,
    /// The request exceeds the entry's whole share of the target, so waiting does not help.
    TooLarge,
    /// The entry's share of the target is exhausted, or the target reports that it is full.
    Target,
    /// The account has exhausted its share, and the rest is reserved for other accounts.
    Account,
}

/// The rejection of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The cause of the rejection.
    pub cause: Cause,
    /// The estimated time until a retry may succeed.
    pub retry_after: Duration,
}
