//! Targets that read a prompt in a second and then produce for four, in steps of virtual time.

use std::collections::VecDeque;

use hawthornpost_core::clock::Instant;
use hawthornpost_gateway::load::Load;
use hawthornpost_gateway::scaling::occupancy::Condition;
use hawthornpost_gateway::scaling::{Occupancy, Order, Planner, Sample};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];
const TARGETS: u32 = 37;
const STARTUP: f64 = 8.0;
const DRAIN: f64 = 3.0;
const STEP: f64 = 0.05;
const STEPS: u32 = 9600;
const STEPS_PER_DECISION: u32 = 10;
const RATE: f64 = 35.0;
const WAVE_SWING: f64 = 0.27;
const WAVE_PERIOD: f64 = 150.0;
/// The start of the bursts, which last for ten seconds each.
const BURSTS: [f64; 2] = [100.0, 330.0];
const BURST_FACTOR: f64 = 1.7;
const RATE_WINDOW: f64 = 10.0;
const OBJECTIVE: f64 = 4.5;
const PROMPT_TOKENS: u64 = 5200;
const MEMORY_TOKENS: u64 = 6300;

/// What goes wrong on a day.
#[derive(Clone, Copy, Debug, Default)]
pub struct Day {
    pub name: &'static str,
    /// The time in which a data centre is away for 1.2 s in each 6 s.
    pub spell: Option<(f64, f64)>,
    /// The time and the share of a loss for good.
    pub loss: Option<(f64, f64)>,
}

/// Who orders targets.
pub enum Policy {
    None,
    /// A number for each data centre.
    Fixed(u32),
    /// As many as work occupies now, with the usual headroom.
    Proportional,
    Planned(Box<Planner>),
}

/// What a day cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Result {
    pub requests: u32,
    /// Requests that waited beyond their objective.
    pub late: u32,
    pub target_seconds: f64,
}

impl Result {
    pub fn sum(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            late: self.late + other.late,
            target_seconds: self.target_seconds + other.target_seconds,
        }
    }
}

#[derive(Clone, Default)]
struct Target {
    data_centre: usize,
    starts_at: f64,
    leaves_at: Option<f64>,
    is_away: bool,
    /// The arrival of each waiting prompt; the first is being read.
    prompts: Vec<f64>,
    read_for: f64,
    /// When each running stream ends.
    streams: Vec<f64>,
}

pub struct Service {
    random: SmallRng,
    day: Day,
    policy: Policy,
    targets: Vec<Target>,
    now: f64,
    /// The arrivals of the last [`RATE_WINDOW`].
    arrivals: VecDeque<f64>,
    result: Result,
}

impl Service {
    pub fn new(seed: u64, day: Day, policy: Policy) -> Self {
        let targets = (0..DATA_CENTRES.len()).flat_map(|data_centre| {
            let target = Target {
                data_centre,
                ..Target::default()
            };
            vec![target; TARGETS as usize]
        });
        Self {
            targets: targets.collect(),
            random: SmallRng::seed_from_u64(seed),
            day,
            policy,
            now: 0.0,
            arrivals: VecDeque::new(),
            result: Result::default(),
        }
    }

    pub fn play(mut self) -> Result {
        for step in 0..STEPS {
            self.now = f64::from(step) * STEP;
            self.fail();
            self.arrive();
            self.work();
            if step % STEPS_PER_DECISION == 0 {
                self.decide();
            }
            self.result.target_seconds += self.targets.len() as f64 * STEP;
        }
        self.result
    }

    /// Lets targets be away or go for good; their work begins again at others.
    fn fail(&mut self) {
        let now = self.now;
        let spell = self.day.spell.filter(|(from, to)| (*from..*to).contains(&now));
        let away = spell
            .filter(|(from, _)| (now - from) % 6.0 < 1.2)
            .map(|(from, _)| ((now - from) / 6.0) as usize % 3);
        let lost = self
            .day
            .loss
            .filter(|(at, _)| (now - at).abs() < STEP / 2.0)
            .map_or(0.0, |(_, share)| share);
        let mut moved = Vec::new();
        for target in &mut self.targets {
            let was_away = target.is_away;
            target.is_away = away == Some(target.data_centre);
            if target.is_away && !was_away {
                moved.append(&mut target.prompts);
                moved.extend(target.streams.drain(..).map(|_| now));
                target.read_for = 0.0;
            }
        }
        for _ in 0..(self.targets.len() as f64 * lost) as usize {
            let target = self.targets.remove(self.random.random_range(0..self.targets.len()));
            moved.extend(target.prompts);
            moved.extend(target.streams.iter().map(|_| now));
        }
        for target in self
            .targets
            .extract_if(.., |target| target.leaves_at.is_some_and(|at| at <= now))
        {
            moved.extend(target.prompts);
            moved.extend(target.streams.iter().map(|_| now));
        }
        for arrival in moved {
            self.place(arrival);
        }
    }

