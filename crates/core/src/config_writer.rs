//! The acceptance of one change.

use crate::config::{Digest, Head, Proposal};

/// Makes the conditional write of a head for one operator.
///
/// Drive it by reading the head first, then carrying out each [`Ask`] and passing the [`Reply`] to [`Writer::handle`] until it finishes.
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
    /// The platform's version of the object, for conditional writes.
    pub resource_version: String,
}

/// What the writer needs to have done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Ask {
    /// Read the head.
    ReadHead,
    /// Store the chunks; one that exists counts as stored.
    PutChunks,
    /// Write the head on condition that the object still has the resource version; without one, create it.
    PutHead {
        /// The head.
        head: Head,
        /// The version of the object that is replaced.
        resource_version: Option<String>,
    },
    /// The write is over.
    Finish(Outcome),
}

/// What came of an [`Ask`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The head that the platform has.
    Head(Option<Stored>),
    /// The chunks are stored.
    ChunksStored,
    /// The answer to the write of the head.
    Put(PutAnswer),
    /// The time limit is over or the platform does not answer.
    GivenUp,
}

/// The answer to the write of a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PutAnswer {
    /// The head is stored.
    Stored,
    /// The object has another version.
    Conflict,
    /// No answer came; the write may have taken effect or may still do so.
    Lost,
}

/// How a write ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The version is accepted.
    Accepted(Head),
    /// Another version was accepted first.
    Conflict(Head),
    /// The platform has other contents than this entry saw; they are settled first.
    Unsettled,
    /// The platform did not answer and nothing was written.
    Unavailable,
    /// The platform did not answer and the version may or may not be accepted; the history tells.
    Unknown,
}

impl Writer {
    /// Prepares a write on top of version `base`; `known` is the digest of the highest version that the entry holds.
    pub fn new(base: u64, known: Option<Digest>, proposal: Proposal) -> Self {
        Self {
            base,
            known,
            proposal,
            chunks_stored: false,
            sent: None,
        }
    }

    /// Takes the result of a step and returns the next one.
    pub fn handle(&mut self, reply: Reply) -> Ask {
        match (reply, &self.sent) {
            (Reply::Head(stored), None) => self.before_write(stored),
            (Reply::Head(stored), Some(sent)) => self.after_write(sent.clone(), stored),
            (Reply::Put(PutAnswer::Stored), Some(sent)) => Ask::Finish(Outcome::Accepted(sent.clone())),
            // A conflict is read back too: what conflicts may be an attempt of this write whose answer was lost.
            (Reply::Put(_) | Reply::ChunksStored, _) => Ask::ReadHead,
            (Reply::GivenUp, Some(_)) => Ask::Finish(Outcome::Unknown),
            (Reply::GivenUp, None) => Ask::Finish(Outcome::Unavailable),
        }
    }

    fn before_write(&mut self, stored: Option<Stored>) -> Ask {
        let current = stored.as_ref().map(|stored| &stored.head);
        let settled = match (current, &self.known) {
            (None, None) => true,
            (Some(head), Some(known)) => head.covers(known),
            _ => false,
        };
        match current {
            _ if !settled => Ask::Finish(Outcome::Unsettled),
            Some(head) if head.version != self.base => Ask::Finish(Outcome::Conflict(head.clone())),
            None if self.base != 0 => Ask::Finish(Outcome::Unsettled),
            _ if !self.chunks_stored => {
                self.chunks_stored = true;
                Ask::PutChunks
            }
            _ => {
                let head = Head::following(current, self.proposal.clone());
                self.put(head, stored.map(|stored| stored.resource_version))
            }
        }
    }

    fn after_write(&mut self, sent: Head, stored: Option<Stored>) -> Ask {
        match stored {
            Some(stored) if stored.head.covers(&sent.digest) => Ask::Finish(Outcome::Accepted(sent)),
            // The write has not taken effect. Repeating it on the same condition lets at most one of the two through.
            Some(stored) if self.known == Some(stored.head.digest) => self.put(sent, Some(stored.resource_version)),
            None if self.known.is_none() => self.put(sent, None),
            // The platform went back to older contents, or so far ahead that the history no longer reaches back.
            Some(stored) if stored.head.version <= self.base || !stored.head.reaches_back_to(sent.version) => {
                Ask::Finish(Outcome::Unknown)
            }
            Some(stored) => Ask::Finish(Outcome::Conflict(stored.head)),
            None => Ask::Finish(Outcome::Unknown),
        }
    }

    fn put(&mut self, head: Head, resource_version: Option<String>) -> Ask {
        self.sent = Some(head.clone());
        Ask::PutHead { head, resource_version }
    }
}
