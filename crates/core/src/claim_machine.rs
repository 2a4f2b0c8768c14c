use std::time::Duration;

use super::{Answer, Key, Record, State, Verdict};
use crate::clock::Instant;
use crate::id::Claim;
use crate::platform::Failure;

/// The time between two tries to settle a claim or to record an outcome.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Time limits of one action.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How long the answer to the claim is waited for before it counts as lost.
    pub claim: Duration,
    /// How long after the start the call may still be sent. The caller is answered then, whatever is known.
    pub confirm: Duration,
    /// How long a claim is settled, or an outcome recorded, after the caller was answered.
    pub give_up: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            claim: Duration::from_secs(1),
            confirm: Duration::from_secs(3),
            give_up: Duration::from_secs(600),
        }
    }
}

/// What a claimant is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The answer to [`Command::Claim`].
    Claimed(Verdict),
    /// The answer to [`Command::Close`].
    Closed(Verdict),
    /// The answer to [`Command::Record`].
    Recorded(Verdict),
    /// The answer to [`Command::ReadSegment`]: the record of the key.
    Segment(Result<Option<Record>, Failure>),
    /// The call to the target ended.
    Called(Call),
    /// The answer to [`Command::LookUp`].
    LookedUp(Found),
    /// A deadline passed.
    Tick,
}

/// How the call to a target ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// The target answered this very call.
    Answered(Answer),
    /// No connection was made, so nothing was sent.
    NotConnected,
    /// The connection was made and no answer of this call arrived.
    Lost,
}

/// What a status lookup found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// The target ran the action.
    Done,
    /// The target did not run it so far, does not know, or could not be asked. A call that is still on its way may run
    /// later, so that "never" proves nothing.
    Unknown,
}

/// What a claimant asks for. Every command with an answer is answered within a time limit: a call whose answer is missing
/// counts as [`Verdict::Unknown`], [`Call::Lost`] or [`Found::Unknown`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Have the claim written, by the owner of the shard.
    Claim(Record),
    /// Read the shard back and write a tombstone if the claim is not there, without help of the shard's owner.
    Close(Record),
    /// Have the outcome written, by the owner of the shard.
    Record(Key, Claim, State),
    /// Read the record of the key from a segment.
    ReadSegment(String),
    /// Send the call with this claim id, once.
    Send(Claim),
    /// Ask the record's target what became of the record's claim.
    LookUp(Record),
    /// Answer the caller.
    Answer(Outcome),
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered; the caller gets that answer.
    Answered,
    /// The action ran earlier, with this answer.
    Recorded(Answer),
    /// The action did not run.
    NotRun(Scope),
    /// The action may have run or may still run; a later lookup may know more.
    Unknown,
    /// The key was used with another path or body.
    Mismatch,
}

/// What a "not run" covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The key: no request with it ran, and none will.
    Key,
    /// This request only: it left no record, and an earlier or later request with the same key may run.
    Request,
}

/// The claimant of one action.
#[derive(Debug)]
pub struct Machine {
    record: Record,
    limits: Limits,
    start: Instant,
    answered: bool,
    phase: Phase,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Claiming,
    // The claim is settled by a read or a tombstone; the instant is set while a retry is waited for.
    Closing(Option<Instant>),
    ReadingSegment,
    Sending,
    LookingUp(Record),
    // As for `Closing`, with the state that is recorded.
    Recording(Claim, State, Option<Instant>),
    Finished,
}

impl Machine {
    /// Starts an action. When the platform is known to be down, the action is refused at once.
    pub fn start(now: Instant, record: Record, limits: Limits, platform_up: bool) -> (Self, Vec<Command>) {
        let mut machine = Self {
            record,
            limits,
            start: now,
            answered: false,
            phase: Phase::Claiming,
        };
        let commands = if platform_up {
            vec![Command::Claim(machine.record.clone())]
        } else {
            machine.finish(Outcome::NotRun(Scope::Request))
        };
        (machine, commands)
    }

