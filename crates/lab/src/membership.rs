//! Measures membership at several sizes: bytes, messages and processor time per node, time to detect a failed member,
//! and recovery after a network partition between three regions.
//!
//! Messages are encoded as in the daemon; the network adds a delay of 1 ms. Time is virtual, processor time is
//! measured.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::membership::{Command, Event, Member, Message, Settings, State, Table as Members};
use linkme::distributed_slice;

use crate::experiment::{EXPERIMENTS, Experiment, Options, Table};

#[distributed_slice(EXPERIMENTS)]
static MEMBERSHIP: Experiment = Experiment {
    name: "membership",
    summary: "cost per node at 8 to 390 members, failure detection, recovery from a partition between regions",
    run,
};

const SIZES: [u32; 4] = [8, 32, 128, 390];
/// Overhead of a call or a response: JSON-RPC envelope with key, and WebSocket, TCP and IP headers.
const ENVELOPE_BYTES: u64 = 250;
const WARM_UP_SECS: u64 = 30;
const MEASURED_SECS: u64 = 60;
const PARTITION_SECS: u64 = 180;
const MAX_WAIT_SECS: u64 = 600;
const REGION_COUNT: u32 = 3;

struct Simulation {
    now: Instant,
    nodes: Vec<Members>,
    queue: BinaryHeap<Reverse<(Instant, u32)>>,
    dead: Option<u32>,
    partitioned: bool,
    cost: Cost,
}

#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    messages: u64,
    bytes: u64,
    cpu_time: Duration,
}

fn run(options: &Options) -> Table {
    let mut table = Table::new([
        "members",
        "messages/s per node",
        "bytes/s per node, quiet",
        "bytes/s per node, regions meet",
        "processor us/s per node",
        "death known to all, mean s",
        "worst s",
        "regions: all alive again, mean s",
        "worst s",
    ]);
    // Sizes above 128 take minutes per run, and a few seeds suffice for mean values.
    let seeds = options.seeds.min(5);
    for size in SIZES {
        let results = (options.seed..options.seed + seeds)
            .map(|seed| measure(size, seed))
            .collect::<Vec<_>>();
        table.push(row(size, &results));
    }
    table
}

struct Measurement {
    quiet: Cost,
    detection_secs: f64,
    merge_secs: f64,
    merge_cost: Cost,
}

fn row(size: u32, results: &[Measurement]) -> Vec<String> {
    let count = results.len().max(1) as f64;
    let mean = |value: &dyn Fn(&Measurement) -> f64| results.iter().map(value).sum::<f64>() / count;
    let worst = |value: &dyn Fn(&Measurement) -> f64| results.iter().map(value).fold(0.0, f64::max);
    let per_node = f64::from(size) * MEASURED_SECS as f64;
    vec![
        size.to_string(),
        format!("{:.1}", mean(&|result| result.quiet.messages as f64 / per_node)),
        format!("{:.0}", mean(&|result| result.quiet.bytes as f64 / per_node)),
        format!(
            "{:.0}",
            mean(&|result| result.merge_cost.bytes as f64 / (f64::from(size) * result.merge_secs.max(1.0)))
        ),
        format!(
            "{:.1}",
            mean(&|result| result.quiet.cpu_time.as_secs_f64() * 1e6 / per_node)
        ),
        format!("{:.1}", mean(&|result| result.detection_secs)),
        format!("{:.1}", worst(&|result| result.detection_secs)),
        format!("{:.1}", mean(&|result| result.merge_secs)),
        format!("{:.1}", worst(&|result| result.merge_secs)),
    ]
}

fn measure(size: u32, seed: u64) -> Measurement {
    let mut simulation = Simulation::new(size, seed);
    simulation.advance(WARM_UP_SECS);
    simulation.cost = Cost::default();
    simulation.advance(MEASURED_SECS);
    let quiet = simulation.cost;
    simulation.dead = Some(size / 2);
    let detection_secs = simulation.run_until(|simulation| simulation.all_detected_death(size / 2));
    simulation.restart(size / 2, seed);
    simulation.run_until(Simulation::all_alive);
    simulation.partitioned = true;
    simulation.advance(PARTITION_SECS);
    simulation.partitioned = false;
    simulation.cost = Cost::default();
    let merge_secs = simulation.run_until(Simulation::all_alive);
    Measurement {
        quiet,
        detection_secs,
        merge_secs,
        merge_cost: simulation.cost,
    }
}

fn member(index: u32, incarnation: u64) -> Member {
    let [_, _, high, low] = index.to_be_bytes();
    Member {
        name: format!("entry-{index:03}.dc").parse().expect("a valid name"),
        peer_address: ([10, 0, high, low], 7001).into(),
        caller_address: ([10, 0, high, low], 8001).into(),
        data_centre: format!("centre-{}", index % 8).parse().expect("a valid name"),
        region: format!("region-{}", index % REGION_COUNT)
            .parse()
            .expect("a valid name"),
        incarnation,
        state: State::Alive,
        draining: false,
        config: 1000,
    }
}

/// Incarnations are wall-clock milliseconds, as in the daemon.
const FIRST_INCARNATION: u64 = 1_796_000_000_000;

impl Simulation {
    fn new(size: u32, seed: u64) -> Self {
        let all = (0..size)
            .map(|index| member(index, FIRST_INCARNATION))
            .collect::<Vec<_>>();
        let mut queue = BinaryHeap::new();
        let nodes = all.iter().zip(0..).map(|(own, index)| {
            let seeds = vec![all[0].peer_address];
            let mut table = Members::new(own.clone(), seeds, Settings::default(), seed * 1000 + u64::from(index));
            table.merge(Instant::ZERO, &all);
            // Timers of the entries are staggered, as the entries did not start at the same time.
            queue.push(Reverse((Instant::from_millis(u64::from(index * 7919 % 1000)), index)));
            table
        });
        Self {
            now: Instant::ZERO,
            nodes: nodes.collect(),
            queue,
            dead: None,
            partitioned: false,
            cost: Cost::default(),
        }
    }

