//! The message that carries totals.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::usage::{Counts, Source};

/// Totals of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The process.
    pub from: Source,
    /// The totals by window and account. Accounts that are missing have not changed.
    pub windows: BTreeMap<u64, Counts>,
}
