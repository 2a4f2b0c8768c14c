use std::sync::Arc;
use std::time::Duration;

use crate::id::{Account, Branch, Version};
use crate::replica::Link;
use crate::wire::Completion;

/// A generation request, as accepted by its first owner.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The id of the request.
    pub id: crate::id::Request,
    /// The account of the caller.
    pub account: Account,
    /// The body of the completion call.
    pub completion: Arc<Completion>,
    /// The version that the answer is pinned to.
    pub version: Version,
    /// The maximum number of tokens of the answer.
    pub max_tokens: u32,
    /// The time until the request's deadline.
    pub remaining: Duration,
}

impl Request {
    /// Returns the lineage of the first owner.
    ///
    /// The first branch reuses the request id, so that engines log the id that the caller knows.
    pub(crate) fn first_lineage(&self) -> Vec<Link> {
        vec![Link {
            branch: Branch::from_random(*self.id.as_bytes()),
            start: 0,
        }]
    }
}

/// Timeouts and intervals of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The timeout for the first token of the first attempt, and the interval between probes until it arrives.
    pub first_token_timeout: Duration,
    /// The timeout for the first token of a later attempt. It is shorter, because the caller has been waiting since the
    /// failure and output has to continue within 5 s; with 1500 ms, the loss of two engines in a row took longer.
    pub resumed_first_token_timeout: Duration,
    /// The timeout for the engine's answer to an attach.
    pub probe_timeout: Duration,
    /// The timeout for the acknowledgement of the first peer.
    pub first_peer_timeout: Duration,
    /// The additional timeout for the next peer, after which tokens are released without a replica.
    pub next_peer_timeout: Duration,
    /// The interval between searches for a peer while there is none or none replies.
    pub peer_retry_interval: Duration,
    /// The interval at which an idle replica is refreshed.
    pub refresh_interval: Duration,
    /// The grace period in which a disconnected caller can reconnect.
    pub caller_grace: Duration,
    /// The minimum duration of a suspension.
    pub min_suspension: Duration,
    /// The time for which reading from the engine is paused for a slow reader before the attempt is cancelled.
    pub stall_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            first_token_timeout: Duration::from_secs(3),
            resumed_first_token_timeout: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(250),
            first_peer_timeout: Duration::from_millis(250),
            next_peer_timeout: Duration::from_millis(500),
            peer_retry_interval: Duration::from_secs(1),
            refresh_interval: Duration::from_secs(30),
            caller_grace: Duration::from_secs(30),
            min_suspension: Duration::from_millis(500),
            stall_timeout: Duration::from_secs(10),
        }
    }
}
