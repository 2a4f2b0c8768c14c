//! Membership of entry hosts: probes, suspicion and incarnation numbers.
//!
//! Every entry keeps a [`Table`] and probes one member a second. A member that answers neither directly nor through
//! other members is suspected, and dead when it does not contradict in time. Changes travel on the probes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{DataCentre, Entry, Region};
pub use crate::membership_settings::Settings;
pub use crate::membership_table::Table;

/// What an entry knows of a member. The short field names keep messages small.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The name.
    #[serde(rename = "n")]
    pub name: Entry,
    /// The address for peers.
    #[serde(rename = "p")]
    pub peer_address: SocketAddr,
    /// The address for callers.
    #[serde(rename = "a")]
    pub caller_address: SocketAddr,
    /// The data centre.
    #[serde(rename = "d")]
    pub data_centre: DataCentre,
    /// The region.
    #[serde(rename = "r")]
    pub region: Region,
    /// A number that only the member itself raises; higher knowledge replaces lower.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Whether the member is reachable.
    #[serde(rename = "s")]
    pub state: State,
    /// Whether the member takes no new work because it is leaving.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub draining: bool,
    /// The highest configuration version that the member was seen to have.
    #[serde(rename = "c")]
    pub config: u64,
}

/// Whether a member is reachable; of equal incarnations the later state wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    #[serde(rename = "a")]
    Alive,
    /// It did not answer and may still contradict.
    #[serde(rename = "s")]
    Suspect,
    /// It did not answer for long.
    #[serde(rename = "d")]
    Dead,
    /// It said that it leaves.
    #[serde(rename = "l")]
    Left,
}

/// What a probe and its answer carry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    #[serde(rename = "f")]
    pub from: Member,
    /// Changes that the sender passes on.
    #[serde(rename = "u")]
    pub updates: Vec<Member>,
    /// A hash of the sender's evidence and verdicts; a receiver with another one asks for the difference.
    #[serde(rename = "h")]
    pub payload: u64,
}

/// What the table learns from outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A probe was answered, or a relay reached the probed member.
    Answered {
        /// The number of the probe.
        probe: u64,
        /// The answer of the member or the relay.
        message: Message,
    },
    /// A deadline passed.
    Wake,
}

/// What the table needs to have done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Probe a member.
    Ping {
        /// The number of the probe.
        probe: u64,
        /// Where to.
        address: SocketAddr,
        /// What to send.
        message: Message,
    },
    /// Ask a relay to probe a member.
    PingVia {
        /// The number of the probe.
        probe: u64,
        /// The relay's address.
        relay: SocketAddr,
        /// The member to probe.
        target: Entry,
        /// What to send.
        message: Message,
    },
    /// Exchange whole views with this peer, because either side was cut off or is new.
    Sync(SocketAddr),
    /// A member is new or its state or drain mark changed.
    Changed(Member),
}

impl Member {
    /// Returns whether the member counts as live; suspected members do until the suspicion is confirmed.
    pub const fn is_live(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect)
    }

    /// Returns whether this knowledge replaces the other.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}
