//! Copies of generations held for peers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::id::{Account, Attempt, Branch, Request, Target, Version};
use crate::tape::{Fit, Segment, Tape};
use crate::wire::Completion;

/// A branch and the length of the answer at which it began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Link {
    /// The branch.
    pub branch: Branch,
    /// The number of tokens taken over from the branch before.
    pub start: u32,
}

/// What is known about a generation besides its tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Origin {
    /// The account that asked.
    pub account: Account,
    /// What the account asked for.
    pub completion: Arc<Completion>,
    /// The version that the answer is pinned to.
    pub version: Version,
    /// All branches, the first one first.
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
    /// Where the attempt runs, when that changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub placement: Option<Placement>,
    /// What else a peer needs that has no copy yet; the segment then begins at index 0.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<Box<Origin>>,
}

/// The answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The copy has the segment.
    Stored {
        /// The number of tokens of the copy.
        length: u32,
    },
    /// The copy lacks what comes before the segment; the whole generation is needed.
    Incomplete,
    /// Another entry took the generation over.
    Fenced {
        /// The epoch of the new owner.
        epoch: u32,
    },
    /// The copy belongs to another branch of the same epoch, or there is no room; another peer has to be used.
    Declined,
}

/// A request of an entry to become the owner of a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Take {
    /// The request.
    pub request: Request,
    /// The account that presented the handle.
    pub account: Account,
    /// The branch that the handle names.
    pub branch: Branch,
    /// The index of the next token that the caller needs.
    pub next: u32,
    /// The random id of the branch that the new owner starts.
    pub new_branch: Branch,
}

/// What a new owner gets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The new owner's epoch.
    pub epoch: u32,
    /// The generation, with the new branch as the last of the lineage.
    pub origin: Origin,
    /// All tokens of the copy.
    pub segment: Segment,
    /// Where the previous owner's attempt ran, and its branch.
    pub previous: Option<(Branch, Placement)>,
}

/// Why a generation was not handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// There is no copy for this account.
    Missing,
    /// The handle's branch is not in the lineage of the copy.
    Branch,
    /// The caller has more tokens of the handle's branch than the copy shares with that branch.
    Length,
}

/// The bounds of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The bytes of all copies.
    pub bytes: usize,
    /// How long a copy is kept after the owner's last append.
    pub retention: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            bytes: 64 << 20,
            // Three times the interval at which an owner refreshes an idle copy.
            retention: Duration::from_secs(90),
        }
    }
}

/// All copies that an entry holds for its peers.
#[derive(Debug)]
pub struct Store {
    limits: Limits,
    copies: HashMap<Request, Copy>,
    bytes: usize,
}

#[derive(Debug)]
struct Copy {
    epoch: u32,
    origin: Origin,
    tape: Tape,
    placement: Option<(Branch, Placement)>,
    deadline: Instant,
    expires: Instant,
}

