//! The life of one generation: attempts, silence detection, resume and release.
//!
//! [`Machine`] is driven by [`Event`]s and answers with [`Command`]s. It does not choose targets or peers: it asks for
//! them with a command and gets the choice as an event.

use std::time::Duration;

use crate::id::{Attempt, Branch, Entry, Target};
use crate::replica::{Append, Reply};
use crate::wire::{Finish, Frame};

pub use crate::generation_gaps::Gaps;
pub use crate::generation_machine::Machine;
pub use crate::generation_request::{Request, Settings};

/// What happened outside of the machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The generation begins, or continues after a takeover.
    Begin,
    /// A target was chosen for the attempt that was asked for.
    Chosen {
        /// The target.
        target: Target,
        /// How long the target may be silent between tokens.
        silence: Duration,
    },
    /// How long the current target may be silent is known better than when it was chosen.
    Silence(Duration),
    /// There is no target at present.
    NoTarget {
        /// When to ask again; without it the generation fails, because no target of the version is left.
        retry: Option<Duration>,
    },
    /// The engine accepted an open or an attach.
    Accepted {
        /// The attempt.
        attempt: Attempt,
    },
    /// A frame arrived on any connection.
    Frame(Frame),
    /// A connection ended without the end of the generation, or the engine refused the attempt.
    Closed {
        /// The attempt.
        attempt: Attempt,
        /// Whether the engine said that the generation does not run there.
        refused: bool,
    },
    /// A host is reported dead.
    TargetLost {
        /// The target on the host.
        target: Target,
    },
    /// A peer was chosen for the copy.
    Peer {
        /// The peer.
        peer: Entry,
    },
    /// There is no other entry.
    NoPeer,
    /// A peer answered an append.
    Replied {
        /// The number of the append.
        ticket: u64,
        /// The answer.
        reply: Reply,
    },
    /// A peer's connection failed before the answer.
    ReplyLost {
        /// The number of the append.
        ticket: u64,
    },
    /// An entry is reported dead.
    PeerLost {
        /// The entry.
        peer: Entry,
    },
    /// The caller has read the tokens before this index.
    Read {
        /// The index after the last token that was read.
        next: u32,
    },
    /// The caller's connection closed.
    CallerGone,
    /// The backlog of the process is close to its bound, and this stream has stalled longest.
    Suspend,
    /// The caller cancelled the request.
    Cancel,
    /// This entry leaves and the caller has to continue at another one.
    Leave,
    /// The process was paused; what was true before may not be true any more.
    ClockJump,
    /// A deadline passed.
    Tick,
}

/// What the machine asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Choose a target for the next attempt.
    ChooseTarget {
        /// Targets that failed this generation, the latest last.
        failed: Vec<Target>,
    },
    /// Open a stream that continues after all accepted tokens.
    Open {
        /// The target.
        target: Target,
        /// The attempt.
        attempt: Attempt,
    },
    /// Attach to the running stream on a fresh connection.
    Attach {
        /// The target.
        target: Target,
        /// The new attempt.
        attempt: Attempt,
        /// The next index.
        from: u32,
    },
    /// Cancel all attempts up to this one at a target.
    CancelAttempt {
        /// The target.
        target: Target,
        /// The branch, whose id the engine knows the generation by.
        branch: Branch,
        /// The attempt.
        attempt: Attempt,
    },
    /// Stop reading from the engine.
    Pause {
        /// The attempt.
        attempt: Attempt,
    },
    /// Read from the engine again.
    Unpause {
        /// The attempt.
        attempt: Attempt,
    },
    /// Choose a peer for the copy.
    ChoosePeer {
        /// Peers that failed this generation, the latest last.
        failed: Vec<Entry>,
    },
    /// Send new tokens to the peer.
    Append {
        /// The peer.
        peer: Entry,
        /// The number of the append.
        ticket: u64,
        /// What to send.
        append: Box<Append>,
    },
    /// Tell the peer that the copy is no longer needed.
    DropCopy {
        /// The peer.
        peer: Entry,
        /// The owner's epoch.
        epoch: u32,
    },
    /// Tokens before this index may be handed to the caller.
    Release {
        /// The index after the last released token.
        upto: u32,
        /// The end of the generation, once it may be handed to the caller.
        finish: Option<Finish>,
    },
    /// The engine took this long from one frame to the next.
    Observe {
        /// The target.
        target: Target,
        /// The time between the frames.
        gap: Duration,
    },
    /// The machine has ended; no command follows.
    End(Outcome),
}

/// How a generation ended at this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The caller has read the whole answer.
    Completed,
    /// The caller cancelled, or did not come back in time.
    Cancelled,
    /// Another entry took the generation over.
    Fenced,
    /// The replica has everything and the caller may continue at another entry.
    HandedOver,
    /// No target of the version is left.
    NoTarget,
    /// The request's deadline passed.
    Deadline,
    /// All attempt numbers of the epoch are used.
    Attempts,
}
