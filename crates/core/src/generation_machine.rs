use std::time::Duration;

use crate::assembly::{Assembler, Classification, Dropped};
use crate::backlog::Stream;
use crate::clock::Instant;
use crate::error::{Error, Kind, Result};
use crate::generation::{Command, Event, Outcome, Request, Settings};
use crate::generation_replication::Replication;
use crate::generation_upstream::Upstream;
use crate::id::{Attempt, Branch, Entry, Target};
use crate::replica::{self, Grant, Origin, Placement};
use crate::transcript::Transcript;
use crate::wire::{Completion, Frame};

/// State machine of one generation at the entry that serves its caller.
#[derive(Debug)]
pub struct Machine {
    settings: Settings,
    upstream: Upstream,
    replication: Replication,
    assembler: Assembler,
    backlog: Stream,
    /// The index after the last token that the caller has read.
    read: u32,
    /// When the caller's connection closed.
    disconnected_at: Option<Instant>,
    /// When reading from the engine was paused for a slow reader.
    paused_at: Option<Instant>,
    /// Set while the generation is suspended for a slow reader.
    suspension: Option<Suspension>,
    is_leaving: bool,
    outcome: Option<Outcome>,
    /// The attempt of the previous owner, which has to be cancelled.
    previous: Option<(Branch, Placement)>,
}

/// A suspension for a slow reader.
#[derive(Clone, Copy, Debug)]
struct Suspension {
    /// The backlog in bytes when the suspension began.
    initial_backlog: usize,
    /// The earliest end of the suspension.
    until: Instant,
}

impl Machine {
    /// Creates the machine for a new request. The first event has to be [`Event::Begin`].
    pub fn new(now: Instant, settings: Settings, request: Request, backlog: Stream) -> Self {
        let origin = Origin {
            lineage: request.first_lineage(),
            account: request.account,
            completion: request.completion,
            version: request.version,
            remaining: request.remaining,
        };
        let replication = Replication::new(settings, request.id, 0, origin, now, 0);
        Self::build(settings, replication, request.max_tokens, Transcript::new(), backlog)
    }

    /// Creates the machine for a generation that this entry took over, for a caller that needs the tokens from `next`.
    ///
    /// # Errors
    ///
    /// Fails if the replica lacks tokens before `next`, or if the unread tokens exceed a limit of the backlog.
    pub fn take_over(
        now: Instant,
        settings: Settings,
        request: crate::id::Request,
        grant: Grant,
        max_tokens: u32,
        next: u32,
        backlog: Stream,
    ) -> Result<Self> {
        let transcript = Transcript::from(grant.segment);
        let released = transcript.len();
        let replication = Replication::new(settings, request, grant.epoch, grant.origin, now, released);
        let mut machine = Self::build(settings, replication, max_tokens, transcript, backlog);
        machine.previous = grant.previous;
        if next > released {
            return Err(Error::from(Kind::NotReleased { released }));
        }
        let unread = machine.transcript().cost(next..released);
        let added = machine.backlog.grow(unread);
        added.map_err(|_bound| Error::from(Kind::BacklogFull))?;
        machine.read = next;
        Ok(machine)
    }

    fn build(
        settings: Settings,
        replication: Replication,
        max_tokens: u32,
        transcript: Transcript,
        backlog: Stream,
    ) -> Self {
        let branch = replication.branch().unwrap_or(Branch::from_random([0; 16]));
        // Engines identify the generation by its branch, so that if two entries take over diverged replicas, an attach
        // by one cannot reach the stream of the other.
        let id = crate::id::Request::from_random(*branch.as_bytes());
        Self {
            settings,
            upstream: Upstream::new(settings, branch, replication.epoch()),
            assembler: Assembler::new(id, replication.origin().version.clone(), max_tokens, transcript),
            replication,
            backlog,
            read: 0,
            disconnected_at: None,
            paused_at: None,
            suspension: None,
            is_leaving: false,
            outcome: None,
            previous: None,
        }
    }

    /// Returns all accepted tokens; only those before [`Machine::released`] may be sent to the caller.
    pub fn transcript(&self) -> &Transcript {
        self.assembler.transcript()
    }

    /// Returns the index after the last token that may be sent to the caller.
    pub fn released(&self) -> u32 {
        self.replication.released()
    }

