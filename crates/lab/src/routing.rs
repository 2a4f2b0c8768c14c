//! Choice of targets: a queueing model of continuous batching engines in virtual time, and the cost of subsets.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet, VecDeque};
use std::time::{Duration, Instant as WallClock};

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::{Entry, Target};
use hawthornpost_core::prefix::{Block, Event, Index, Kind};
use hawthornpost_core::route::{Ask, Candidate, Costs, Router, Subset};
use hawthornpost_core::wire::Load;
use hdrhistogram::Histogram;
use linkme::distributed_slice;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::experiment::{EXPERIMENTS, Experiment, Options, Table};

#[distributed_slice(EXPERIMENTS)]
static ROUTING: Experiment = Experiment {
    name: "routing",
    summary: "prefix hits, time to the first token and evenness against simple policies, with late and lost events",
    run,
};

#[distributed_slice(EXPERIMENTS)]
static SUBSETS: Experiment = Experiment {
    name: "subsets",
    summary: "targets per entry, evenness, moves and state with 390 entries and 5,600 targets",
    run: run_subsets,
};

const ENTRIES: usize = 8;
const TARGETS: usize = 16;
/// Prompts begin with one of this many texts; the first are the most frequent.
const GROUPS: u64 = 300;
const SHARED_BLOCKS: u64 = 60;
const OWN_BLOCKS: u64 = 10;
const BLOCK_TOKENS: u64 = 16;
/// The blocks that the cache of an engine holds: the texts of 50 groups.
const CACHE_BLOCKS: usize = 3000;
const PREFILL: Duration = Duration::from_micros(100);
const DECODE: Duration = Duration::from_millis(40);
const REQUESTS_PER_SECOND: f64 = 120.0;
const RUN: Duration = Duration::from_secs(120);
const REPORT_EVERY: Duration = Duration::from_millis(250);
const REPORT_LAG: Duration = Duration::from_millis(300);
const CAPACITY: u64 = 200_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    RoundRobin,
    LeastLoad,
    TwoChoices,
    Router,
    /// The router without cache events, which knows only what it sent itself.
    RouterOwnOnly,
}

/// How the cache events arrive.
#[derive(Clone, Copy, Debug)]
struct Delivery {
    name: &'static str,
    lag: Duration,
    loss: f64,
}

const DELIVERIES: [Delivery; 4] = [
    Delivery {
        name: "0.2 s late",
        lag: Duration::from_millis(200),
        loss: 0.0,
    },
    Delivery {
        name: "5 s late",
        lag: Duration::from_secs(5),
        loss: 0.0,
    },
    Delivery {
        name: "0.2 s late, 20 % lost",
        lag: Duration::from_millis(200),
        loss: 0.2,
    },
    Delivery {
        name: "5 s late, 50 % lost",
        lag: Duration::from_secs(5),
        loss: 0.5,
    },
];

#[derive(Default)]
struct Engine {
    prefill_until: Instant,
    running: u32,
    held: u64,
    busy: Duration,
    cached: HashSet<Block>,
    order: VecDeque<Block>,
    sequence: u64,
}

struct Knowledge {
    router: Router,
    index: Index,
    loads: Vec<u64>,
    next: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrival,
    Report,
    Loads(Vec<(u64, u32)>),
    FirstToken {
        entry: usize,
        target: usize,
        uncached: u64,
    },
    End {
        entry: usize,
        target: usize,
        tokens: u64,
    },
    Cache {
        target: usize,
        sequence: u64,
        stored: bool,
        blocks: Vec<Block>,
    },
}

struct World {
    rng: SmallRng,
    policy: Policy,
    delivery: Delivery,
    now: Instant,
    targets: Vec<Target>,
    engines: Vec<Engine>,
    entries: Vec<Knowledge>,
    queue: BinaryHeap<Reverse<(Duration, u64, Step)>>,
    serial: u64,
    first_tokens: Histogram<u64>,
    hits: u64,
    prompts: u64,
}

fn run(options: &Options) -> Table {
    let mut table = Table::new([
        "policy",
        "cache events",
        "prefix hits %",
        "first token p50 ms",
        "first token p95 ms",
        "first token p99 ms",
        "busiest target / mean",
    ]);
    let seeds = options.seeds.min(10);
    for policy in [
        Policy::RoundRobin,
        Policy::LeastLoad,
        Policy::TwoChoices,
        Policy::RouterOwnOnly,
    ] {
        table.push(row(policy, DELIVERIES[0], options.seed, seeds, "not used"));
    }
    for delivery in DELIVERIES {
        table.push(row(Policy::Router, delivery, options.seed, seeds, delivery.name));
    }
    table
}

