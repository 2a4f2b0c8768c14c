//! Room per target in tokens, account shares and early refusal.
//!
//! Room is the free capacity of a target. A request is charged with its prompt and the answer that is expected; what it
//! holds grows in small steps within the room, so that a target's memory is never exceeded, and the expected answers may
//! add up to more ([`Timing::overbook`]), because few requests are at their longest at the same time. The entries that share a target divide its capacity without agreement ([`Share`]); the lagging load report of the target
//! is the second bound ([`Room`]); accounts divide what an entry has ([`Accounts`]); [`Gate`] joins the three.

use std::time::Duration;

use crate::id::Account;

pub use crate::limit_account::Accounts;
pub use crate::limit_charge::Charge;
pub use crate::limit_gate::Gate;
pub use crate::limit_length::Lengths;
pub use crate::limit_room::Room;
pub use crate::limit_share::{Share, Sharer};

/// The times and bounds of the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The time within which a membership view reaches every entry.
    pub spread: Duration,
    /// How long a newcomer takes no room; longer than `spread` and `pause` together.
    pub settle: Duration,
    /// How long an entry that is gone still counts: the time in which targets drop the requests of a lost entry.
    pub rise: Duration,
    /// The longest life of a charge.
    pub hold: Duration,
    /// A turn of the loop later than this counts as a pause; the entry then begins anew.
    pub pause: Duration,
    /// The age after which a load report says nothing.
    pub report: Duration,
    /// The least number of sharers that capacities are divided by.
    pub floor: u32,
    /// The part of a capacity that is left free for estimates that were too low, in thousandths.
    pub headroom: u32,
    /// What the charges may add up to, in thousandths of the room.
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
    /// Returns what may be used of a capacity.
    pub fn usable(&self, capacity: u64) -> u64 {
        capacity - capacity * u64::from(self.headroom.min(1000)) / 1000
    }

    /// Returns what the charges in a room may add up to.
    pub fn chargeable(&self, room: u64) -> u64 {
        room * u64::from(self.overbook.max(1000)) / 1000
    }
}

/// Who asks for room, and how much.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The account that is charged.
    pub account: &'a Account,
    /// The priority of the request, from 0 to 9.
    pub priority: u8,
    /// The share that the account is entitled to, relative to the other accounts.
    pub share: u32,
    /// The tokens of the prompt and of the part of the answer that exists already.
    pub prompt: u64,
    /// The tokens that are expected to follow.
    pub expected: u64,
}

/// The part of an answer that is reserved in memory before it is produced, so that production does not wait for it.
const STEP: u64 = 128;

impl Demand<'_> {
    /// Returns what the request holds in memory at first.
    pub fn held(&self) -> u64 {
        self.prompt.saturating_add(self.expected.min(STEP))
    }

    /// Returns the whole charge.
    pub fn tokens(&self) -> u64 {
        self.prompt.saturating_add(self.expected)
    }
}

/// Why there is no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// This entry has started or was paused and waits until its share is known.
    Settling,
    /// The charge is larger than the entry's whole share of the target, so that waiting does not help.
    TooLarge,
    /// The entry's share of the target is in use, or the target reports that it is full.
    Target,
    /// The account uses its share, and the rest is kept for others.
    Account,
}

/// The answer to a demand that cannot be met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// When a retry may succeed.
    pub retry_after: Duration,
}