impl Store {
    /// Creates an empty store.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            copies: HashMap::new(),
            bytes: 0,
        }
    }

    /// Returns the number of copies.
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    /// Returns whether there is no copy.
    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }

    /// Returns the bytes of all copies.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Stores new tokens of an owner.
    pub fn append(&mut self, now: Instant, append: &Append) -> Reply {
        let known = self.copies.get(&append.request);
        if let Some(reply) = known.and_then(|copy| copy.fence(append)) {
            return reply;
        }
        if self.bytes + append.cost() > self.limits.bytes {
            return Reply::Declined;
        }
        let expires = now + self.limits.retention;
        match self.copies.get_mut(&append.request) {
            Some(copy) if copy.epoch == append.epoch => {
                let before = copy.cost();
                let reply = copy.extend(append);
                copy.expires = expires;
                self.bytes = self.bytes + copy.cost() - before;
                reply
            }
            _ => self.insert(now, append),
        }
    }

    /// Hands a generation over to a new owner and fences the previous one.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the copy cannot continue what the caller has read.
    pub fn take(&mut self, now: Instant, take: &Take) -> Result<Grant, Refusal> {
        let copy = self.copies.get_mut(&take.request).ok_or(Refusal::Missing)?;
        if copy.origin.account != take.account {
            return Err(Refusal::Missing);
        }
        copy.check_lineage(take)?;
        // A repeated take of the same new owner gets the same answer, because the first answer can be lost.
        if copy.branch() != Some(take.new_branch) {
            copy.start_branch(take.new_branch);
            self.bytes += size_of::<Link>();
        }
        copy.expires = now + self.limits.retention;
        Ok(copy.grant(now))
    }

    /// Removes a copy that its owner no longer needs. An older owner cannot remove a newer owner's copy.
    pub fn drop_copy(&mut self, request: &Request, epoch: u32) {
        if self.copies.get(request).is_some_and(|copy| copy.epoch <= epoch) {
            self.remove(request);
        }
    }

    /// Returns when the next copy expires.
    pub fn deadline(&self) -> Option<Instant> {
        self.copies.values().map(|copy| copy.expires).min()
    }

    /// Removes the copies that were not refreshed in time.
    pub fn expire(&mut self, now: Instant) {
        let expired = self.copies.iter().filter(|(_, copy)| copy.expires <= now);
        for request in expired.map(|(request, _)| *request).collect::<Vec<_>>() {
            self.remove(&request);
        }
    }

    fn insert(&mut self, now: Instant, append: &Append) -> Reply {
        let Some(origin) = append.origin.as_deref().filter(|_| append.segment.first() == 0) else {
            return Reply::Incomplete;
        };
        self.remove(&append.request);
        let copy = Copy {
            epoch: append.epoch,
            origin: origin.clone(),
            tape: Tape::from(append.segment.clone()),
            placement: append.placement.clone().map(|placement| (append.branch, placement)),
            deadline: now + origin.remaining,
            expires: now + self.limits.retention,
        };
        let length = copy.tape.len();
        self.bytes += copy.cost();
        self.copies.insert(append.request, copy);
        Reply::Stored { length }
    }

    fn remove(&mut self, request: &Request) {
        if let Some(copy) = self.copies.remove(request) {
            self.bytes -= copy.cost();
        }
    }
}

impl Copy {
    fn branch(&self) -> Option<Branch> {
        self.origin.lineage.last().map(|link| link.branch)
    }

    fn cost(&self) -> usize {
        self.origin.cost() + self.tape.cost(0..self.tape.len())
    }

    /// Refuses owners of an older epoch, and of the same epoch on another branch.
    fn fence(&self, append: &Append) -> Option<Reply> {
        if append.epoch < self.epoch {
            return Some(Reply::Fenced { epoch: self.epoch });
        }
        // Two entries can take diverged copies over at two peers and then have the same epoch.
        let other_branch = append.epoch == self.epoch && self.branch() != Some(append.branch);
        other_branch.then_some(Reply::Declined)
    }

    fn extend(&mut self, append: &Append) -> Reply {
        match self.tape.append(&append.segment) {
            Fit::Gap => return Reply::Incomplete,
            Fit::Mismatch => return Reply::Declined,
            Fit::Stored => {}
        }
        if let Some(placement) = &append.placement {
            self.placement = Some((append.branch, placement.clone()));
        }
        Reply::Stored {
            length: self.tape.len(),
        }
    }

    fn check_lineage(&self, take: &Take) -> Result<(), Refusal> {
        let lineage = &self.origin.lineage;
        check_lineage(lineage, self.tape.len(), take.branch, take.next)?;
        // A late duplicate of an earlier take must not fence the owner that came after it.
        let earlier = &lineage[..lineage.len() - 1];
        if earlier.iter().any(|link| link.branch == take.new_branch) {
            return Err(Refusal::Branch);
        }
        Ok(())
    }

    fn start_branch(&mut self, branch: Branch) {
        self.epoch += 1;
        self.origin.lineage.push(Link {
            branch,
            start: self.tape.len(),
        });
    }

    fn grant(&self, now: Instant) -> Grant {
        Grant {
            epoch: self.epoch,
            origin: Origin {
                remaining: self.deadline.since(now),
                ..self.origin.clone()
            },
            segment: self.tape.segment(0),
            previous: self.placement.clone(),
        }
    }
}

/// Checks that a caller that has the tokens of `branch` before `next` has a prefix of an answer with this lineage.
///
/// The tokens of a branch are shared with the answer up to the length at which the next branch began. Without the check,
/// a stale copy would continue another generation than the one that the caller has read.
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
        self.completion.prompt.len() + self.lineage.len() * size_of::<Link>() + size_of::<Copy>()
    }
}

impl Append {
    fn cost(&self) -> usize {
        self.segment.cost() + self.origin.as_deref().map_or(0, Origin::cost)
    }
}
