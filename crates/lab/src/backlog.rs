//! Measures the bytes buffered for slow readers in virtual time, with and without limits.
//!
//! Engines generate faster than most callers read. The state machines of the core share one budget, as in a daemon. One
//! reader in a hundred keeps up with the engine and must not be slowed down by the others.

use std::collections::HashMap;
use std::time::Duration;

use hawthornpost_core::backlog::{Budget, Key, Limits};
use hawthornpost_core::clock::Instant;
use hawthornpost_core::generation::{Command, Event, Machine, Outcome, Request, Settings};
use hawthornpost_core::id::{self, Attempt};
use hawthornpost_core::wire::{Completion, Finish, Frame, Token};
use linkme::distributed_slice;

use crate::experiment::{EXPERIMENTS, Experiment, Options, Table};

#[distributed_slice(EXPERIMENTS)]
static BACKLOG: Experiment = Experiment {
    name: "backlog",
    summary: "bytes held for slow readers, against unbounded buffers",
    run,
};

/// Tokens of an answer.
const ANSWER_TOKENS: u32 = 2000;
/// Virtual time of one step.
const TIME_STEP: Duration = Duration::from_secs(4);
/// Tokens that an engine generates per step, about 16 a second.
const GENERATED_PER_STEP: u32 = 64;
/// Tokens that a slow reader reads per step, one a second.
const READ_PER_STEP: u32 = 4;
/// One in this many readers keeps up with its engine.
const READERS_PER_FAST_READER: usize = 100;
const ACCOUNT_COUNT: usize = 10;
/// Limits that are never reached; halved so that sums of limits do not overflow.
const UNBOUNDED: Limits = Limits {
    stream: usize::MAX / 2,
    account: usize::MAX / 2,
    process: usize::MAX / 2,
};

struct Reader {
    machine: Machine,
    attempt: Option<Attempt>,
    paused: bool,
    fast: bool,
    corrupted: bool,
    finished_at: Instant,
}

#[derive(Debug, Default)]
struct Totals {
    attempts: u64,
    suspensions: u64,
}

fn run(_options: &Options) -> Table {
    let mut table = Table::new([
        "readers",
        "bounds",
        "peak MB",
        "setting MB",
        "whole answers",
        "suspensions",
        "attempts per answer",
        "fast readers' mean s",
        "slow readers' mean s",
    ]);
    for readers in [1_000, 10_000] {
        table.push(simulate(readers, "64 MB", Limits::default()));
        table.push(simulate(readers, "none", UNBOUNDED));
    }
    table
}

fn simulate(count: usize, label: &str, limits: Limits) -> Vec<String> {
    let budget = Budget::new(limits);
    let mut totals = Totals::default();
    let mut readers = (0..count)
        .map(|number| Reader::new(number, &budget, &mut totals))
        .collect::<Vec<_>>();
    let numbers = readers.iter().enumerate();
    let by_key = numbers.map(|(number, reader)| (reader.machine.backlog().key(), number));
    let by_key = by_key.collect::<HashMap<Key, usize>>();
    let mut now = Instant::ZERO;
    while readers.iter().any(|reader| reader.machine.outcome().is_none()) {
        now = now + TIME_STEP;
        for number in 0..count {
            readers[number].step(now, &mut totals);
            // As in the daemon, the stream that has stalled longest is suspended when the total approaches the limit.
            let victim = budget.next_to_suspend().and_then(|key| by_key.get(&key));
            if let Some(victim) = victim {
                readers[*victim].handle(now, Event::Suspend, &mut totals);
            }
        }
    }
    let complete = readers
        .iter()
        .filter(|reader| reader.machine.outcome() == Some(Outcome::Completed) && !reader.corrupted);
    let megabytes = |bytes: usize| format!("{:.1}", bytes as f64 / f64::from(1 << 20));
    let setting = if limits == UNBOUNDED {
        "-".to_owned()
    } else {
        megabytes(limits.process)
    };
    vec![
        count.to_string(),
        label.to_owned(),
        megabytes(budget.peak()),
        setting,
        complete.count().to_string(),
        totals.suspensions.to_string(),
        format!("{:.2}", totals.attempts as f64 / count as f64),
        mean_time(&readers, true),
        mean_time(&readers, false),
    ]
}

fn mean_time(readers: &[Reader], fast: bool) -> String {
    let times = readers.iter().filter(|reader| reader.fast == fast);
    let times = times.map(|reader| reader.finished_at.since_start().as_secs_f64());
    let times = times.collect::<Vec<_>>();
    format!("{:.0}", times.iter().sum::<f64>() / times.len() as f64)
}

