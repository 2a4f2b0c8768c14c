//! Replicas of generations, which an entry holds for its peers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::id::{Account, Attempt, Branch, Request, Target, Version};
use crate::transcript::{Fit, Segment, Transcript};
use crate::wire::Completion;

/// A branch and the length of the answer at which it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Link {
    /// The branch.
    pub branch: Branch,
    /// The number of tokens shared with the previous branch.
    pub start: u32,
}

/// Metadata of a generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Origin {
    /// The account of the caller.
    pub account: Account,
    /// The body of the completion call.
    pub completion: Arc<Completion>,
    /// The version that the answer is pinned to.
    pub version: Version,
    /// All branches, oldest first.
    pub lineage: Vec<Link>,
    /// The time left until the request's deadline.
    pub remaining: Duration,
}

/// Where the owner's current attempt runs, so that a new owner can cancel it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The target.
    pub target: Target,
    /// The attempt.
    pub attempt: Attempt,
}

/// New tokens from the owner of a generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Append {
    /// The request.
    pub request: Request,
    /// The owner's epoch.
    pub epoch: u32,
    /// The owner's branch.
    pub branch: Branch,
    /// The tokens.
    pub segment: Segment,
    /// Where the attempt runs, if that changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub placement: Option<Placement>,
    /// The metadata, for a peer without a replica; the segment then starts at index 0.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<Box<Origin>>,
}

/// The reply to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The replica contains the segment.
    Stored {
        /// The number of tokens of the replica.
        length: u32,
    },
    /// The replica lacks tokens before the segment; the complete generation has to be sent.
    Incomplete,
    /// Another entry took the generation over.
    Fenced {
        /// The epoch of the new owner.
        epoch: u32,
    },
    /// The replica belongs to another branch of the same epoch, or the store is full; another peer has to be used.
    Declined,
}

/// A request by an entry to become the owner of a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Takeover {
    /// The request.
    pub request: Request,
    /// The account that presented the handle.
    pub account: Account,
    /// The branch in the handle.
    pub branch: Branch,
    /// The index of the next token that the caller needs.
    pub next: u32,
    /// The random id of the new owner's branch.
    pub new_branch: Branch,
}

/// The state that is handed to a new owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The new owner's epoch.
    pub epoch: u32,
    /// The metadata, with the new branch at the end of the lineage.
    pub origin: Origin,
    /// All tokens of the replica.
    pub segment: Segment,
    /// Where the previous owner's attempt ran, and its branch.
    pub previous: Option<(Branch, Placement)>,
}

/// Why a takeover was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// There is no replica for this account.
    Missing,
    /// The branch of the handle is not in the lineage of the replica.
    Branch,
    /// The caller has more tokens of the handle's branch than the replica shares with that branch.
    Length,
}

/// Limits of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of bytes of all replicas.
    pub bytes: usize,
    /// How long a replica is kept after the last append.
    pub retention: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            bytes: 64 << 20,
            // Three times the interval at which an owner refreshes an idle replica.
            retention: Duration::from_secs(90),
        }
    }
}

/// All replicas that an entry holds for its peers.
#[derive(Debug)]
pub struct Store {
    limits: Limits,
    replicas: HashMap<Request, Replica>,
    bytes: usize,
}

#[derive(Debug)]
struct Replica {
    epoch: u32,
    origin: Origin,
    transcript: Transcript,
    placement: Option<(Branch, Placement)>,
    deadline: Instant,
    expires: Instant,
}

