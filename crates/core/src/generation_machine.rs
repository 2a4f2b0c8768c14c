use std::time::Duration;

use crate::assembly::{Assembler, Dropped, Verdict};
use crate::backlog::Stream;
use crate::clock::Instant;
use crate::error::{Error, Kind, Result};
use crate::generation::{Command, Event, Outcome, Request, Settings};
use crate::generation_release::Release;
use crate::generation_source::Source;
use crate::id::{Attempt, Branch, Entry, Target};
use crate::replica::{self, Grant, Origin, Placement};
use crate::tape::Tape;
use crate::wire::{Completion, Frame};

/// One generation at the entry that serves its caller.
#[derive(Debug)]
pub struct Machine {
    settings: Settings,
    source: Source,
    release: Release,
    assembler: Assembler,
    backlog: Stream,
    /// The index after the last token that the caller has read.
    read: u32,
    /// Since when the caller's connection is closed.
    gone: Option<Instant>,
    /// Since when the engine is slowed down for the caller.
    paused: Option<Instant>,
    /// The attempt was given up for a slow reader.
    suspended: Option<Suspension>,
    leaving: bool,
    outcome: Option<Outcome>,
    /// The attempt of the previous owner.
    previous: Option<(Branch, Placement)>,
}

/// The state when an attempt was given up for a slow reader.
#[derive(Clone, Copy, Debug)]
struct Suspension {
    held: usize,
    until: Instant,
}

impl Machine {
    /// Creates the machine of a new request. The first event has to be [`Event::Begin`].
    pub fn new(now: Instant, settings: Settings, request: Request, backlog: Stream) -> Self {
        let origin = Origin {
            lineage: request.first_lineage(),
            account: request.account,
            completion: request.completion,
            version: request.version,
            remaining: request.remaining,
        };
        let release = Release::new(settings, request.id, 0, origin, now, 0);
        Self::build(settings, release, request.max_tokens, Tape::new(), backlog)
    }

    /// Creates the machine of a generation that this entry took over for a caller that needs the tokens from `next`.
    ///
    /// # Errors
    ///
    /// Fails when the copy does not have the tokens before `next`, or when those after it exceed a bound of the backlog.
    pub fn take_over(
        now: Instant,
        settings: Settings,
        request: crate::id::Request,
        grant: Grant,
        max_tokens: u32,
        next: u32,
        backlog: Stream,
    ) -> Result<Self> {
        let tape = Tape::from(grant.segment);
        let released = tape.len();
        let release = Release::new(settings, request, grant.epoch, grant.origin, now, released);
        let mut machine = Self::build(settings, release, max_tokens, tape, backlog);
        machine.previous = grant.previous;
        if next > released {
            return Err(Error::from(Kind::NotReleased { released }));
        }
        let unread = machine.tape().cost(next..released);
        let grown = machine.backlog.grow(unread);
        grown.map_err(|_bound| Error::from(Kind::BacklogFull))?;
        machine.read = next;
        Ok(machine)
    }

    fn build(settings: Settings, release: Release, max_tokens: u32, tape: Tape, backlog: Stream) -> Self {
        let branch = release.branch().unwrap_or(Branch::from_random([0; 16]));
        // Engines know the generation by its branch: if two entries take diverged copies over, an attach of one can
        // then never reach the stream of the other.
        let id = crate::id::Request::from_random(*branch.as_bytes());
        Self {
            settings,
            source: Source::new(settings, branch, release.epoch()),
            assembler: Assembler::new(id, release.origin().version.clone(), max_tokens, tape),
            release,
            backlog,
            read: 0,
            gone: None,
            paused: None,
            suspended: None,
            leaving: false,
            outcome: None,
            previous: None,
        }
    }

    /// Returns the tokens; only those before [`Machine::released`] may be handed to the caller.
    pub fn tape(&self) -> &Tape {
        self.assembler.tape()
    }