impl Reader {
    fn new(number: usize, budget: &Budget, totals: &mut Totals) -> Self {
        let request = request(number);
        let stream = budget.open(request.account.clone(), Instant::ZERO);
        let settings = Settings::default();
        let mut reader = Self {
            machine: Machine::new(Instant::ZERO, settings, request, stream),
            attempt: None,
            paused: false,
            fast: number.is_multiple_of(READERS_PER_FAST_READER),
            corrupted: false,
            finished_at: Instant::ZERO,
        };
        reader.handle(Instant::ZERO, Event::Begin, totals);
        reader
    }

    fn step(&mut self, now: Instant, totals: &mut Totals) {
        if self.machine.outcome().is_some() {
            return;
        }
        if let (Some(attempt), false) = (self.attempt, self.paused) {
            self.handle(now, Event::Frame(self.frame(attempt)), totals);
        }
        let read_tokens = if self.fast { ANSWER_TOKENS } else { READ_PER_STEP };
        let from = self.machine.read();
        let next = self.machine.released().min(from + read_tokens);
        let ids = &self.machine.transcript().ids()[from as usize..next as usize];
        self.corrupted |= !ids.iter().copied().eq(from..next);
        self.finished_at = now;
        self.handle(now, Event::Read { next }, totals);
        if self.machine.deadline().is_some_and(|deadline| deadline <= now) {
            self.handle(now, Event::Tick, totals);
        }
    }

    fn handle(&mut self, now: Instant, event: Event, totals: &mut Totals) {
        let suspended = self.machine.is_suspended();
        let commands = self.machine.handle(now, event);
        totals.suspensions += u64::from(!suspended && self.machine.is_suspended());
        for command in commands {
            match command {
                Command::ChooseTarget { .. } => {
                    let target = "engine-1".parse().unwrap_or_else(|_| unreachable!("a constant"));
                    let silence_timeout = Duration::from_secs(3600);
                    self.handle(
                        now,
                        Event::TargetChosen {
                            target,
                            silence_timeout,
                        },
                        totals,
                    );
                }
                Command::Open { attempt, .. } | Command::Attach { attempt, .. } => {
                    totals.attempts += 1;
                    self.attempt = Some(attempt);
                    self.paused = false;
                    self.handle(now, Event::Accepted { attempt }, totals);
                }
                Command::CancelAttempt { .. } => self.attempt = None,
                Command::Pause { .. } => self.paused = true,
                Command::Unpause { .. } => self.paused = false,
                Command::ChoosePeer { .. } => self.handle(now, Event::NoPeer, totals),
                Command::Append { .. }
                | Command::DropReplica { .. }
                | Command::Release { .. }
                | Command::RecordGap { .. }
                | Command::End(_) => {}
            }
        }
    }

    fn frame(&self, attempt: Attempt) -> Frame {
        let first = self.machine.transcript().len();
        let end = (first + GENERATED_PER_STEP).min(ANSWER_TOKENS);
        let tokens = (first..end).map(|id| Token {
            id,
            text: "word ".to_owned(),
        });
        let branch = self.machine.branch().map(|branch| *branch.as_bytes());
        Frame {
            id: id::Request::from_random(branch.unwrap_or_default()),
            attempt,
            version: "v1".parse().unwrap_or_else(|_| unreachable!("a constant")),
            first,
            tokens: tokens.collect(),
            finish: (end == ANSWER_TOKENS).then_some(Finish::Stop),
        }
    }
}

fn request(number: usize) -> Request {
    let constant = "a constant";
    let mut id = [0; 16];
    id[..8].copy_from_slice(&number.to_le_bytes());
    let completion = Completion {
        model: "letters".parse().unwrap_or_else(|_| unreachable!("{constant}")),
        prompt: String::new(),
        max_tokens: Some(ANSWER_TOKENS),
        stream: true,
        temperature: None,
        priority: None,
        user: None,
    };
    Request {
        id: id::Request::from_random(id),
        account: format!("account-{}", number % ACCOUNT_COUNT)
            .parse()
            .unwrap_or_else(|_| unreachable!("{constant}")),
        completion: completion.into(),
        version: "v1".parse().unwrap_or_else(|_| unreachable!("{constant}")),
        max_tokens: ANSWER_TOKENS,
        remaining: Duration::from_secs(1 << 30),
    }
}
