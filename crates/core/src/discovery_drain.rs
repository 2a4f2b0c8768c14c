//! Draining of an entry.

use std::time::Duration;

use crate::clock::Instant;

/// How far an entry is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The entry takes work and is offered to callers.
    Serving,
    /// The entry is no longer offered; it accepts until the addresses that callers have are out of date.
    Leaving {
        /// When it stops accepting.
        until: Instant,
    },
    /// The entry accepts nothing new, and its streams go on.
    Draining {
        /// When the remaining streams are handed over.
        until: Instant,
    },
    /// The remaining streams are being handed over to other entries.
    HandingOver,
    /// The last stream has ended.
    Done,
}

/// What happens to an entry that drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The operator or the host asks the entry to leave.
    Leave,
    /// The number of streams and calls that are open, told after every change and at the deadline.
    Open(usize),
}

/// What the entry has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Tell the other entries that this one is no longer offered.
    Withdraw,
    /// Refuse new work, with the address of another entry.
    StopAccepting,
    /// End the open streams by a resumable end.
    HandOver,
    /// Leave the membership and stop the process.
    Stop,
}

/// Takes an entry out of service without cutting off an answer.
#[derive(Clone, Debug)]
pub struct Drain {
    phase: Phase,
    lifetime: Duration,
    limit: Duration,
}

impl Drain {
    /// Creates a drain that has not begun; `lifetime` is that of the addresses given to callers, and `limit` the time
    /// that streams are given after it.
    pub fn new(lifetime: Duration, limit: Duration) -> Self {
        Self {
            phase: Phase::Serving,
            lifetime,
            limit,
        }
    }

    /// Returns how far the entry is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether new work is accepted.
    pub fn accepts(&self) -> bool {
        matches!(self.phase, Phase::Serving | Phase::Leaving { .. })
    }

    /// Returns whether callers are still sent to this entry.
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

    /// Takes an event and returns what to do.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Command> {
        match event {
            Event::Leave => self.leave(now),
            Event::Open(open) => self.advance(now, open),
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
            let until = until + self.limit;
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
