//! Time until an accepted configuration is in force, and the freshness rule that asks peers against the plain rule.
//!
//! Eight entries run the tracker, the table and the freshness rule of the core against a platform that answers in 5 ms
//! and peers that answer in 2 ms. Time is virtual, in steps of 1 ms.

use std::sync::Arc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::config::{
    Chunk, Command as Fetch, Document, Event as Seen, Freshness, Head, Held, Proposal, Source, Stored, Tracker,
};
use hawthornpost_core::membership::{Command, Event, Member, Message, Settings, State, Table as Members};
use jiff::Timestamp;
use linkme::distributed_slice;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::experiment::{EXPERIMENTS, Experiment, Options, Table};

#[distributed_slice(EXPERIMENTS)]
static INFORCE: Experiment = Experiment {
    name: "inforce",
    summary: "time until a configuration is in force; freshness with peers asked against the plain rule",
    run,
};

const ENTRIES: usize = 8;
const STEP: Duration = Duration::from_millis(1);
const PLATFORM_DELAY: Duration = Duration::from_millis(5);
const PEER_DELAY: Duration = Duration::from_millis(2);
/// The daemon reads the head again this often beside the watch.
const READ_INTERVAL: Duration = Duration::from_secs(2);
/// The first change is applied when the members know each other.
const WARM_UP: Duration = Duration::from_secs(5);
const LIMIT: Duration = Duration::from_secs(60);
const OUTAGE: Duration = Duration::from_secs(120);

#[derive(Clone, Copy, Debug)]
struct Conditions {
    name: &'static str,
    /// Share of calls and watch events that are lost.
    loss: f64,
    /// Whether the platform goes away right after it accepted the change, before anyone but the writer saw it.
    outage: bool,
    /// Whether entry 7 does not reach the platform.
    one_cut_off: bool,
}

struct Node {
    table: Members,
    tracker: Tracker,
    freshness: Freshness,
    /// The plain rule: only the platform's answers count.
    plain: Freshness,
    read_at: Instant,
    /// Whether the watch is open; a lost event is noticed at the next reading.
    watches: bool,
}

/// Something on its way to an entry.
enum Delivery {
    Seen(Seen),
    Answer(u64, Message),
}

struct World {
    now: Instant,
    nodes: Vec<Node>,
    stored: Stored,
    chunks: Vec<Chunk>,
    platform_down: bool,
    conditions: Conditions,
    random: StdRng,
    deliveries: Vec<(Instant, usize, Delivery)>,
}

fn run(options: &Options) -> Table {
    let mut table = Table::new([
        "conditions",
        "measure",
        "runs",
        "p50",
        "p99",
        "worst",
        "bound 7 s kept %",
    ]);
    let all = [
        ("no faults", 0.0, false, false),
        ("1 % lost", 0.01, false, false),
        ("10 % lost", 0.1, false, false),
        ("outage right after acceptance", 0.0, true, false),
        ("outage right after acceptance, 10 % lost", 0.1, true, false),
        ("one entry without platform, 1 % lost", 0.01, false, true),
    ];
    for (name, loss, outage, one_cut_off) in all {
        let conditions = Conditions {
            name,
            loss,
            outage,
            one_cut_off,
        };
        let seeds = options.seed..options.seed + options.seeds;
        let mut times = seeds.map(|seed| in_force(conditions, seed)).collect::<Vec<_>>();
        times.sort_by(f64::total_cmp);
        table.push(row(&conditions, &times));
    }
    for rule in [Rule::Peers, Rule::Plain] {
        let conditions = Conditions {
            name: "outage of 120 s, 1 % lost",
            loss: 0.01,
            outage: true,
            one_cut_off: false,
        };
        let seeds = options.seed..options.seed + options.seeds.min(20);
        let mut shares = seeds.map(|seed| refused(conditions, seed, rule)).collect::<Vec<_>>();
        shares.sort_by(f64::total_cmp);
        let measure = match rule {
            Rule::Peers => "time refusing new work %, peers asked",
            Rule::Plain => "time refusing new work %, plain rule",
        };
        let cells = [0.5, 0.99, 1.0].map(|at| format!("{:.2}", quantile(&shares, at)));
        let [p50, p99, worst] = cells;
        table.push([
            conditions.name.to_owned(),
            measure.to_owned(),
            shares.len().to_string(),
            p50,
            p99,
            worst,
            "-".to_owned(),
        ]);
    }
    table
}

#[derive(Clone, Copy, Debug)]
enum Rule {
    Peers,
    Plain,
}

fn row(conditions: &Conditions, times: &[f64]) -> Vec<String> {
    let kept = times.iter().filter(|time| **time <= 7.0).count();
    vec![
        conditions.name.to_owned(),
        "acceptance to applied by all, s".to_owned(),
        times.len().to_string(),
        format!("{:.3}", quantile(times, 0.5)),
        format!("{:.3}", quantile(times, 0.99)),
        format!("{:.3}", quantile(times, 1.0)),
        format!("{:.1}", 100.0 * kept as f64 / times.len().max(1) as f64),
    ]
}