impl Store {
    /// Creates an empty store.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            replicas: HashMap::new(),
            bytes: 0,
        }
    }

    /// Returns the number of replicas.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns whether there are no replicas.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Returns the bytes of all replicas.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Stores new tokens from an owner.
    pub fn append(&mut self, now: Instant, append: &Append) -> Reply {
        let existing = self.replicas.get(&append.request);
        if let Some(reply) = existing.and_then(|replica| replica.fence(append)) {
            return reply;
        }
        if self.bytes + append.cost() > self.limits.bytes {
            return Reply::Declined;
        }
        let expires = now + self.limits.retention;
        match self.replicas.get_mut(&append.request) {
            Some(replica) if replica.epoch == append.epoch => {
                let before = replica.cost();
                let reply = replica.extend(append);
                replica.expires = expires;
                self.bytes = self.bytes + replica.cost() - before;
                reply
            }
            _ => self.insert(now, append),
        }
    }

    /// Transfers a generation to a new owner and fences the previous one.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the replica cannot continue what the caller has read.
    pub fn take_over(&mut self, now: Instant, takeover: &Takeover) -> Result<Grant, Refusal> {
        let replica = self.replicas.get_mut(&takeover.request).ok_or(Refusal::Missing)?;
        if replica.origin.account != takeover.account {
            return Err(Refusal::Missing);
        }
        replica.check_lineage(takeover)?;
        // A repeated request of the same new owner gets the same reply, because the first reply can be lost.
        if replica.branch() != Some(takeover.new_branch) {
            replica.start_branch(takeover.new_branch);
            self.bytes += size_of::<Link>();
        }
        replica.expires = now + self.limits.retention;
        Ok(replica.grant(now))
    }

    /// Removes a replica that its owner no longer needs. A previous owner cannot remove the replica of a newer one.
    pub fn drop_replica(&mut self, request: &Request, epoch: u32) {
        if self.replicas.get(request).is_some_and(|replica| replica.epoch <= epoch) {
            self.remove(request);
        }
    }

    /// Returns when the next replica expires.
    pub fn deadline(&self) -> Option<Instant> {
        self.replicas.values().map(|replica| replica.expires).min()
    }

    /// Removes the replicas that were not refreshed within the retention time.
    pub fn expire(&mut self, now: Instant) {
        let expired = self.replicas.iter().filter(|(_, replica)| replica.expires <= now);
        for request in expired.map(|(request, _)| *request).collect::<Vec<_>>() {
            self.remove(&request);
        }
    }

    fn insert(&mut self, now: Instant, append: &Append) -> Reply {
        let Some(origin) = append.origin.as_deref().filter(|_| append.segment.first() == 0) else {
            return Reply::Incomplete;
        };
        self.remove(&append.request);
        let replica = Replica {
            epoch: append.epoch,
            origin: origin.clone(),
            transcript: Transcript::from(append.segment.clone()),
            placement: append.placement.clone().map(|placement| (append.branch, placement)),
            deadline: now + origin.remaining,
            expires: now + self.limits.retention,
        };
        let length = replica.transcript.len();
        self.bytes += replica.cost();
        self.replicas.insert(append.request, replica);
        Reply::Stored { length }
    }

    fn remove(&mut self, request: &Request) {
        if let Some(replica) = self.replicas.remove(request) {
            self.bytes -= replica.cost();
        }
    }
}

impl Replica {
    fn branch(&self) -> Option<Branch> {
        self.origin.lineage.last().map(|link| link.branch)
    }

    fn cost(&self) -> usize {
        self.origin.cost() + self.transcript.cost(0..self.transcript.len())
    }

    /// Rejects owners of an older epoch, and of the same epoch on another branch.
    fn fence(&self, append: &Append) -> Option<Reply> {
        if append.epoch < self.epoch {
            return Some(Reply::Fenced { epoch: self.epoch });
        }
        // If two entries take over diverged replicas at two peers, both have the same epoch.
        let other_branch = append.epoch == self.epoch && self.branch() != Some(append.branch);
        other_branch.then_some(Reply::Declined)
    }

    fn extend(&mut self, append: &Append) -> Reply {
        match self.transcript.append(&append.segment) {
            Fit::Gap => return Reply::Incomplete,
            Fit::Mismatch => return Reply::Declined,
            Fit::Stored => {}
        }
        if let Some(placement) = &append.placement {
            self.placement = Some((append.branch, placement.clone()));
        }
        Reply::Stored {
            length: self.transcript.len(),
        }
    }

    fn check_lineage(&self, takeover: &Takeover) -> Result<(), Refusal> {
        let lineage = &self.origin.lineage;
        check_lineage(lineage, self.transcript.len(), takeover.branch, takeover.next)?;
        // A late duplicate of an earlier takeover must not fence a later owner.
        let previous = &lineage[..lineage.len() - 1];
        if previous.iter().any(|link| link.branch == takeover.new_branch) {
            return Err(Refusal::Branch);
        }
        Ok(())
    }

    fn start_branch(&mut self, branch: Branch) {
        self.epoch += 1;
        self.origin.lineage.push(Link {
            branch,
            start: self.transcript.len(),
        });
    }

    fn grant(&self, now: Instant) -> Grant {
        Grant {
            epoch: self.epoch,
            origin: Origin {
                remaining: self.deadline.since(now),
                ..self.origin.clone()
            },
            segment: self.transcript.segment(0),
            previous: self.placement.clone(),
        }
    }
}

/// Checks that the tokens of `branch` before `next`, which a caller has, are a prefix of an answer with this lineage.
///
/// A branch shares its tokens with the answer up to the length at which the next branch started. Without this check, a
/// stale replica could continue a different answer than the one that the caller has read.
pub(crate) fn check_lineage(lineage: &[Link], length: u32, branch: Branch, next: u32) -> Result<(), Refusal> {
    let position = lineage.iter().position(|link| link.branch == branch);
    let position = position.ok_or(Refusal::Branch)?;
    let shared = lineage.get(position + 1).map_or(length, |link| link.start);
    if next > shared {
        return Err(Refusal::Length);
    }
    Ok(())
}

impl Origin {
    fn cost(&self) -> usize {
        self.completion.prompt.len() + self.lineage.len() * size_of::<Link>() + size_of::<Replica>()
    }
}

impl Append {
    fn cost(&self) -> usize {
        self.segment.cost() + self.origin.as_deref().map_or(0, Origin::cost)
    }
}
