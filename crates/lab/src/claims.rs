//! Cost of claims in virtual time: calls to the platform, added latency and bytes kept, against one write per claim.
//!
//! The batches of the core run against a platform that answers reads in 3 ms and writes in 5 ms; claimants are 1 ms away
//! from the owner of a shard, and a target answers in 50 ms.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornpost_core::claim::{
    Answer, Batch, BatchCommand, BatchEvent, Digest, Key, Policy, Put, Record, SHARDS, SealedSegment, Segment, Shard,
    State, Ticket, Verdict,
};
use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::{Account, Claim, Entry, Service, Target};
use hawthornpost_core::platform::Version;
use hdrhistogram::Histogram;
use linkme::distributed_slice;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::experiment::{EXPERIMENTS, Experiment, Options, Table};

#[distributed_slice(EXPERIMENTS)]
static CLAIMS: Experiment = Experiment {
    name: "claims",
    summary: "platform calls, latency and bytes of actions, against one write per claim",
    run,
};

const READ: Duration = Duration::from_millis(3);
const WRITE: Duration = Duration::from_millis(5);
const HOP: Duration = Duration::from_millis(1);
const CALL: Duration = Duration::from_millis(50);
/// How long a claimant waits for the owner of a shard, as in the daemon by default.
const WAIT: Duration = Duration::from_millis(400);
/// Actions a second with their virtual time in seconds.
const LOADS: [(f64, u64); 3] = [(1.0, 3_000), (100.0, 900), (13_000.0, 20)];
/// Sizes at which the settled records of a shard are moved to a segment, in bytes.
const SEALS: [usize; 3] = [400_000, 100_000, 25_000];
/// "Several hundred writes a second", of which claims may take this many.
const WRITES_PER_SECOND: f64 = 500.0;
const DAY_SECONDS: f64 = 86_400.0;
/// Half of the memory that control may use on an entry host.
const INDEX_BYTES_PER_HOST: f64 = 64e6;
/// A hash table that is between 7/16 and 7/8 full, with 16 bytes of key, 4 of position and 1 of control.
const INDEX_BYTES_PER_KEY: f64 = 40.0;

enum Step {
    Arrive,
    Put(usize, Ticket),
    Event(usize, BatchEvent),
    Tick(usize),
    Confirmed(Instant),
}

struct Owner {
    batch: Batch,
    object: Option<(Version, Shard)>,
    tick: Option<Instant>,
}

struct World {
    random: SmallRng,
    queue: BTreeMap<(Instant, u64), Step>,
    sequence: u64,
    owners: Vec<Owner>,
    segments: Vec<Segment>,
    // What waits for the answer to a ticket; outcomes have no start.
    puts: BTreeMap<Ticket, (Put, Option<Instant>)>,
    latency: Histogram<u64>,
    reads: u64,
    writes: u64,
    refused: u64,
    actions: u64,
    bytes_written: u64,
}

impl World {
    fn new(seed: u64, seal_bytes: usize) -> Self {
        let policy = Policy {
            seal_bytes,
            ..Policy::default()
        };
        let owner = |number| Owner {
            batch: Batch::new(number, policy),
            object: None,
            tick: None,
        };
        Self {
            random: SmallRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            owners: (0..SHARDS).map(owner).collect(),
            segments: Vec::new(),
            puts: BTreeMap::new(),
            latency: Histogram::new(3).expect("three digits are valid"),
            reads: 0,
            writes: 0,
            refused: 0,
            actions: 0,
            bytes_written: 0,
        }
    }

    fn at(&mut self, time: Instant, step: Step) {
        self.sequence += 1;
        self.queue.insert((time, self.sequence), step);
    }

    fn run(&mut self, rate: f64, seconds: u64) {
        let end = Instant::from_millis(seconds * 1_000);
        self.at(Instant::ZERO, Step::Arrive);
        while let Some(((now, _), step)) = self.queue.pop_first() {
            match step {
                Step::Arrive => {
                    let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
                    let next = now + Duration::from_secs_f64(gap);
                    if next < end {
                        self.at(next, Step::Arrive);
                    }
                    self.arrive(now);
                }
                Step::Put(owner, ticket) => self.put(now, owner, ticket),
                Step::Event(owner, event) => self.handle(now, owner, event),
                Step::Tick(owner) if self.owners[owner].tick == Some(now) => {
                    self.owners[owner].tick = None;
                    self.handle(now, owner, BatchEvent::Tick);
                }
                Step::Tick(_) => {}
                Step::Confirmed(start) => {
                    let micros = u64::try_from(now.since(start).as_micros()).unwrap_or(u64::MAX);
                    self.latency.record(micros).expect("the histogram grows");
                }
            }
        }
    }

