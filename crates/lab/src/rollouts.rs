//! Rollouts of good and bad versions: evidence against a fixed schedule and a threshold on the raw error rate.
//!
//! Twenty engines of each version serve 20 requests a second on five routes for a window of two hours; eight entries
//! choose versions. Time is virtual.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::thread;

use hawthornpost_core::config::Document;
use hawthornpost_core::id::{Model, Route, Target};
use hawthornpost_core::rollout::{Board, Command, Origin, Outcome, Run, Sample, Side, Verdict};
use jiff::{SignedDuration, Timestamp};
use linkme::distributed_slice;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, weighted::WeightedIndex};

use crate::experiment::{EXPERIMENTS, Experiment, Options, Table};

#[distributed_slice(EXPERIMENTS)]
static ROLLOUTS: Experiment = Experiment {
    name: "rollouts",
    summary: "good and bad versions: done on time, reversed, traffic seen, time to no traffic",
    run,
};

const ENTRIES: usize = 8;
const TARGETS: usize = 20;
const RATE: f64 = 20.0;
const WINDOW: f64 = 7200.0;
const ROUTES: [f64; 5] = [30.0, 25.0, 20.0, 15.0, 10.0];
/// The route that a version bad on one route fails on, 15 % of the traffic.
const BAD_ROUTE: usize = 3;
/// A request lasts 100 tokens at 60 ms.
const TOKENS: u32 = 100;
const GAP: f64 = 60.0;
const FIRST_TOKEN: f64 = 400.0;
const GOOD_ERRORS: f64 = 0.005;
/// One death per engine in two hours, on both versions; a rack of twenty loses ten a run.
const ENGINE_LIFE: f64 = 7200.0;
const ENGINE_RESTART: f64 = 60.0;
/// Entries exchange evidence with one peer a second and judge once a second.
const EXCHANGE: f64 = 1.0;
/// One way between entries; a verdict is lost with the given chance and then travels with the next exchange.
const PEER_DELAY: f64 = 0.05;
const VERDICT_LOSS: f64 = 0.05;
/// The bound of the daemon.
const EXCHANGE_BYTES: usize = 8 * 1024;
/// The raw threshold: errors among the last requests of the new version.
const RAW_WINDOW: usize = 200;
const RAW_MIN: usize = 50;
const RAW_LIMIT: f64 = 0.05;
const THREADS: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Good,
    AtOnce,
    Later,
    UnderLoad,
    OneRoute,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    Evidence,
    Schedule,
    RawErrors,
}

/// How a bad version is bad.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Errors(f64),
    SlowFirstToken(f64),
    SlowGap(f64),
}

#[derive(Clone, Debug, Default)]
struct Outcomes {
    done: bool,
    reversed: bool,
    late_said: bool,
    /// Share of the window's requests that the new version got while it was bad.
    bad_share: f64,
    /// Seconds from the first bad outcome to the last request at the new version.
    from_first_bad: Option<f64>,
    /// Bytes of evidence that an entry sends and receives in a second.
    bytes_per_second: f64,
    /// Seconds from the moment at which all evidence of all entries together sufficed.
    from_enough: Option<f64>,
}

#[derive(Clone, Debug)]
enum Event {
    Arrival,
    First(usize, Sample),
    End(usize, Sample, usize),
    Exchange(usize),
    Verdict(usize, Run, Verdict),
    Judge,
    Death(Side, usize),
    Restart(Side, usize),
}

struct Queue {
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    next: u64,
}

