//! Measures admission by level against hosts that admit all calls: goodput of a plain service beyond its capacity.
//!
//! The decisions are those of `limit_level`, with the gateway's expected times. Hosts choose among targets by the reports
//! in responses and receive each other's levels late.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::limit_level::Demand;
use hawthornpost_gateway::fleet::Report;
use hawthornpost_gateway::overload::Service;
use linkme::distributed_slice;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::experiment::{EXPERIMENTS, Experiment, Options, Table};

#[distributed_slice(EXPERIMENTS)]
static OVERLOAD_LEVEL: Experiment = Experiment {
    name: "overload-level",
    summary: "goodput of calls by offered load, admitted by level or all",
    run,
};

const TARGETS: usize = 7;
const SLOTS: u32 = 6;
/// A full target refuses beyond this number of waiting calls.
const MAX_WAITING: u32 = 60;
const WORK: Duration = Duration::from_millis(60);
const OBJECTIVE: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_secs(3);
const RUN_MS: u64 = 12_000;
/// Results before this time are discarded, as the hosts have not reacted yet.
const WARM_UP_MS: u64 = 2_000;
/// The delay with which hosts receive each other's levels.
const LEVEL_DELAY_MS: u64 = 300;
const ACCOUNTS: usize = 24;
const NAMES: [&str; ACCOUNTS] = [
    "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", "q", "r", "s", "t", "u", "v", "w",
    "x",
];
/// A call in five is urgent.
const URGENT_PART: f64 = 0.2;

/// What differs between the runs.
#[derive(Clone, Copy, Debug)]
struct Pattern {
    name: &'static str,
    hosts: usize,
    /// The requests of the first account as a multiple of those of the others.
    first_account: f64,
    /// The speeds of the targets, in turn.
    speeds: [f64; 3],
}

const EVEN: Pattern = Pattern {
    name: "even",
    hosts: 58,
    first_account: 1.0,
    speeds: [1.0; 3],
};
const PATTERNS: [Pattern; 5] = [
    Pattern { hosts: 6, ..EVEN },
    EVEN,
    Pattern { hosts: 295, ..EVEN },
    Pattern {
        name: "one account at 15 times",
        first_account: 15.0,
        ..EVEN
    },
    Pattern {
        name: "targets at .6, 1, 1.6",
        speeds: [0.6, 1.0, 1.6],
        ..EVEN
    },
];

struct Call {
    host: usize,
    sent: u64,
    is_urgent: bool,
    account: usize,
}

#[derive(Default)]
struct Server {
    running: u32,
    waiting: VecDeque<Call>,
}

#[derive(Default)]
struct Host {
    service: Service,
    /// The known running and waiting calls of each target, and the own ones since.
    known: [u32; TARGETS],
}

/// Offered calls and those that were answered within the objective.
#[derive(Clone, Copy, Default)]
struct Count {
    offered: u32,
    in_time: u32,
}

impl Count {
    fn percent(self) -> String {
        format!(
            "{:.0}",
            100.0 * f64::from(self.in_time) / f64::from(self.offered.max(1))
        )
    }
}

#[derive(Default)]
struct Outcome {
    urgent: Count,
    other: Count,
    first_account: Count,
    refused: u32,
}

struct Simulation {
    pattern: Pattern,
    by_level: bool,
    random: SmallRng,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    /// The ends of running calls: time in milliseconds, target and sequence number of the call.
    ends: BinaryHeap<Reverse<(u64, usize, u64)>>,
    running: std::collections::HashMap<u64, Call>,
    sequence: u64,
    outcome: Outcome,
}

fn run(options: &Options) -> Table {
    let mut table = Table::new([
        "pattern",
        "hosts",
        "offered / room",
        "admission",
        "in time % of room",
        "urgent in time %",
        "other in time %",
        "first account in time %",
        "refused by targets %",
    ]);
    for pattern in PATTERNS {
        for load in [0.7, 1.0, 2.0, 10.0] {
            for by_level in [false, true] {
                let outcome = Simulation::new(options.seed, pattern, by_level).run(load);
                table.push(row(pattern, load, by_level, &outcome));
            }
        }
    }
    table
}

fn row(pattern: Pattern, load: f64, by_level: bool, outcome: &Outcome) -> Vec<String> {
    let offered = outcome.urgent.offered + outcome.other.offered;
    let in_time = outcome.urgent.in_time + outcome.other.in_time;
    let room = room(pattern) * (RUN_MS - WARM_UP_MS) as f64 / 1000.0;
    vec![
        pattern.name.to_owned(),
        pattern.hosts.to_string(),
        format!("{load:.1}"),
        if by_level { "level" } else { "all" }.to_owned(),
        format!("{:.0}", 100.0 * f64::from(in_time) / room.min(f64::from(offered))),
        outcome.urgent.percent(),
        outcome.other.percent(),
        outcome.first_account.percent(),
        format!("{:.0}", 100.0 * f64::from(outcome.refused) / f64::from(offered)),
    ]
}

/// Returns the calls that all targets can run in a second.
fn room(pattern: Pattern) -> f64 {
    let speeds = (0..TARGETS).map(|target| pattern.speeds[target % pattern.speeds.len()]);
    speeds.sum::<f64>() * f64::from(SLOTS) / WORK.as_secs_f64()
}

