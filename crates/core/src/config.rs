//! Versioned configuration.
//!
//! A version is a [`Document`], stored as immutable, content-addressed [`Chunk`]s and one [`Head`] that lists their
//! hashes. A version is accepted when the conditional write of its head succeeds. A [`Writer`] performs that write for
//! an operator, a [`Tracker`] keeps an entry at the highest version that it has seen, [`Freshness`] decides whether the
//! entry may accept new work, and [`Status`] reports which members have a version.

use serde::{Deserialize, Serialize};

pub use crate::config_chunk::Chunk;
pub use crate::config_diff::{Change, Difference, diff};
pub use crate::config_digest::Digest;
pub use crate::config_freshness::{Freshness, Reach};
pub use crate::config_head::{Head, Proposal, Summary};
pub use crate::config_snapshot::Snapshot;
pub use crate::config_status::Status;
pub use crate::config_tracker::{Command, Event, Source, Tracker};
pub use crate::config_writer::{Outcome, PutAnswer, Reply, Step, Stored, Writer};
use crate::error::Result;
use crate::inventory::Register;
use crate::rules::Rules;

/// One version of inventory and rules.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The number of the version; higher is newer.
    pub version: u64,
    /// The inventory.
    pub inventory: Register,
    /// The rules.
    pub rules: Rules,
}

impl Document {
    /// Parses inventory and rules and checks them against each other.
    ///
    /// # Errors
    ///
    /// Fails at the first line or section that is malformed or conflicts with another one.
    pub fn parse(version: u64, inventory_csv: &str, rules_ini: &str) -> Result<Self> {
        let document = Self {
            version,
            inventory: Register::import(inventory_csv)?,
            rules: Rules::parse(rules_ini)?,
        };
        document.rules.check(&document.inventory)?;
        Ok(document)
    }
}
