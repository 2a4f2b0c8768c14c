//! The parts of a prompt.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

/// The maximum length of a part's id in bytes; parts with longer ids are ignored.
const MAX_ID_BYTES: usize = 64;

/// The id of a part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Part(String);

/// The parts of a prompt that other requests may contain as well.
pub type Parts = BTreeSet<Part>;

impl Part {
    /// The maximum number of parts of a prompt that are considered.
    pub const MAX_PER_PROMPT: usize = 32;

    /// Creates an id; `None` if it is empty or too long.
    ///
    /// ```
    /// use hawthornpost_gateway::prompt::Part;
    ///
    /// assert_eq!(Part::new("5c1e07a2").map(|part| part.to_string()).as_deref(), Some("5c1e07a2"));
    /// assert_eq!(Part::new(""), None);
    /// ```
    pub fn new(id: &str) -> Option<Self> {
        (1..=MAX_ID_BYTES).contains(&id.len()).then(|| Self(id.to_owned()))
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