    fn arrive(&mut self, now: Instant) {
        self.actions += 1;
        let record = record(self.actions, self.random.random(), now);
        self.send(now + HOP, Put::Claim(record), Some(now));
    }

    fn send(&mut self, at: Instant, put: Put, start: Option<Instant>) {
        let owner = usize::from(put.key().shard());
        self.sequence += 1;
        let ticket = Ticket::new(self.sequence);
        self.puts.insert(ticket, (put, start));
        self.at(at, Step::Put(owner, ticket));
    }

    fn put(&mut self, now: Instant, owner: usize, ticket: Ticket) {
        let put = self.puts[&ticket].0.clone();
        let event = BatchEvent::Put {
            ticket,
            put,
            until: now + WAIT,
            wall_ms: millis(now),
        };
        self.handle(now, owner, event);
    }

    fn handle(&mut self, now: Instant, owner: usize, event: BatchEvent) {
        for command in self.owners[owner].batch.handle(now, event) {
            self.carry_out(now, owner, command);
        }
        let deadline = self.owners[owner].batch.deadline();
        if let Some(deadline) = deadline.filter(|_| self.owners[owner].tick != deadline) {
            let deadline = deadline.max(now);
            self.owners[owner].tick = Some(deadline);
            self.at(deadline, Step::Tick(owner));
        }
    }

    fn carry_out(&mut self, now: Instant, owner: usize, command: BatchCommand) {
        match command {
            BatchCommand::Read => {
                self.reads += 1;
                let found = self.owners[owner].object.clone();
                self.at(now + READ, Step::Event(owner, BatchEvent::Read(Ok(found))));
            }
            BatchCommand::Create(_, segment) => {
                self.writes += 1;
                self.bytes_written += size(&segment);
                self.segments.push(segment);
                self.at(now + WRITE, Step::Event(owner, BatchEvent::Created(Ok(()))));
            }
            BatchCommand::Write(base, shard) => {
                self.writes += 1;
                self.bytes_written += shard.estimated_bytes() as u64;
                let version = Version::from(base.map_or(0, Version::as_u64) + 1);
                self.owners[owner].object = Some((version, shard));
                self.at(now + WRITE, Step::Event(owner, BatchEvent::Written(Ok(version))));
            }
            BatchCommand::Reply(ticket, verdict) => self.reply(now, ticket, &verdict),
            BatchCommand::Fetch(_) | BatchCommand::Delete(_) => {}
        }
    }

