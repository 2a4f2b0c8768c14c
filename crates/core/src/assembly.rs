//! Assembly of one answer from the frames of several attempts.

use crate::id::{Attempt, Request, Version};
use crate::tape::Tape;
use crate::wire::{Finish, Frame, Token};

/// Accepts the frames of the current attempt in order and drops all others.
#[derive(Clone, Debug)]
pub struct Assembler {
    id: Request,
    version: Version,
    max_tokens: u32,
    attempt: Attempt,
    tape: Tape,
    dropped: Dropped,
}

/// The numbers of frames that were dropped, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Frames with another request's id.
    pub request: u64,
    /// Frames of an earlier attempt.
    pub attempt: u64,
    /// Frames that had only tokens that were already accepted.
    pub repeated: u64,
    /// Frames that ended their attempt with a fault.
    pub faulty: u64,
}

/// What becomes of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The tokens after the first `skip` are the next ones.
    Next {
        /// The number of leading tokens that were accepted before.
        skip: usize,
    },
    /// All tokens were accepted before.
    Repeated,
    /// The frame belongs to another request or attempt.
    Foreign,
    /// The stream is faulty; its attempt has to end.
    Faulty(Fault),
}

/// Why a stream is faulty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The frame begins after the next index.
    Gap,
    /// A repeated token differs from the accepted one.
    Mismatch,
    /// Another version generated the tokens.
    Version,
    /// There are tokens after the limit or after the end, or the end lies before accepted tokens.
    Length,
}

impl Assembler {
    /// Creates an assembler for the frames with this id and version, continuing after the tokens of `tape`.
    pub fn new(id: Request, version: Version, max_tokens: u32, tape: Tape) -> Self {
        Self {
            id,
            version,
            max_tokens,
            attempt: Attempt::default(),
            tape,
            dropped: Dropped::default(),
        }
    }

    /// Sets the only attempt whose frames are accepted from now on.
    pub fn set_attempt(&mut self, attempt: Attempt) {
        self.attempt = attempt;
    }

    /// Returns the accepted tokens.
    pub fn tape(&self) -> &Tape {
        &self.tape
    }

    /// Returns the version that the answer is pinned to.
    pub fn version(&self) -> &Version {
        &self.version
    }

    /// Returns the counts of dropped frames.
    pub fn dropped(&self) -> Dropped {
        self.dropped
    }

    /// Decides about a frame without accepting it.
    pub fn judge(&self, frame: &Frame) -> Verdict {
        if frame.id != self.id || frame.attempt != self.attempt {
            return Verdict::Foreign;
        }
        if frame.version != self.version {
            return Verdict::Faulty(Fault::Version);
        }
        let Some(skip) = self.tape.len().checked_sub(frame.first) else {
            return Verdict::Faulty(Fault::Gap);
        };
        self.judge_tokens(frame, skip as usize)
    }

    /// Accepts the new tokens of a frame and returns the decision about it.
    pub fn accept(&mut self, frame: &Frame) -> Verdict {
        let verdict = self.judge(frame);
        match verdict {
            Verdict::Next { skip } => self.store(frame, skip),
            Verdict::Repeated => self.dropped.repeated += 1,
            Verdict::Foreign if frame.id != self.id => self.dropped.request += 1,
            Verdict::Foreign => self.dropped.attempt += 1,
            Verdict::Faulty(_) => self.dropped.faulty += 1,
        }
        verdict
    }

    /// Ends the answer if it has as many tokens as the caller asked for.
    ///
    /// An engine can die between its last token and the event that says so.
    pub fn finish_at_limit(&mut self) -> bool {
        let complete = self.tape.len() >= self.max_tokens && self.tape.finish().is_none();
        if complete {
            self.tape.set_finish(Finish::Length);
        }
        complete
    }

    fn judge_tokens(&self, frame: &Frame, skip: usize) -> Verdict {
        let repeated = skip.min(frame.tokens.len());
        let known = &self.tape.ids()[frame.first as usize..];
        if !same_ids(&frame.tokens[..repeated], known) {
            return Verdict::Faulty(Fault::Mismatch);
        }
        let fresh = frame.tokens.len() - repeated;
        if self.is_too_long(fresh) || (frame.finish.is_some() && repeated < skip) {
            return Verdict::Faulty(Fault::Length);
        }
        let ends_now = frame.finish.is_some() && self.tape.finish().is_none();
        if fresh == 0 && !ends_now {
            return Verdict::Repeated;
        }
        Verdict::Next { skip: repeated }
    }

    fn is_too_long(&self, fresh: usize) -> bool {
        let room = self.max_tokens.saturating_sub(self.tape.len()) as usize;
        fresh > room || (fresh > 0 && self.tape.finish().is_some())
    }

    fn store(&mut self, frame: &Frame, skip: usize) {
        for token in &frame.tokens[skip..] {
            self.tape.push(token);
        }
        if let Some(finish) = frame.finish {
            self.tape.set_finish(finish);
        }
    }
}

fn same_ids(tokens: &[Token], known: &[u32]) -> bool {
    tokens.iter().zip(known).all(|(token, id)| token.id == *id)
}