fn row(policy: Policy, delivery: Delivery, first: u64, seeds: u64, name: &str) -> Vec<String> {
    let mut all = Histogram::<u64>::new(3).expect("a valid precision");
    let (mut hits, mut prompts, mut unevenness) = (0, 0, 0.0);
    for seed in first..first + seeds {
        let world = World::new(seed, policy, delivery).run();
        all.add(&world.first_tokens).expect("the same precision");
        hits += world.hits;
        prompts += world.prompts;
        let busy = world
            .engines
            .iter()
            .map(|engine| engine.busy.as_secs_f64())
            .collect::<Vec<_>>();
        let mean = busy.iter().sum::<f64>() / busy.len() as f64;
        unevenness += busy.iter().copied().fold(0.0, f64::max) / mean / seeds as f64;
    }
    let millis = |quantile: f64| format!("{:.0}", all.value_at_quantile(quantile) as f64 / 1000.0);
    vec![
        format!("{policy:?}"),
        name.to_owned(),
        format!("{:.1}", 100.0 * hits as f64 / prompts as f64),
        millis(0.5),
        millis(0.95),
        millis(0.99),
        format!("{unevenness:.2}"),
    ]
}

impl World {
    fn new(seed: u64, policy: Policy, delivery: Delivery) -> Self {
        let knowledge = || Knowledge {
            router: Router::new(Costs::default()),
            index: Index::default(),
            loads: vec![0; TARGETS],
            next: 0,
        };
        let mut world = Self {
            rng: SmallRng::seed_from_u64(seed),
            policy,
            delivery,
            now: Instant::ZERO,
            targets: (0..TARGETS)
                .map(|index| format!("engine-{index}").parse().expect("a valid name"))
                .collect(),
            engines: (0..TARGETS).map(|_| Engine::default()).collect(),
            entries: (0..ENTRIES).map(|_| knowledge()).collect(),
            queue: BinaryHeap::new(),
            serial: 0,
            first_tokens: Histogram::new(3).expect("a valid precision"),
            hits: 0,
            prompts: 0,
        };
        world.push(Duration::ZERO, Step::Arrival);
        world.push(Duration::ZERO, Step::Report);
        world
    }