    fn reply(&mut self, now: Instant, ticket: Ticket, verdict: &Verdict) {
        let Some((put, start)) = self.puts.remove(&ticket) else {
            return;
        };
        if *verdict != Verdict::Stored {
            self.refused += 1;
            return;
        }
        if let (Put::Claim(record), Some(start)) = (put, start) {
            self.at(now + HOP, Step::Confirmed(start));
            let state = State::Done(Answer::new(200, br#"{"booking": "8f1c0a52", "state": "accepted"}"#));
            let (key, claim) = (record.key, record.claim);
            self.send(now + HOP + CALL + HOP, Put::Outcome { key, claim, state }, None);
        }
    }

    fn bytes_kept(&self) -> u64 {
        let open = self.owners.iter().filter_map(|owner| owner.object.as_ref());
        let open = open.map(|(_, shard)| size(shard)).sum::<u64>();
        open + self.segments.iter().map(size).sum::<u64>()
    }
}

fn record(number: u64, claim: [u8; 16], now: Instant) -> Record {
    let account = Account::new("crews").expect("valid name");
    let service = Service::new("booking").expect("valid name");
    Record {
        key: Key::new(&account, &service, &number.to_string()),
        claim: Claim::from_random(claim),
        entry: Entry::new("entry-017").expect("valid name"),
        target: Target::new("booking-2").expect("valid name"),
        body: Digest::new("/plots", &number.to_le_bytes()),
        at_ms: 1_800_000_000_000 + millis(now),
        state: State::Claimed,
    }
}

fn millis(now: Instant) -> u64 {
    u64::try_from(now.since_start().as_millis()).unwrap_or(u64::MAX)
}

fn size(value: &impl serde::Serialize) -> u64 {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len() as u64)
}

fn run(options: &Options) -> Table {
    let mut table = Table::new([
        "actions/s",
        "variant",
        "actions",
        "calls/action",
        "writes/s",
        "added p50 ms",
        "added p99 ms",
        "refused",
        "written KB/action",
        "kept bytes/action",
        "kept GB in 24 h",
        "segments/shard",
        "index MB/shard",
        "fits",
    ]);
    for (rate, seconds) in LOADS {
        for seal in SEALS {
            let mut world = World::new(options.seed, seal);
            world.run(rate, seconds);
            table.push(grouped(&world, rate, seconds, seal as f64));
            if seal == SEALS[0] {
                table.push(single(&world, rate));
            }
        }
    }
    table
}

fn grouped(world: &World, rate: f64, seconds: u64, seal: f64) -> [String; 14] {
    let actions = world.actions as f64;
    let kept = world.bytes_kept() as f64 / actions;
    let writes = world.writes as f64 / seconds as f64;
    let quantile = |share: f64| world.latency.value_at_quantile(share) as f64 / 1_000.0;
    let segments = rate * DAY_SECONDS * kept / seal / f64::from(SHARDS);
    let index = rate * DAY_SECONDS * INDEX_BYTES_PER_KEY / f64::from(SHARDS) / 1e6;
    let limit = list_limit(kept, seal).min(index_limit());
    let fits = if rate <= limit { "yes" } else { "no" };
    [
        format!("{rate}"),
        format!("sealed at {:.0} KB", seal / 1e3),
        world.actions.to_string(),
        format!("{:.3}", (world.reads + world.writes) as f64 / actions),
        format!("{writes:.1}"),
        format!("{:.1}", quantile(0.5)),
        format!("{:.1}", quantile(0.99)),
        world.refused.to_string(),
        format!("{:.1}", world.bytes_written as f64 / actions / 1e3),
        format!("{kept:.0}"),
        format!("{:.2}", rate * DAY_SECONDS * kept / 1e9),
        format!("{segments:.0}"),
        format!("{index:.1}"),
        format!("{fits}, up to {limit:.0}/s"),
    ]
}

/// One object for each claim: a write for the claim and one for the outcome.
fn single(world: &World, rate: f64) -> [String; 14] {
    let kept = world.bytes_kept() as f64 / world.actions as f64;
    let millis = format!("{:.1}", WRITE.as_secs_f64() * 1e3);
    let fits = 2.0 * rate <= WRITES_PER_SECOND;
    let latency = if fits { millis } else { "unbounded".to_owned() };
    [
        format!("{rate}"),
        "one write per claim".to_owned(),
        world.actions.to_string(),
        "2.000".to_owned(),
        format!("{:.1}", 2.0 * rate),
        latency.clone(),
        latency,
        "0".to_owned(),
        format!("{:.1}", 2.0 * kept / 1e3),
        format!("{kept:.0}"),
        format!("{:.2}", rate * DAY_SECONDS * kept / 1e9),
        "0".to_owned(),
        "0.0".to_owned(),
        format!(
            "{}, up to {:.0}/s",
            if fits { "yes" } else { "no" },
            WRITES_PER_SECOND / 2.0
        ),
    ]
}

/// The rate at which the list of a day's segments fills half of the size at which a shard is sealed; a longer list leaves
/// too little room for records.
fn list_limit(kept: f64, seal: f64) -> f64 {
    let listed = SealedSegment {
        name: "shard-00-1000000000".to_owned(),
        newest_ms: 1_800_000_000_000,
    };
    let segments = seal / 2.0 / size(&listed) as f64;
    segments * seal * f64::from(SHARDS) / kept / DAY_SECONDS
}

/// The rate at which the index of one shard, held by one host, fills its share of memory.
fn index_limit() -> f64 {
    INDEX_BYTES_PER_HOST * f64::from(SHARDS) / INDEX_BYTES_PER_KEY / DAY_SECONDS
}
