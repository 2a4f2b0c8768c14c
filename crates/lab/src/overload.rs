//! Measures overload of targets: capacity shares of the core, compared with limits that each entry sets independently.

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::{Account, Entry, Model, Target};
use hawthornpost_core::limit::{Demand, Lengths, Limiter, Parameters, Reservation, Sharer};
use hawthornpost_core::wire::Load;
use linkme::distributed_slice;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;
use std::time::Duration;

use crate::experiment::{EXPERIMENTS, Experiment, Options, Table};

#[distributed_slice(EXPERIMENTS)]
static OVERLOAD: Experiment = Experiment {
    name: "overload",
    summary: "overload events, goodput and account shares at 1, 1.5 and 3 times the capacity",
    run,
};

const TARGET_COUNT: usize = 4;
const CAPACITY_TOKENS: u64 = 400_000;
const TIME_STEP: Duration = Duration::from_millis(100);
const RUN_DURATION: Duration = Duration::from_secs(1000);
/// Results before this time are discarded, as the targets are still filling up.
const WARM_UP: Duration = Duration::from_secs(300);
const TOKEN_INTERVAL_MS: u64 = 60;
/// Restart time of a target that ran out of memory; its running requests are lost.
const RESTART_DURATION: Duration = Duration::from_secs(20);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const REPORT_DELAY: Duration = Duration::from_millis(700);
const RESERVATION_GROWTH_TOKENS: u64 = 64;
/// Accounts with equal shares, and the fraction of requests that each sends.
const ACCOUNTS: [(&str, f64); 4] = [("flood", 0.7), ("crews", 0.1), ("office", 0.1), ("survey", 0.1)];
const PARAMETERS: Parameters = Parameters {
    propagation_delay: Duration::from_secs(3),
    settling_time: Duration::from_secs(5),
    growth_delay: Duration::from_secs(10),
    max_lifetime: Duration::from_secs(250),
    pause_threshold: Duration::from_secs(1),
    max_report_age: Duration::from_secs(3),
    min_sharers: 8,
    headroom_permille: 20,
    overbooking_permille: 1350,
};

/// How entries limit the load that they send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// The policy of the core: shares among the live entries, and load reports.
    Shares,
    /// Every entry relies on load reports only.
    Report,
    /// Every entry uses a fixed eighth of the capacity, regardless of the live entries.
    Eighth,
    /// The policy of the core without account shares: all requests count for one account.
    NoAccounts,
}

impl Policy {
    fn parameters(self) -> Parameters {
        match self {
            Self::Shares | Self::NoAccounts => PARAMETERS,
            Self::Report => Parameters {
                min_sharers: 1,
                ..PARAMETERS
            },
            Self::Eighth => Parameters {
                min_sharers: 8,
                growth_delay: Duration::ZERO,
                settling_time: Duration::ZERO,
                max_lifetime: Duration::ZERO,
                ..PARAMETERS
            },
        }
    }
}

/// One process of an entry; a restart creates another.
struct Process {
    name: Entry,
    limiter: Limiter,
    lengths: Lengths,
    started_at: Instant,
    ends_at: Instant,
}

/// A request running at a target.
struct Running {
    entry: usize,
    account: usize,
    reservation: Option<Reservation>,
    prompt: u64,
    produced: u64,
    length: u64,
    next_token_at: Instant,
}

#[derive(Default)]
struct Engine {
    running: Vec<Running>,
    down_until: Option<Instant>,
}

impl Engine {
    fn held_tokens(&self) -> u64 {
        self.running
            .iter()
            .map(|request| request.prompt + request.produced)
            .sum()
    }
}

#[derive(Clone, Debug, Default)]
struct Outcome {
    overloads: u64,
    lost: u64,
    moved: u64,
    refused: u64,
    offered: u64,
    /// Tokens of completed answers, by account.
    tokens: [u64; ACCOUNTS.len()],
    requests: [u64; ACCOUNTS.len()],
    served: [u64; ACCOUNTS.len()],
}

struct Simulation {
    now: Instant,
    rng: SmallRng,
    policy: Policy,
    churn: bool,
    accounts: Vec<Account>,
    targets: Vec<Target>,
    model: Model,
    engines: Vec<Engine>,
    entries: Vec<Option<Process>>,
    restart_at: Vec<Instant>,
    reports: VecDeque<(Instant, usize, Load)>,
    sequence: u64,
    outcome: Outcome,
}