    fn advance(&mut self, secs: u64) {
        let end = self.now + Duration::from_secs(secs);
        while let Some(Reverse((at, index))) = self.queue.pop() {
            if at > end {
                self.queue.push(Reverse((at, index)));
                break;
            }
            self.now = self.now.max(at);
            self.poll_node(index);
        }
        self.now = end;
    }

    fn run_until(&mut self, condition: impl Fn(&Self) -> bool) -> f64 {
        let start = self.now;
        while !condition(self) && self.now - start < Duration::from_secs(MAX_WAIT_SECS) {
            self.advance(1);
        }
        (self.now - start).as_secs_f64()
    }

    fn poll_node(&mut self, index: u32) {
        let now = self.now;
        if self.dead == Some(index) {
            self.queue.push(Reverse((now + Duration::from_secs(1), index)));
            return;
        }
        let commands = self.timed(|simulation| simulation.nodes[index as usize].handle(now, Event::Tick));
        self.execute(index, commands);
        let deadline = self.nodes[index as usize].deadline().unwrap_or(now);
        self.queue
            .push(Reverse((deadline.max(now + Duration::from_millis(1)), index)));
    }

    fn timed<T>(&mut self, operation: impl FnOnce(&mut Self) -> T) -> T {
        let start = std::time::Instant::now();
        let result = operation(self);
        self.cost.cpu_time += start.elapsed();
        result
    }

    fn reachable(&self, from: u32, address: std::net::SocketAddr) -> Option<u32> {
        let std::net::IpAddr::V4(ip) = address.ip() else {
            return None;
        };
        let [_, _, high, low] = ip.octets();
        let to = u32::from(high) * 256 + u32::from(low);
        let is_separated = self.partitioned && from % REGION_COUNT != to % REGION_COUNT;
        (self.dead != Some(to) && from != to && !is_separated).then_some(to)
    }

    /// Counts a message at sender and receiver, and encodes and decodes it.
    fn send(&mut self, message: &Message) -> Message {
        self.timed(|simulation| {
            let bytes = serde_json::to_vec(message).unwrap_or_default();
            simulation.cost.messages += 2;
            simulation.cost.bytes += 2 * (bytes.len() as u64 + ENVELOPE_BYTES);
            serde_json::from_slice(&bytes).unwrap_or_else(|_| message.clone())
        })
    }

    fn call(&mut self, to: u32, message: &Message) -> Message {
        let now = self.now;
        let message = self.send(message);
        let (answer, commands) = self.timed(|simulation| simulation.nodes[to as usize].receive(now, &message));
        let syncs = commands
            .into_iter()
            .filter(|command| matches!(command, Command::Sync(_)));
        self.execute(to, syncs.collect());
        self.send(&answer)
    }

    fn execute(&mut self, from: u32, commands: Vec<Command>) {
        let now = self.now;
        for command in commands {
            match command {
                Command::Ping {
                    probe,
                    address,
                    message,
                } => {
                    if let Some(to) = self.reachable(from, address) {
                        let message = self.call(to, &message);
                        let event = Event::Answered { probe, message };
                        let commands = self.timed(|simulation| simulation.nodes[from as usize].handle(now, event));
                        self.execute(from, commands);
                    }
                }
                Command::PingVia {
                    probe,
                    relay,
                    target,
                    message,
                } => {
                    let Some(via) = self.reachable(from, relay) else {
                        continue;
                    };
                    let relayed = self.call(via, &message);
                    let Some((address, ping)) = self.nodes[via as usize].relay(&target) else {
                        continue;
                    };
                    let Some(to) = self.reachable(via, address) else {
                        continue;
                    };
                    let answer = self.call(to, &ping);
                    self.nodes[via as usize].apply(now, &answer);
                    self.nodes[from as usize].handle(
                        now,
                        Event::Answered {
                            probe,
                            message: relayed,
                        },
                    );
                }
                Command::Sync(address) => self.sync(from, address),
                Command::Changed(_) => {}
            }
        }
    }

    fn sync(&mut self, from: u32, address: std::net::SocketAddr) {
        let Some(to) = self.reachable(from, address) else {
            return;
        };
        let now = self.now;
        for (from, to) in [(from, to), (to, from)] {
            let view = self.nodes[from as usize].snapshot();
            self.timed(|simulation| {
                let bytes = serde_json::to_vec(&view).unwrap_or_default();
                simulation.cost.bytes += 2 * (bytes.len() as u64 + ENVELOPE_BYTES);
                simulation.cost.messages += 2;
                simulation.nodes[to as usize].merge(now, &view);
            });
        }
    }

    fn restart(&mut self, index: u32, seed: u64) {
        let own = member(index, FIRST_INCARNATION + 100_000);
        let seeds = vec![member(0, 0).peer_address];
        self.nodes[index as usize] = Members::new(own, seeds, Settings::default(), seed);
        self.dead = None;
    }

    fn all_detected_death(&self, index: u32) -> bool {
        let name = member(index, 0).name;
        let others = self.nodes.iter().zip(0..).filter(|(_, other)| *other != index);
        let mut states = others.map(|(node, _)| node.get(&name).map(|member| member.state));
        states.all(|state| state == Some(State::Dead))
    }

    fn all_alive(&self) -> bool {
        let count = self.nodes.len();
        let sees_all =
            |node: &Members| node.others().filter(|member| member.state == State::Alive).count() + 1 == count;
        self.nodes.iter().all(sees_all)
    }
}
