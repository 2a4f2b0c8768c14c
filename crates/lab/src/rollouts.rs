//! Simulates rollouts of good and bad versions, and compares the evidence policy of the core with a fixed schedule and
//! with a threshold on the raw error rate.
//!
//! Twenty engines of each version serve 20 requests a second on five routes for two hours of virtual time; eight
//! entries choose the version of each request.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::thread;

use hawthornpost_core::config::Document;
use hawthornpost_core::id::{Model, Route, Target};
use hawthornpost_core::rollout::{Command, Origin, Outcome, Registry, Run, Sample, Side, Verdict};
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
    summary: "rollouts of good and bad versions: completed on time, reversed, exposed traffic, time until none is exposed",
    run,
};

const ENTRY_COUNT: usize = 8;
const TARGET_COUNT: usize = 20;
const REQUESTS_PER_SECOND: f64 = 20.0;
const WINDOW_SECS: f64 = 7200.0;
const ROUTE_WEIGHTS: [f64; 5] = [30.0, 25.0, 20.0, 15.0, 10.0];
/// Index of the faulty route of [`Kind::OneRoute`], which has 15 % of the traffic.
const BAD_ROUTE: usize = 3;
/// An answer has 100 tokens at 60 ms each.
const ANSWER_TOKENS: u32 = 100;
const GAP_MS: f64 = 60.0;
const FIRST_TOKEN_MS: f64 = 400.0;
const BASE_ERROR_RATE: f64 = 0.005;
/// Mean time between failures of an engine: one failure in two hours for both versions; a rack of twenty engines has
/// ten failures a run.
const MEAN_TIME_BETWEEN_FAILURES_SECS: f64 = 7200.0;
const ENGINE_RESTART_SECS: f64 = 60.0;
/// Entries exchange evidence with one peer a second and evaluate it once a second.
const EXCHANGE_INTERVAL_SECS: f64 = 1.0;
/// One-way delay between entries. A verdict is lost with the probability below and then arrives with the next exchange.
const PEER_DELAY_SECS: f64 = 0.05;
const VERDICT_LOSS_RATE: f64 = 0.05;
/// The limit of the daemon.
const MAX_EXCHANGE_BYTES: usize = 8 * 1024;
/// Parameters of [`Policy::RawErrors`], a threshold on the error rate among the last requests of the new version.
const RAW_WINDOW_REQUESTS: usize = 200;
const MIN_RAW_SAMPLES: usize = 50;
const MAX_RAW_ERROR_RATE: f64 = 0.05;
const THREAD_COUNT: usize = 4;

/// When the new version is bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Never.
    Good,
    /// From the start of the rollout.
    AtOnce,
    /// From a random time during the rollout.
    Later,
    /// On engines whose load exceeds a threshold.
    UnderLoad,
    /// On one route.
    OneRoute,
}

/// How traffic moves to the new version and back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// The policy of the core.
    Evidence,
    /// A fixed schedule without reversal.
    Schedule,
    /// The fixed schedule, reversed when the raw error rate exceeds a threshold.
    RawErrors,
}

/// The defect of a bad version.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Errors(f64),
    SlowFirstToken(f64),
    SlowGap(f64),
}

#[derive(Clone, Debug, Default)]
struct Summary {
    done: bool,
    reversed: bool,
    late_reported: bool,
    /// Fraction of the requests in the window that the new version received while it was bad.
    bad_share: f64,
    /// Seconds from the first bad outcome to the last request at the new version.
    from_first_bad: Option<f64>,
    /// Bytes of evidence that an entry sends and receives in a second.
    bytes_per_second: f64,
    /// Seconds from when the combined evidence of all entries sufficed to the last request at the new version.
    from_sufficient_evidence: Option<f64>,
}

#[derive(Clone, Debug)]
enum Event {
    Arrival,
    Sample(usize, Sample),
    End(usize, Sample, usize),
    Exchange(usize),
    Verdict(usize, Run, Verdict),
    Evaluate,
    Failure(Side, usize),
    Restart(Side, usize),
}

struct Queue {
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    sequence: u64,
}