impl Queue {
    fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            events: std::collections::HashMap::new(),
            next: 0,
        }
    }

    fn push(&mut self, at: f64, event: Event) {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "hours in microseconds"
        )]
        let micros = (at * 1e6) as u64;
        self.heap.push(Reverse((micros, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    fn pop(&mut self) -> Option<(f64, Event)> {
        let Reverse((micros, id)) = self.heap.pop()?;
        let event = self.events.remove(&id)?;
        Some((micros as f64 / 1e6, event))
    }
}

struct World {
    kind: Kind,
    policy: Policy,
    fault: Fault,
    bad_from: f64,
    random: StdRng,
    queue: Queue,
    boards: Vec<Board>,
    /// A board that sees every outcome at once; it decides nothing.
    observer: Board,
    model: Model,
    routes: Vec<Route>,
    targets: [Vec<Target>; 2],
    running: [Vec<f64>; 2],
    dead: [Vec<bool>; 2],
    raw: VecDeque<bool>,
    raw_reversed: bool,
    requests_bad: f64,
    first_bad: Option<f64>,
    enough: Option<f64>,
    last_new: Option<f64>,
    bytes: usize,
    now: f64,
    outcomes: Outcomes,
}

fn run(options: &Options) -> Table {
    let mut table = Table::new([
        "version",
        "policy",
        "runs",
        "done on time %",
        "reversed %",
        "traffic to bad, mean %",
        "traffic to bad, worst %",
        "enough evidence to none, p50 s",
        "p99 s",
        "worst s",
        "first bad to none, p50 s",
        "evidence exchanged, bytes/s per node",
    ]);
    for kind in [Kind::Good, Kind::AtOnce, Kind::Later, Kind::UnderLoad, Kind::OneRoute] {
        for policy in [Policy::Evidence, Policy::Schedule, Policy::RawErrors] {
            let outcomes = run_all(options, kind, policy);
            table.push(row(kind, policy, &outcomes));
        }
    }
    table
}

fn run_all(options: &Options, kind: Kind, policy: Policy) -> Vec<Outcomes> {
    let (first, end) = (options.seed, options.seed + options.seeds);
    thread::scope(|scope| {
        let workers = (0..THREADS).map(|worker| {
            let seeds = (first + worker as u64..end).step_by(THREADS);
            scope.spawn(move || {
                seeds
                    .map(|seed| World::new(seed, kind, policy).run())
                    .collect::<Vec<_>>()
            })
        });
        let workers = workers.collect::<Vec<_>>();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().unwrap_or_default())
            .collect()
    })
}

fn row(kind: Kind, policy: Policy, outcomes: &[Outcomes]) -> Vec<String> {
    let count = outcomes.len().max(1) as f64;
    let percent = |test: fn(&Outcomes) -> bool| {
        let hits = outcomes.iter().filter(|outcome| test(outcome)).count();
        format!("{:.1}", 100.0 * hits as f64 / count)
    };
    let shares = outcomes.iter().map(|outcome| outcome.bad_share * 100.0);
    let mean = shares.clone().sum::<f64>() / count;
    let worst = shares.fold(0.0, f64::max);
    let enough = sorted(outcomes.iter().filter_map(|outcome| outcome.from_enough));
    let first_bad = sorted(outcomes.iter().filter_map(|outcome| outcome.from_first_bad));
    vec![
        format!("{kind:?}"),
        format!("{policy:?}"),
        outcomes.len().to_string(),
        percent(|outcome| outcome.done),
        percent(|outcome| outcome.reversed),
        format!("{mean:.3}"),
        format!("{worst:.3}"),
        quantile(&enough, 0.5),
        quantile(&enough, 0.99),
        quantile(&enough, 1.0),
        quantile(&first_bad, 0.5),
        format!(
            "{:.0}",
            outcomes.iter().map(|outcome| outcome.bytes_per_second).sum::<f64>() / count
        ),
    ]
}

fn sorted(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut values = values.collect::<Vec<_>>();
    values.sort_by(f64::total_cmp);
    values
}

fn quantile(sorted: &[f64], quantile: f64) -> String {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "an index")]
    let index = ((sorted.len() as f64 * quantile).ceil() as usize).max(1) - 1;
    sorted
        .get(index)
        .map_or_else(|| "-".to_owned(), |value| format!("{value:.2}"))
}

fn document() -> Document {
    let mut inventory = "name,address,data_centre,role,version,model,capacity_tokens,fencing\n".to_owned();
    for (side, version) in ["v1", "v2"].iter().enumerate() {
        for n in 0..TARGETS {
            let line = format!("{version}-{n:02},10.{side}.0.{n}:80,perth,engine,{version},letters,100000,checked\n");
            inventory.push_str(&line);
        }
    }
    let rules = "[model letters]\nversion = v1\n[rollout move]\nmodel = letters\nfrom = v1\nto = v2\n\
        start = 1970-01-01T00:00:00Z\ndeadline = 1970-01-01T02:00:00Z\n";
    Document::parse(1, &inventory, rules).expect("the configuration of the experiment is valid")
}

fn time(seconds: f64) -> Timestamp {
    Timestamp::UNIX_EPOCH + SignedDuration::from_secs_f64(seconds)
}

