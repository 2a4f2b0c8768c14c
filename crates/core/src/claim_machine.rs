use std::time::Duration;

use super::{Answer, Key, Record, State, Verdict};
use crate::clock::Instant;
use crate::id::Claim;
use crate::platform::Failure;

/// The delay between attempts to settle a claim or to record an outcome.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Timeouts of one action.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// How long to wait for the result of the claim before treating it as lost.
    pub claim: Duration,
    /// How long after the start the call may still be sent. The caller gets its answer by then, even if that answer is
    /// [`Outcome::Unknown`].
    pub send: Duration,
    /// How long after the start the machine keeps trying to settle the claim or to record the outcome, even though the
    /// caller was answered.
    pub give_up: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            claim: Duration::from_secs(1),
            send: Duration::from_secs(3),
            give_up: Duration::from_secs(600),
        }
    }
}

/// Input of a [`Machine`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The result of [`Command::Claim`].
    Claimed(Verdict),
    /// The result of [`Command::Close`].
    Closed(Verdict),
    /// The result of [`Command::Record`].
    Recorded(Verdict),
    /// The result of [`Command::ReadSegment`]: the record of the key, if the segment has one.
    Segment(Result<Option<Record>, Failure>),
    /// The call to the target ended.
    Called(Call),
    /// The result of [`Command::LookUp`].
    LookedUp(Lookup),
    /// A deadline passed.
    Tick,
}

/// How the call to a target ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// The target responded to this call.
    Answered(Answer),
    /// No connection was made, so nothing was sent.
    NotConnected,
    /// The connection was made, but no response to this call arrived.
    Lost,
}

/// The result of a status lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The target ran the action.
    Done,
    /// The target has not run the action, does not know it, or could not be asked. A call that is still in flight may
    /// run later, so a lookup cannot prove that the action never runs.
    Unknown,
}

/// Output of a [`Machine`].
///
/// The driver reports the result of every command within a timeout; a missing result becomes [`Verdict::Unknown`],
/// [`Call::Lost`] or [`Lookup::Unknown`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Write the claim through the owner of the shard.
    Claim(Record),
    /// Read the shard and write a tombstone if it lacks the claim, without involving the owner of the shard.
    Close(Record),
    /// Write the outcome through the owner of the shard.
    Record(Key, Claim, State),
    /// Read the record of the key from a segment.
    ReadSegment(String),
    /// Send the call with this claim id, exactly once.
    Send(Claim),
    /// Ask the record's target about the status of the record's claim.
    LookUp(Record),
    /// Send the outcome to the caller.
    Answer(Outcome),
}

/// The outcome reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target responded; the caller gets that response.
    Answered,
    /// The action ran earlier and returned this response.
    Recorded(Answer),
    /// The action did not run.
    NotRun(Scope),
    /// The action may have run or may still run; a later lookup may know more.
    Unknown,
    /// The key was already used with another path or body.
    Mismatch,
}

/// What [`Outcome::NotRun`] applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The key: no request with this key ran, and none will.
    Key,
    /// This request only: it left no record, and another request with the same key may run.
    Request,
}

/// The claimant of one action.
#[derive(Debug)]
pub struct Machine {
    record: Record,
    timeouts: Timeouts,
    start: Instant,
    answered: bool,
    phase: Phase,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Claiming,
    // Settles the claim by a read or a tombstone; the instant is the time of the next retry, if one is scheduled.
    Closing(Option<Instant>),
    ReadingSegment,
    Sending,
    LookingUp(Record),
    // Records the state; the instant is as in `Closing`.
    Recording(Claim, State, Option<Instant>),
    Finished,
}

