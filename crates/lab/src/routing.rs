//! Measures the choice of targets with a queueing model of continuous batching engines in virtual time, and the cost of
//! assigning subsets of targets to entries.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet, VecDeque};
use std::time::{Duration, Instant as WallClock};

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::{Entry, Target};
use hawthornpost_core::prefix::{Block, Event, Index, Kind};
use hawthornpost_core::route::{Candidate, Costs, Criteria, Router, Subset};
use hawthornpost_core::wire::Load;
use hdrhistogram::Histogram;
use linkme::distributed_slice;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::experiment::{EXPERIMENTS, Experiment, Options, Table};

#[distributed_slice(EXPERIMENTS)]
static ROUTING: Experiment = Experiment {
    name: "routing",
    summary: "prefix hits, time to the first token and load balance against simple policies, with late and lost events",
    run,
};

#[distributed_slice(EXPERIMENTS)]
static SUBSETS: Experiment = Experiment {
    name: "subsets",
    summary: "targets per entry, balance, reassignments and memory with 390 entries and 5,600 targets",
    run: run_subsets,
};

const ENTRY_COUNT: usize = 8;
const TARGET_COUNT: usize = 16;
/// Number of texts with which prompts begin; lower numbers are more frequent.
const PROMPT_GROUPS: u64 = 300;
const SHARED_BLOCKS: u64 = 60;
const OWN_BLOCKS: u64 = 10;
const BLOCK_TOKENS: u64 = 16;
/// Capacity of the prefix cache of an engine in blocks, enough for the texts of 50 groups.
const MAX_CACHE_BLOCKS: usize = 3000;
const PREFILL_PER_TOKEN: Duration = Duration::from_micros(100);
const DECODE_PER_TOKEN: Duration = Duration::from_millis(40);
const REQUESTS_PER_SECOND: f64 = 120.0;
const RUN_DURATION: Duration = Duration::from_secs(120);
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const REPORT_DELAY: Duration = Duration::from_millis(300);
const CAPACITY_TOKENS: u64 = 200_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    RoundRobin,
    LeastLoad,
    TwoChoices,
    Router,
    /// The router without cache events; each entry knows only the prompts that it sent itself.
    RouterOwnOnly,
}

/// Delay and loss of cache events.
#[derive(Clone, Copy, Debug)]
struct Delivery {
    name: &'static str,
    delay: Duration,
    loss: f64,
}

const DELIVERIES: [Delivery; 4] = [
    Delivery {
        name: "0.2 s late",
        delay: Duration::from_millis(200),
        loss: 0.0,
    },
    Delivery {
        name: "5 s late",
        delay: Duration::from_secs(5),
        loss: 0.0,
    },
    Delivery {
        name: "0.2 s late, 20 % lost",
        delay: Duration::from_millis(200),
        loss: 0.2,
    },
    Delivery {
        name: "5 s late, 50 % lost",
        delay: Duration::from_secs(5),
        loss: 0.5,
    },
];

#[derive(Default)]
struct Engine {
    prefill_until: Instant,
    running: u32,
    held: u64,
    busy_time: Duration,
    cached: HashSet<Block>,
    insertion_order: VecDeque<Block>,
    sequence: u64,
}

