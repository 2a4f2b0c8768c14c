//! Whole versions of the configuration.

use serde::{Deserialize, Serialize};

use crate::inventory::Register;
use crate::rules::Rules;

/// A whole version of inventory and rules.
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
