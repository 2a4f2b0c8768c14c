//! Performs the conditional write that accepts a version.

use crate::config::{Digest, Head, Proposal};

/// Performs the conditional write of a head for one operator.
///
/// To drive it, read the head first, then execute each [`Step`] and pass its [`Reply`] to [`Writer::handle`] until it
/// returns [`Step::Finish`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Writer {
    base: u64,
    known: Option<Digest>,
    proposal: Proposal,
    chunks_stored: bool,
    sent: Option<Head>,
}

/// A head as the platform stores it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Stored {
    /// The head.
    pub head: Head,
    /// The resource version of the object, for conditional writes.
    pub resource_version: String,
}

/// The next step of a write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Read the head.
    ReadHead,
    /// Store the chunks; a chunk that already exists counts as stored.
    PutChunks,
    /// Write the head on condition that the object still has the resource version, or create the object.
    PutHead {
        /// The head.
        head: Head,
        /// The resource version of the object to replace; `None` creates the object.
        resource_version: Option<String>,
    },
    /// End the write with this outcome.
    Finish(Outcome),
}

/// The result of a [`Step`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The head on the platform, if there is one.
    Head(Option<Stored>),
    /// The chunks are stored.
    ChunksStored,
    /// The result of writing the head.
    Put(PutAnswer),
    /// The time limit has passed or the platform does not respond.
    GivenUp,
}

/// The result of writing a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PutAnswer {
    /// The head is stored.
    Stored,
    /// The object has another version.
    Conflict,
    /// No response arrived; the write may have taken effect or may still do so.
    Lost,
}

/// The outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The version is accepted.
    Accepted(Head),
    /// Another version was accepted first.
    Conflict(Head),
    /// The platform's contents diverge from those that this entry knows; that has to be resolved first.
    Unsettled,
    /// The platform did not respond and nothing was written.
    Unavailable,
    /// The platform did not respond. The version may or may not be accepted; the history shows which.
    Unknown,
}

impl Writer {
    /// Prepares a write on top of version `base`; `known` is the digest of the entry's current version.
    pub fn new(base: u64, known: Option<Digest>, proposal: Proposal) -> Self {
        Self {
            base,
            known,
            proposal,
            chunks_stored: false,
            sent: None,
        }
    }

    /// Handles the result of a step and returns the next step.
    pub fn handle(&mut self, reply: Reply) -> Step {
        match (reply, &self.sent) {
            (Reply::Head(stored), None) => self.before_write(stored),
            (Reply::Head(stored), Some(sent)) => self.after_write(sent.clone(), stored),
            (Reply::Put(PutAnswer::Stored), Some(sent)) => Step::Finish(Outcome::Accepted(sent.clone())),
            // After a conflict the head is read as well, because the conflicting version may come from an earlier
            // attempt of this write whose response was lost.
            (Reply::Put(_) | Reply::ChunksStored, _) => Step::ReadHead,
            (Reply::GivenUp, Some(_)) => Step::Finish(Outcome::Unknown),
            (Reply::GivenUp, None) => Step::Finish(Outcome::Unavailable),
        }
    }

    fn before_write(&mut self, stored: Option<Stored>) -> Step {
        let current = stored.as_ref().map(|stored| &stored.head);
        let matches_known = match (current, &self.known) {
            (None, None) => true,
            (Some(head), Some(known)) => head.covers(known),
            _ => false,
        };
        match current {
            _ if !matches_known => Step::Finish(Outcome::Unsettled),
            Some(head) if head.version != self.base => Step::Finish(Outcome::Conflict(head.clone())),
            None if self.base != 0 => Step::Finish(Outcome::Unsettled),
            _ if !self.chunks_stored => {
                self.chunks_stored = true;
                Step::PutChunks
            }
            _ => {
                let head = Head::following(current, self.proposal.clone());
                self.write_head(head, stored.map(|stored| stored.resource_version))
            }
        }
    }

    fn after_write(&mut self, sent: Head, stored: Option<Stored>) -> Step {
        match stored {
            Some(stored) if stored.head.covers(&sent.digest) => Step::Finish(Outcome::Accepted(sent)),
            // The write has not taken effect. It is repeated on the same condition, so at most one attempt succeeds.
            Some(stored) if self.known == Some(stored.head.digest) => {
                self.write_head(sent, Some(stored.resource_version))
            }
            None if self.known.is_none() => self.write_head(sent, None),
            // The platform was restored to older contents, or is so far ahead that its history does not reach back.
            Some(stored) if stored.head.version <= self.base || !stored.head.reaches_back_to(sent.version) => {
                Step::Finish(Outcome::Unknown)
            }
            Some(stored) => Step::Finish(Outcome::Conflict(stored.head)),
            None => Step::Finish(Outcome::Unknown),
        }
    }

    fn write_head(&mut self, head: Head, resource_version: Option<String>) -> Step {
        self.sent = Some(head.clone());
        Step::PutHead { head, resource_version }
    }
}