struct Node {
    router: Router,
    index: Index,
    loads: Vec<u64>,
    next_target: usize,
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

struct Simulation {
    rng: SmallRng,
    policy: Policy,
    delivery: Delivery,
    now: Instant,
    targets: Vec<Target>,
    engines: Vec<Engine>,
    entries: Vec<Node>,
    queue: BinaryHeap<Reverse<(Duration, u64, Step)>>,
    sequence: u64,
    first_tokens: Histogram<u64>,
    hit_blocks: u64,
    prompt_blocks: u64,
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
    let (mut hit_blocks, mut prompt_blocks, mut unevenness) = (0, 0, 0.0);
    for seed in first..first + seeds {
        let simulation = Simulation::new(seed, policy, delivery).run();
        all.add(&simulation.first_tokens).expect("the same precision");
        hit_blocks += simulation.hit_blocks;
        prompt_blocks += simulation.prompt_blocks;
        let busy_time = simulation
            .engines
            .iter()
            .map(|engine| engine.busy_time.as_secs_f64())
            .collect::<Vec<_>>();
        let mean = busy_time.iter().sum::<f64>() / busy_time.len() as f64;
        unevenness += busy_time.iter().copied().fold(0.0, f64::max) / mean / seeds as f64;
    }
    let millis = |quantile: f64| format!("{:.0}", all.value_at_quantile(quantile) as f64 / 1000.0);
    vec![
        format!("{policy:?}"),
        name.to_owned(),
        format!("{:.1}", 100.0 * hit_blocks as f64 / prompt_blocks as f64),
        millis(0.5),
        millis(0.95),
        millis(0.99),
        format!("{unevenness:.2}"),
    ]
}

impl Simulation {
    fn new(seed: u64, policy: Policy, delivery: Delivery) -> Self {
        let node = || Node {
            router: Router::new(Costs::default()),
            index: Index::default(),
            loads: vec![0; TARGET_COUNT],
            next_target: 0,
        };
        let mut simulation = Self {
            rng: SmallRng::seed_from_u64(seed),
            policy,
            delivery,
            now: Instant::ZERO,
            targets: (0..TARGET_COUNT)
                .map(|index| format!("engine-{index}").parse().expect("a valid name"))
                .collect(),
            engines: (0..TARGET_COUNT).map(|_| Engine::default()).collect(),
            entries: (0..ENTRY_COUNT).map(|_| node()).collect(),
            queue: BinaryHeap::new(),
            sequence: 0,
            first_tokens: Histogram::new(3).expect("a valid precision"),
            hit_blocks: 0,
            prompt_blocks: 0,
        };
        simulation.push(Duration::ZERO, Step::Arrival);
        simulation.push(Duration::ZERO, Step::Report);
        simulation
    }

    fn push(&mut self, delay: Duration, step: Step) {
        self.sequence += 1;
        let at = self.now.since_start() + delay;
        self.queue.push(Reverse((at, self.sequence, step)));
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((at, _, step))) = self.queue.pop() {
            if at > RUN_DURATION {
                break;
            }
            self.now = Instant::from_start(at);
            self.handle(step);
        }
        self
    }