impl Machine {
    /// Starts an action. The action is refused at once when the platform is known to be down.
    pub fn start(now: Instant, record: Record, timeouts: Timeouts, platform_up: bool) -> (Self, Vec<Command>) {
        let mut machine = Self {
            record,
            timeouts,
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

    /// Handles an event and returns the commands to execute.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Command> {
        match (self.phase.clone(), event) {
            (Phase::Claiming, Event::Claimed(verdict)) => self.claimed(now, verdict),
            (Phase::Closing(_), Event::Closed(verdict)) => self.closed(now, verdict),
            (Phase::ReadingSegment, Event::Segment(result)) => self.segment(now, result),
            (Phase::Sending, Event::Called(call)) => self.called(call),
            (Phase::LookingUp(record), Event::LookedUp(found)) => self.looked_up(&record, found),
            (Phase::Recording(..), Event::Recorded(verdict)) => self.recorded(now, &verdict),
            (_, Event::Tick) => self.tick(now),
            // Late results of commands whose timeout has passed.
            _ => Vec::new(),
        }
    }

    /// Returns when [`Event::Tick`] is due.
    pub fn deadline(&self) -> Option<Instant> {
        let answer = (!self.answered && self.may_answer_unknown()).then(|| self.send_deadline());
        let step = match &self.phase {
            Phase::Claiming => Some(self.start + self.timeouts.claim),
            Phase::Closing(retry) | Phase::Recording(_, _, retry) => *retry,
            Phase::ReadingSegment | Phase::Sending | Phase::LookingUp(_) | Phase::Finished => None,
        };
        answer.into_iter().chain(step).min()
    }

    /// Returns whether the action is complete.
    pub fn is_finished(&self) -> bool {
        self.phase == Phase::Finished
    }

    /// Returns the record of this machine's claim.
    pub const fn record(&self) -> &Record {
        &self.record
    }

    fn send_deadline(&self) -> Instant {
        self.start + self.timeouts.send
    }

    fn may_answer_unknown(&self) -> bool {
        matches!(self.phase, Phase::Claiming | Phase::Closing(_) | Phase::ReadingSegment)
    }

    fn claimed(&mut self, now: Instant, verdict: Verdict) -> Vec<Command> {
        match verdict {
            Verdict::Stored => self.confirmed(now),
            Verdict::Held(record) => self.record_found(now, record),
            Verdict::Sealed(name) => self.read_segment(name),
            Verdict::Refused => self.finish(Outcome::NotRun(Scope::Request)),
            Verdict::Unknown => self.close(),
        }
    }

    fn closed(&mut self, now: Instant, verdict: Verdict) -> Vec<Command> {
        match verdict {
            Verdict::Stored => self.finish(Outcome::NotRun(Scope::Key)),
            Verdict::Held(record) => self.record_found(now, record),
            Verdict::Sealed(name) => self.read_segment(name),
            // Without a tombstone the claim may still take effect.
            Verdict::Refused | Verdict::Unknown => self.retry_close(now),
        }
    }

    fn segment(&mut self, now: Instant, result: Result<Option<Record>, Failure>) -> Vec<Command> {
        match result {
            Ok(Some(record)) => self.record_found(now, record),
            Ok(None) | Err(_) => self.retry_close(now),
        }
    }

    // The platform holds the claim, so this machine is the only sender for as long as the record is kept.
    fn confirmed(&mut self, now: Instant) -> Vec<Command> {
        if now >= self.send_deadline() || self.answered {
            let mut commands = self.answer(Outcome::NotRun(Scope::Key));
            commands.extend(self.record_state(self.record.claim, State::NotRun));
            return commands;
        }
        self.phase = Phase::Sending;
        vec![Command::Send(self.record.claim)]
    }

    fn record_found(&mut self, now: Instant, record: Record) -> Vec<Command> {
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
        commands.extend(self.record_state(self.record.claim, state));
        commands
    }

    fn look_up(&mut self, record: Record) -> Vec<Command> {
        self.phase = Phase::LookingUp(record.clone());
        vec![Command::LookUp(record)]
    }

    fn looked_up(&mut self, record: &Record, found: Lookup) -> Vec<Command> {
        match found {
            Lookup::Done => {
                let mut commands = self.answer(Outcome::Recorded(Answer::resolved()));
                commands.extend(self.record_state(record.claim, State::Done(Answer::resolved())));
                commands
            }
            Lookup::Unknown => self.finish(Outcome::Unknown),
        }
    }

    fn recorded(&mut self, now: Instant, verdict: &Verdict) -> Vec<Command> {
        let Phase::Recording(_, _, retry) = &mut self.phase else {
            return Vec::new();
        };
        match verdict {
            Verdict::Unknown | Verdict::Refused if now < self.start + self.timeouts.give_up => {
                *retry = Some(now + RETRY_INTERVAL);
            }
            _ => self.phase = Phase::Finished,
        }
        Vec::new()
    }

    fn tick(&mut self, now: Instant) -> Vec<Command> {
        let mut commands = Vec::new();
        if now >= self.send_deadline() && self.may_answer_unknown() {
            commands.extend(self.answer(Outcome::Unknown));
        }
        match &self.phase {
            Phase::Claiming if now >= self.start + self.timeouts.claim => commands.extend(self.close()),
            Phase::Closing(Some(retry)) if now >= *retry => commands.extend(self.close()),
            Phase::Recording(claim, state, Some(retry)) if now >= *retry => {
                let (claim, state) = (*claim, state.clone());
                commands.extend(self.record_state(claim, state));
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
        if now >= self.start + self.timeouts.give_up {
            return self.finish(Outcome::Unknown);
        }
        self.phase = Phase::Closing(Some(now + RETRY_INTERVAL));
        Vec::new()
    }

    fn read_segment(&mut self, name: String) -> Vec<Command> {
        self.phase = Phase::ReadingSegment;
        vec![Command::ReadSegment(name)]
    }

    fn record_state(&mut self, claim: Claim, state: State) -> Vec<Command> {
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
