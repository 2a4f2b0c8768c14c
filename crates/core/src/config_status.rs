//! The distribution status of a configuration version.

use serde::{Deserialize, Serialize};

use crate::id::Entry;
use crate::membership::{Member, State};

/// The members that have a version, lack it, or are unreachable.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The number of the version.
    pub version: u64,
    /// Live members that have the version or a higher one.
    pub have: Vec<Entry>,
    /// Live members that lack it.
    pub lacking: Vec<Entry>,
    /// Unreachable members, which apply the version when they return.
    pub unreachable: Vec<Entry>,
}

impl Status {
    /// Groups members by the version that they reported.
    ///
    /// A suspected member counts as live until the suspicion is confirmed, because a version is not in force while a
    /// member that may serve requests lacks it.
    pub fn of<'a>(version: u64, members: impl IntoIterator<Item = &'a Member>) -> Self {
        let mut status = Self {
            version,
            ..Self::default()
        };
        for member in members {
            let name = member.name.clone();
            match member.state {
                State::Left => {}
                State::Dead => status.unreachable.push(name),
                State::Alive | State::Suspect if member.config >= version => status.have.push(name),
                State::Alive | State::Suspect => status.lacking.push(name),
            }
        }
        status
    }

    /// Returns whether every live member has the version.
    pub fn in_force(&self) -> bool {
        self.lacking.is_empty()
    }
}