    /// Returns the index after the last token that may be handed to the caller.
    pub fn released(&self) -> u32 {
        self.release.released()
    }

    /// Returns whether the caller may be told that the answer ended.
    pub fn is_finished(&self) -> bool {
        self.release.is_finished()
    }

    /// Returns the index after the last token that the caller has read.
    pub fn read(&self) -> u32 {
        self.read
    }

    /// Returns what the caller asked for.
    pub fn completion(&self) -> &Completion {
        &self.release.origin().completion
    }

    /// Returns what a peer needs to know besides the tokens.
    pub fn origin(&self) -> &Origin {
        self.release.origin()
    }

    /// Returns the branch of this owner, whose id engines know the generation by.
    pub fn branch(&self) -> Option<Branch> {
        self.release.branch()
    }

    /// Returns the owner's epoch.
    pub fn epoch(&self) -> u32 {
        self.release.epoch()
    }

    /// Returns the latest attempt.
    pub fn attempt(&self) -> Option<Attempt> {
        self.source.attempt()
    }

    /// Returns the target of the latest attempt.
    pub fn target(&self) -> Option<&Target> {
        self.source.target()
    }

    /// Returns the peer that has or gets the copy.
    pub fn peer(&self) -> Option<&Entry> {
        self.release.peer()
    }

    /// Returns the bytes that the caller has not read.
    pub fn backlog(&self) -> &Stream {
        &self.backlog
    }

    /// Returns whether the attempt was given up for a slow reader.
    pub fn is_suspended(&self) -> bool {
        self.suspended.is_some()
    }

    /// Returns how long tokens were released without a copy.
    pub fn time_without_replica(&self, now: Instant) -> Duration {
        self.release.time_without(now)
    }

    /// Returns the counts of dropped frames.
    pub fn dropped(&self) -> Dropped {
        self.assembler.dropped()
    }

    /// Returns how the generation ended.
    pub fn outcome(&self) -> Option<Outcome> {
        self.outcome
    }