    /// Returns whether the end of the answer may be sent to the caller.
    pub fn is_finished(&self) -> bool {
        self.replication.is_finished()
    }

    /// Returns the index after the last token that the caller has read.
    pub fn read(&self) -> u32 {
        self.read
    }

    /// Returns the body of the completion call.
    pub fn completion(&self) -> &Completion {
        &self.replication.origin().completion
    }

    /// Returns the metadata that is replicated besides the tokens.
    pub fn origin(&self) -> &Origin {
        self.replication.origin()
    }

    /// Returns the branch of this owner, whose id identifies the generation at engines.
    pub fn branch(&self) -> Option<Branch> {
        self.replication.branch()
    }

    /// Returns the owner's epoch.
    pub fn epoch(&self) -> u32 {
        self.replication.epoch()
    }

    /// Returns the latest attempt.
    pub fn attempt(&self) -> Option<Attempt> {
        self.upstream.attempt()
    }

    /// Returns the target of the latest attempt.
    pub fn target(&self) -> Option<&Target> {
        self.upstream.target()
    }

    /// Returns the peer that holds or receives the replica.
    pub fn peer(&self) -> Option<&Entry> {
        self.replication.peer()
    }

    /// Returns the accounting of the bytes that the caller has not read.
    pub fn backlog(&self) -> &Stream {
        &self.backlog
    }

    /// Returns whether the generation is suspended for a slow reader.
    pub fn is_suspended(&self) -> bool {
        self.suspension.is_some()
    }

    /// Returns the total time for which tokens were released without a replica.
    pub fn time_without_replica(&self, now: Instant) -> Duration {
        self.replication.time_unreplicated(now)
    }

    /// Returns the counts of dropped frames.
    pub fn dropped(&self) -> Dropped {
        self.assembler.dropped()
    }

    /// Returns how the generation ended, or `None` while it runs.
    pub fn outcome(&self) -> Option<Outcome> {
        self.outcome
    }

    /// Returns when the machine has to receive [`Event::Tick`].
    pub fn deadline(&self) -> Option<Instant> {
        if self.outcome.is_some() {
            return None;
        }
        let deadlines = [
            self.upstream.deadline(),
            self.replication.deadline(),
            self.disconnected_at.map(|since| since + self.settings.caller_grace),
            self.paused_at.map(|since| since + self.settings.stall_timeout),
            self.suspension
                .filter(|_| self.has_caught_up())
                .map(|suspension| suspension.until),
            (!self.is_finished()).then(|| self.replication.request_deadline()),
        ];
        deadlines.into_iter().flatten().min()
    }