    /// Takes an event and returns what has to be done.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Command> {
        match (self.phase.clone(), event) {
            (Phase::Claiming, Event::Claimed(verdict)) => self.claimed(now, verdict),
            (Phase::Closing(_), Event::Closed(verdict)) => self.closed(now, verdict),
            (Phase::ReadingSegment, Event::Segment(result)) => self.segment(now, result),
            (Phase::Sending, Event::Called(call)) => self.called(call),
            (Phase::LookingUp(record), Event::LookedUp(found)) => self.looked_up(&record, found),
            (Phase::Recording(..), Event::Recorded(verdict)) => self.recorded(now, &verdict),
            (_, Event::Tick) => self.tick(now),
            // Answers to calls that were given up.
            _ => Vec::new(),
        }
    }

    /// Returns when [`Event::Tick`] is due.
    pub fn deadline(&self) -> Option<Instant> {
        let answer = (!self.answered && self.may_be_answered_unknown()).then(|| self.confirm_by());
        let step = match &self.phase {
            Phase::Claiming => Some(self.start + self.limits.claim),
            Phase::Closing(retry) | Phase::Recording(_, _, retry) => *retry,
            Phase::ReadingSegment | Phase::Sending | Phase::LookingUp(_) | Phase::Finished => None,
        };
        answer.into_iter().chain(step).min()
    }

    /// Returns whether nothing is left to do.
    pub fn is_finished(&self) -> bool {
        self.phase == Phase::Finished
    }

    /// Returns the record that the machine claims.
    pub const fn record(&self) -> &Record {
        &self.record
    }

    fn confirm_by(&self) -> Instant {
        self.start + self.limits.confirm
    }

    fn may_be_answered_unknown(&self) -> bool {
        matches!(self.phase, Phase::Claiming | Phase::Closing(_) | Phase::ReadingSegment)
    }

    fn claimed(&mut self, now: Instant, verdict: Verdict) -> Vec<Command> {
        match verdict {
            Verdict::Stored => self.confirmed(now),
            Verdict::Held(record) => self.held(now, record),
            Verdict::Sealed(name) => self.read_segment(name),
            Verdict::Refused => self.finish(Outcome::NotRun(Scope::Request)),
            Verdict::Unknown => self.close(),
        }
    }

    fn closed(&mut self, now: Instant, verdict: Verdict) -> Vec<Command> {
        match verdict {
            Verdict::Stored => self.finish(Outcome::NotRun(Scope::Key)),
            Verdict::Held(record) => self.held(now, record),
            Verdict::Sealed(name) => self.read_segment(name),
            // The tombstone was not written, so the claim may still take effect.
            Verdict::Refused | Verdict::Unknown => self.retry_close(now),
        }
    }

    fn segment(&mut self, now: Instant, result: Result<Option<Record>, Failure>) -> Vec<Command> {
        match result {
            Ok(Some(record)) => self.held(now, record),
            Ok(None) | Err(_) => self.retry_close(now),
        }
    }

    // The claim stands in the platform: this machine is the only sender for as long as the record is kept.
    fn confirmed(&mut self, now: Instant) -> Vec<Command> {
        if now >= self.confirm_by() || self.answered {
            let mut commands = self.answer(Outcome::NotRun(Scope::Key));
            commands.extend(self.settle(self.record.claim, State::NotRun));
            return commands;
        }
        self.phase = Phase::Sending;
        vec![Command::Send(self.record.claim)]
    }

    fn held(&mut self, now: Instant, record: Record) -> Vec<Command> {
        if record.body != self.record.body {
            return self.finish(Outcome::Mismatch);
        }
        match record.state {
            State::Done(answer) => self.finish(Outcome::Recorded(answer)),
            State::NotRun => self.finish(Outcome::NotRun(Scope::Key)),
            State::Claimed if record.claim == self.record.claim => self.confirmed(now),
            State::Claimed => self.look_up(record),
        }
    }

    fn called(&mut self, call: Call) -> Vec<Command> {
        let (outcome, state) = match call {
            Call::Answered(answer) => (Outcome::Answered, State::Done(answer)),
            Call::NotConnected => (Outcome::NotRun(Scope::Key), State::NotRun),
            Call::Lost => return self.look_up(self.record.clone()),
        };
        let mut commands = self.answer(outcome);
        commands.extend(self.settle(self.record.claim, state));
        commands
    }

    fn look_up(&mut self, record: Record) -> Vec<Command> {
        self.phase = Phase::LookingUp(record.clone());
        vec![Command::LookUp(record)]
    }

    fn looked_up(&mut self, record: &Record, found: Found) -> Vec<Command> {
        match found {
            Found::Done => {
                let mut commands = self.answer(Outcome::Recorded(Answer::resolved()));
                commands.extend(self.settle(record.claim, State::Done(Answer::resolved())));
                commands
            }
            Found::Unknown => self.finish(Outcome::Unknown),
        }
    }

    fn recorded(&mut self, now: Instant, verdict: &Verdict) -> Vec<Command> {
        let Phase::Recording(_, _, retry) = &mut self.phase else {
            return Vec::new();
        };
        match verdict {
            Verdict::Unknown | Verdict::Refused if now < self.start + self.limits.give_up => {
                *retry = Some(now + RETRY_INTERVAL);
            }
            _ => self.phase = Phase::Finished,
        }
        Vec::new()
    }

    fn tick(&mut self, now: Instant) -> Vec<Command> {
        let mut commands = Vec::new();
        if now >= self.confirm_by() && self.may_be_answered_unknown() {
            commands.extend(self.answer(Outcome::Unknown));
        }
        match &self.phase {
            Phase::Claiming if now >= self.start + self.limits.claim => commands.extend(self.close()),
            Phase::Closing(Some(retry)) if now >= *retry => commands.extend(self.close()),
            Phase::Recording(claim, state, Some(retry)) if now >= *retry => {
                let (claim, state) = (*claim, state.clone());
                commands.extend(self.settle(claim, state));
            }
            _ => {}
        }
        commands
    }

    fn close(&mut self) -> Vec<Command> {
        self.phase = Phase::Closing(None);
        vec![Command::Close(self.record.clone())]
    }

    fn retry_close(&mut self, now: Instant) -> Vec<Command> {
        if now >= self.start + self.limits.give_up {
            return self.finish(Outcome::Unknown);
        }
        self.phase = Phase::Closing(Some(now + RETRY_INTERVAL));
        Vec::new()
    }

    fn read_segment(&mut self, name: String) -> Vec<Command> {
        self.phase = Phase::ReadingSegment;
        vec![Command::ReadSegment(name)]
    }

    fn settle(&mut self, claim: Claim, state: State) -> Vec<Command> {
        self.phase = Phase::Recording(claim, state.clone(), None);
        vec![Command::Record(self.record.key, claim, state)]
    }

    fn finish(&mut self, outcome: Outcome) -> Vec<Command> {
        self.phase = Phase::Finished;
        self.answer(outcome)
    }

    fn answer(&mut self, outcome: Outcome) -> Vec<Command> {
        if std::mem::replace(&mut self.answered, true) {
            return Vec::new();
        }
        vec![Command::Answer(outcome)]
    }
}