    /// Returns when the machine has to get [`Event::Tick`].
    pub fn deadline(&self) -> Option<Instant> {
        if self.outcome.is_some() {
            return None;
        }
        let deadlines = [
            self.source.deadline(),
            self.release.deadline(),
            self.gone.map(|since| since + self.settings.caller_grace),
            self.paused.map(|since| since + self.settings.stall_limit),
            self.suspended.filter(|_| self.has_caught_up()).map(|state| state.until),
            (!self.is_finished()).then(|| self.release.request_deadline()),
        ];
        deadlines.into_iter().flatten().min()
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Command> {
        let mut out = Vec::new();
        if self.outcome.is_none() {
            self.dispatch(now, event, &mut out);
            self.settle(&mut out);
        }
        out
    }

    /// Connects a caller that has the tokens of `branch` before `next`, after its earlier connection closed or while it
    /// is open.
    ///
    /// # Errors
    ///
    /// Fails when the caller has read another answer than this one, or when the tokens that it lacks exceed a bound of
    /// the backlog.
    pub fn return_caller(&mut self, now: Instant, branch: Branch, next: u32) -> Result<()> {
        let released = self.released();
        let checked = replica::check_lineage(&self.origin().lineage, released, branch, next);
        checked.map_err(|_refusal| Error::from(Kind::NotReleased { released }))?;
        let tape = self.assembler.tape();
        if next < self.read {
            let again = tape.cost(next..self.read);
            let grown = self.backlog.grow(again);
            grown.map_err(|_bound| Error::from(Kind::BacklogFull))?;
        }
        if next > self.read {
            self.backlog.shrink(tape.cost(self.read..next), now);
        }
        self.read = next;
        self.gone = None;
        Ok(())
    }

    fn dispatch(&mut self, now: Instant, event: Event, out: &mut Vec<Command>) {
        match event {
            Event::Begin => self.begin(now, out),
            Event::Chosen { target, silence } => self.open(now, target, silence, out),
            Event::Silence(silence) => self.source.set_silence(silence),
            Event::NoTarget { retry } => self.source.lack(now, retry, out),
            Event::Accepted { attempt } => self.source.accepted(now, attempt),
            Event::Frame(frame) => self.frame(now, &frame, out),
            Event::Closed { attempt, refused } => self.closed(now, attempt, refused, out),
            Event::TargetLost { target } => self.target_lost(now, &target, out),
            Event::Peer { peer } => self.release.choose(now, peer, self.assembler.tape(), out),
            Event::NoPeer => self.release.lack(now, self.assembler.tape(), out),
            Event::Replied { ticket, reply } => {
                self.release.replied(now, ticket, reply, self.assembler.tape(), out);
            }
            Event::ReplyLost { ticket } => self.release.reply_lost(ticket, out),
            Event::PeerLost { peer } => self.release.peer_lost(&peer, out),
            Event::Read { next } => self.caller_read(now, next, out),
            Event::CallerGone => {
                self.gone.get_or_insert(now);
            }
            Event::Suspend => self.suspend(now, out),
            Event::Cancel => out.push(Command::End(Outcome::Cancelled)),
            Event::Leave => self.leaving = true,
            Event::ClockJump => {
                self.source.restart_clock(now);
                self.release.reconfirm(now, self.assembler.tape(), out);
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
        self.release.ask(out);
        // The copy may have all tokens but not the end.
        self.assembler.finish_at_limit();
        self.release.produced(now, self.assembler.tape(), out);
        if self.tape().finish().is_none() {
            self.source.ask(out);
        }
    }

    fn open(&mut self, now: Instant, target: Target, silence: Duration, out: &mut Vec<Command>) {
        let before = self.source.attempt();
        self.source.choose(now, target, silence, out);
        if self.source.attempt() == before {
            return;
        }
        if let (Some(target), Some(attempt)) = (self.source.target().cloned(), self.source.attempt()) {
            self.release.place(now, target, attempt, self.assembler.tape(), out);
        }
    }

    fn frame(&mut self, now: Instant, frame: &Frame, out: &mut Vec<Command>) {
        if !self.source.is_open() {
            return;
        }
        if let Verdict::Next { skip } = self.assembler.judge(frame) {
            let cost = frame.tokens[skip..].iter().map(crate::tape::token_cost).sum();
            if self.backlog.grow(cost).is_err() {
                // The tokens are not accepted, so a later attempt generates them again and none is lost.
                self.suspend(now, out);
                return;
            }
        }
        match self.assembler.accept(frame) {
            Verdict::Next { .. } => self.accepted(now, out),
            Verdict::Faulty(_) => self.source.move_on(out),
            Verdict::Repeated | Verdict::Foreign => {}
        }
    }

    fn accepted(&mut self, now: Instant, out: &mut Vec<Command>) {
        self.source.progress(now, out);
        if self.tape().finish().is_some() {
            self.source.finish();
            self.paused = None;
            // Suspending it would free nothing.
            self.backlog.set_suspended(true);
        }
        self.release.produced(now, self.assembler.tape(), out);
        // The rest of the bound is for frames that were received before the pause takes effect.
        if self.backlog.held() >= self.backlog.bound() / 4 * 3 && !self.source.is_paused() {
            self.source.pause(out);
            self.paused = self.source.is_paused().then_some(now);
        }
    }

    fn closed(&mut self, now: Instant, attempt: Attempt, refused: bool, out: &mut Vec<Command>) {
        if self.source.attempt() != Some(attempt) || !self.source.is_open() {
            return;
        }
        if self.assembler.finish_at_limit() {
            self.accepted(now, out);
        } else if self.source.is_paused() {
            self.suspend(now, out);
        } else {
            self.source.closed(now, attempt, refused, self.tape().len(), out);
        }
    }

    fn target_lost(&mut self, now: Instant, target: &Target, out: &mut Vec<Command>) {
        if self.source.is_paused() && self.source.target() == Some(target) {
            self.suspend(now, out);
        } else {
            self.source.lost(target, out);
        }
    }

    fn caller_read(&mut self, now: Instant, next: u32, out: &mut Vec<Command>) {
        let next = next.min(self.released());
        if next > self.read {
            let cost = self.tape().cost(self.read..next);
            self.backlog.shrink(cost, now);
            self.read = next;
        }
        if self.source.is_paused() && self.backlog.held() <= self.backlog.bound() / 4 {
            self.source.unpause(now, out);
            self.paused = None;
        }
        self.end_suspension(now, out);
    }

    /// Reading almost everything first keeps a slow reader from alternating between suspension and resume.
    fn has_caught_up(&self) -> bool {
        self.suspended
            .is_some_and(|state| self.backlog.held() <= state.held / 8)
    }

    fn end_suspension(&mut self, now: Instant, out: &mut Vec<Command>) {
        if self.has_caught_up() && self.suspended.is_some_and(|state| state.until <= now) {
            self.suspended = None;
            self.backlog.set_suspended(false);
            self.source.ask(out);
        }
    }

    /// Gives the attempt up until the caller has read what is there.
    fn suspend(&mut self, now: Instant, out: &mut Vec<Command>) {
        if self.suspended.is_some() || self.tape().finish().is_some() {
            return;
        }
        self.source.stop(out);
        self.paused = None;
        self.suspended = Some(Suspension {
            held: self.backlog.held(),
            until: now + self.settings.suspension,
        });
        self.backlog.set_suspended(true);
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Command>) {
        let silent = self.source.deadline().is_some_and(|deadline| deadline <= now);
        if silent && self.source.is_open() && self.assembler.finish_at_limit() {
            self.accepted(now, out);
        }
        self.source.tick(now, self.tape().len(), out);
        self.release.tick(now, self.assembler.tape(), out);
        self.end_suspension(now, out);
        self.tick_caller(now, out);
    }

    fn tick_caller(&mut self, now: Instant, out: &mut Vec<Command>) {
        if self.gone.is_some_and(|since| since + self.settings.caller_grace <= now) {
            out.push(Command::End(Outcome::Cancelled));
        } else if !self.is_finished() && self.release.request_deadline() <= now {
            out.push(Command::End(Outcome::Deadline));
        } else if self
            .paused
            .is_some_and(|since| since + self.settings.stall_limit <= now)
        {
            self.suspend(now, out);
        }
    }

    /// Keeps the assembler on the current attempt and ends the machine when there is nothing left to do.
    fn settle(&mut self, out: &mut Vec<Command>) {
        if let Some(attempt) = self.source.attempt() {
            self.assembler.set_attempt(attempt);
        }
        let position = out.iter().position(|command| matches!(command, Command::End(_)));
        if let Some(position) = position {
            let rest = out.split_off(position);
            if let Some(Command::End(outcome)) = rest.first() {
                self.end(*outcome, out);
            }
        } else if self.is_finished() && self.read == self.tape().len() {
            self.end(Outcome::Completed, out);
        } else if self.leaving && self.release.is_covered(self.tape()) {
            self.end(Outcome::HandedOver, out);
        }
    }

    fn end(&mut self, outcome: Outcome, out: &mut Vec<Command>) {
        self.source.stop(out);
        let drops_copy = match outcome {
            // The caller may come back for the end of a completed answer; the copy expires by itself.
            Outcome::Completed | Outcome::Fenced | Outcome::HandedOver => false,
            Outcome::Cancelled | Outcome::NoTarget | Outcome::Deadline | Outcome::Attempts => true,
        };
        if let (true, Some(peer)) = (drops_copy, self.release.peer()) {
            out.push(Command::DropCopy {
                peer: peer.clone(),
                epoch: self.release.epoch(),
            });
        }
        self.outcome = Some(outcome);
        out.push(Command::End(outcome));
    }
}
