//! Measures in virtual time the delay from the loss of an engine to the next token, and the extra work of a resume.
//!
//! Every generation has one fault, and some resumed attempts have a second. Simulated engines drive the state machine
//! of the core. The two baselines use the same engines: `restart` generates the answer from the beginning, and
//! `early hedge` opens a second attempt when a gap is longer than usual and keeps the one that answers first.

use std::time::Duration;

use hawthornpost_core::generation::Gaps;
use hdrhistogram::Histogram;
use linkme::distributed_slice;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::experiment::{EXPERIMENTS, Experiment, Options, Table};
use crate::resume_baseline;
use crate::resume_run;

#[distributed_slice(EXPERIMENTS)]
static RESUME: Experiment = Experiment {
    name: "resume",
    summary: "resume latency and extra work after an engine is lost, against a restart and an early hedge",
    run,
};

/// Number of generations per seed.
const GENERATIONS_PER_SEED: u64 = 20;
/// Tokens of an answer.
pub(crate) const ANSWER_TOKENS: u32 = 400;
/// Median gap between tokens.
const MEDIAN_GAP_MS: f64 = 60.0;
/// Probability that a gap is extended because the engine processes other prompts.
const STALL_PROBABILITY: f64 = 0.002;
/// Probability that the engine of a new attempt is lost as well.
const SECOND_FAULT_PROBABILITY: f64 = 0.05;
/// Maximum time within which the output has to continue.
const MAX_RESUME_MS: u64 = 5000;

/// How an engine fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The process is killed; connections are closed and new ones refused.
    Killed,
    /// The host fails; packets to it get no response.
    HostLost,
    /// The process is suspended; connections are accepted, but requests get no response.
    Frozen,
    /// The connection stalls; the engine and new connections work.
    SilentConnection,
}

const FAULTS: [Fault; 4] = [Fault::Killed, Fault::HostLost, Fault::Frozen, Fault::SilentConnection];

/// Parameters of one generation and its fault.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    /// The tokens of the prompt.
    pub(crate) prompt: u32,
    /// The fault of the first engine.
    pub(crate) fault: Fault,
    /// The number of tokens after which the fault occurs.
    pub(crate) fault_token: u32,
    rng: SmallRng,
}

/// Cost of the faults in one generation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cost {
    /// Time from the fault to the next token at the caller.
    pub(crate) latency: Duration,
    /// Tokens computed in excess of the answer.
    pub(crate) extra_tokens: u32,
    /// Prompt tokens processed again, including resumed ones.
    pub(crate) prompt_tokens: u32,
    /// Probes or second attempts without a fault.
    pub(crate) false_alarms: u32,
}

impl Scenario {
    fn new(seed: u64, fault: Fault) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            prompt: rng.random_range(200..4000),
            fault,
            fault_token: rng.random_range(20..ANSWER_TOKENS - 20),
            rng,
        }
    }

    /// Returns the gap before the next token: log-normal around the median, with rare stalls.
    pub(crate) fn gap(&mut self) -> Duration {
        let normal = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let mut millis = MEDIAN_GAP_MS * (0.2 * normal).exp();
        if self.rng.random_bool(STALL_PROBABILITY) {
            millis += self.rng.random_range(100.0..900.0);
        }
        Duration::from_secs_f64(millis / 1000.0)
    }

    /// Returns the time to the first token of an attempt with a prompt of `tokens` tokens.
    pub(crate) fn first_token(&mut self, tokens: u32) -> Duration {
        let queue = self.rng.random_range(10.0..80.0);
        Duration::from_secs_f64(queue / 1000.0 + f64::from(tokens) / 20_000.0)
    }

    /// Draws the fault that the engine of a new attempt has from the start, if any.
    pub(crate) fn second_fault(&mut self) -> Option<Fault> {
        let is_faulty = self.rng.random_bool(SECOND_FAULT_PROBABILITY);
        let index = self.rng.random_range(0..3);
        is_faulty.then(|| FAULTS[index])
    }
}