fn run(options: &Options) -> Table {
    let mut table = Table::new([
        "policy",
        "entries",
        "load",
        "overload events/h",
        "requests lost %",
        "moved %",
        "refused %",
        "goodput tokens/s",
        "flood account % of goodput",
        "other accounts served %",
    ]);
    let seeds = options.seeds.min(20);
    for (churn, load) in [
        (false, 1.0),
        (false, 1.5),
        (false, 3.0),
        (true, 1.0),
        (true, 1.5),
        (true, 3.0),
    ] {
        for policy in [Policy::Shares, Policy::Report, Policy::Eighth, Policy::NoAccounts] {
            let runs = options.seed..options.seed + seeds;
            let outcomes = runs
                .map(|seed| Simulation::new(seed, policy, churn).run(load))
                .collect::<Vec<_>>();
            table.push(row(policy, churn, load, &outcomes));
        }
    }
    table
}

fn row(policy: Policy, churn: bool, load: f64, outcomes: &[Outcome]) -> Vec<String> {
    let sum = |field: fn(&Outcome) -> u64| outcomes.iter().map(field).sum::<u64>() as f64;
    let hours = outcomes.len() as f64 * RUN_DURATION.saturating_sub(WARM_UP).as_secs_f64() / 3600.0;
    let offered = sum(|outcome| outcome.offered);
    let tokens = sum(|outcome| outcome.tokens.iter().sum());
    let others = sum(|outcome| outcome.served[1..].iter().sum()) / sum(|outcome| outcome.requests[1..].iter().sum());
    vec![
        format!("{policy:?}"),
        if churn { "come and go" } else { "8" }.to_owned(),
        format!("{load:.1}"),
        format!("{:.1}", sum(|outcome| outcome.overloads) / hours),
        format!("{:.2}", 100.0 * sum(|outcome| outcome.lost) / offered),
        format!("{:.2}", 100.0 * sum(|outcome| outcome.moved) / offered),
        format!("{:.1}", 100.0 * sum(|outcome| outcome.refused) / offered),
        format!("{:.0}", tokens / (hours * 3600.0)),
        format!("{:.1}", 100.0 * sum(|outcome| outcome.tokens[0]) / tokens),
        format!("{:.1}", 100.0 * others),
    ]
}

/// Draws the lengths of a prompt and an answer in tokens; answer lengths are log-normal with a mean near 700 tokens.
fn draw_request(rng: &mut SmallRng) -> (u64, u64) {
    let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    let length = (450.0 * (0.9 * normal).exp()).clamp(10.0, 4000.0);
    (rng.random_range(200..2000), truncate(length))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small positive numbers are rounded down"
)]
fn truncate(number: f64) -> u64 {
    number as u64
}

/// Returns the request rate per second that fills the targets on average.
fn saturation_rate(rng: &mut SmallRng) -> f64 {
    let samples = 20_000;
    let token_seconds = (0..samples).map(|_| {
        let (prompt, length) = draw_request(rng);
        (length * TOKEN_INTERVAL_MS) as f64 / 1000.0 * (prompt as f64 + length as f64 / 2.0)
    });
    let mean = token_seconds.sum::<f64>() / f64::from(samples);
    (CAPACITY_TOKENS * TARGET_COUNT as u64) as f64 / mean
}

impl Simulation {
    fn new(seed: u64, policy: Policy, churn: bool) -> Self {
        let accounts = ACCOUNTS
            .iter()
            .map(|(name, _)| name.parse().expect("a valid name"))
            .collect();
        let targets = (0..TARGET_COUNT)
            .map(|index| format!("engine-{index}").parse().expect("a valid name"))
            .collect();
        let names = if churn { 12 } else { 8 };
        let mut simulation = Self {
            now: Instant::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            policy,
            churn,
            accounts,
            targets,
            model: "letters".parse().expect("a valid name"),
            engines: (0..TARGET_COUNT).map(|_| Engine::default()).collect(),
            entries: (0..names).map(|_| None).collect(),
            restart_at: vec![Instant::ZERO; names],
            reports: VecDeque::new(),
            sequence: 0,
            outcome: Outcome::default(),
        };
        if churn {
            for index in 8..names {
                simulation.restart_at[index] = Instant::from_millis(simulation.rng.random_range(0..100_000));
            }
        }
        simulation
    }

