use std::sync::Arc;
use std::time::Duration;

use crate::id::{Account, Branch, Version};
use crate::replica::Link;
use crate::wire::Completion;

/// One request for a generation, as its first owner starts it.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The id of the request.
    pub id: crate::id::Request,
    /// The account that asked.
    pub account: Account,
    /// What it asked for.
    pub completion: Arc<Completion>,
    /// The version that the answer is pinned to.
    pub version: Version,
    /// The largest number of tokens of the answer.
    pub max_tokens: u32,
    /// The time until the request's deadline.
    pub remaining: Duration,
}

impl Request {
    /// Returns the lineage of the first owner.
    ///
    /// The first branch has the request's own id, so that engines log the id that the caller knows.
    pub(crate) fn first_lineage(&self) -> Vec<Link> {
        vec![Link {
            branch: Branch::from_random(*self.id.as_bytes()),
            start: 0,
        }]
    }
}

/// Time limits of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The time to the first token of the first attempt, and between probes of an engine that has not sent one.
    pub first_token: Duration,
    /// The time to the first token of a later attempt. It is shorter, because the caller has been waiting since the
    /// loss and the output has to continue within 5 s; with 1500 ms, two engines lost in a row took longer.
    pub resumed_first_token: Duration,
    /// The time in which an engine has to answer an attach.
    pub probe: Duration,
    /// The time in which the first peer has to acknowledge.
    pub first_peer: Duration,
    /// The further time in which the next peer has to acknowledge before tokens are released without a copy.
    pub next_peer: Duration,
    /// The time after which the search for a peer is repeated when there is none or none answers.
    pub peer_retry: Duration,
    /// The time after which an idle copy is refreshed.
    pub refresh: Duration,
    /// The time in which a caller whose connection closed has to come back.
    pub caller_grace: Duration,
    /// The least time for which a generation stays suspended.
    pub suspension: Duration,
    /// The time for which an engine is slowed down for a slow reader before the attempt is cancelled.
    pub stall_limit: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            first_token: Duration::from_secs(3),
            resumed_first_token: Duration::from_secs(1),
            probe: Duration::from_millis(250),
            first_peer: Duration::from_millis(250),
            next_peer: Duration::from_millis(500),
            peer_retry: Duration::from_secs(1),
            refresh: Duration::from_secs(30),
            caller_grace: Duration::from_secs(30),
            suspension: Duration::from_millis(500),
            stall_limit: Duration::from_secs(10),
        }
    }
}