/// Returns the 99th percentile of the gaps, computed by the distribution of the core.
pub(crate) fn p99_gap(seed: u64) -> Duration {
    let mut scenario = Scenario::new(seed, Fault::Killed);
    let mut gaps = Gaps::new();
    for _ in 0..2000 {
        gaps.record(scenario.gap());
    }
    gaps.p99().unwrap_or_default()
}

/// A recovery policy.
struct Policy {
    name: &'static str,
    run: fn(Scenario, Duration) -> Cost,
}

const POLICIES: [Policy; 5] = [
    Policy {
        name: "resume, 8 x p99",
        run: |scenario, p99| resume_run::run(scenario, silence_timeout(8, p99)),
    },
    Policy {
        name: "resume, 4 x p99",
        run: |scenario, p99| resume_run::run(scenario, silence_timeout(4, p99)),
    },
    Policy {
        name: "restart, 8 x p99",
        run: |scenario, p99| resume_baseline::restart(scenario, silence_timeout(8, p99)),
    },
    Policy {
        name: "restart, 4 x p99",
        run: |scenario, p99| resume_baseline::restart(scenario, silence_timeout(4, p99)),
    },
    Policy {
        name: "early hedge, 1.5 x p99",
        run: |scenario, p99| resume_baseline::hedge(scenario, p99 * 3 / 2),
    },
];

fn silence_timeout(factor: u32, p99: Duration) -> Duration {
    (p99 * factor).clamp(Duration::from_millis(250), Duration::from_secs(2))
}

fn run(options: &Options) -> Table {
    let mut table = Table::new([
        "policy",
        "faults",
        "generations",
        "median ms",
        "p95 ms",
        "p99 ms",
        "max ms",
        "over 5 s",
        "extra tokens",
        "prompt tokens again",
        "false alarms per 1000",
    ]);
    for policy in &POLICIES {
        table.push(measure(options, policy, "all", &FAULTS));
    }
    for fault in FAULTS {
        table.push(measure(options, &POLICIES[1], &format!("{fault:?}"), &[fault]));
    }
    table
}

fn measure(options: &Options, policy: &Policy, label: &str, faults: &[Fault]) -> Vec<String> {
    let mut latencies = Histogram::<u64>::new_with_bounds(1, 600_000, 3).unwrap_or_else(|_| unreachable!("constants"));
    let mut sum = Cost::default();
    let mut late_count = 0;
    for seed in options.seed..options.seed + options.seeds {
        let p99 = p99_gap(seed);
        for (number, fault) in (0..GENERATIONS_PER_SEED).zip(faults.iter().cycle()) {
            let cost = (policy.run)(Scenario::new(seed * GENERATIONS_PER_SEED + number, *fault), p99);
            let millis = u64::try_from(cost.latency.as_millis()).unwrap_or(u64::MAX);
            latencies.saturating_record(millis);
            late_count += u64::from(millis > MAX_RESUME_MS);
            sum.extra_tokens += cost.extra_tokens;
            sum.prompt_tokens += cost.prompt_tokens;
            sum.false_alarms += cost.false_alarms;
        }
    }
    let count = (options.seeds * GENERATIONS_PER_SEED) as f64;
    let mean = |total: u32| format!("{:.1}", f64::from(total) / count);
    vec![
        policy.name.to_owned(),
        label.to_owned(),
        format!("{count}"),
        latencies.value_at_quantile(0.5).to_string(),
        latencies.value_at_quantile(0.95).to_string(),
        latencies.value_at_quantile(0.99).to_string(),
        latencies.max().to_string(),
        late_count.to_string(),
        mean(sum.extra_tokens),
        mean(sum.prompt_tokens),
        format!("{:.1}", f64::from(sum.false_alarms) / count * 1000.0),
    ]
}