fn quantile(sorted: &[f64], quantile: f64) -> f64 {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "an index")]
    let index = ((sorted.len() as f64 * quantile).ceil() as usize).max(1) - 1;
    sorted.get(index).copied().unwrap_or(f64::NAN)
}

fn in_force(conditions: Conditions, seed: u64) -> f64 {
    let mut world = World::new(conditions, seed);
    world.pass(WARM_UP);
    let changed = world.accept();
    world.platform_down = conditions.outage;
    let accepted_at = world.now;
    world.feed(0, Seen::Written(changed));
    while !world.is_everywhere() && world.now - accepted_at < LIMIT {
        world.pass(STEP);
    }
    (world.now - accepted_at).as_secs_f64()
}

/// Returns the share of time in which entries refuse new work during an outage of the platform.
fn refused(conditions: Conditions, seed: u64, rule: Rule) -> f64 {
    let mut world = World::new(conditions, seed);
    world.pass(WARM_UP);
    world.platform_down = true;
    let samples = OUTAGE.as_millis() / 100;
    let mut refusals = 0_u32;
    for _ in 0..samples {
        world.pass(Duration::from_millis(100));
        for node in &world.nodes {
            let freshness = match rule {
                Rule::Peers => &node.freshness,
                Rule::Plain => &node.plain,
            };
            refusals += u32::from(!freshness.reach(world.now).takes_new_work());
        }
    }
    100.0 * f64::from(refusals) / (samples as f64 * ENTRIES as f64)
}

fn document(max_tokens: u32) -> Document {
    let mut inventory = "name,address,data_centre,role,version,model,capacity_tokens,fencing\n".to_owned();
    for n in 0..55 {
        let line = format!("engine-{n},10.0.0.{n}:80,perth,engine,v1,letters,100000,checked\n");
        inventory.push_str(&line);
    }
    let rules = format!("[model letters]\nversion = v1\nmax_tokens = {max_tokens}\n");
    Document::parse(1, &inventory, &rules).expect("the configuration of the experiment is valid")
}

fn held(previous: Option<&Head>, document: &Document) -> Held {
    let chunks = Chunk::cut(document).expect("chunks");
    let proposal = Proposal {
        chunks: chunks.iter().map(|chunk| chunk.hash).collect(),
        author: "lab".to_owned(),
        at: Timestamp::UNIX_EPOCH,
        nonce: 0,
    };
    Held::new(Head::following(previous, proposal), chunks).expect("a whole version")
}

fn member(index: usize) -> Member {
    let port = u16::try_from(index).unwrap_or(0);
    Member {
        name: format!("entry-{index}").parse().expect("a name"),
        peer_address: ([10, 0, 0, 1], 7000 + port).into(),
        caller_address: ([10, 0, 0, 1], 8000 + port).into(),
        data_centre: "perth".parse().expect("a name"),
        region: "scotland".parse().expect("a name"),
        incarnation: 1,
        state: State::Alive,
        draining: false,
        config: 0,
    }
}

impl World {
    fn new(conditions: Conditions, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let first = held(None, &document(100));
        let all = (0..ENTRIES).map(member).collect::<Vec<_>>();
        let nodes = (0..ENTRIES).map(|index| {
            let mut table = Members::new(all[index].clone(), Vec::new(), Settings::default(), random.random());
            table.merge(Instant::ZERO, &all);
            Node {
                table,
                tracker: Tracker::new(),
                freshness: Freshness::default(),
                plain: Freshness::default(),
                read_at: Instant::from_millis(random.random_range(0..2000)),
                watches: false,
            }
        });
        let nodes = nodes.collect();
        Self {
            now: Instant::ZERO,
            nodes,
            stored: Stored {
                head: first.head.clone(),
                resource_version: "1".to_owned(),
            },
            chunks: first.chunks,
            platform_down: false,
            conditions,
            random,
            deliveries: Vec::new(),
        }
    }

    /// Stores the next version and wakes the watches.
    fn accept(&mut self) -> Held {
        let next = held(Some(&self.stored.head), &document(200));
        self.stored = Stored {
            head: next.head.clone(),
            resource_version: "2".to_owned(),
        };
        self.chunks.extend(next.chunks.iter().cloned());
        for index in 1..ENTRIES {
            let reaches = self.nodes[index].watches && !self.conditions.outage && self.reaches_platform(index);
            if reaches && !self.is_lost() {
                let seen = Seen::PlatformHead(Some(self.stored.clone()));
                self.deliver(index, PLATFORM_DELAY, Delivery::Seen(seen));
            }
        }
        next
    }

    fn is_everywhere(&self) -> bool {
        self.nodes
            .iter()
            .all(|node| node.tracker.version() == self.stored.head.version)
    }

    fn reaches_platform(&self, index: usize) -> bool {
        let is_cut_off = self.conditions.one_cut_off && index == ENTRIES - 1;
        !self.platform_down && !is_cut_off
    }