    /// Handles an event and returns the commands to execute, in order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Command> {
        let mut out = Vec::new();
        if self.outcome.is_none() {
            self.dispatch(now, event, &mut out);
            self.finish_step(&mut out);
        }
        out
    }

    /// Reconnects a caller that has the tokens of `branch` before `next`. Its previous connection may still be open.
    ///
    /// # Errors
    ///
    /// Fails if the caller has read a diverged answer, or if the tokens that it lacks exceed a limit of the backlog.
    pub fn reconnect_caller(&mut self, now: Instant, branch: Branch, next: u32) -> Result<()> {
        let released = self.released();
        let checked = replica::check_lineage(&self.origin().lineage, released, branch, next);
        checked.map_err(|_refusal| Error::from(Kind::NotReleased { released }))?;
        let transcript = self.assembler.transcript();
        if next < self.read {
            let reread = transcript.cost(next..self.read);
            let added = self.backlog.grow(reread);
            added.map_err(|_bound| Error::from(Kind::BacklogFull))?;
        }
        if next > self.read {
            self.backlog.shrink(transcript.cost(self.read..next), now);
        }
        self.read = next;
        self.disconnected_at = None;
        Ok(())
    }

    fn dispatch(&mut self, now: Instant, event: Event, out: &mut Vec<Command>) {
        match event {
            Event::Begin => self.begin(now, out),
            Event::TargetChosen {
                target,
                silence_timeout,
            } => self.open_attempt(now, target, silence_timeout, out),
            Event::SilenceTimeout(timeout) => self.upstream.set_silence_timeout(timeout),
            Event::NoTarget { retry } => self.upstream.target_unavailable(now, retry, out),
            Event::Accepted { attempt } => self.upstream.attempt_accepted(now, attempt),
            Event::Frame(frame) => self.handle_frame(now, &frame, out),
            Event::Closed { attempt, refused } => self.attempt_closed(now, attempt, refused, out),
            Event::TargetLost { target } => self.target_lost(now, &target, out),
            Event::PeerChosen { peer } => self.replication.set_peer(now, peer, self.assembler.transcript(), out),
            Event::NoPeer => self.replication.peer_unavailable(now, self.assembler.transcript(), out),
            Event::Replied { sequence, reply } => {
                self.replication
                    .replied(now, sequence, reply, self.assembler.transcript(), out);
            }
            Event::ReplyLost { sequence } => self.replication.reply_lost(sequence, out),
            Event::PeerLost { peer } => self.replication.peer_lost(&peer, out),
            Event::Read { next } => self.caller_read(now, next, out),
            Event::CallerGone => {
                self.disconnected_at.get_or_insert(now);
            }
            Event::Suspend => self.suspend(now, out),
            Event::Cancel => out.push(Command::End(Outcome::Cancelled)),
            Event::Leave => self.is_leaving = true,
            Event::ClockJump => {
                self.upstream.restart_clock(now);
                self.replication.reconfirm(now, self.assembler.transcript(), out);
            }
            Event::Tick => self.tick(now, out),
        }
    }

    fn begin(&mut self, now: Instant, out: &mut Vec<Command>) {
        if let Some((branch, placement)) = self.previous.take() {
            out.push(Command::CancelAttempt {
                target: placement.target,
                branch,
                attempt: placement.attempt,
            });
        }
        self.replication.request_peer(out);
        // The replica may have all tokens but not the finish reason.
        self.assembler.finish_at_limit();
        self.replication.tokens_added(now, self.assembler.transcript(), out);
        if self.transcript().finish().is_none() {
            self.upstream.request_target(out);
        }
    }

    fn open_attempt(&mut self, now: Instant, target: Target, silence_timeout: Duration, out: &mut Vec<Command>) {
        let before = self.upstream.attempt();
        self.upstream.open(now, target, silence_timeout, out);
        if self.upstream.attempt() == before {
            return;
        }
        if let (Some(target), Some(attempt)) = (self.upstream.target().cloned(), self.upstream.attempt()) {
            self.replication
                .set_placement(now, target, attempt, self.assembler.transcript(), out);
        }
    }

    fn handle_frame(&mut self, now: Instant, frame: &Frame, out: &mut Vec<Command>) {
        if !self.upstream.is_open() {
            return;
        }
        if let Classification::Next { skip } = self.assembler.classify(frame) {
            let cost = frame.tokens[skip..].iter().map(crate::transcript::token_cost).sum();
            if self.backlog.grow(cost).is_err() {
                // The tokens are not accepted, so a later attempt generates them again.
                self.suspend(now, out);
                return;
            }
        }
        match self.assembler.accept(frame) {
            Classification::Next { .. } => self.frame_accepted(now, out),
            Classification::Faulty(_) => self.upstream.fail_over(out),
            Classification::Repeated | Classification::Foreign => {}
        }
    }

    fn frame_accepted(&mut self, now: Instant, out: &mut Vec<Command>) {
        self.upstream.frame_accepted(now, out);
        if self.transcript().finish().is_some() {
            self.upstream.finish();
            self.paused_at = None;
            // A finished generation is not selected for suspension, because that would free no bytes.
            self.backlog.set_suspended(true);
        }
        self.replication.tokens_added(now, self.assembler.transcript(), out);
        // The last quarter is reserved for frames that arrive before the pause takes effect.
        if self.backlog.bytes() >= self.backlog.bound() / 4 * 3 && !self.upstream.is_paused() {
            self.upstream.pause(out);
            self.paused_at = self.upstream.is_paused().then_some(now);
        }
    }

    fn attempt_closed(&mut self, now: Instant, attempt: Attempt, refused: bool, out: &mut Vec<Command>) {
        if self.upstream.attempt() != Some(attempt) || !self.upstream.is_open() {
            return;
        }
        if self.assembler.finish_at_limit() {
            self.frame_accepted(now, out);
        } else if self.upstream.is_paused() {
            self.suspend(now, out);
        } else {
            self.upstream
                .attempt_closed(now, attempt, refused, self.transcript().len(), out);
        }
    }

    fn target_lost(&mut self, now: Instant, target: &Target, out: &mut Vec<Command>) {
        if self.upstream.is_paused() && self.upstream.target() == Some(target) {
            self.suspend(now, out);
        } else {
            self.upstream.target_lost(target, out);
        }
    }

    fn caller_read(&mut self, now: Instant, next: u32, out: &mut Vec<Command>) {
        let next = next.min(self.released());
        if next > self.read {
            let cost = self.transcript().cost(self.read..next);
            self.backlog.shrink(cost, now);
            self.read = next;
        }
        if self.upstream.is_paused() && self.backlog.bytes() <= self.backlog.bound() / 4 {
            self.upstream.unpause(now, out);
            self.paused_at = None;
        }
        self.end_suspension(now, out);
    }

    /// Returns whether the caller has read almost the whole backlog, so that a slow reader does not alternate between
    /// suspension and resume.
    fn has_caught_up(&self) -> bool {
        self.suspension
            .is_some_and(|suspension| self.backlog.bytes() <= suspension.initial_backlog / 8)
    }

    fn end_suspension(&mut self, now: Instant, out: &mut Vec<Command>) {
        if self.has_caught_up() && self.suspension.is_some_and(|suspension| suspension.until <= now) {
            self.suspension = None;
            self.backlog.set_suspended(false);
            self.upstream.request_target(out);
        }
    }

    /// Cancels the attempt until the caller has read the backlog.
    fn suspend(&mut self, now: Instant, out: &mut Vec<Command>) {
        if self.suspension.is_some() || self.transcript().finish().is_some() {
            return;
        }
        self.upstream.stop(out);
        self.paused_at = None;
        self.suspension = Some(Suspension {
            initial_backlog: self.backlog.bytes(),
            until: now + self.settings.min_suspension,
        });
        self.backlog.set_suspended(true);
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Command>) {
        let is_silent = self.upstream.deadline().is_some_and(|deadline| deadline <= now);
        if is_silent && self.upstream.is_open() && self.assembler.finish_at_limit() {
            self.frame_accepted(now, out);
        }
        self.upstream.tick(now, self.transcript().len(), out);
        self.replication.tick(now, self.assembler.transcript(), out);
        self.end_suspension(now, out);
        self.tick_caller(now, out);
    }

    fn tick_caller(&mut self, now: Instant, out: &mut Vec<Command>) {
        if self
            .disconnected_at
            .is_some_and(|since| since + self.settings.caller_grace <= now)
        {
            out.push(Command::End(Outcome::Cancelled));
        } else if !self.is_finished() && self.replication.request_deadline() <= now {
            out.push(Command::End(Outcome::Deadline));
        } else if self
            .paused_at
            .is_some_and(|since| since + self.settings.stall_timeout <= now)
        {
            self.suspend(now, out);
        }
    }

    /// Passes the current attempt to the assembler, and terminates the machine if the generation has ended.
    fn finish_step(&mut self, out: &mut Vec<Command>) {
        if let Some(attempt) = self.upstream.attempt() {
            self.assembler.set_attempt(attempt);
        }
        let position = out.iter().position(|command| matches!(command, Command::End(_)));
        if let Some(position) = position {
            let rest = out.split_off(position);
            if let Some(Command::End(outcome)) = rest.first() {
                self.end(*outcome, out);
            }
        } else if self.is_finished() && self.read == self.transcript().len() {
            self.end(Outcome::Completed, out);
        } else if self.is_leaving && self.replication.is_fully_replicated(self.transcript()) {
            self.end(Outcome::HandedOver, out);
        }
    }

    fn end(&mut self, outcome: Outcome, out: &mut Vec<Command>) {
        self.upstream.stop(out);
        let drops_replica = match outcome {
            // The caller may reconnect for the end of a completed answer; the replica expires on its own.
            Outcome::Completed | Outcome::Fenced | Outcome::HandedOver => false,
            Outcome::Cancelled | Outcome::NoTarget | Outcome::Deadline | Outcome::Attempts => true,
        };
        if let (true, Some(peer)) = (drops_replica, self.replication.peer()) {
            out.push(Command::DropReplica {
                peer: peer.clone(),
                epoch: self.replication.epoch(),
            });
        }
        self.outcome = Some(outcome);
        out.push(Command::End(outcome));
    }
}