    fn handle(&mut self, step: Step) {
        match step {
            Step::Arrival => self.handle_arrival(),
            Step::Report => {
                let loads = self
                    .engines
                    .iter()
                    .map(|engine| (engine.held, engine.waiting(self.now)));
                let loads = loads.collect();
                self.push(REPORT_DELAY, Step::Loads(loads));
                self.push(REPORT_INTERVAL, Step::Report);
            }
            Step::Loads(loads) => self.deliver_report(&loads),
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

    fn deliver_report(&mut self, loads: &[(u64, u32)]) {
        for entry in &mut self.entries {
            entry.loads = loads.iter().map(|(held, _)| *held).collect();
            for (target, (held, waiting)) in self.targets.iter().zip(loads) {
                let load = Load {
                    model: "letters".parse().expect("a valid name"),
                    version: "v1".parse().expect("a valid name"),
                    tokens_held: *held,
                    tokens_capacity: CAPACITY_TOKENS,
                    running: 0,
                    waiting: *waiting,
                    sequence: 0,
                };
                entry.router.report(self.now, target, &load);
            }
        }
    }

    fn handle_arrival(&mut self) {
        let interval = -self.rng.random_range(f64::EPSILON..1.0).ln() / REQUESTS_PER_SECOND;
        self.push(Duration::from_secs_f64(interval), Step::Arrival);
        let entry = self.rng.random_range(0..ENTRY_COUNT);
        let blocks = self.draw_prompt();
        let prompt = blocks.len() as u64 * BLOCK_TOKENS;
        let answer = self.rng.random_range(50..750);
        let criteria = Criteria {
            prompt,
            tokens: prompt + answer,
            blocks: &blocks,
            priority: 5,
        };
        let target = self.choose(entry, &criteria);
        let estimated_uncached = {
            let node = &self.entries[entry];
            node.router.uncached(&criteria, &self.targets[target], &node.index)
        };
        let name = &self.targets[target];
        self.entries[entry].router.started(name, estimated_uncached);
        if matches!(self.policy, Policy::Router | Policy::RouterOwnOnly) {
            self.entries[entry].index.record_sent(self.now, name, &blocks);
        }
        self.serve(entry, target, &blocks, answer, estimated_uncached);
    }

    /// Draws a prompt; the probability of a group is inversely proportional to its number.
    fn draw_prompt(&mut self) -> Vec<Block> {
        let group = ((PROMPT_GROUPS as f64).powf(self.rng.random::<f64>())).floor();
        let shared = (0..SHARED_BLOCKS).map(|block| Block(group.to_bits().wrapping_add(block)));
        let own = (0..OWN_BLOCKS).map(|_| Block(self.rng.random()));
        shared.chain(own).collect()
    }

    fn choose(&mut self, entry: usize, criteria: &Criteria<'_>) -> usize {
        let node = &mut self.entries[entry];
        let load = |target: usize| {
            let own = u64::from(node.router.outstanding(&self.targets[target]));
            node.loads[target] + own * 1000
        };
        match self.policy {
            Policy::RoundRobin => {
                node.next_target = (node.next_target + 1) % TARGET_COUNT;
                node.next_target
            }
            Policy::LeastLoad => (0..TARGET_COUNT).min_by_key(|target| load(*target)).unwrap_or(0),
            Policy::TwoChoices => {
                let (one, other) = (
                    self.rng.random_range(0..TARGET_COUNT),
                    self.rng.random_range(0..TARGET_COUNT),
                );
                if load(one) <= load(other) { one } else { other }
            }
            Policy::Router | Policy::RouterOwnOnly => {
                let candidates = self.targets.iter().map(|target| Candidate {
                    target,
                    distance: Duration::from_millis(1),
                    free: CAPACITY_TOKENS,
                });
                let ranked = node
                    .router
                    .rank(self.now, criteria, candidates, &node.index, &mut self.rng);
                let best = ranked.first().copied();
                self.targets.iter().position(|target| Some(target) == best).unwrap_or(0)
            }
        }
    }

    /// Processes prompts one at a time and generates answers concurrently; generation slows down with the number of
    /// answers.
    fn serve(&mut self, entry: usize, target: usize, blocks: &[Block], answer: u64, estimated_uncached: u64) {
        let engine = &mut self.engines[target];
        let cached = blocks.iter().take_while(|block| engine.cached.contains(block)).count() as u64;
        self.hit_blocks += cached;
        self.prompt_blocks += blocks.len() as u64;
        let uncached = (blocks.len() as u64 - cached) * BLOCK_TOKENS;
        let prefill = PREFILL_PER_TOKEN * u32::try_from(uncached).unwrap_or(u32::MAX);
        engine.busy_time += prefill;
        engine.prefill_until = engine.prefill_until.max(self.now) + prefill;
        let decode = DECODE_PER_TOKEN.mul_f64(1.0 + f64::from(engine.running) / 64.0);
        let first = engine.prefill_until.since(self.now) + decode;
        let tokens = blocks.len() as u64 * BLOCK_TOKENS + answer;
        engine.running += 1;
        engine.held += tokens;
        let events = engine.store(blocks);
        let micros = u64::try_from(first.as_micros()).unwrap_or(u64::MAX);
        self.first_tokens.record(micros).expect("the histogram grows");
        let total_time = first + decode * u32::try_from(answer).unwrap_or(u32::MAX);
        self.push(
            first,
            Step::FirstToken {
                entry,
                target,
                uncached: estimated_uncached,
            },
        );
        self.push(total_time, Step::End { entry, target, tokens });
        for (sequence, stored, blocks) in events {
            let lost = self.rng.random::<f64>() < self.delivery.loss;
            if self.policy == Policy::Router && !lost {
                self.push(
                    self.delivery.delay,
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

/// Mean time to process the prompt of one request, used to convert the length of the queue to a number of requests.
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
        self.insertion_order.extend(&stored);
        let excess = self.insertion_order.len().saturating_sub(MAX_CACHE_BLOCKS);
        let removed = self.insertion_order.drain(..excess).collect::<Vec<_>>();
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

/// Entries, targets and models of the fleet in section 1.7 of the design, which has 37 models and 3 regions.
const FLEET_SIZE: (usize, usize, usize) = (390, 5600, 37);
const REGION_COUNT: usize = 3;
/// Maximum memory per target in an entry: free capacity, sharers, load, and the blocks of its cache.
const BYTES_PER_TARGET: usize = 600;

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
    let (entries, targets, models) = FLEET_SIZE;
    let entries = (0..entries / REGION_COUNT).map(|index| format!("entry-{index}").parse::<Entry>().expect("a name"));
    let entries = entries.collect::<Vec<_>>();
    let all = entries.iter().collect::<Vec<_>>();
    let subset = Subset { sharers };
    let mut totals = BTreeMap::<&Entry, usize>::new();
    let (mut least, mut most, mut moved, mut pairs) = (usize::MAX, 0, 0_u64, 0_u64);
    let mut time = Duration::ZERO;
    for model in 0..models {
        let count = targets / REGION_COUNT / models;
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
            mean * (BYTES_PER_TARGET + sharers.min(all.len()) * 64) as f64 / 1024.0
        ),
    ]
}
