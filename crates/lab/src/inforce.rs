//! Measures the time until all entries apply an accepted configuration, and compares the freshness rule that counts
//! answers of peers with one that counts only answers of the platform.
//!
//! Eight entries run the configuration tracker, membership table and freshness rule of the core. The platform answers
//! in 5 ms and peers in 2 ms; virtual time advances in steps of 1 ms.

use std::sync::Arc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::config::{
    Chunk, Command as TrackerCommand, Document, Event as TrackerEvent, Freshness, Head, Proposal, Snapshot, Source,
    Stored, Tracker,
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
    summary: "time until a configuration is in force; freshness rule with peers compared with a platform-only rule",
    run,
};

const ENTRY_COUNT: usize = 8;
const TIME_STEP: Duration = Duration::from_millis(1);
const PLATFORM_DELAY: Duration = Duration::from_millis(5);
const PEER_DELAY: Duration = Duration::from_millis(2);
/// Interval at which the daemon reads the head in addition to watching it.
const READ_INTERVAL: Duration = Duration::from_secs(2);
/// Time for the members to discover each other before the first change.
const WARM_UP: Duration = Duration::from_secs(5);
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(60);
const OUTAGE_DURATION: Duration = Duration::from_secs(120);

#[derive(Clone, Copy, Debug)]
struct Conditions {
    name: &'static str,
    /// Probability that a call or a watch event is lost.
    loss: f64,
    /// Whether the platform fails right after it accepted the change, before any entry but the writer has seen it.
    outage: bool,
    /// Whether entry 7 cannot reach the platform.
    one_isolated: bool,
}

struct Node {
    table: Members,
    tracker: Tracker,
    freshness: Freshness,
    /// Freshness by the baseline rule, which counts only answers of the platform.
    platform_only: Freshness,
    next_read: Instant,
    /// Whether the watch is open. An entry that misses an event of its watch sees the change at its next read.
    watching: bool,
}

/// A message in transit to an entry.
enum Delivery {
    Tracker(TrackerEvent),
    Answer(u64, Message),
}