    fn is_lost(&mut self) -> bool {
        self.random.random_bool(self.conditions.loss)
    }

    fn deliver(&mut self, to: usize, delay: Duration, delivery: Delivery) {
        self.deliveries.push((self.now + delay, to, delivery));
    }

    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.receive();
            for index in 0..ENTRIES {
                self.turn(index);
            }
        }
    }

    fn receive(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        let mut index = 0;
        while index < self.deliveries.len() {
            if self.deliveries[index].0 <= now {
                due.push(self.deliveries.swap_remove(index));
            } else {
                index += 1;
            }
        }
        for (_, to, delivery) in due {
            match delivery {
                Delivery::Seen(seen) => {
                    if matches!(seen, Seen::PlatformHead(_)) {
                        self.nodes[to].freshness.platform_answered(now);
                        self.nodes[to].plain.platform_answered(now);
                    }
                    self.feed(to, seen);
                }
                Delivery::Answer(probe, message) => {
                    self.heard(to, &message);
                    let commands = self.nodes[to].table.handle(now, Event::Answered { probe, message });
                    self.carry_out(to, commands);
                }
            }
        }
    }

    fn turn(&mut self, index: usize) {
        let now = self.now;
        if self.nodes[index].read_at <= now {
            self.nodes[index].read_at = now + READ_INTERVAL;
            let answers = self.reaches_platform(index) && !self.is_lost();
            self.nodes[index].watches = answers;
            if answers {
                let seen = Seen::PlatformHead(Some(self.stored.clone()));
                self.deliver(index, PLATFORM_DELAY, Delivery::Seen(seen));
            }
        }
        if self.nodes[index]
            .table
            .deadline()
            .is_some_and(|deadline| deadline <= now)
        {
            let version = self.nodes[index].tracker.version();
            self.nodes[index].table.set_config(version);
            let commands = self.nodes[index].table.handle(now, Event::Wake);
            self.carry_out(index, commands);
        }
        if self.nodes[index]
            .tracker
            .deadline()
            .is_some_and(|deadline| deadline <= now)
        {
            self.feed(index, Seen::Wake);
        }
    }

    fn carry_out(&mut self, from: usize, commands: Vec<Command>) {
        for command in commands {
            let (probe, address, message) = match command {
                Command::Ping {
                    probe,
                    address,
                    message,
                } => (probe, address, message),
                // The relay's way to the member and back has the same chance of loss as a direct probe.
                Command::PingVia {
                    probe, relay, message, ..
                } if !self.is_lost() => (probe, relay, message),
                _ => continue,
            };
            if self.is_lost() {
                continue;
            }
            let to = usize::from(address.port() - 7000);
            self.heard(to, &message);
            let version = self.nodes[to].tracker.version();
            self.nodes[to].table.set_config(version);
            let (answer, _) = self.nodes[to].table.receive(self.now, &message);
            if !self.is_lost() {
                self.deliver(from, PEER_DELAY * 2, Delivery::Answer(probe, answer));
            }
        }
    }

    fn heard(&mut self, index: usize, message: &Message) {
        self.nodes[index].freshness.peer_answered(self.now);
        let name = message.from.name.clone();
        self.feed(index, Seen::PeerVersion(name, message.from.config));
    }

    fn feed(&mut self, index: usize, seen: Seen) {
        let now = self.now;
        for command in self.nodes[index].tracker.handle(now, seen) {
            match command {
                Fetch::PullHead(peer) => {
                    let other = self.nodes.iter().find(|node| node.table.own().name == peer);
                    let head = other.and_then(|node| node.tracker.held()).map(|held| held.head.clone());
                    if let (Some(head), false) = (head, self.is_lost()) {
                        self.deliver(index, PEER_DELAY * 2, Delivery::Seen(Seen::PeerHead(peer, head)));
                    }
                }
                Fetch::FetchChunk(source, hash) => self.fetch(index, source, hash),

                Fetch::Apply(_) | Fetch::Restore { .. } | Fetch::Displaced(_) | Fetch::Undecodable(..) => {}
            }
        }
    }

    fn fetch(&mut self, index: usize, source: Source, hash: hawthornpost_core::config::Digest) {
        let (chunk, delay) = match &source {
            Source::Platform if self.reaches_platform(index) => {
                let stored = self.chunks.iter().find(|chunk| chunk.hash == hash);
                (stored.cloned(), PLATFORM_DELAY)
            }
            Source::Platform => (None, PLATFORM_DELAY),
            Source::Peer(peer) => {
                let other = self.nodes.iter().find(|node| node.table.own().name == *peer);
                let held = other.and_then(|node| node.tracker.held()).map(Arc::clone);
                (held.and_then(|held| held.chunk(&hash).cloned()), PEER_DELAY * 2)
            }
        };
        if self.is_lost() {
            return;
        }
        let seen = match chunk {
            Some(chunk) => Seen::Chunk(source, chunk),
            None => Seen::NoChunk(source, hash),
        };
        self.deliver(index, delay, Delivery::Seen(seen));
    }
}
