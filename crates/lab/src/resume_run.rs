//! Runs one generation of the core's state machine against simulated engines.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use hawthornpost_core::backlog::{Budget, Limits};
use hawthornpost_core::clock::Instant;
use hawthornpost_core::generation::{Command, Event, Machine, Request, Settings};
use hawthornpost_core::id::{self, Attempt, Target, Version};
use hawthornpost_core::replica::Reply;
use hawthornpost_core::wire::{Completion, Finish, Frame, Token};

use crate::resume::{ANSWER_TOKENS, Cost, Fault, Scenario};

/// Round trip within a data centre or to the peer.
const ROUND_TRIP: Duration = Duration::from_millis(2);
/// Timeout for connecting to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

struct Simulation {
    scenario: Scenario,
    silence: Duration,
    now: Instant,
    machine: Machine,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: BTreeMap<u64, Item>,
    sequence: u64,
    /// When the fault occurred and how many tokens had been released to the caller.
    fault: Option<(Instant, u32)>,
    /// The attempt that computes tokens, and the index of its next token.
    stream: Option<(Attempt, u32)>,
    /// Computation times of the tokens that a stalled connection did not deliver.
    undelivered: Vec<Instant>,
    cost: Cost,
    chosen_targets: u32,
}

enum Item {
    Event(Event),
    /// The engine computes the token with this index for this attempt.
    Token(Attempt, u32),
}

/// Runs a generation to its end.
pub(crate) fn run(scenario: Scenario, silence: Duration) -> Cost {
    let mut simulation = Simulation::new(scenario, silence);
    simulation.handle(Event::Begin);
    while simulation.machine.outcome().is_none() {
        simulation.step();
    }
    simulation.cost
}

impl Simulation {
    fn new(scenario: Scenario, silence: Duration) -> Self {
        let budget = Budget::new(Limits::default());
        let request = request();
        let stream = budget.open(request.account.clone(), Instant::ZERO);
        Self {
            scenario,
            silence,
            now: Instant::ZERO,
            machine: Machine::new(Instant::ZERO, Settings::default(), request, stream),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            fault: None,
            stream: None,
            undelivered: Vec::new(),
            cost: Cost::default(),
            chosen_targets: 0,
        }
    }

    fn step(&mut self) {
        let queued = self.queue.peek().map(|Reverse((at, _))| *at);
        let deadline = self.machine.deadline();
        if deadline.is_some_and(|deadline| queued.is_none_or(|at| deadline < at)) {
            self.now = self.now.max(deadline.unwrap_or_default());
            self.handle(Event::Tick);
            return;
        }
        let Some(Reverse((at, number))) = self.queue.pop() else {
            unreachable!("the machine has neither an event nor a deadline");
        };
        self.now = at;
        match self.events.remove(&number) {
            Some(Item::Event(event)) => self.handle(event),
            Some(Item::Token(attempt, index)) => self.compute(attempt, index),
            None => {}
        }
    }