struct Simulation {
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
    for (name, loss, outage, one_isolated) in all {
        let conditions = Conditions {
            name,
            loss,
            outage,
            one_isolated,
        };
        let seeds = options.seed..options.seed + options.seeds;
        let mut times = seeds
            .map(|seed| measure_propagation(conditions, seed))
            .collect::<Vec<_>>();
        times.sort_by(f64::total_cmp);
        table.push(row(&conditions, &times));
    }
    for rule in [Rule::Peers, Rule::PlatformOnly] {
        let conditions = Conditions {
            name: "outage of 120 s, 1 % lost",
            loss: 0.01,
            outage: true,
            one_isolated: false,
        };
        let seeds = options.seed..options.seed + options.seeds.min(20);
        let mut shares = seeds
            .map(|seed| measure_refusals(conditions, seed, rule))
            .collect::<Vec<_>>();
        shares.sort_by(f64::total_cmp);
        let measure = match rule {
            Rule::Peers => "time refusing new work %, peers asked",
            Rule::PlatformOnly => "time refusing new work %, plain rule",
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

/// The answers that the freshness rule counts.
#[derive(Clone, Copy, Debug)]
enum Rule {
    /// Answers of peers and of the platform, as in the core.
    Peers,
    /// Answers of the platform only.
    PlatformOnly,
}

fn row(conditions: &Conditions, times: &[f64]) -> Vec<String> {
    let within_bound = times.iter().filter(|time| **time <= 7.0).count();
    vec![
        conditions.name.to_owned(),
        "acceptance to applied by all, s".to_owned(),
        times.len().to_string(),
        format!("{:.3}", quantile(times, 0.5)),
        format!("{:.3}", quantile(times, 0.99)),
        format!("{:.3}", quantile(times, 1.0)),
        format!("{:.1}", 100.0 * within_bound as f64 / times.len().max(1) as f64),
    ]
}

fn quantile(sorted: &[f64], quantile: f64) -> f64 {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "an index")]
    let index = ((sorted.len() as f64 * quantile).ceil() as usize).max(1) - 1;
    sorted.get(index).copied().unwrap_or(f64::NAN)
}

fn measure_propagation(conditions: Conditions, seed: u64) -> f64 {
    let mut simulation = Simulation::new(conditions, seed);
    simulation.advance(WARM_UP);
    let changed = simulation.accept_version();
    simulation.platform_down = conditions.outage;
    let accepted_at = simulation.now;
    simulation.handle_event(0, TrackerEvent::Written(changed));
    while !simulation.is_applied_everywhere() && simulation.now - accepted_at < MAX_PROPAGATION_TIME {
        simulation.advance(TIME_STEP);
    }
    (simulation.now - accepted_at).as_secs_f64()
}

/// Returns the percentage of time in which entries refuse new work during an outage of the platform.
fn measure_refusals(conditions: Conditions, seed: u64, rule: Rule) -> f64 {
    let mut simulation = Simulation::new(conditions, seed);
    simulation.advance(WARM_UP);
    simulation.platform_down = true;
    let samples = OUTAGE_DURATION.as_millis() / 100;
    let mut refusals = 0_u32;
    for _ in 0..samples {
        simulation.advance(Duration::from_millis(100));
        for node in &simulation.nodes {
            let freshness = match rule {
                Rule::Peers => &node.freshness,
                Rule::PlatformOnly => &node.platform_only,
            };
            refusals += u32::from(!freshness.reach(simulation.now).accepts_new_work());
        }
    }
    100.0 * f64::from(refusals) / (samples as f64 * ENTRY_COUNT as f64)
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

fn build_version(previous: Option<&Head>, document: &Document) -> Snapshot {
    let chunks = Chunk::split(document).expect("chunks");
    let proposal = Proposal {
        chunks: chunks.iter().map(|chunk| chunk.hash).collect(),
        author: "lab".to_owned(),
        at: Timestamp::UNIX_EPOCH,
        nonce: 0,
    };
    Snapshot::new(Head::following(previous, proposal), chunks).expect("a complete version")
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

impl Simulation {
    fn new(conditions: Conditions, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let first = build_version(None, &document(100));
        let all = (0..ENTRY_COUNT).map(member).collect::<Vec<_>>();
        let nodes = (0..ENTRY_COUNT).map(|index| {
            let mut table = Members::new(all[index].clone(), Vec::new(), Settings::default(), random.random());
            table.merge(Instant::ZERO, &all);
            Node {
                table,
                tracker: Tracker::new(),
                freshness: Freshness::default(),
                platform_only: Freshness::default(),
                next_read: Instant::from_millis(random.random_range(0..2000)),
                watching: false,
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

    /// Stores the next version and sends events to the open watches.
    fn accept_version(&mut self) -> Snapshot {
        let next = build_version(Some(&self.stored.head), &document(200));
        self.stored = Stored {
            head: next.head.clone(),
            resource_version: "2".to_owned(),
        };
        self.chunks.extend(next.chunks.iter().cloned());
        for index in 1..ENTRY_COUNT {
            let reaches = self.nodes[index].watching && !self.conditions.outage && self.reaches_platform(index);
            if reaches && !self.is_lost() {
                let event = TrackerEvent::PlatformHead(Some(self.stored.clone()));
                self.deliver(index, PLATFORM_DELAY, Delivery::Tracker(event));
            }
        }
        next
    }

    fn is_applied_everywhere(&self) -> bool {
        self.nodes
            .iter()
            .all(|node| node.tracker.version() == self.stored.head.version)
    }

    fn reaches_platform(&self, index: usize) -> bool {
        let is_isolated = self.conditions.one_isolated && index == ENTRY_COUNT - 1;
        !self.platform_down && !is_isolated
    }

    fn is_lost(&mut self) -> bool {
        self.random.random_bool(self.conditions.loss)
    }

    fn deliver(&mut self, to: usize, delay: Duration, delivery: Delivery) {
        self.deliveries.push((self.now + delay, to, delivery));
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TIME_STEP;
            self.deliver_due();
            for index in 0..ENTRY_COUNT {
                self.poll_node(index);
            }
        }
    }

    fn deliver_due(&mut self) {
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
                Delivery::Tracker(event) => {
                    if matches!(event, TrackerEvent::PlatformHead(_)) {
                        self.nodes[to].freshness.platform_answered(now);
                        self.nodes[to].platform_only.platform_answered(now);
                    }
                    self.handle_event(to, event);
                }
                Delivery::Answer(probe, message) => {
                    self.observe_peer(to, &message);
                    let commands = self.nodes[to].table.handle(now, Event::Answered { probe, message });
                    self.execute(to, commands);
                }
            }
        }
    }

    fn poll_node(&mut self, index: usize) {
        let now = self.now;
        if self.nodes[index].next_read <= now {
            self.nodes[index].next_read = now + READ_INTERVAL;
            let answers = self.reaches_platform(index) && !self.is_lost();
            self.nodes[index].watching = answers;
            if answers {
                let event = TrackerEvent::PlatformHead(Some(self.stored.clone()));
                self.deliver(index, PLATFORM_DELAY, Delivery::Tracker(event));
            }
        }
        if self.nodes[index]
            .table
            .deadline()
            .is_some_and(|deadline| deadline <= now)
        {
            let version = self.nodes[index].tracker.version();
            self.nodes[index].table.set_config(version);
            let commands = self.nodes[index].table.handle(now, Event::Tick);
            self.execute(index, commands);
        }
        if self.nodes[index]
            .tracker
            .deadline()
            .is_some_and(|deadline| deadline <= now)
        {
            self.handle_event(index, TrackerEvent::Tick);
        }
    }

    fn execute(&mut self, from: usize, commands: Vec<Command>) {
        for command in commands {
            let (probe, address, message) = match command {
                Command::Ping {
                    probe,
                    address,
                    message,
                } => (probe, address, message),
                // The round trip from the relay to the member is lost with the same probability as a direct probe.
                Command::PingVia {
                    probe, relay, message, ..
                } if !self.is_lost() => (probe, relay, message),
                _ => continue,
            };
            if self.is_lost() {
                continue;
            }
            let to = usize::from(address.port() - 7000);
            self.observe_peer(to, &message);
            let version = self.nodes[to].tracker.version();
            self.nodes[to].table.set_config(version);
            let (answer, _) = self.nodes[to].table.receive(self.now, &message);
            if !self.is_lost() {
                self.deliver(from, PEER_DELAY * 2, Delivery::Answer(probe, answer));
            }
        }
    }

    fn observe_peer(&mut self, index: usize, message: &Message) {
        self.nodes[index].freshness.peer_answered(self.now);
        let name = message.from.name.clone();
        self.handle_event(index, TrackerEvent::PeerVersion(name, message.from.config));
    }

    fn handle_event(&mut self, index: usize, event: TrackerEvent) {
        let now = self.now;
        for command in self.nodes[index].tracker.handle(now, event) {
            match command {
                TrackerCommand::PullHead(peer) => {
                    let other = self.nodes.iter().find(|node| node.table.own().name == peer);
                    let head = other
                        .and_then(|node| node.tracker.current())
                        .map(|held| held.head.clone());
                    if let (Some(head), false) = (head, self.is_lost()) {
                        self.deliver(
                            index,
                            PEER_DELAY * 2,
                            Delivery::Tracker(TrackerEvent::PeerHead(peer, head)),
                        );
                    }
                }
                TrackerCommand::FetchChunk(source, hash) => self.fetch(index, source, hash),
                TrackerCommand::Apply(_)
                | TrackerCommand::Restore { .. }
                | TrackerCommand::Displaced(_)
                | TrackerCommand::Undecodable(..) => {}
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
                let held = other.and_then(|node| node.tracker.current()).map(Arc::clone);
                (held.and_then(|held| held.chunk(&hash).cloned()), PEER_DELAY * 2)
            }
        };
        if self.is_lost() {
            return;
        }
        let event = match chunk {
            Some(chunk) => TrackerEvent::Chunk(source, chunk),
            None => TrackerEvent::NoChunk(source, hash),
        };
        self.deliver(index, delay, Delivery::Tracker(event));
    }
}
