//! SWIM-style membership of the entry hosts: probes, suspicion and incarnation numbers.
//!
//! Every entry maintains a [`Table`] and probes one member per second. A member that answers neither directly nor
//! through a relay is suspected, and declared dead unless it refutes the suspicion in time. Updates are piggybacked on
//! probes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{DataCentre, Entry, Region};
pub use crate::membership_settings::Settings;
pub use crate::membership_table::Table;

/// The state of a member as one entry knows it. The short field names keep messages small.
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
    /// A number that only the member itself increases; state with a higher incarnation supersedes older state.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Whether the member is reachable.
    #[serde(rename = "s")]
    pub state: State,
    /// Whether the member is leaving and accepts no new work.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub draining: bool,
    /// The highest configuration version that the member is known to have.
    #[serde(rename = "c")]
    pub config: u64,
}

/// Whether a member is reachable. For equal incarnations, the state that is later in this order takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It answers probes.
    #[serde(rename = "a")]
    Alive,
    /// It did not answer a probe and may still refute the suspicion.
    #[serde(rename = "s")]
    Suspect,
    /// It did not refute the suspicion in time.
    #[serde(rename = "d")]
    Dead,
    /// It announced that it leaves.
    #[serde(rename = "l")]
    Left,
}

/// The contents of a probe and of its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    #[serde(rename = "f")]
    pub from: Member,
    /// Updates that the sender disseminates.
    #[serde(rename = "u")]
    pub updates: Vec<Member>,
    /// A value that identifies the sender's application state, such as a hash of its rollout evidence and verdicts. A
    /// receiver with another value requests the difference.
    #[serde(rename = "h")]
    pub payload: u64,
}

/// Input of a [`Table`].
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
    Tick,
}

/// Output of a [`Table`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Probe a member.
    Ping {
        /// The number of the probe.
        probe: u64,
        /// The address of the member.
        address: SocketAddr,
        /// The message to send.
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
        /// The message to send.
        message: Message,
    },
    /// Exchange full member lists with this peer, because either side was disconnected or is new.
    Sync(SocketAddr),
    /// A member is new, or its state or its draining flag changed.
    Changed(Member),
}

impl Member {
    /// Returns whether the member counts as live. A suspected member does until the suspicion is confirmed.
    pub const fn is_live(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect)
    }

    /// Returns whether this state supersedes the other.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}