impl World {
    fn new(seed: u64, kind: Kind, policy: Policy) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let document = document();
        let board = |name: String| {
            let entry = name.parse().expect("a valid name");
            let mut board = Board::new(Origin { entry, incarnation: 1 });
            board.set_learned();
            board.configure(time(0.0), &document);
            board
        };
        let fault = match seed % 3 {
            0 => Fault::Errors(random.random_range(0.1..0.5)),
            1 => Fault::SlowFirstToken(random.random_range(2.5..6.0)),
            _ => Fault::SlowGap(random.random_range(1.8..4.0)),
        };
        let bad_from = match kind {
            Kind::Good => f64::INFINITY,
            Kind::Later => WINDOW * random.random_range(0.1..0.6),
            _ => 0.0,
        };
        let names = |version: &str| {
            (0..TARGETS)
                .map(|n| format!("{version}-{n:02}").parse().expect("a name"))
                .collect()
        };
        let mut world = Self {
            kind,
            policy,
            fault,
            bad_from,
            random,
            queue: Queue::new(),
            boards: (0..ENTRIES).map(|n| board(format!("entry-{n}"))).collect(),
            observer: board("observer".to_owned()),
            model: "letters".parse().expect("a valid name"),
            routes: (0..ROUTES.len())
                .map(|n| format!("account-{n}").parse().expect("a name"))
                .collect(),
            targets: [names("v1"), names("v2")],
            running: [vec![0.0; TARGETS], vec![0.0; TARGETS]],
            dead: [vec![false; TARGETS], vec![false; TARGETS]],
            raw: VecDeque::new(),
            raw_reversed: false,
            requests_bad: 0.0,
            first_bad: None,
            enough: None,
            last_new: None,
            bytes: 0,
            now: 0.0,
            outcomes: Outcomes::default(),
        };
        world.seed_events();
        world
    }

    fn seed_events(&mut self) {
        self.queue.push(0.0, Event::Arrival);
        if self.policy == Policy::Evidence {
            for entry in 0..ENTRIES {
                let offset = self.random.random_range(0.0..EXCHANGE);
                self.queue.push(offset, Event::Exchange(entry));
            }
            self.queue.push(0.1, Event::Judge);
        }
        for side in [Side::Old, Side::New] {
            for target in 0..TARGETS {
                let at = self.exponential(ENGINE_LIFE);
                self.queue.push(at, Event::Death(side, target));
            }
        }
    }

    fn run(mut self) -> Outcomes {
        while let Some((now, event)) = self.queue.pop() {
            if now > WINDOW || self.is_over(now) {
                break;
            }
            self.now = now;
            self.handle(now, event);
        }
        self.finish()
    }

    /// Ends a run some time after it was decided; nothing changes then.
    fn is_over(&self, now: f64) -> bool {
        let decided = match self.policy {
            Policy::Evidence => self
                .boards
                .iter()
                .all(|board| board.verdicts().any(|(_, verdict)| verdict.is_final())),
            Policy::Schedule => false,
            Policy::RawErrors => self.raw_reversed,
        };
        decided && self.last_new.is_none_or(|last| now > last + 20.0 || self.is_done())
    }

    fn is_done(&self) -> bool {
        let is_done = |(_, verdict): (&Run, &Verdict)| matches!(verdict, Verdict::Done { .. });
        self.boards.iter().all(|board| board.verdicts().any(is_done))
    }

    fn finish(mut self) -> Outcomes {
        let reversed = |board: &Board| {
            board
                .verdicts()
                .any(|(_, verdict)| matches!(verdict, Verdict::Reversed { .. }))
        };
        match self.policy {
            Policy::Evidence => {
                self.outcomes.done = self.is_done();
                self.outcomes.reversed = self.boards.iter().any(reversed);
            }
            Policy::Schedule => self.outcomes.done = true,
            Policy::RawErrors => {
                self.outcomes.reversed = self.raw_reversed;
                self.outcomes.done = !self.raw_reversed;
            }
        }
        // A byte is sent by one entry and received by another; every tenth exchange was counted.
        self.outcomes.bytes_per_second = self.bytes as f64 * 10.0 * 2.0 / (self.now.max(1.0) * ENTRIES as f64);
        self.outcomes.bad_share = self.requests_bad / (RATE * WINDOW);
        if self.outcomes.reversed {
            let since = |from: Option<f64>| Some((self.last_new? - from?).max(0.0));
            self.outcomes.from_first_bad = since(self.first_bad);
            self.outcomes.from_enough = since(self.enough);
        }
        self.outcomes
    }

    fn handle(&mut self, now: f64, event: Event) {
        match event {
            Event::Arrival => self.arrival(now),
            Event::First(entry, sample) => self.record(now, entry, &sample),
            Event::End(entry, sample, target) => self.end(now, entry, &sample, target),
            Event::Exchange(entry) => self.exchange(now, entry),
            Event::Verdict(entry, run, verdict) => {
                let command = self.boards[entry].learn(time(now), &run, &verdict);
                self.spread(now, entry, command.into_iter().collect());
            }
            Event::Judge => self.judge(now),
            Event::Death(side, target) => self.death(now, side, target),
            Event::Restart(side, target) => self.dead[index(side)][target] = false,
        }
    }

    fn arrival(&mut self, now: f64) {
        let next = now + self.exponential(1.0 / RATE);
        self.queue.push(next, Event::Arrival);
        let entry = self.random.random_range(0..ENTRIES);
        let weights = WeightedIndex::new(ROUTES).expect("the weights are positive");
        let route = weights.sample(&mut self.random);
        let Some((side, target)) = self.place(now, entry) else {
            return;
        };
        let place = index(side);
        let load = self.running[place][target] / (RATE / TARGETS as f64 * 6.5);
        let is_bad = side == Side::New && self.is_bad(now, route, load);
        if side == Side::New {
            self.last_new = Some(now);
            if now >= self.bad_from {
                self.requests_bad += 1.0;
            }
        }
        self.running[place][target] += 1.0;
        self.serve(now, entry, route, (side, target), is_bad);
    }

    fn is_bad(&self, now: f64, route: usize, load: f64) -> bool {
        match self.kind {
            Kind::Good => false,
            Kind::AtOnce | Kind::Later => now >= self.bad_from,
            Kind::UnderLoad => load > 0.6,
            Kind::OneRoute => route == BAD_ROUTE,
        }
    }

    /// Chooses version and target; dead engines are passed over.
    fn place(&mut self, now: f64, entry: usize) -> Option<(Side, usize)> {
        let (side, usable) = match self.policy {
            Policy::Evidence => {
                let request: [u8; 16] = self.random.random();
                let choice = self.boards[entry].choose(&self.model, &request)?;
                let side = if choice.version.as_str() == "v2" {
                    Side::New
                } else {
                    Side::Old
                };
                (side, choice.targets.len())
            }
            Policy::Schedule | Policy::RawErrors => {
                let share = if self.raw_reversed { 0.0 } else { scheduled(now) };
                let side = if self.random.random_bool(share) {
                    Side::New
                } else {
                    Side::Old
                };
                (side, TARGETS)
            }
        };
        let live = (0..usable)
            .filter(|target| !self.dead[index(side)][*target])
            .collect::<Vec<_>>();
        let target = *live.choose(&mut self.random)?;
        Some((side, target))
    }

    fn serve(&mut self, now: f64, entry: usize, route: usize, (side, target): (Side, usize), is_bad: bool) {
        let load = self.running[index(side)][target] / (RATE / TARGETS as f64 * 6.5);
        let slow_down = 1.0 + 0.1 * load;
        let mut first = FIRST_TOKEN * slow_down * self.log_normal(0.4);
        let mut gap = GAP * slow_down * self.log_normal(0.1);
        let mut errors = GOOD_ERRORS;
        if is_bad {
            match self.fault {
                Fault::Errors(rate) => errors = rate,
                Fault::SlowFirstToken(factor) => first *= factor,
                Fault::SlowGap(factor) => gap *= factor,
            }
        }
        let failed = self.random.random_bool(errors);
        let sample = |outcome| Sample {
            route: self.routes[route].clone(),
            side,
            target: self.targets[index(side)][target].clone(),
            outcome,
        };
        let whole = first / 1000.0 + gap * f64::from(TOKENS) / 1000.0;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "milliseconds")]
        let (first_ms, gap_ms) = (first as u32, gap as u32);
        let (first_sample, gap_sample) = (
            sample(Outcome::FirstToken(first_ms)),
            sample(Outcome::Gap(gap_ms, TOKENS)),
        );
        let end = sample(if failed { Outcome::Failed } else { Outcome::Served });
        let duration = if failed {
            whole * self.random.random_range(0.0..1.0)
        } else {
            whole
        };
        if is_bad && (failed || !matches!(self.fault, Fault::Errors(_))) {
            let seen = now + first / 1000.0;
            self.first_bad = Some(self.first_bad.map_or(seen, |at| at.min(seen)));
        }
        if self.policy == Policy::Evidence {
            self.queue.push(now + first / 1000.0, Event::First(entry, first_sample));
            if !failed {
                self.queue.push(now + duration, Event::First(entry, gap_sample));
            }
        }
        self.queue.push(now + duration, Event::End(entry, end, target));
    }

    fn end(&mut self, now: f64, entry: usize, sample: &Sample, target: usize) {
        let running = &mut self.running[index(sample.side)][target];
        *running = (*running - 1.0).max(0.0);
        self.record(now, entry, sample);
        if self.policy == Policy::RawErrors && sample.side == Side::New {
            self.raw_sample(sample.outcome == Outcome::Failed);
        }
    }

    fn raw_sample(&mut self, failed: bool) {
        self.raw.push_back(failed);
        if self.raw.len() > RAW_WINDOW {
            self.raw.pop_front();
        }
        let errors = self.raw.iter().filter(|failed| **failed).count();
        if self.raw.len() >= RAW_MIN && errors as f64 / self.raw.len() as f64 > RAW_LIMIT {
            self.raw_reversed = true;
        }
    }

    fn record(&mut self, now: f64, entry: usize, sample: &Sample) {
        if self.policy == Policy::Evidence {
            self.boards[entry].record(time(now), &self.model, sample);
            self.observer.record(time(now), &self.model, sample);
        }
    }

    /// A death interrupts what runs on the engine; the requests go on elsewhere.
    fn death(&mut self, now: f64, side: Side, target: usize) {
        let place = index(side);
        self.dead[place][target] = true;
        let interrupted = std::mem::take(&mut self.running[place][target]);
        self.queue.push(now + ENGINE_RESTART, Event::Restart(side, target));
        let next = now + ENGINE_RESTART + self.exponential(ENGINE_LIFE);
        self.queue.push(next, Event::Death(side, target));
        if interrupted < 1.0 {
            return;
        }
        let sample = Sample {
            route: self.routes[0].clone(),
            side,
            target: self.targets[place][target].clone(),
            outcome: Outcome::EngineDied,
        };
        for entry in 0..ENTRIES {
            self.record(now, entry, &sample);
        }
        if self.policy == Policy::RawErrors && side == Side::New {
            let mut left = interrupted;
            while left >= 1.0 {
                self.raw_sample(true);
                left -= 1.0;
            }
        }
    }

    fn exchange(&mut self, now: f64, entry: usize) {
        self.queue.push(now + EXCHANGE, Event::Exchange(entry));
        let peer = (entry + self.random.random_range(1..ENTRIES)) % ENTRIES;
        let delta = self.boards[peer].delta(&self.boards[entry].known(), EXCHANGE_BYTES);
        let back = self.boards[entry].delta(&self.boards[peer].known(), EXCHANGE_BYTES);
        if self.random.random_bool(0.1) {
            let size = |delta| serde_json::to_vec(delta).map_or(0, |bytes| bytes.len());
            let known = [entry, peer].map(|index| serde_json::to_vec(&self.boards[index].known()));
            let known = known.iter().flatten().map(Vec::len).sum::<usize>();
            self.bytes += size(&delta) + size(&back) + known;
        }
        for (to, delta) in [(entry, delta), (peer, back)] {
            let commands = self.boards[to].absorb(time(now), &delta);
            self.spread(now, to, commands);
        }
        let commands = self.boards[entry].evaluate(time(now));
        self.spread(now, entry, commands);
    }

    fn judge(&mut self, now: f64) {
        self.queue.push(now + EXCHANGE / 2.0, Event::Judge);
        let reversed = |command: &Command| matches!(command, Command::Spread(_, Verdict::Reversed { .. }));
        if self.enough.is_none() && self.observer.evaluate(time(now)).iter().any(reversed) {
            self.enough = Some(now);
        }
        let is_late = |board: &Board| board.reports().iter().any(|report| report.share.late.is_some());
        self.outcomes.late_said |= now > WINDOW * 0.9 && is_late(&self.boards[0]);
    }

    fn spread(&mut self, now: f64, from: usize, commands: Vec<Command>) {
        for Command::Spread(run, verdict) in commands {
            for entry in (0..ENTRIES).filter(|entry| *entry != from) {
                if !self.random.random_bool(VERDICT_LOSS) {
                    let event = Event::Verdict(entry, run.clone(), verdict.clone());
                    self.queue.push(now + PEER_DELAY, event);
                }
            }
        }
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        Exp::new(1.0 / mean).expect("a positive rate").sample(&mut self.random)
    }

    fn log_normal(&mut self, sigma: f64) -> f64 {
        LogNormal::new(0.0, sigma)
            .expect("a positive spread")
            .sample(&mut self.random)
    }
}

const fn index(side: Side) -> usize {
    match side {
        Side::Old => 0,
        Side::New => 1,
    }
}

/// The share of the baselines: nine steps of equal length over 70 % of the window.
fn scheduled(now: f64) -> f64 {
    const STEPS: [f64; 9] = [0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 0.98, 1.0];
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "an index")]
    let step = (now / (WINDOW * 0.7) * 9.0) as usize;
    STEPS[step.min(STEPS.len() - 1)]
}
