//! Membership at several sizes: bytes, messages and processor time per node, time to detect a death, and three regions
//! that part and meet again.
//!
//! Messages are real and encoded; the network is a delay of 1 ms. Time is virtual, processor time is measured.

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
    summary: "cost per node at 8 to 390 members, detection of a death, regions that part and meet",
    run,
};

const SIZES: [u32; 4] = [8, 32, 128, 390];
/// JSON-RPC envelope with key, WebSocket, TCP and IP headers of a call or an answer.
const ENVELOPE_BYTES: u64 = 250;
const WARM_UP: u64 = 30;
const MEASURED: u64 = 60;
const PARTED: u64 = 180;
const LIMIT: u64 = 600;
const REGIONS: u32 = 3;

struct Fleet {
    now: Instant,
    nodes: Vec<Members>,
    queue: BinaryHeap<Reverse<(Instant, u32)>>,
    dead: Option<u32>,
    parted: bool,
    cost: Cost,
}

#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    messages: u64,
    bytes: u64,
    processor: Duration,
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
    // Sizes above 128 take minutes each; a few seeds are enough for means.
    let seeds = options.seeds.min(5);
    for size in SIZES {
        let results = (options.seed..options.seed + seeds)
            .map(|seed| measure(size, seed))
            .collect::<Vec<_>>();
        table.push(row(size, &results));
    }
    table
}

struct Measured {
    quiet: Cost,
    detected: f64,
    met: f64,
    met_cost: Cost,
}

fn row(size: u32, results: &[Measured]) -> Vec<String> {
    let count = results.len().max(1) as f64;
    let mean = |value: &dyn Fn(&Measured) -> f64| results.iter().map(value).sum::<f64>() / count;
    let worst = |value: &dyn Fn(&Measured) -> f64| results.iter().map(value).fold(0.0, f64::max);
    let per_node = f64::from(size) * MEASURED as f64;
    vec![
        size.to_string(),
        format!("{:.1}", mean(&|result| result.quiet.messages as f64 / per_node)),
        format!("{:.0}", mean(&|result| result.quiet.bytes as f64 / per_node)),
        format!(
            "{:.0}",
            mean(&|result| result.met_cost.bytes as f64 / (f64::from(size) * result.met.max(1.0)))
        ),
        format!(
            "{:.1}",
            mean(&|result| result.quiet.processor.as_secs_f64() * 1e6 / per_node)
        ),
        format!("{:.1}", mean(&|result| result.detected)),
        format!("{:.1}", worst(&|result| result.detected)),
        format!("{:.1}", mean(&|result| result.met)),
        format!("{:.1}", worst(&|result| result.met)),
    ]
}

fn measure(size: u32, seed: u64) -> Measured {
    let mut fleet = Fleet::new(size, seed);
    fleet.pass(WARM_UP);
    fleet.cost = Cost::default();
    fleet.pass(MEASURED);
    let quiet = fleet.cost;
    fleet.dead = Some(size / 2);
    let detected = fleet.until(|fleet| fleet.all_know_dead(size / 2));
    fleet.revive(size / 2, seed);
    fleet.until(Fleet::all_alive);
    fleet.parted = true;
    fleet.pass(PARTED);
    fleet.parted = false;
    fleet.cost = Cost::default();
    let met = fleet.until(Fleet::all_alive);
    Measured {
        quiet,
        detected,
        met,
        met_cost: fleet.cost,
    }
}

fn member(index: u32, incarnation: u64) -> Member {
    let [_, _, high, low] = index.to_be_bytes();
    Member {
        name: format!("entry-{index:03}.dc").parse().expect("a valid name"),
        peer_address: ([10, 0, high, low], 7001).into(),
        caller_address: ([10, 0, high, low], 8001).into(),
        data_centre: format!("centre-{}", index % 8).parse().expect("a valid name"),
        region: format!("region-{}", index % REGIONS).parse().expect("a valid name"),
        incarnation,
        state: State::Alive,
        draining: false,
        config: 1000,
    }
}

/// Wall-clock milliseconds, as the daemon uses them.
const FIRST_INCARNATION: u64 = 1_796_000_000_000;

impl Fleet {
    fn new(size: u32, seed: u64) -> Self {
        let all = (0..size)
            .map(|index| member(index, FIRST_INCARNATION))
            .collect::<Vec<_>>();
        let mut queue = BinaryHeap::new();
        let nodes = all.iter().zip(0..).map(|(own, index)| {
            let seeds = vec![all[0].peer_address];
            let mut table = Members::new(own.clone(), seeds, Settings::default(), seed * 1000 + u64::from(index));
            table.merge(Instant::ZERO, &all);
            // The entries did not start at the same moment.
            queue.push(Reverse((Instant::from_millis(u64::from(index * 7919 % 1000)), index)));
            table
        });
        Self {
            now: Instant::ZERO,
            nodes: nodes.collect(),
            queue,
            dead: None,
            parted: false,
            cost: Cost::default(),
        }
    }

