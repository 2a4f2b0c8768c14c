//! A process that counts requests.

use hawthornpost_core::id::Entry;
use serde::{Deserialize, Serialize};

/// A process of a host. Its totals only grow; a process that is started anew begins at zero under another number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Source {
    /// The host.
    pub host: Entry,
    /// A random number that tells the processes of a host apart.
    pub process: u64,
}
