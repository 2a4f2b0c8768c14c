//! Admission control: token quotas per target, fair shares of accounts and early rejection.
//!
//! A request is charged with its prompt and its expected answer. The memory that it reserves grows in small steps
//! within the quota, so that the memory of a target is never exceeded. The charges may add up to more than the quota
//! ([`Parameters::overbooking_permille`]), because few requests reach their maximum length at the same time.
//!
//! The entries that share a target divide its capacity without coordination ([`Share`]). The load report of the target,
//! which lags behind, is a second bound ([`Quota`]). Accounts divide the quota of an entry ([`Accounts`]). [`Limiter`]
//! combines the three.

use std::time::Duration;

use crate::id::Account;

pub use crate::limit_account::Accounts;
pub use crate::limit_length::Lengths;
pub use crate::limit_limiter::Limiter;
pub use crate::limit_quota::Quota;
pub use crate::limit_reservation::Reservation;
pub use crate::limit_share::{Share, Sharer};

/// Time constants and bounds of admission control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parameters {
    /// The maximum time until a membership view reaches every entry.
    pub propagation_delay: Duration,
    /// How long a new entry reserves nothing; longer than `propagation_delay` and `pause_threshold` together.
    pub settling_time: Duration,
    /// How long an entry that is gone still counts: the time in which targets drop the requests of a failed entry.
    pub growth_delay: Duration,
    /// The maximum lifetime of a reservation.
    pub max_lifetime: Duration,
    /// The time between two ticks above which the process counts as paused, so that its shares are invalidated.
    pub pause_threshold: Duration,
    /// The age after which a load report is ignored.
    pub max_report_age: Duration,
    /// The minimum number of entries by which capacities are divided.
    pub min_sharers: u32,
    /// The part of a capacity that is kept free to absorb underestimates, in thousandths.
    pub headroom_permille: u32,
    /// The maximum sum of the charges, in thousandths of the quota.
    pub overbooking_permille: u32,
}

impl Default for Parameters {
    fn default() -> Self {
        Self {
            propagation_delay: Duration::from_secs(5),
            settling_time: Duration::from_secs(8),
            growth_delay: Duration::from_secs(10),
            max_lifetime: Duration::from_secs(600),
            pause_threshold: Duration::from_secs(1),
            max_report_age: Duration::from_secs(3),
            min_sharers: 1,
            headroom_permille: 50,
            overbooking_permille: 1350,
        }
    }
}

impl Parameters {
    /// Returns the usable part of a capacity.
    pub fn usable(&self, capacity: u64) -> u64 {
        capacity - capacity * u64::from(self.headroom_permille.min(1000)) / 1000
    }

    /// Returns the maximum sum of the charges within a quota.
    pub fn chargeable(&self, quota: u64) -> u64 {
        quota * u64::from(self.overbooking_permille.max(1000)) / 1000
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
    pub fn reserved(&self) -> u64 {
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