impl Queue {
    fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            events: std::collections::HashMap::new(),
            sequence: 0,
        }
    }

    fn push(&mut self, at: f64, event: Event) {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "hours in microseconds"
        )]
        let micros = (at * 1e6) as u64;
        self.heap.push(Reverse((micros, self.sequence)));
        self.events.insert(self.sequence, event);
        self.sequence += 1;
    }

    fn pop(&mut self) -> Option<(f64, Event)> {
        let Reverse((micros, id)) = self.heap.pop()?;
        let event = self.events.remove(&id)?;
        Some((micros as f64 / 1e6, event))
    }
}

struct Simulation {
    kind: Kind,
    policy: Policy,
    fault: Fault,
    bad_from: f64,
    random: StdRng,
    queue: Queue,
    registries: Vec<Registry>,
    /// A registry that records every outcome without delay, as a reference; it makes no decisions.
    observer: Registry,
    model: Model,
    routes: Vec<Route>,
    targets: [Vec<Target>; 2],
    running: [Vec<f64>; 2],
    down: [Vec<bool>; 2],
    raw_window: VecDeque<bool>,
    raw_reversed: bool,
    bad_requests: f64,
    first_bad_at: Option<f64>,
    sufficient_at: Option<f64>,
    last_new_at: Option<f64>,
    bytes: usize,
    now: f64,
    summary: Summary,
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
            let summaries = run_all(options, kind, policy);
            table.push(row(kind, policy, &summaries));
        }
    }
    table
}

