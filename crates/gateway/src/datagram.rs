//! UDP datagrams between entry hosts.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use hawthornpost_core::id::Entry;
use hawthornpost_core::membership::{Member, Message};
use serde::{Deserialize, Serialize};

use crate::budget::Usage;
use crate::compression;
use crate::departures::Departure;
use crate::feed::Update;
use crate::load::Load;
use crate::prompt::Parts;
use crate::quarantine::{Crash, Snapshot};
use crate::target::Target;
use crate::trial::Observation;
use crate::usage::Batch;

/// The maximum size of a datagram.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 60 << 10;
/// The size from which datagrams are compressed. It is about what one packet carries.
const MIN_COMPRESSED_BYTES: usize = 1200;
/// The maximum size of a datagram after decompression.
const MAX_CONTENT_BYTES: usize = 1 << 20;
/// The number of changes up to which an update is small.
const MAX_SMALL_CHANGES: usize = 8;
/// The first byte of compressed contents, with which JSON cannot begin.
const COMPRESSED_MARK: u8 = 0x1f;

/// A datagram to another entry host.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Datagram {
    /// A membership probe.
    Ping {
        probe: u64,
        message: Message,
        /// The wall time of the sender in milliseconds since the start of 1970, if usage is counted.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        wall_ms: Option<u64>,
    },
    /// The response to a probe.
    Pong {
        probe: u64,
        message: Message,
        /// The wall time of the sender in milliseconds since the start of 1970, if usage is counted.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        wall_ms: Option<u64>,
    },
    /// Requests an indirect probe of another host.
    PingVia {
        probe: u64,
        target: Entry,
        message: Message,
    },
    /// A part of the sender's membership table.
    View { members: Vec<Member> },
    /// The sender's load.
    Loads(LoadReport),
    /// The sender's load, to be reported to all hosts by the receiver.
    CollectedLoads(LoadReport),
    /// The loads of several hosts.
    LoadBatch(Vec<LoadReport>),
    /// Contents for all hosts of the receiver's data centre.
    Relayed(Box<Datagram>),
    /// The sender suspects a target.
    Suspect { target: String },
    /// An engine crashed while a request of the sender with these parts was waiting for its first event.
    Crash { crash: Crash, parts: Parts },
    /// An engine has begun to answer suspected parts.
    Cleared { parts: Parts },
    /// What the sender knows of parts that crash engines.
    Quarantine(Snapshot),
    /// Changes that the sender has read from the store as a watcher.
    Feed(Update),
    /// The sender's results of the trial of a version.
    Trial { from: Entry, told: Observation },
    /// The sender found another incarnation at a target's address, described by `successor` if it is known.
    Replaced { target: String, successor: Option<Target> },
    /// Targets that have announced that they are leaving.
    Departures(Vec<Departure>),
    /// The usage that the sender has counted.
    Usage(Batch),
    /// The host at this address holds the duty of reporting the usage and receives totals from now on.
    UsageWanted { address: SocketAddr },
}

/// The load of a host at some targets (see [`crate::load_report`]), and its requests and retries in the last window.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct LoadReport {
    pub from: Entry,
    pub loads: BTreeMap<String, Load>,
    pub used: BTreeMap<String, Usage>,
    /// The levels of overloaded services, in thousandths; see [`crate::overload`].
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub levels: BTreeMap<String, u16>,
}

/// The reason why a datagram cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    #[error("cannot decompress: {0}")]
    Compression(#[from] io::Error),
    #[error("{0}; check that all hosts run the same release")]
    Json(#[from] serde_json::Error),
}

impl Datagram {
    /// Returns whether the datagram carries many changes of the store.
    pub(crate) fn is_bulk(&self) -> bool {
        match self {
            Self::Feed(Update::Targets { changes, .. }) => changes.len() > MAX_SMALL_CHANGES,
            Self::Feed(Update::AllTargets { .. }) => true,
            _ => false,
        }
    }

    /// Encodes the datagram, compressed if it is large.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, Failure> {
        let json = serde_json::to_vec(self)?;
        if json.len() < MIN_COMPRESSED_BYTES {
            return Ok(json);
        }
        Ok(compression::compress(&json)?)
    }

    /// Decodes a datagram.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, Failure> {
        if bytes.first() != Some(&COMPRESSED_MARK) {
            return Ok(serde_json::from_slice(bytes)?);
        }
        let json = compression::decompress(bytes, MAX_CONTENT_BYTES)?;
        Ok(serde_json::from_slice(&json)?)
    }
}