    fn run(mut self, load: f64) -> Outcome {
        let rate = saturation_rate(&mut self.rng) * load;
        while self.now < Instant::from_start(RUN_DURATION) {
            self.now = self.now + TIME_STEP;
            self.update_processes();
            self.update_views();
            self.deliver_reports();
            self.advance_engines();
            self.check_memory();
            let due = rate * TIME_STEP.as_secs_f64();
            let arrivals = truncate(due) + u64::from(self.rng.random::<f64>() < due.fract());
            (0..arrivals).for_each(|_| self.handle_arrival());
        }
        self.outcome
    }

    fn update_processes(&mut self) {
        for index in 0..self.entries.len() {
            let ended = self.entries[index]
                .as_ref()
                .is_some_and(|process| process.ends_at <= self.now);
            if ended {
                self.entries[index] = None;
                self.restart_at[index] = self.now + Duration::from_secs(self.rng.random_range(20..150));
                self.drop_requests(index);
            } else if self.entries[index].is_none() && self.restart_at[index] <= self.now {
                self.start(index);
            }
        }
    }

    fn start(&mut self, index: usize) {
        let mut limiter = Limiter::new(self.now, self.policy.parameters());
        for target in &self.targets {
            limiter.add(self.now, target, &self.model, CAPACITY_TOKENS);
        }
        let lifetime = Duration::from_secs(self.rng.random_range(60..300));
        self.entries[index] = Some(Process {
            name: format!("e{index}").parse().expect("a valid name"),
            limiter,
            lengths: Lengths::default(),
            started_at: self.now,
            ends_at: if self.churn {
                self.now + lifetime
            } else {
                Instant::from_start(RUN_DURATION * 2)
            },
        });
    }

    /// Ends the connections of a failed entry. Targets detect this within the time that shares wait before they
    /// increase.
    fn drop_requests(&mut self, entry: usize) {
        for engine in &mut self.engines {
            for request in engine.running.iter_mut().filter(|request| request.entry == entry) {
                request.reservation = None;
                request.length = request.length.min(request.produced + 100);
            }
        }
    }

    /// Updates the view of live entries once a second per entry; views differ because the updates are staggered.
    fn update_views(&mut self) {
        if !matches!(self.policy, Policy::Shares | Policy::NoAccounts) {
            return;
        }
        let now = self.now;
        let turn = now.since_start().as_millis() / TIME_STEP.as_millis();
        let live = self.entries.iter().flatten().map(|process| Sharer {
            entry: process.name.clone(),
            age: now - process.started_at,
        });
        let live = live.collect::<Vec<_>>();
        for (index, process) in self.entries.iter_mut().enumerate() {
            let Some(process) = process.as_mut().filter(|_| turn % 10 == index as u128 % 10) else {
                continue;
            };
            let others = live
                .iter()
                .filter(|sharer| sharer.entry != process.name)
                .cloned()
                .collect::<Vec<_>>();
            for target in &self.targets {
                process.limiter.observe(now, target, &others);
            }
        }
    }

    fn deliver_reports(&mut self) {
        self.entries
            .iter_mut()
            .flatten()
            .for_each(|process| process.limiter.tick(self.now));
        if self
            .now
            .since_start()
            .as_millis()
            .is_multiple_of(REPORT_INTERVAL.as_millis())
        {
            self.sequence += 1;
            for (index, engine) in self.engines.iter().enumerate() {
                let load = Load {
                    model: self.model.clone(),
                    version: "v1".parse().expect("a valid name"),
                    tokens_held: engine.held_tokens(),
                    tokens_capacity: CAPACITY_TOKENS,
                    running: u32::try_from(engine.running.len()).unwrap_or(u32::MAX),
                    waiting: 0,
                    sequence: self.sequence,
                };
                self.reports.push_back((self.now + REPORT_DELAY, index, load));
            }
        }
        while self.reports.front().is_some_and(|(at, _, _)| *at <= self.now) {
            let Some((_, index, load)) = self.reports.pop_front() else {
                break;
            };
            if self.policy == Policy::Eighth {
                continue;
            }
            for process in self.entries.iter_mut().flatten() {
                process.limiter.report(self.now, &self.targets[index], &load);
            }
        }
    }

    fn advance_engines(&mut self) {
        let mut displaced = Vec::new();
        for engine in &mut self.engines {
            let mut index = 0;
            while index < engine.running.len() {
                let request = &mut engine.running[index];
                let fits = produce(request, self.now);
                if fits && request.produced < request.length {
                    index += 1;
                    continue;
                }
                let request = engine.running.swap_remove(index);
                if fits {
                    record_completion(
                        &mut self.outcome,
                        &mut self.entries,
                        &self.accounts,
                        &self.model,
                        self.now,
                        &request,
                    );
                } else {
                    displaced.push(request);
                }
            }
        }
        for request in displaced {
            self.relocate(request);
        }
    }

