//! Measures the cost of claims in virtual time (platform calls, added latency, stored bytes), compared with one write
//! per claim.
//!
//! The batching of the core runs against a platform that answers reads in 3 ms and writes in 5 ms; claimants are 1 ms
//! away from the owner of a shard, and a target answers in 50 ms.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornpost_core::claim::{
    Answer, Batch, BatchCommand, BatchEvent, Digest, Key, Policy, Put, Record, SHARD_COUNT, SealedSegment, Segment,
    Shard, State, Ticket, Verdict,
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

const READ_LATENCY: Duration = Duration::from_millis(3);
const WRITE_LATENCY: Duration = Duration::from_millis(5);
const PEER_LATENCY: Duration = Duration::from_millis(1);
const TARGET_LATENCY: Duration = Duration::from_millis(50);
/// Time that a claimant waits for the owner of a shard; the default of the daemon.
const OWNER_TIMEOUT: Duration = Duration::from_millis(400);
/// Pairs of actions per second and virtual run time in seconds.
const LOADS: [(f64, u64); 3] = [(1.0, 3_000), (100.0, 900), (13_000.0, 20)];
/// Sizes in bytes at which the finished records of a shard are moved to a segment.
const SEAL_SIZES: [usize; 3] = [400_000, 100_000, 25_000];
/// The platform takes several hundred writes a second, of which claims may use this many.
const MAX_WRITES_PER_SECOND: f64 = 500.0;
const DAY_SECONDS: f64 = 86_400.0;
/// Half of the memory that the control plane may use on an entry host.
const MAX_INDEX_BYTES_PER_HOST: f64 = 64e6;
/// Bytes per key in a hash table that is 7/16 to 7/8 full, with a 16-byte key, a 4-byte position and 1 control byte.
const INDEX_BYTES_PER_KEY: f64 = 40.0;

