//! State machine of one generation: attempts, silence detection, resume, replication and release of tokens.
//!
//! [`Machine`] consumes [`Event`]s and returns [`Command`]s. It does not select targets or peers itself: it requests
//! them with a command and receives the selection as an event.

use std::time::Duration;

use crate::id::{Attempt, Branch, Entry, Target};
use crate::replica::{Append, Reply};
use crate::wire::{Finish, Frame};

pub use crate::generation_gaps::Gaps;
pub use crate::generation_machine::Machine;
pub use crate::generation_request::{Request, Settings};

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The generation starts, or continues after a takeover.
    Begin,
    /// A target was selected in response to [`Command::ChooseTarget`].
    TargetChosen {
        /// The target.
        target: Target,
        /// The longest time without a token after which the target is probed.
        silence_timeout: Duration,
    },
    /// The silence timeout of the current target was re-estimated after the target was selected.
    SilenceTimeout(Duration),
    /// No target is available.
    NoTarget {
        /// The delay before the next selection; `None` fails the generation, because no target of the version is left.
        retry: Option<Duration>,
    },
    /// The engine accepted an open or attach call.
    Accepted {
        /// The attempt.
        attempt: Attempt,
    },
    /// A frame arrived on any connection.
    Frame(Frame),
    /// The connection closed before the generation finished, or the engine refused the attempt.
    Closed {
        /// The attempt.
        attempt: Attempt,
        /// Whether the engine reported that it does not run the generation.
        refused: bool,
    },
    /// The host of a target was declared dead.
    TargetLost {
        /// The target on the host.
        target: Target,
    },
    /// A peer was selected in response to [`Command::ChoosePeer`].
    PeerChosen {
        /// The peer.
        peer: Entry,
    },
    /// There is no other entry to replicate to.
    NoPeer,
    /// A peer replied to an append.
    Replied {
        /// The sequence number of the append.
        sequence: u64,
        /// The reply.
        reply: Reply,
    },
    /// The connection to a peer failed before its reply arrived.
    ReplyLost {
        /// The sequence number of the append.
        sequence: u64,
    },
    /// An entry was declared dead.
    PeerLost {
        /// The entry.
        peer: Entry,
    },
    /// The caller read more tokens.
    Read {
        /// The index after the last token that the caller read.
        next: u32,
    },
    /// The caller's connection closed.
    CallerGone,
    /// The backlog of the process is near its limit, and this stream has been stalled the longest.
    Suspend,
    /// The caller cancelled the request.
    Cancel,
    /// This entry is shutting down, so the caller has to continue at another one.
    Leave,
    /// The process was paused, so acknowledgements and timers from before the pause may be stale.
    ClockJump,
    /// The deadline returned by [`Machine::deadline`] passed.
    Tick,
}

/// An action requested by the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Select a target for the next attempt.
    ChooseTarget {
        /// Targets that failed this generation, most recent last.
        failed: Vec<Target>,
    },
    /// Open a stream that continues after the last accepted token.
    Open {
        /// The target.
        target: Target,
        /// The attempt.
        attempt: Attempt,
    },
    /// Attach to the running stream over a new connection.
    Attach {
        /// The target.
        target: Target,
        /// The new attempt.
        attempt: Attempt,
        /// The index of the next token.
        from: u32,
    },
    /// Cancel this attempt and all earlier ones at a target.
    CancelAttempt {
        /// The target.
        target: Target,
        /// The branch, whose id identifies the generation at the engine.
        branch: Branch,
        /// The attempt.
        attempt: Attempt,
    },
    /// Stop reading from the engine.
    Pause {
        /// The attempt.
        attempt: Attempt,
    },
    /// Resume reading from the engine.
    Unpause {
        /// The attempt.
        attempt: Attempt,
    },
    /// Select a peer for the replica.
    ChoosePeer {
        /// Peers that failed this generation, most recent last.
        failed: Vec<Entry>,
    },
    /// Replicate new tokens to the peer.
    Append {
        /// The peer.
        peer: Entry,
        /// The sequence number of the append.
        sequence: u64,
        /// The message body.
        append: Box<Append>,
    },
    /// Tell the peer that its replica is no longer needed.
    DropReplica {
        /// The peer.
        peer: Entry,
        /// The owner's epoch.
        epoch: u32,
    },
    /// Allow tokens to be sent to the caller.
    Release {
        /// The index after the last released token.
        upto: u32,
        /// The finish reason, once it may be sent to the caller.
        finish: Option<Finish>,
    },
    /// Record the time between two consecutive frames of an engine.
    RecordGap {
        /// The target.
        target: Target,
        /// The time between the frames.
        gap: Duration,
    },
    /// The machine has terminated; no command follows.
    End(Outcome),
}

/// How a generation ended at this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The caller read the complete answer.
    Completed,
    /// The caller cancelled the request, or did not reconnect within the grace period.
    Cancelled,
    /// Another entry took the generation over.
    Fenced,
    /// The replica is complete, so the caller can continue at another entry.
    HandedOver,
    /// No target of the version is left.
    NoTarget,
    /// The request's deadline passed.
    Deadline,
    /// The attempt numbers of the epoch are exhausted.
    Attempts,
}