    fn arrive(&mut self) {
        let wave = 1.0 + WAVE_SWING * (self.now * std::f64::consts::TAU / WAVE_PERIOD).sin();
        let is_burst = BURSTS.iter().any(|at| (*at..at + 10.0).contains(&self.now));
        let rate = RATE * wave * if is_burst { BURST_FACTOR } else { 1.0 };
        let mut expected = rate * STEP;
        while self.random.random::<f64>() < expected {
            self.result.requests += 1;
            self.arrivals.push_back(self.now);
            self.place(self.now);
            expected -= 1.0;
        }
    }

    /// Gives a prompt to the cheapest of some random targets.
    fn place(&mut self, arrival: f64) {
        let now = self.now;
        let is_usable = |target: &Target| !target.is_away && target.leaves_at.is_none() && target.starts_at <= now;
        let usable = (0..self.targets.len())
            .filter(|index| is_usable(&self.targets[*index]))
            .collect::<Vec<_>>();
        let sample = usable.sample(&mut self.random, 4);
        let best =
            sample.min_by_key(|index| (self.targets[**index].prompts.len(), self.targets[**index].streams.len()));
        let best = *best.expect("a target");
        self.targets[best].prompts.push(arrival);
    }

    fn work(&mut self) {
        for target in self.targets.iter_mut().filter(|target| !target.is_away) {
            target.streams.retain(|ends_at| *ends_at > self.now);
            if target.prompts.is_empty() {
                continue;
            }
            target.read_for += STEP;
            if target.read_for >= 1.0 {
                target.read_for = 0.0;
                let arrival = target.prompts.remove(0);
                self.result.late += u32::from(self.now - arrival > OBJECTIVE);
                target.streams.push(self.now + 4.0);
            }
        }
    }

    fn decide(&mut self) {
        self.arrivals.retain(|at| self.now - at < RATE_WINDOW);
        let sample = self.sample();
        let now = Instant::from_millis((self.now * 1000.0) as u64);
        let busy = self.targets.iter().map(|target| target.prompts.len()).sum::<usize>();
        let orders = match &mut self.policy {
            Policy::None => Vec::new(),
            Policy::Fixed(number) => vec![*number; 3],
            Policy::Proportional => vec![((busy as f64 / 0.75 / 3.0).ceil() as u32).clamp(15, 38); 3],
            Policy::Planned(planner) => {
                planner.record(now, &sample);
                let orders = planner
                    .propose(now, "pool")
                    .into_iter()
                    .map(|proposal| proposal.order)
                    .collect::<Vec<_>>();
                for order in &orders {
                    planner.confirm(now, order);
                }
                return orders.iter().for_each(|order| self.apply(order));
            }
        };
        for (name, targets) in DATA_CENTRES.iter().zip(orders) {
            self.apply(&Order {
                service: "pool".to_owned(),
                data_centre: (*name).to_owned(),
                targets,
            });
        }
    }

    fn sample(&self) -> Sample {
        let started = self.targets.iter().filter(|target| target.starts_at <= self.now);
        let targets = started.map(|target| Occupancy {
            data_centre: DATA_CENTRES[target.data_centre].to_owned(),
            load: Load {
                calls: 0,
                streams: (target.prompts.len() + target.streams.len()) as u32,
                prefill_tokens: target.prompts.len() as u64 * PROMPT_TOKENS,
                memory_tokens: target.streams.len() as u64 * MEMORY_TOKENS,
            },
            slots: 12,
            condition: match (target.leaves_at, target.is_away) {
                (Some(_), _) => Condition::Leaving,
                (None, true) => Condition::Troubled,
                (None, false) => Condition::Ready,
            },
        });
        Sample {
            targets: targets.collect(),
            memory_tokens: Some(55_000),
            requests: [("a".to_owned(), self.arrivals.len() as f64 / RATE_WINDOW)].into(),
            ..Sample::default()
        }
    }

    /// Starts or drains targets until a data centre has the ordered number.
    fn apply(&mut self, order: &Order) {
        let data_centre = DATA_CENTRES
            .iter()
            .position(|name| *name == order.data_centre)
            .expect("a data centre");
        let (now, wanted) = (self.now, order.targets as usize);
        let staying = |target: &&mut Target| target.data_centre == data_centre && target.leaves_at.is_none();
        let present = self.targets.iter_mut().filter(staying).count();
        // Targets that have not started yet go first.
        let newest = self.targets.iter_mut().rev().filter(staying);
        for target in newest.take(present.saturating_sub(wanted)) {
            target.leaves_at = Some(now + DRAIN);
        }
        let new = Target {
            data_centre,
            starts_at: now + STARTUP,
            ..Target::default()
        };
        self.targets.extend(vec![new; wanted.saturating_sub(present)]);
    }
}