    fn push(&mut self, delay: Duration, step: Step) {
        self.serial += 1;
        let at = self.now.since_start() + delay;
        self.queue.push(Reverse((at, self.serial, step)));
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((at, _, step))) = self.queue.pop() {
            if at > RUN {
                break;
            }
            self.now = Instant::from_start(at);
            self.step(step);
        }
        self
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrival => self.arrive(),
            Step::Report => {
                let loads = self
                    .engines
                    .iter()
                    .map(|engine| (engine.held, engine.waiting(self.now)));
                let loads = loads.collect();
                self.push(REPORT_LAG, Step::Loads(loads));
                self.push(REPORT_EVERY, Step::Report);
            }
            Step::Loads(loads) => self.report(&loads),
            Step::FirstToken {
                entry,
                target,
                uncached,
            } => {
                self.entries[entry].router.first_token(&self.targets[target], uncached);
            }
            Step::End { entry, target, tokens } => {
                self.engines[target].running -= 1;
                self.engines[target].held -= tokens;
                self.entries[entry].router.ended(&self.targets[target]);
            }
            Step::Cache {
                target,
                sequence,
                stored,
                blocks,
            } => {
                let kind = if stored { Kind::Stored } else { Kind::Removed };
                let event = Event { sequence, kind, blocks };
                for entry in &mut self.entries {
                    entry.index.observe(self.now, &self.targets[target], &event);
                }
            }
        }
    }

    fn report(&mut self, loads: &[(u64, u32)]) {
        for entry in &mut self.entries {
            entry.loads = loads.iter().map(|(held, _)| *held).collect();
            for (target, (held, waiting)) in self.targets.iter().zip(loads) {
                let load = Load {
                    model: "letters".parse().expect("a valid name"),
                    version: "v1".parse().expect("a valid name"),
                    tokens_held: *held,
                    tokens_capacity: CAPACITY,
                    running: 0,
                    waiting: *waiting,
                    sequence: 0,
                };
                entry.router.report(self.now, target, &load);
            }
        }
    }

    fn arrive(&mut self) {
        let pause = -self.rng.random_range(f64::EPSILON..1.0).ln() / REQUESTS_PER_SECOND;
        self.push(Duration::from_secs_f64(pause), Step::Arrival);
        let entry = self.rng.random_range(0..ENTRIES);
        let blocks = self.prompt();
        let prompt = blocks.len() as u64 * BLOCK_TOKENS;
        let answer = self.rng.random_range(50..750);
        let ask = Ask {
            prompt,
            tokens: prompt + answer,
            blocks: &blocks,
            priority: 5,
        };
        let target = self.choose(entry, &ask);
        let known_uncached = {
            let knowledge = &self.entries[entry];
            knowledge.router.uncached(&ask, &self.targets[target], &knowledge.index)
        };
        let name = &self.targets[target];
        self.entries[entry].router.started(name, known_uncached);
        if matches!(self.policy, Policy::Router | Policy::RouterOwnOnly) {
            self.entries[entry].index.expect(self.now, name, &blocks);
        }
        self.serve(entry, target, &blocks, answer, known_uncached);
    }

    /// Draws a prompt; the popularity of the groups falls with the inverse of their number.
    fn prompt(&mut self) -> Vec<Block> {
        let group = ((GROUPS as f64).powf(self.rng.random::<f64>())).floor();
        let shared = (0..SHARED_BLOCKS).map(|block| Block(group.to_bits().wrapping_add(block)));
        let own = (0..OWN_BLOCKS).map(|_| Block(self.rng.random()));
        shared.chain(own).collect()
    }

    fn choose(&mut self, entry: usize, ask: &Ask<'_>) -> usize {
        let knowledge = &mut self.entries[entry];
        let load = |target: usize| {
            let own = u64::from(knowledge.router.outstanding(&self.targets[target]));
            knowledge.loads[target] + own * 1000
        };
        match self.policy {
            Policy::RoundRobin => {
                knowledge.next = (knowledge.next + 1) % TARGETS;
                knowledge.next
            }
            Policy::LeastLoad => (0..TARGETS).min_by_key(|target| load(*target)).unwrap_or(0),
            Policy::TwoChoices => {
                let (one, other) = (self.rng.random_range(0..TARGETS), self.rng.random_range(0..TARGETS));
                if load(one) <= load(other) { one } else { other }
            }
            Policy::Router | Policy::RouterOwnOnly => {
                let candidates = self.targets.iter().map(|target| Candidate {
                    target,
                    distance: Duration::from_millis(1),
                    free: CAPACITY,
                });
                let ranked = knowledge
                    .router
                    .rank(self.now, ask, candidates, &knowledge.index, &mut self.rng);
                let best = ranked.first().copied();
                self.targets.iter().position(|target| Some(target) == best).unwrap_or(0)
            }
        }
    }

    /// Prompts are computed one after the other; answers are generated together, slower the more there are.
    fn serve(&mut self, entry: usize, target: usize, blocks: &[Block], answer: u64, known_uncached: u64) {
        let engine = &mut self.engines[target];
        let cached = blocks.iter().take_while(|block| engine.cached.contains(block)).count() as u64;
        self.hits += cached;
        self.prompts += blocks.len() as u64;
        let uncached = (blocks.len() as u64 - cached) * BLOCK_TOKENS;
        let prefill = PREFILL * u32::try_from(uncached).unwrap_or(u32::MAX);
        engine.busy += prefill;
        engine.prefill_until = engine.prefill_until.max(self.now) + prefill;
        let decode = DECODE.mul_f64(1.0 + f64::from(engine.running) / 64.0);
        let first = engine.prefill_until.since(self.now) + decode;
        let tokens = blocks.len() as u64 * BLOCK_TOKENS + answer;
        engine.running += 1;
        engine.held += tokens;
        let events = engine.store(blocks);
        let micros = u64::try_from(first.as_micros()).unwrap_or(u64::MAX);
        self.first_tokens.record(micros).expect("the histogram grows");
        let whole = first + decode * u32::try_from(answer).unwrap_or(u32::MAX);
        self.push(
            first,
            Step::FirstToken {
                entry,
                target,
                uncached: known_uncached,
            },
        );
        self.push(whole, Step::End { entry, target, tokens });
        for (sequence, stored, blocks) in events {
            let lost = self.rng.random::<f64>() < self.delivery.loss;
            if self.policy == Policy::Router && !lost {
                self.push(
                    self.delivery.lag,
                    Step::Cache {
                        target,
                        sequence,
                        stored,
                        blocks,
                    },
                );
            }
        }
    }
}