    fn pass(&mut self, secs: u64) {
        let end = self.now + Duration::from_secs(secs);
        while let Some(Reverse((at, index))) = self.queue.pop() {
            if at > end {
                self.queue.push(Reverse((at, index)));
                break;
            }
            self.now = self.now.max(at);
            self.turn(index);
        }
        self.now = end;
    }

    fn until(&mut self, test: impl Fn(&Self) -> bool) -> f64 {
        let start = self.now;
        while !test(self) && self.now - start < Duration::from_secs(LIMIT) {
            self.pass(1);
        }
        (self.now - start).as_secs_f64()
    }

    fn turn(&mut self, index: u32) {
        let now = self.now;
        if self.dead == Some(index) {
            self.queue.push(Reverse((now + Duration::from_secs(1), index)));
            return;
        }
        let commands = self.timed(|fleet| fleet.nodes[index as usize].handle(now, Event::Wake));
        self.carry_out(index, commands);
        let deadline = self.nodes[index as usize].deadline().unwrap_or(now);
        self.queue
            .push(Reverse((deadline.max(now + Duration::from_millis(1)), index)));
    }

    fn timed<T>(&mut self, act: impl FnOnce(&mut Self) -> T) -> T {
        let start = std::time::Instant::now();
        let result = act(self);
        self.cost.processor += start.elapsed();
        result
    }

    fn reached(&self, from: u32, address: std::net::SocketAddr) -> Option<u32> {
        let std::net::IpAddr::V4(ip) = address.ip() else {
            return None;
        };
        let [_, _, high, low] = ip.octets();
        let to = u32::from(high) * 256 + u32::from(low);
        let apart = self.parted && from % REGIONS != to % REGIONS;
        (self.dead != Some(to) && from != to && !apart).then_some(to)
    }

    /// Counts a message at sender and receiver and passes it through its encoding.
    fn send(&mut self, message: &Message) -> Message {
        self.timed(|fleet| {
            let bytes = serde_json::to_vec(message).unwrap_or_default();
            fleet.cost.messages += 2;
            fleet.cost.bytes += 2 * (bytes.len() as u64 + ENVELOPE_BYTES);
            serde_json::from_slice(&bytes).unwrap_or_else(|_| message.clone())
        })
    }

    fn call(&mut self, to: u32, message: &Message) -> Message {
        let now = self.now;
        let message = self.send(message);
        let (answer, commands) = self.timed(|fleet| fleet.nodes[to as usize].receive(now, &message));
        let syncs = commands
            .into_iter()
            .filter(|command| matches!(command, Command::Sync(_)));
        self.carry_out(to, syncs.collect());
        self.send(&answer)
    }

    fn carry_out(&mut self, from: u32, commands: Vec<Command>) {
        let now = self.now;
        for command in commands {
            match command {
                Command::Ping {
                    probe,
                    address,
                    message,
                } => {
                    if let Some(to) = self.reached(from, address) {
                        let message = self.call(to, &message);
                        let event = Event::Answered { probe, message };
                        let commands = self.timed(|fleet| fleet.nodes[from as usize].handle(now, event));
                        self.carry_out(from, commands);
                    }
                }
                Command::PingVia {
                    probe,
                    relay,
                    target,
                    message,
                } => {
                    let Some(via) = self.reached(from, relay) else { continue };
                    let own = self.call(via, &message);
                    let Some((address, ping)) = self.nodes[via as usize].relay(&target) else {
                        continue;
                    };
                    let Some(to) = self.reached(via, address) else { continue };
                    let answer = self.call(to, &ping);
                    self.nodes[via as usize].absorb(now, &answer);
                    self.nodes[from as usize].handle(now, Event::Answered { probe, message: own });
                }
                Command::Sync(address) => self.sync(from, address),
                Command::Changed(_) => {}
            }
        }
    }

    fn sync(&mut self, from: u32, address: std::net::SocketAddr) {
        let Some(to) = self.reached(from, address) else {
            return;
        };
        let now = self.now;
        for (from, to) in [(from, to), (to, from)] {
            let view = self.nodes[from as usize].snapshot();
            self.timed(|fleet| {
                let bytes = serde_json::to_vec(&view).unwrap_or_default();
                fleet.cost.bytes += 2 * (bytes.len() as u64 + ENVELOPE_BYTES);
                fleet.cost.messages += 2;
                fleet.nodes[to as usize].merge(now, &view);
            });
        }
    }

    fn revive(&mut self, index: u32, seed: u64) {
        let own = member(index, FIRST_INCARNATION + 100_000);
        let seeds = vec![member(0, 0).peer_address];
        self.nodes[index as usize] = Members::new(own, seeds, Settings::default(), seed);
        self.dead = None;
    }

    fn all_know_dead(&self, index: u32) -> bool {
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