    fn schedule(&mut self, delay: Duration, item: Item) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        self.events.insert(self.sequence, item);
    }

    fn handle(&mut self, event: Event) {
        let commands = self.machine.handle(self.now, event);
        for command in commands {
            self.execute(command);
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::ChooseTarget { .. } => {
                self.chosen_targets += 1;
                let target = target(self.chosen_targets);
                self.handle(Event::TargetChosen {
                    target,
                    silence_timeout: self.silence,
                });
            }
            Command::Open { attempt, .. } => self.open(attempt),
            Command::Attach { attempt, from, .. } => self.attach(attempt, from),
            Command::CancelAttempt { .. } => self.stream = None,
            Command::ChoosePeer { .. } => {
                if let Ok(peer) = "peer-1".parse() {
                    self.handle(Event::PeerChosen { peer });
                }
            }
            Command::Append { sequence, append, .. } => {
                let reply = Reply::Stored {
                    length: append.segment.end(),
                };
                self.schedule(ROUND_TRIP, Item::Event(Event::Replied { sequence, reply }));
            }
            Command::Release { upto, .. } => {
                if let Some((at, released)) = self.fault
                    && upto > released
                    && self.cost.latency.is_zero()
                {
                    self.cost.latency = self.now - at;
                }
                self.handle(Event::Read { next: upto });
            }
            Command::Pause { .. }
            | Command::Unpause { .. }
            | Command::DropReplica { .. }
            | Command::RecordGap { .. }
            | Command::End(_) => {}
        }
    }

    fn open(&mut self, attempt: Attempt) {
        let first = self.machine.transcript().len();
        if self.chosen_targets > 1 {
            self.cost.prompt_tokens += self.scenario.prompt + first;
            if let Some(fault) = self.scenario.second_fault() {
                self.fail_to_open(attempt, fault);
                return;
            }
        }
        let delay = self.scenario.first_token(self.scenario.prompt + first);
        self.stream = Some((attempt, first));
        self.schedule(ROUND_TRIP, Item::Event(Event::Accepted { attempt }));
        self.schedule(delay, Item::Token(attempt, first));
    }

    fn fail_to_open(&mut self, attempt: Attempt, fault: Fault) {
        let closed = Event::Closed {
            attempt,
            refused: false,
        };
        match fault {
            Fault::Killed => self.schedule(ROUND_TRIP, Item::Event(closed)),
            Fault::HostLost => self.schedule(CONNECT_TIMEOUT, Item::Event(closed)),
            Fault::Frozen | Fault::SilentConnection => {}
        }
    }

    fn attach(&mut self, attempt: Attempt, from: u32) {
        let Some((at, _)) = self.fault else {
            // A long gap was mistaken for a fault; the stream continues.
            self.cost.false_alarms += 1;
            self.reassign(attempt);
            return;
        };
        let silent = self.chosen_targets == 1 && self.scenario.fault == Fault::SilentConnection;
        if !silent && (self.chosen_targets == 1 || self.stream.is_none()) {
            if self.chosen_targets == 1 && self.scenario.fault == Fault::Killed {
                let refused = false;
                self.schedule(ROUND_TRIP, Item::Event(Event::Closed { attempt, refused }));
            }
            return;
        }
        if !silent || at > self.now {
            self.reassign(attempt);
            return;
        }
        // The engine continued to compute; the tokens up to now arrive at once.
        let ready = self
            .undelivered
            .iter()
            .filter(|computed| **computed <= self.now)
            .count();
        let count = u32::try_from(ready).unwrap_or(0).min(ANSWER_TOKENS - from);
        self.undelivered.clear();
        let index = from + count;
        self.schedule(ROUND_TRIP, Item::Event(Event::Accepted { attempt }));
        if count > 0 {
            let frame = frame(attempt, from, count);
            self.schedule(ROUND_TRIP, Item::Event(Event::Frame(frame)));
        }
        self.stream = Some((attempt, index));
        let gap = self.scenario.gap();
        self.chosen_targets += 1;
        self.schedule(gap, Item::Token(attempt, index));
    }

    /// Continues the running stream under a new attempt number.
    fn reassign(&mut self, attempt: Attempt) {
        self.schedule(ROUND_TRIP, Item::Event(Event::Accepted { attempt }));
        if let Some((_, index)) = self.stream {
            self.stream = Some((attempt, index));
        }
    }

    fn compute(&mut self, _scheduled: Attempt, index: u32) {
        let Some((attempt, next)) = self.stream else {
            return;
        };
        if index != next || index >= ANSWER_TOKENS {
            return;
        }
        if self.chosen_targets == 1 && index == self.scenario.fault_token {
            self.inject_fault(attempt);
            return;
        }
        self.stream = Some((attempt, index + 1));
        self.handle(Event::Frame(frame(attempt, index, 1)));
        let gap = self.scenario.gap();
        self.schedule(gap, Item::Token(attempt, index + 1));
    }

    fn inject_fault(&mut self, attempt: Attempt) {
        self.fault = Some((self.now, self.machine.released()));
        self.stream = None;
        match self.scenario.fault {
            Fault::Killed => {
                let refused = false;
                self.schedule(ROUND_TRIP, Item::Event(Event::Closed { attempt, refused }));
            }
            Fault::SilentConnection => {
                let mut at = self.now;
                for _ in 0..100 {
                    self.undelivered.push(at);
                    at = at + self.scenario.gap();
                }
            }
            Fault::HostLost | Fault::Frozen => {}
        }
    }
}

fn frame(attempt: Attempt, first: u32, count: u32) -> Frame {
    let tokens = (first..first + count).map(|id| Token {
        id,
        text: "word ".to_owned(),
    });
    Frame {
        id: request().id,
        attempt,
        version: version(),
        first,
        tokens: tokens.collect(),
        finish: (first + count >= ANSWER_TOKENS).then_some(Finish::Stop),
    }
}

fn request() -> Request {
    let name = "lab";
    let completion = Completion {
        model: name.parse().unwrap_or_else(|_| unreachable!("a constant")),
        prompt: String::new(),
        max_tokens: Some(ANSWER_TOKENS),
        stream: true,
        temperature: None,
        priority: None,
        user: None,
    };
    Request {
        id: id::Request::from_random([1; 16]),
        account: name.parse().unwrap_or_else(|_| unreachable!("a constant")),
        completion: completion.into(),
        version: version(),
        max_tokens: ANSWER_TOKENS,
        remaining: Duration::from_secs(3600),
    }
}

fn version() -> Version {
    "v1".parse().unwrap_or_else(|_| unreachable!("a constant"))
}

fn target(number: u32) -> Target {
    let name = format!("engine-{number}");
    name.parse()
        .unwrap_or_else(|_| unreachable!("digits are allowed in names"))
}
