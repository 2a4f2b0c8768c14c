//! Targets listed by the platform.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// An incarnation of a server of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The id; a restarted server usually gets a new one.
    pub id: String,
    /// The name of the service.
    pub service: String,
    /// The address for requests.
    pub address: SocketAddr,
    /// The data centre.
    pub data_centre: String,
    /// The software version.
    pub version: String,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is draining and accepts no new requests.
    pub is_leaving: bool,
    /// The start time in Unix milliseconds, which distinguishes a restart under the same id.
    pub started: Option<u64>,
}

impl Target {
    /// Returns whether both are the same incarnation of the same server.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        let has_same_start = self.started.is_none() || other.started.is_none() || self.started == other.started;
        self.id == other.id && self.address == other.address && has_same_start
    }
}