    /// Moves a request whose reservation cannot grow to another target; the request is lost when none admits it.
    fn relocate(&mut self, mut request: Running) {
        request.reservation = None;
        let entry = request.entry;
        let tokens = request.prompt + request.produced;
        match self.admit(entry, request.account, tokens, RESERVATION_GROWTH_TOKENS) {
            Some((target, reservation)) => {
                self.outcome.moved += 1;
                request.reservation = Some(reservation);
                self.engines[target].running.push(request);
            }
            None => self.outcome.lost += 1,
        }
    }

    fn check_memory(&mut self) {
        for engine in &mut self.engines {
            if engine.held_tokens() > CAPACITY_TOKENS {
                let is_measured = self.now.since_start() > WARM_UP;
                self.outcome.overloads += u64::from(is_measured);
                self.outcome.lost += if is_measured { engine.running.len() as u64 } else { 0 };
                engine.running.clear();
                engine.down_until = Some(self.now + RESTART_DURATION);
            }
        }
    }

    fn handle_arrival(&mut self) {
        let account = self.draw_account();
        let live = (0..self.entries.len()).filter(|index| self.entries[*index].is_some());
        let live = live.collect::<Vec<_>>();
        if live.is_empty() {
            return;
        }
        let entry = live[self.rng.random_range(0..live.len())];
        let (prompt, length) = draw_request(&mut self.rng);
        let expected = self.entries[entry].as_ref().map_or(4000, |process| {
            process.lengths.expected(&self.accounts[account], &self.model, 4000)
        });
        let is_measured = u64::from(self.now.since_start() > WARM_UP);
        self.outcome.offered += is_measured;
        self.outcome.requests[account] += is_measured;
        let Some((target, reservation)) = self.admit(entry, account, prompt, expected) else {
            self.outcome.refused += is_measured;
            return;
        };
        self.outcome.served[account] += is_measured;
        self.engines[target].running.push(Running {
            entry,
            account,
            reservation: Some(reservation),
            prompt,
            produced: 0,
            length,
            next_token_at: self.now,
        });
    }

    fn admit(&mut self, entry: usize, account: usize, prompt: u64, expected: u64) -> Option<(usize, Reservation)> {
        let now = self.now;
        let process = self.entries[entry].as_mut()?;
        let up = |index: &usize| self.engines[*index].down_until.is_none_or(|until| until <= now);
        let mut order = (0..TARGET_COUNT).filter(up).collect::<Vec<_>>();
        order.sort_by_key(|index| std::cmp::Reverse(process.limiter.free(now, &self.targets[*index])));
        let charged_account = usize::from(self.policy != Policy::NoAccounts) * account;
        let demand = Demand {
            account: &self.accounts[charged_account],
            priority: if self.policy == Policy::NoAccounts { 9 } else { 5 },
            share: 10,
            prompt,
            expected,
        };
        order
            .into_iter()
            .find_map(|index| Some((index, process.limiter.admit(now, &self.targets[index], &demand).ok()?)))
    }

    fn draw_account(&mut self) -> usize {
        let mut rest = self.rng.random::<f64>();
        for (index, (_, share)) in ACCOUNTS.iter().enumerate() {
            if rest < *share {
                return index;
            }
            rest -= share;
        }
        0
    }
}

/// Generates the tokens that are due; returns false when the reservation cannot grow.
fn produce(request: &mut Running, now: Instant) -> bool {
    while request.next_token_at <= now && request.produced < request.length {
        if let Some(reservation) = &mut request.reservation {
            if reservation.remaining() == 0 && reservation.grow(now, RESERVATION_GROWTH_TOKENS).is_err() {
                return false;
            }
            reservation.produce(1);
        }
        request.produced += 1;
        request.next_token_at = request.next_token_at + Duration::from_millis(TOKEN_INTERVAL_MS);
    }
    true
}

fn record_completion(
    outcome: &mut Outcome,
    entries: &mut [Option<Process>],
    accounts: &[Account],
    model: &Model,
    now: Instant,
    request: &Running,
) {
    if request.reservation.is_none() {
        return;
    }
    if let Some(process) = &mut entries[request.entry] {
        process
            .lengths
            .observe(&accounts[request.account], model, request.length);
    }
    if now.since_start() > WARM_UP {
        outcome.tokens[request.account] += request.length;
    }
}