fn run_all(options: &Options, kind: Kind, policy: Policy) -> Vec<Summary> {
    let (first, end) = (options.seed, options.seed + options.seeds);
    thread::scope(|scope| {
        let workers = (0..THREAD_COUNT).map(|worker| {
            let seeds = (first + worker as u64..end).step_by(THREAD_COUNT);
            scope.spawn(move || {
                seeds
                    .map(|seed| Simulation::new(seed, kind, policy).run())
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

fn row(kind: Kind, policy: Policy, summaries: &[Summary]) -> Vec<String> {
    let count = summaries.len().max(1) as f64;
    let percent = |test: fn(&Summary) -> bool| {
        let hits = summaries.iter().filter(|summary| test(summary)).count();
        format!("{:.1}", 100.0 * hits as f64 / count)
    };
    let shares = summaries.iter().map(|summary| summary.bad_share * 100.0);
    let mean = shares.clone().sum::<f64>() / count;
    let worst = shares.fold(0.0, f64::max);
    let from_sufficient_evidence = sorted(summaries.iter().filter_map(|summary| summary.from_sufficient_evidence));
    let from_first_bad = sorted(summaries.iter().filter_map(|summary| summary.from_first_bad));
    vec![
        format!("{kind:?}"),
        format!("{policy:?}"),
        summaries.len().to_string(),
        percent(|summary| summary.done),
        percent(|summary| summary.reversed),
        format!("{mean:.3}"),
        format!("{worst:.3}"),
        quantile(&from_sufficient_evidence, 0.5),
        quantile(&from_sufficient_evidence, 0.99),
        quantile(&from_sufficient_evidence, 1.0),
        quantile(&from_first_bad, 0.5),
        format!(
            "{:.0}",
            summaries.iter().map(|summary| summary.bytes_per_second).sum::<f64>() / count
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
        for n in 0..TARGET_COUNT {
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

impl Simulation {
    fn new(seed: u64, kind: Kind, policy: Policy) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let document = document();
        let registry = |name: String| {
            let entry = name.parse().expect("a valid name");
            let mut registry = Registry::new(Origin { entry, incarnation: 1 });
            registry.set_synchronized();
            registry.configure(time(0.0), &document);
            registry
        };
        let fault = match seed % 3 {
            0 => Fault::Errors(random.random_range(0.1..0.5)),
            1 => Fault::SlowFirstToken(random.random_range(2.5..6.0)),
            _ => Fault::SlowGap(random.random_range(1.8..4.0)),
        };
        let bad_from = match kind {
            Kind::Good => f64::INFINITY,
            Kind::Later => WINDOW_SECS * random.random_range(0.1..0.6),
            _ => 0.0,
        };
        let names = |version: &str| {
            (0..TARGET_COUNT)
                .map(|n| format!("{version}-{n:02}").parse().expect("a name"))
                .collect()
        };
        let mut simulation = Self {
            kind,
            policy,
            fault,
            bad_from,
            random,
            queue: Queue::new(),
            registries: (0..ENTRY_COUNT).map(|n| registry(format!("entry-{n}"))).collect(),
            observer: registry("observer".to_owned()),
            model: "letters".parse().expect("a valid name"),
            routes: (0..ROUTE_WEIGHTS.len())
                .map(|n| format!("account-{n}").parse().expect("a name"))
                .collect(),
            targets: [names("v1"), names("v2")],
            running: [vec![0.0; TARGET_COUNT], vec![0.0; TARGET_COUNT]],
            down: [vec![false; TARGET_COUNT], vec![false; TARGET_COUNT]],
            raw_window: VecDeque::new(),
            raw_reversed: false,
            bad_requests: 0.0,
            first_bad_at: None,
            sufficient_at: None,
            last_new_at: None,
            bytes: 0,
            now: 0.0,
            summary: Summary::default(),
        };
        simulation.schedule_first_events();
        simulation
    }

    fn schedule_first_events(&mut self) {
        self.queue.push(0.0, Event::Arrival);
        if self.policy == Policy::Evidence {
            for entry in 0..ENTRY_COUNT {
                let offset = self.random.random_range(0.0..EXCHANGE_INTERVAL_SECS);
                self.queue.push(offset, Event::Exchange(entry));
            }
            self.queue.push(0.1, Event::Evaluate);
        }
        for side in [Side::Old, Side::New] {
            for target in 0..TARGET_COUNT {
                let at = self.exponential(MEAN_TIME_BETWEEN_FAILURES_SECS);
                self.queue.push(at, Event::Failure(side, target));
            }
        }
    }

    fn run(mut self) -> Summary {
        while let Some((now, event)) = self.queue.pop() {
            if now > WINDOW_SECS || self.is_over(now) {
                break;
            }
            self.now = now;
            self.handle(now, event);
        }
        self.finish()
    }

    /// Returns whether the run can end early: some time after the rollout is decided, nothing changes any more.
    fn is_over(&self, now: f64) -> bool {
        let decided = match self.policy {
            Policy::Evidence => self
                .registries
                .iter()
                .all(|registry| registry.verdicts().any(|(_, verdict)| verdict.is_final())),
            Policy::Schedule => false,
            Policy::RawErrors => self.raw_reversed,
        };
        decided && self.last_new_at.is_none_or(|last| now > last + 20.0 || self.is_done())
    }

    fn is_done(&self) -> bool {
        let is_done = |(_, verdict): (&Run, &Verdict)| matches!(verdict, Verdict::Done { .. });
        self.registries.iter().all(|registry| registry.verdicts().any(is_done))
    }

    fn finish(mut self) -> Summary {
        let reversed = |registry: &Registry| {
            registry
                .verdicts()
                .any(|(_, verdict)| matches!(verdict, Verdict::Reversed { .. }))
        };
        match self.policy {
            Policy::Evidence => {
                self.summary.done = self.is_done();
                self.summary.reversed = self.registries.iter().any(reversed);
            }
            Policy::Schedule => self.summary.done = true,
            Policy::RawErrors => {
                self.summary.reversed = self.raw_reversed;
                self.summary.done = !self.raw_reversed;
            }
        }
        // Each byte counts at its sender and its receiver; one in ten exchanges was measured.
        self.summary.bytes_per_second = self.bytes as f64 * 10.0 * 2.0 / (self.now.max(1.0) * ENTRY_COUNT as f64);
        self.summary.bad_share = self.bad_requests / (REQUESTS_PER_SECOND * WINDOW_SECS);
        if self.summary.reversed {
            let since = |from: Option<f64>| Some((self.last_new_at? - from?).max(0.0));
            self.summary.from_first_bad = since(self.first_bad_at);
            self.summary.from_sufficient_evidence = since(self.sufficient_at);
        }
        self.summary
    }

    fn handle(&mut self, now: f64, event: Event) {
        match event {
            Event::Arrival => self.handle_arrival(now),
            Event::Sample(entry, sample) => self.record(now, entry, &sample),
            Event::End(entry, sample, target) => self.handle_end(now, entry, &sample, target),
            Event::Exchange(entry) => self.exchange(now, entry),
            Event::Verdict(entry, run, verdict) => {
                let command = self.registries[entry].merge_verdict(time(now), &run, &verdict);
                self.broadcast(now, entry, command.into_iter().collect());
            }
            Event::Evaluate => self.evaluate_observer(now),
            Event::Failure(side, target) => self.handle_failure(now, side, target),
            Event::Restart(side, target) => self.down[index(side)][target] = false,
        }
    }

    fn handle_arrival(&mut self, now: f64) {
        let next = now + self.exponential(1.0 / REQUESTS_PER_SECOND);
        self.queue.push(next, Event::Arrival);
        let entry = self.random.random_range(0..ENTRY_COUNT);
        let weights = WeightedIndex::new(ROUTE_WEIGHTS).expect("the weights are positive");
        let route = weights.sample(&mut self.random);
        let Some((side, target)) = self.choose_target(now, entry) else {
            return;
        };
        let side_index = index(side);
        let load = self.running[side_index][target] / (REQUESTS_PER_SECOND / TARGET_COUNT as f64 * 6.5);
        let is_bad = side == Side::New && self.is_bad(now, route, load);
        if side == Side::New {
            self.last_new_at = Some(now);
            if now >= self.bad_from {
                self.bad_requests += 1.0;
            }
        }
        self.running[side_index][target] += 1.0;
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

    /// Chooses a version and a target, skipping failed engines.
    fn choose_target(&mut self, now: f64, entry: usize) -> Option<(Side, usize)> {
        let (side, usable) = match self.policy {
            Policy::Evidence => {
                let request: [u8; 16] = self.random.random();
                let choice = self.registries[entry].choose(&self.model, &request)?;
                let side = if choice.version.as_str() == "v2" {
                    Side::New
                } else {
                    Side::Old
                };
                (side, choice.targets.len())
            }
            Policy::Schedule | Policy::RawErrors => {
                let share = if self.raw_reversed { 0.0 } else { scheduled_share(now) };
                let side = if self.random.random_bool(share) {
                    Side::New
                } else {
                    Side::Old
                };
                (side, TARGET_COUNT)
            }
        };
        let live = (0..usable)
            .filter(|target| !self.down[index(side)][*target])
            .collect::<Vec<_>>();
        let target = *live.choose(&mut self.random)?;
        Some((side, target))
    }

    fn serve(&mut self, now: f64, entry: usize, route: usize, (side, target): (Side, usize), is_bad: bool) {
        let load = self.running[index(side)][target] / (REQUESTS_PER_SECOND / TARGET_COUNT as f64 * 6.5);
        let slowdown = 1.0 + 0.1 * load;
        let mut first = FIRST_TOKEN_MS * slowdown * self.log_normal(0.4);
        let mut gap = GAP_MS * slowdown * self.log_normal(0.1);
        let mut errors = BASE_ERROR_RATE;
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
        let total = first / 1000.0 + gap * f64::from(ANSWER_TOKENS) / 1000.0;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "milliseconds")]
        let (first_ms, gap_ms) = (first as u32, gap as u32);
        let (first_sample, gap_sample) = (
            sample(Outcome::FirstToken(first_ms)),
            sample(Outcome::Gap(gap_ms, ANSWER_TOKENS)),
        );
        let end = sample(if failed { Outcome::Failed } else { Outcome::Served });
        let duration = if failed {
            total * self.random.random_range(0.0..1.0)
        } else {
            total
        };
        if is_bad && (failed || !matches!(self.fault, Fault::Errors(_))) {
            let seen = now + first / 1000.0;
            self.first_bad_at = Some(self.first_bad_at.map_or(seen, |at| at.min(seen)));
        }
        if self.policy == Policy::Evidence {
            self.queue
                .push(now + first / 1000.0, Event::Sample(entry, first_sample));
            if !failed {
                self.queue.push(now + duration, Event::Sample(entry, gap_sample));
            }
        }
        self.queue.push(now + duration, Event::End(entry, end, target));
    }

    fn handle_end(&mut self, now: f64, entry: usize, sample: &Sample, target: usize) {
        let running = &mut self.running[index(sample.side)][target];
        *running = (*running - 1.0).max(0.0);
        self.record(now, entry, sample);
        if self.policy == Policy::RawErrors && sample.side == Side::New {
            self.record_raw(sample.outcome == Outcome::Failed);
        }
    }

    fn record_raw(&mut self, failed: bool) {
        self.raw_window.push_back(failed);
        if self.raw_window.len() > RAW_WINDOW_REQUESTS {
            self.raw_window.pop_front();
        }
        let errors = self.raw_window.iter().filter(|failed| **failed).count();
        if self.raw_window.len() >= MIN_RAW_SAMPLES && errors as f64 / self.raw_window.len() as f64 > MAX_RAW_ERROR_RATE
        {
            self.raw_reversed = true;
        }
    }

    fn record(&mut self, now: f64, entry: usize, sample: &Sample) {
        if self.policy == Policy::Evidence {
            self.registries[entry].record(time(now), &self.model, sample);
            self.observer.record(time(now), &self.model, sample);
        }
    }

    /// Fails an engine and ends the requests that run on it; they continue on other engines.
    fn handle_failure(&mut self, now: f64, side: Side, target: usize) {
        let side_index = index(side);
        self.down[side_index][target] = true;
        let interrupted = std::mem::take(&mut self.running[side_index][target]);
        self.queue.push(now + ENGINE_RESTART_SECS, Event::Restart(side, target));
        let next = now + ENGINE_RESTART_SECS + self.exponential(MEAN_TIME_BETWEEN_FAILURES_SECS);
        self.queue.push(next, Event::Failure(side, target));
        if interrupted < 1.0 {
            return;
        }
        let sample = Sample {
            route: self.routes[0].clone(),
            side,
            target: self.targets[side_index][target].clone(),
            outcome: Outcome::EngineDied,
        };
        for entry in 0..ENTRY_COUNT {
            self.record(now, entry, &sample);
        }
        if self.policy == Policy::RawErrors && side == Side::New {
            let mut left = interrupted;
            while left >= 1.0 {
                self.record_raw(true);
                left -= 1.0;
            }
        }
    }

    fn exchange(&mut self, now: f64, entry: usize) {
        self.queue.push(now + EXCHANGE_INTERVAL_SECS, Event::Exchange(entry));
        let peer = (entry + self.random.random_range(1..ENTRY_COUNT)) % ENTRY_COUNT;
        let delta = self.registries[peer].delta(&self.registries[entry].known(), MAX_EXCHANGE_BYTES);
        let reverse_delta = self.registries[entry].delta(&self.registries[peer].known(), MAX_EXCHANGE_BYTES);
        if self.random.random_bool(0.1) {
            let size = |delta| serde_json::to_vec(delta).map_or(0, |bytes| bytes.len());
            let known = [entry, peer].map(|index| serde_json::to_vec(&self.registries[index].known()));
            let known = known.iter().flatten().map(Vec::len).sum::<usize>();
            self.bytes += size(&delta) + size(&reverse_delta) + known;
        }
        for (to, delta) in [(entry, delta), (peer, reverse_delta)] {
            let commands = self.registries[to].apply(time(now), &delta);
            self.broadcast(now, to, commands);
        }
        let commands = self.registries[entry].evaluate(time(now));
        self.broadcast(now, entry, commands);
    }

    fn evaluate_observer(&mut self, now: f64) {
        self.queue.push(now + EXCHANGE_INTERVAL_SECS / 2.0, Event::Evaluate);
        let reversed = |command: &Command| matches!(command, Command::Broadcast(_, Verdict::Reversed { .. }));
        if self.sufficient_at.is_none() && self.observer.evaluate(time(now)).iter().any(reversed) {
            self.sufficient_at = Some(now);
        }
        let is_late = |registry: &Registry| registry.reports().iter().any(|report| report.share.late.is_some());
        self.summary.late_reported |= now > WINDOW_SECS * 0.9 && is_late(&self.registries[0]);
    }

    fn broadcast(&mut self, now: f64, from: usize, commands: Vec<Command>) {
        for Command::Broadcast(run, verdict) in commands {
            for entry in (0..ENTRY_COUNT).filter(|entry| *entry != from) {
                if !self.random.random_bool(VERDICT_LOSS_RATE) {
                    let event = Event::Verdict(entry, run.clone(), verdict.clone());
                    self.queue.push(now + PEER_DELAY_SECS, event);
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

/// Returns the share of the new version under the baseline policies: nine steps of equal length over 70 % of the
/// window.
fn scheduled_share(now: f64) -> f64 {
    const STEPS: [f64; 9] = [0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 0.98, 1.0];
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "an index")]
    let step = (now / (WINDOW_SECS * 0.7) * 9.0) as usize;
    STEPS[step.min(STEPS.len() - 1)]
}
