//! UDP datagrams between entry hosts.

use std::collections::BTreeMap;

use hawthornpost_core::id::Entry;
use hawthornpost_core::membership::{Member, Message};
use serde::{Deserialize, Serialize};

use crate::budget::Usage;
use crate::departures::Departure;
use crate::feed::Update;
use crate::load::Load;
use crate::prompt::Parts;
use crate::quarantine::{Crash, Snapshot};
use crate::target::Target;
use crate::trial::Observation;

/// A datagram to another entry host.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Datagram {
    /// A membership probe.
    Ping { probe: u64, message: Message },
    /// The response to a probe.
    Pong { probe: u64, message: Message },
    /// Requests an indirect probe of another host.
    PingVia {
        probe: u64,
        target: Entry,
        message: Message,
    },
    /// The sender's full membership table.
    View { members: Vec<Member> },
    /// The sender's load at some targets (see [`crate::load_report`]), and its requests and retries in the last window.
    Loads {
        from: Entry,
        loads: BTreeMap<String, Load>,
        used: BTreeMap<String, Usage>,
    },
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
}
