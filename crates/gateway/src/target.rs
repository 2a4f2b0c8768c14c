//! Targets as the platform lists them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One incarnation of a server of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The id; a restarted server mostly has another one.
    pub id: String,
    /// The name of the service.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The data centre.
    pub data_centre: String,
    /// The version of its software.
    pub version: String,
    /// The requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work because it is leaving.
    pub is_leaving: bool,
    /// When it started, in Unix milliseconds; tells a restart under the same id.
    pub started: Option<u64>,
}

impl Target {
    /// Returns whether both are the same life of the same server.
    pub fn is_same_life(&self, other: &Self) -> bool {
        let has_same_start = self.started.is_none() || other.started.is_none() || self.started == other.started;
        self.id == other.id && self.address == other.address && has_same_start
    }
}