enum Step {
    Arrival,
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

struct Simulation {
    random: SmallRng,
    queue: BTreeMap<(Instant, u64), Step>,
    sequence: u64,
    owners: Vec<Owner>,
    segments: Vec<Segment>,
    /// Writes that await a verdict, with the arrival time of claims; outcomes have none.
    pending: BTreeMap<Ticket, (Put, Option<Instant>)>,
    latency: Histogram<u64>,
    reads: u64,
    writes: u64,
    refused: u64,
    actions: u64,
    bytes_written: u64,
}

impl Simulation {
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
            owners: (0..SHARD_COUNT).map(owner).collect(),
            segments: Vec::new(),
            pending: BTreeMap::new(),
            latency: Histogram::new(3).expect("three digits are valid"),
            reads: 0,
            writes: 0,
            refused: 0,
            actions: 0,
            bytes_written: 0,
        }
    }

    fn schedule(&mut self, time: Instant, step: Step) {
        self.sequence += 1;
        self.queue.insert((time, self.sequence), step);
    }

    fn run(&mut self, rate: f64, seconds: u64) {
        let end = Instant::from_millis(seconds * 1_000);
        self.schedule(Instant::ZERO, Step::Arrival);
        while let Some(((now, _), step)) = self.queue.pop_first() {
            match step {
                Step::Arrival => {
                    let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
                    let next = now + Duration::from_secs_f64(gap);
                    if next < end {
                        self.schedule(next, Step::Arrival);
                    }
                    self.handle_arrival(now);
                }
                Step::Put(owner, ticket) => self.deliver_put(now, owner, ticket),
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

    fn handle_arrival(&mut self, now: Instant) {
        self.actions += 1;
        let record = record(self.actions, self.random.random(), now);
        self.send(now + PEER_LATENCY, Put::Claim(record), Some(now));
    }

    fn send(&mut self, at: Instant, put: Put, start: Option<Instant>) {
        let owner = usize::from(put.key().shard());
        self.sequence += 1;
        let ticket = Ticket::new(self.sequence);
        self.pending.insert(ticket, (put, start));
        self.schedule(at, Step::Put(owner, ticket));
    }

    fn deliver_put(&mut self, now: Instant, owner: usize, ticket: Ticket) {
        let put = self.pending[&ticket].0.clone();
        let event = BatchEvent::Put {
            ticket,
            put,
            until: now + OWNER_TIMEOUT,
            wall_ms: millis(now),
        };
        self.handle(now, owner, event);
    }

    fn handle(&mut self, now: Instant, owner: usize, event: BatchEvent) {
        for command in self.owners[owner].batch.handle(now, event) {
            self.execute(now, owner, command);
        }
        let deadline = self.owners[owner].batch.deadline();
        if let Some(deadline) = deadline.filter(|_| self.owners[owner].tick != deadline) {
            let deadline = deadline.max(now);
            self.owners[owner].tick = Some(deadline);
            self.schedule(deadline, Step::Tick(owner));
        }
    }

    fn execute(&mut self, now: Instant, owner: usize, command: BatchCommand) {
        match command {
            BatchCommand::Read => {
                self.reads += 1;
                let found = self.owners[owner].object.clone();
                self.schedule(now + READ_LATENCY, Step::Event(owner, BatchEvent::Read(Ok(found))));
            }
            BatchCommand::CreateSegment(_, segment) => {
                self.writes += 1;
                self.bytes_written += json_size(&segment);
                self.segments.push(segment);
                self.schedule(
                    now + WRITE_LATENCY,
                    Step::Event(owner, BatchEvent::SegmentCreated(Ok(()))),
                );
            }
            BatchCommand::Write(base, shard) => {
                self.writes += 1;
                self.bytes_written += shard.estimated_bytes() as u64;
                let version = Version::from(base.map_or(0, Version::as_u64) + 1);
                self.owners[owner].object = Some((version, shard));
                self.schedule(
                    now + WRITE_LATENCY,
                    Step::Event(owner, BatchEvent::Written(Ok(version))),
                );
            }
            BatchCommand::Reply(ticket, verdict) => self.reply(now, ticket, &verdict),
            BatchCommand::ReadSegment(_) | BatchCommand::DeleteSegments(_) => {}
        }
    }

    fn reply(&mut self, now: Instant, ticket: Ticket, verdict: &Verdict) {
        let Some((put, start)) = self.pending.remove(&ticket) else {
            return;
        };
        if *verdict != Verdict::Stored {
            self.refused += 1;
            return;
        }
        if let (Put::Claim(record), Some(start)) = (put, start) {
            self.schedule(now + PEER_LATENCY, Step::Confirmed(start));
            let state = State::Done(Answer::new(200, br#"{"booking": "8f1c0a52", "state": "accepted"}"#));
            let (key, claim) = (record.key, record.claim);
            self.send(
                now + PEER_LATENCY + TARGET_LATENCY + PEER_LATENCY,
                Put::Outcome { key, claim, state },
                None,
            );
        }
    }

    fn bytes_kept(&self) -> u64 {
        let open = self.owners.iter().filter_map(|owner| owner.object.as_ref());
        let open = open.map(|(_, shard)| json_size(shard)).sum::<u64>();
        open + self.segments.iter().map(json_size).sum::<u64>()
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

fn json_size(value: &impl serde::Serialize) -> u64 {
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
        for seal in SEAL_SIZES {
            let mut simulation = Simulation::new(options.seed, seal);
            simulation.run(rate, seconds);
            table.push(batched_row(&simulation, rate, seconds, seal as f64));
            if seal == SEAL_SIZES[0] {
                table.push(unbatched_row(&simulation, rate));
            }
        }
    }
    table
}

fn batched_row(simulation: &Simulation, rate: f64, seconds: u64, seal: f64) -> [String; 14] {
    let actions = simulation.actions as f64;
    let kept = simulation.bytes_kept() as f64 / actions;
    let writes = simulation.writes as f64 / seconds as f64;
    let quantile = |quantile: f64| simulation.latency.value_at_quantile(quantile) as f64 / 1_000.0;
    let segments = rate * DAY_SECONDS * kept / seal / f64::from(SHARD_COUNT);
    let index = rate * DAY_SECONDS * INDEX_BYTES_PER_KEY / f64::from(SHARD_COUNT) / 1e6;
    let limit = max_rate_for_segment_list(kept, seal).min(max_rate_for_index());
    let fits = if rate <= limit { "yes" } else { "no" };
    [
        format!("{rate}"),
        format!("sealed at {:.0} KB", seal / 1e3),
        simulation.actions.to_string(),
        format!("{:.3}", (simulation.reads + simulation.writes) as f64 / actions),
        format!("{writes:.1}"),
        format!("{:.1}", quantile(0.5)),
        format!("{:.1}", quantile(0.99)),
        simulation.refused.to_string(),
        format!("{:.1}", simulation.bytes_written as f64 / actions / 1e3),
        format!("{kept:.0}"),
        format!("{:.2}", rate * DAY_SECONDS * kept / 1e9),
        format!("{segments:.0}"),
        format!("{index:.1}"),
        format!("{fits}, up to {limit:.0}/s"),
    ]
}

/// Computes the baseline with one object per claim: a write for the claim and another for its outcome.
fn unbatched_row(simulation: &Simulation, rate: f64) -> [String; 14] {
    let kept = simulation.bytes_kept() as f64 / simulation.actions as f64;
    let millis = format!("{:.1}", WRITE_LATENCY.as_secs_f64() * 1e3);
    let fits = 2.0 * rate <= MAX_WRITES_PER_SECOND;
    let latency = if fits { millis } else { "unbounded".to_owned() };
    [
        format!("{rate}"),
        "one write per claim".to_owned(),
        simulation.actions.to_string(),
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
            MAX_WRITES_PER_SECOND / 2.0
        ),
    ]
}

/// Returns the action rate at which the list of one day's segments takes half of the seal size; a longer list leaves
/// too little space for records.
fn max_rate_for_segment_list(kept: f64, seal: f64) -> f64 {
    let listed = SealedSegment {
        name: "shard-00-1000000000".to_owned(),
        newest_ms: 1_800_000_000_000,
    };
    let segments = seal / 2.0 / json_size(&listed) as f64;
    segments * seal * f64::from(SHARD_COUNT) / kept / DAY_SECONDS
}

/// Returns the action rate at which the index of one shard, held by one host, uses up its memory budget.
fn max_rate_for_index() -> f64 {
    MAX_INDEX_BYTES_PER_HOST * f64::from(SHARD_COUNT) / INDEX_BYTES_PER_KEY / DAY_SECONDS
}
