//! Graceful draining of an entry.

use std::time::Duration;

use crate::clock::Instant;

/// The phase of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The entry accepts work and is offered to callers.
    Serving,
    /// The entry is no longer offered, but accepts work until the addresses cached by callers have expired.
    Leaving {
        /// When it stops accepting.
        until: Instant,
    },
    /// The entry accepts no new work; its open streams continue.
    Draining {
        /// When the remaining streams are handed over.
        until: Instant,
    },
    /// The remaining streams are being handed over to other entries.
    HandingOver,
    /// The last stream has ended.
    Done,
}

/// Input of a [`Drain`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The operator or the host asks the entry to leave.
    Leave,
    /// The number of open streams and calls, reported after every change and at the deadline.
    RunningWork(usize),
}

/// Output of a [`Drain`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Announce to the other entries that this one is no longer offered.
    Withdraw,
    /// Refuse new work and redirect callers to another entry.
    StopAccepting,
    /// End the open streams in a way that lets callers resume them at another entry.
    HandOver,
    /// Leave the membership and stop the process.
    Stop,
}

/// Takes an entry out of service without interrupting responses.
#[derive(Clone, Debug)]
pub struct Drain {
    phase: Phase,
    lifetime: Duration,
    stream_limit: Duration,
}

impl Drain {
    /// Creates a drain that has not started. `lifetime` is how long callers cache addresses; `stream_limit` is how long
    /// streams may continue after that.
    pub fn new(lifetime: Duration, stream_limit: Duration) -> Self {
        Self {
            phase: Phase::Serving,
            lifetime,
            stream_limit,
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether new work is accepted.
    pub fn accepts(&self) -> bool {
        matches!(self.phase, Phase::Serving | Phase::Leaving { .. })
    }

    /// Returns whether this entry is offered to callers.
    pub fn is_offered(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Returns when [`Drain::handle`] has to be called with the number of open streams.
    pub fn deadline(&self) -> Option<Instant> {
        match self.phase {
            Phase::Leaving { until } | Phase::Draining { until } => Some(until),
            Phase::Serving | Phase::HandingOver | Phase::Done => None,
        }
    }

    /// Handles an event and returns the commands to execute.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Command> {
        match event {
            Event::Leave => self.leave(now),
            Event::RunningWork(open) => self.advance(now, open),
        }
    }

    fn leave(&mut self, now: Instant) -> Vec<Command> {
        if self.phase != Phase::Serving {
            return Vec::new();
        }
        let until = now + self.lifetime;
        self.phase = Phase::Leaving { until };
        vec![Command::Withdraw]
    }

    fn advance(&mut self, now: Instant, open: usize) -> Vec<Command> {
        let mut commands = Vec::new();
        if let Phase::Leaving { until } = self.phase
            && now >= until
        {
            let until = until + self.stream_limit;
            self.phase = Phase::Draining { until };
            commands.push(Command::StopAccepting);
        }
        if let Phase::Draining { until } = self.phase
            && open > 0
            && now >= until
        {
            self.phase = Phase::HandingOver;
            commands.push(Command::HandOver);
        }
        if open == 0 && matches!(self.phase, Phase::Draining { .. } | Phase::HandingOver) {
            self.phase = Phase::Done;
            commands.push(Command::Stop);
        }
        commands
    }
}