/// The time in which the prompt of one request is computed on average; it turns the queue into a number of requests.
const MEAN_PREFILL: Duration = Duration::from_millis(70);

impl Engine {
    fn waiting(&self, now: Instant) -> u32 {
        let queue = self.prefill_until.since(now).as_micros() / MEAN_PREFILL.as_micros();
        u32::try_from(queue).unwrap_or(u32::MAX)
    }

    /// Stores blocks and returns the events with their sequence numbers.
    fn store(&mut self, blocks: &[Block]) -> Vec<(u64, bool, Vec<Block>)> {
        let stored = blocks
            .iter()
            .copied()
            .filter(|block| self.cached.insert(*block))
            .collect::<Vec<_>>();
        self.order.extend(&stored);
        let excess = self.order.len().saturating_sub(CACHE_BLOCKS);
        let removed = self.order.drain(..excess).collect::<Vec<_>>();
        for block in &removed {
            self.cached.remove(block);
        }
        let mut events = Vec::new();
        for (is_stored, blocks) in [(true, stored), (false, removed)] {
            if !blocks.is_empty() {
                self.sequence += 1;
                events.push((self.sequence, is_stored, blocks));
            }
        }
        events
    }
}

/// The fleet of 1.7 of the design: 37 models, 3 regions.
const FLEET: (usize, usize, usize) = (390, 5600, 37);
const REGIONS: usize = 3;
/// The largest resident part of a target in an entry: room, sharers, load, and the blocks of its cache.
const TARGET_BYTES: usize = 600;

fn run_subsets(_options: &Options) -> Table {
    let mut table = Table::new([
        "sharers per target",
        "targets per entry: least",
        "mean",
        "most",
        "targets of one model: least",
        "most",
        "targets moved by the loss of one entry %",
        "time to assign ms",
        "state per entry KB, without cache index",
    ]);
    for sharers in [8, 12, 16, 32, usize::MAX] {
        table.push(subset_row(sharers));
    }
    table
}

fn subset_row(sharers: usize) -> Vec<String> {
    let (entries, targets, models) = FLEET;
    let entries = (0..entries / REGIONS).map(|index| format!("entry-{index}").parse::<Entry>().expect("a name"));
    let entries = entries.collect::<Vec<_>>();
    let all = entries.iter().collect::<Vec<_>>();
    let subset = Subset { sharers };
    let mut totals = BTreeMap::<&Entry, usize>::new();
    let (mut least, mut most, mut moved, mut pairs) = (usize::MAX, 0, 0_u64, 0_u64);
    let mut time = Duration::ZERO;
    for model in 0..models {
        let count = targets / REGIONS / models;
        let names = (0..count).map(|index| format!("engine-{model}-{index}").parse::<Target>().expect("a name"));
        let names = names.collect::<Vec<_>>();
        let names = names.iter().collect::<Vec<_>>();
        let started = WallClock::now();
        let before = subset.assign(&names, &all);
        time += started.elapsed();
        let after = subset.assign(&names, &all[1..]);
        let mut counts = all.iter().map(|entry| (*entry, 0_usize)).collect::<BTreeMap<_, _>>();
        for (target, shared) in &before {
            for entry in shared {
                *counts.entry(entry).or_default() += 1;
                pairs += 1;
                let is_lost = *entry == all[0];
                moved += u64::from(!is_lost && !after[target].contains(entry));
            }
        }
        least = least.min(counts.values().copied().min().unwrap_or(0));
        most = most.max(counts.values().copied().max().unwrap_or(0));
        for (entry, count) in counts {
            *totals.entry(entry).or_default() += count;
        }
    }
    let mean = totals.values().sum::<usize>() as f64 / totals.len() as f64;
    vec![
        if sharers == usize::MAX {
            "all".to_owned()
        } else {
            sharers.to_string()
        },
        totals.values().min().copied().unwrap_or(0).to_string(),
        format!("{mean:.1}"),
        totals.values().max().copied().unwrap_or(0).to_string(),
        least.to_string(),
        most.to_string(),
        format!("{:.2}", 100.0 * moved as f64 / pairs as f64),
        format!("{:.1}", time.as_secs_f64() * 1000.0),
        format!(
            "{:.0}",
            mean * (TARGET_BYTES + sharers.min(all.len()) * 64) as f64 / 1024.0
        ),
    ]
}