impl Simulation {
    fn new(seed: u64, pattern: Pattern, by_level: bool) -> Self {
        Self {
            pattern,
            by_level,
            random: SmallRng::seed_from_u64(seed),
            hosts: (0..pattern.hosts).map(|_| Host::default()).collect(),
            servers: (0..TARGETS).map(|_| Server::default()).collect(),
            ends: BinaryHeap::new(),
            running: std::collections::HashMap::new(),
            sequence: 0,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self, load: f64) -> Outcome {
        let rate = room(self.pattern) * load / 1000.0;
        for now in 0..RUN_MS {
            while self.ends.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
                if let Some(Reverse((_, target, sequence))) = self.ends.pop() {
                    self.end(now, target, sequence);
                }
            }
            if now.is_multiple_of(LEVEL_DELAY_MS) {
                self.exchange_levels(Instant::from_millis(now));
            }
            let mut due = rate;
            while due > 0.0 {
                if self.random.random::<f64>() < due {
                    self.arrive(now);
                }
                due -= 1.0;
            }
        }
        self.outcome
    }

    fn arrive(&mut self, now: u64) {
        let host = self.random.random_range(0..self.hosts.len());
        let total = self.pattern.first_account + (ACCOUNTS - 1) as f64;
        let is_first = self.random.random::<f64>() < self.pattern.first_account / total;
        let account = if is_first {
            0
        } else {
            self.random.random_range(1..ACCOUNTS)
        };
        let call = Call {
            host,
            sent: now,
            is_urgent: self.random.random::<f64>() < URGENT_PART,
            account,
        };
        self.count(now, &call, |count| count.offered += 1);
        if !self.by_level || self.admit(now, &call) {
            self.send(now, call);
        }
    }

    fn admit(&mut self, now: u64, call: &Call) -> bool {
        let now = Instant::from_millis(now);
        let service = &mut self.hosts[call.host].service;
        service.record_objective(now, OBJECTIVE);
        let forecast = service.waits().forecast(now);
        service.observe(now, forecast.unwrap_or_default());
        let demand = Demand {
            account: NAMES[call.account],
            weight: 1,
            priority: u8::from(!call.is_urgent),
            work: 1.0,
        };
        service.admit(now, &demand, DEADLINE, self.random.random()).is_ok()
    }

    /// Sends a call to the target with the least known load.
    fn send(&mut self, now: u64, call: Call) {
        let host = &mut self.hosts[call.host];
        let first = self.random.random_range(0..TARGETS);
        let order = (0..TARGETS).map(|offset| (first + offset) % TARGETS);
        let target = order.min_by_key(|target| host.known[*target]).unwrap_or(first);
        let server = &mut self.servers[target];
        if server.running >= SLOTS && server.waiting.len() >= MAX_WAITING as usize {
            host.known[target] = SLOTS + MAX_WAITING;
            host.service.waits().record_refusal(Instant::from_millis(now));
            self.outcome.refused += u32::from(now >= WARM_UP_MS);
            return;
        }
        host.known[target] += 1;
        if server.running < SLOTS {
            server.running += 1;
            self.start(now, target, call);
        } else {
            server.waiting.push_back(call);
        }
    }

    fn start(&mut self, now: u64, target: usize, call: Call) {
        let speed = self.pattern.speeds[target % self.pattern.speeds.len()];
        let factor = self.random.random_range(0.5..1.5) / speed;
        let took = u64::try_from(WORK.mul_f64(factor).as_millis()).unwrap_or(u64::MAX);
        self.sequence += 1;
        self.ends.push(Reverse((now + took, target, self.sequence)));
        self.running.insert(self.sequence, call);
    }

    fn end(&mut self, now: u64, target: usize, sequence: u64) {
        let Some(call) = self.running.remove(&sequence) else {
            return;
        };
        let took = Duration::from_millis(now - call.sent);
        if took <= OBJECTIVE {
            self.count(call.sent, &call, |count| count.in_time += 1);
        }
        let server = &mut self.servers[target];
        let waiting = u32::try_from(server.waiting.len()).unwrap_or(u32::MAX);
        let report = Report {
            running: server.running,
            waiting,
            slots: SLOTS,
        };
        let next = server.waiting.pop_front();
        if next.is_none() {
            server.running -= 1;
        }
        let host = &mut self.hosts[call.host];
        host.known[target] = report.running + report.waiting - 1;
        host.service.record_completed(Instant::from_millis(now), 1.0);
        let waits = host.service.waits();
        waits.record(Instant::from_millis(now), NAMES[target], took, Some(report));
        if let Some(next) = next {
            self.start(now, target, next);
        }
    }

    fn exchange_levels(&mut self, now: Instant) {
        let levels = self
            .hosts
            .iter()
            .map(|host| host.service.own_level(now))
            .collect::<Vec<_>>();
        for (index, host) in self.hosts.iter_mut().enumerate() {
            for (other, level) in levels.iter().enumerate().filter(|(other, _)| *other != index) {
                host.service.merge_peer(now, &other.to_string(), *level);
            }
        }
    }

    fn count(&mut self, sent: u64, call: &Call, change: impl Fn(&mut Count)) {
        if sent < WARM_UP_MS {
            return;
        }
        let count = if call.is_urgent {
            &mut self.outcome.urgent
        } else {
            &mut self.outcome.other
        };
        change(count);
        if call.account == 0 {
            change(&mut self.outcome.first_account);
        }
    }
}
