//! Stateful fuzz test of claims: runs the claim code of several entries against a simulated platform with lost replies,
//! late effects, outages, crashes, lost or delayed messages, and equal keys at several entries.
//!
//! Guards against a call that is sent twice and against a wrong "not run". Once the faults have ended, every surviving
//! claimant must have answered.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornpost_core::claim::{
    Answer, Batch, BatchCommand, BatchEvent, Call, Command, Digest, Event, Key, Lookup, Machine, Outcome, Policy, Put,
    Record, Scope, Segment, Shard, State, Ticket, Timeouts, Verdict,
};
use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::{Account, Claim, Entry, Service, Target};
use hawthornpost_core::platform::{Failure, Version};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const ENTRIES: usize = 3;
const KEYS: usize = 4;
/// The size limit is small enough that a test run seals segments.
const POLICY: Policy = Policy {
    retention: Duration::from_secs(86_400),
    seal_bytes: 450,
};

#[derive(Clone, Debug)]
enum Step {
    Start { entry: usize, key: usize, body: bool },
    Platform { pick: usize, delivery: Delivery },
    LateEffect { pick: usize },
    Message { pick: usize, owner: usize, lost: bool },
    Reply { pick: usize, lost: bool },
    Target { pick: usize, end: End },
    Advance { millis: u64 },
    Outage(bool),
    Crash { entry: usize },
}

#[derive(Clone, Copy, Debug)]
enum Delivery {
    Answered,
    AnswerLost,
    EffectLate,
    NeverArrives,
}

#[derive(Clone, Copy, Debug)]
enum End {
    Answered,
    LostAfterRun,
    LostBeforeRun,
    NotConnected,
}

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let deliveries = prop_oneof![
            6 => Just(Delivery::Answered),
            1 => Just(Delivery::AnswerLost),
            1 => Just(Delivery::EffectLate),
            1 => Just(Delivery::NeverArrives),
        ];
        let ends = prop_oneof![
            4 => Just(End::Answered),
            1 => Just(End::LostAfterRun),
            1 => Just(End::LostBeforeRun),
            1 => Just(End::NotConnected),
        ];
        let pick = 0..64_usize;
        let lost = prop::bool::weighted(0.2);
        prop_oneof![
            3 => (0..ENTRIES, 0..KEYS, prop::bool::weighted(0.1))
                .prop_map(|(entry, key, body)| Step::Start { entry, key, body }),
            12 => (pick.clone(), deliveries).prop_map(|(pick, delivery)| Step::Platform { pick, delivery }),
            1 => pick.clone().prop_map(|pick| Step::LateEffect { pick }),
            4 => (pick.clone(), 0..ENTRIES, lost)
                .prop_map(|(pick, owner, lost)| Step::Message { pick, owner, lost }),
            4 => (pick.clone(), lost).prop_map(|(pick, lost)| Step::Reply { pick, lost }),
            2 => (pick, ends).prop_map(|(pick, end)| Step::Target { pick, end }),
            6 => prop::sample::select(vec![5, 100, 300, 1_000]).prop_map(|millis| Step::Advance { millis }),
            1 => prop::bool::weighted(0.3).prop_map(Step::Outage),
            1 => (0..ENTRIES).prop_map(|entry| Step::Crash { entry }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// The command of the claimant that a change belongs to.
#[derive(Clone, Copy, Debug)]
enum Purpose {
    Claim,
    Close,
    Record,
}

#[derive(Clone, Debug)]
struct Message {
    claim: Claim,
    purpose: Purpose,
    put: Put,
}

#[derive(Default)]
struct Platform {
    down: bool,
    object: Option<(Version, Shard)>,
    segments: BTreeMap<String, Segment>,
}

impl Platform {
    fn write(&mut self, base: Option<Version>, shard: Shard) -> Result<Version, Failure> {
        if self.object.as_ref().map(|(version, _)| *version) != base {
            return Err(Failure::Conflict);
        }
        let version = Version::from(base.map_or(0, Version::as_u64) + 1);
        self.object = Some((version, shard));
        Ok(version)
    }

    fn handle(&mut self, command: BatchCommand) -> Option<BatchEvent> {
        Some(match command {
            BatchCommand::Read => BatchEvent::Read(Ok(self.object.clone())),
            BatchCommand::Write(base, shard) => BatchEvent::Written(self.write(base, shard)),
            BatchCommand::ReadSegment(name) => {
                let found = self.segments.get(&name).cloned().ok_or(Failure::Missing);
                BatchEvent::SegmentRead(name, found)
            }
            BatchCommand::CreateSegment(name, segment) => {
                let known = self.segments.get(&name);
                assert!(
                    known.is_none_or(|known| *known == segment),
                    "two different segments {name}"
                );
                self.segments.insert(name, segment);
                BatchEvent::SegmentCreated(Ok(()))
            }
            BatchCommand::DeleteSegments(_) | BatchCommand::Reply(..) => return None,
        })
    }
}

fn failed(command: &BatchCommand, failure: Failure) -> Option<BatchEvent> {
    Some(match command {
        BatchCommand::Read => BatchEvent::Read(Err(failure)),
        BatchCommand::Write(..) => BatchEvent::Written(Err(failure)),
        BatchCommand::ReadSegment(name) => BatchEvent::SegmentRead(name.clone(), Err(failure)),
        BatchCommand::CreateSegment(..) => BatchEvent::SegmentCreated(Err(failure)),
        BatchCommand::DeleteSegments(_) | BatchCommand::Reply(..) => return None,
    })
}

struct Host {
    batch: Batch,
    machines: BTreeMap<Claim, Machine>,
    tickets: BTreeMap<Ticket, (Claim, Purpose)>,
    incarnation: u64,
}

impl Host {
    fn new(incarnation: u64) -> Self {
        Self {
            batch: Batch::new(0, POLICY),
            machines: BTreeMap::new(),
            tickets: BTreeMap::new(),
            incarnation,
        }
    }
}

struct World {
    now: Instant,
    platform: Platform,
    hosts: Vec<Host>,
    calls: Vec<(usize, u64, BatchCommand)>,
    late_writes: Vec<(Option<Version>, Shard)>,
    messages: Vec<Message>,
    replies: Vec<(Claim, Purpose, Verdict)>,
    sends: Vec<Claim>,
    pending_runs: Vec<Key>,
    next: u64,
    // The oracle: the calls sent, the actions run and the outcomes reported.
    claims: BTreeMap<Claim, (Key, Digest)>,
    sent: Vec<Claim>,
    ran: Vec<Key>,
    reported: Vec<(Claim, Outcome)>,
}

impl World {
    fn new() -> Self {
        Self {
            now: Instant::ZERO,
            platform: Platform::default(),
            hosts: (0..ENTRIES).map(|_| Host::new(0)).collect(),
            calls: Vec::new(),
            late_writes: Vec::new(),
            messages: Vec::new(),
            replies: Vec::new(),
            sends: Vec::new(),
            pending_runs: Vec::new(),
            next: 0,
            claims: BTreeMap::new(),
            sent: Vec::new(),
            ran: Vec::new(),
            reported: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Start { entry, key, body } => self.start(entry, key, body),
            Step::Platform { pick, delivery } => self.call(pick, delivery),
            Step::LateEffect { pick } => {
                if let Some((base, shard)) = take(&mut self.late_writes, pick) {
                    let _ = self.platform.write(base, shard);
                }
            }
            Step::Message { pick, owner, lost } => match take(&mut self.messages, pick) {
                Some(message) if lost => self.verdict(message.claim, message.purpose, Verdict::Unknown),
                Some(message) => self.put(owner, message),
                None => {}
            },
            Step::Reply { pick, lost } => {
                if let Some((claim, purpose, verdict)) = take(&mut self.replies, pick) {
                    self.verdict(claim, purpose, if lost { Verdict::Unknown } else { verdict });
                }
            }
            Step::Target { pick, end } => self.target(pick, end),
            Step::Advance { millis } => self.advance(Duration::from_millis(millis)),
            Step::Outage(down) => self.platform.down = down,
            Step::Crash { entry } => self.crash(entry),
        }
    }

    fn start(&mut self, entry: usize, key: usize, body: bool) {
        self.next += 1;
        let account = Account::new("crews").expect("valid name");
        let service = Service::new("pay").expect("valid name");
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&self.next.to_le_bytes());
        let record = Record {
            key: Key::new(&account, &service, &key.to_string()),
            claim: Claim::from_random(bytes),
            entry: Entry::new(format!("e{entry}")).expect("valid name"),
            target: Target::new("pay-1").expect("valid name"),
            body: Digest::new("/pay", &[u8::from(body)]),
            at_ms: self.now.since_start().as_millis().try_into().unwrap_or(u64::MAX),
            state: State::Claimed,
        };
        let claim = record.claim;
        self.claims.insert(claim, (record.key, record.body));
        let (machine, commands) = Machine::start(self.now, record, Timeouts::default(), !self.platform.down);
        self.hosts[entry].machines.insert(claim, machine);
        self.execute(claim, commands);
    }

    fn host_of(&self, claim: Claim) -> Option<usize> {
        self.hosts.iter().position(|host| host.machines.contains_key(&claim))
    }

    fn event(&mut self, claim: Claim, event: Event) {
        let Some(host) = self.host_of(claim) else {
            return;
        };
        let machine = self.hosts[host].machines.get_mut(&claim);
        let commands = machine
            .map(|machine| machine.handle(self.now, event))
            .unwrap_or_default();
        self.execute(claim, commands);
    }

    fn execute(&mut self, claim: Claim, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Claim(record) => self.message(claim, Purpose::Claim, Put::Claim(record)),
                Command::Record(key, of, state) => {
                    let put = Put::Outcome { key, claim: of, state };
                    self.message(claim, Purpose::Record, put);
                }
                Command::Close(record) => {
                    let (purpose, put) = (Purpose::Close, Put::Tombstone(record));
                    if let Some(host) = self.host_of(claim) {
                        self.put(host, Message { claim, purpose, put });
                    }
                }
                Command::ReadSegment(name) => {
                    let key = self.claims[&claim].0;
                    let segment = self.platform.segments.get(&name);
                    let found = segment.and_then(|segment| segment.records.iter().find(|record| record.key == key));
                    let found = Ok(found.cloned());
                    self.event(claim, Event::Segment(found));
                }
                Command::Send(_) => {
                    assert!(
                        !self.reported.iter().any(|(reported, _)| *reported == claim),
                        "sent after the caller was answered"
                    );
                    self.sends.push(claim);
                    self.sent.push(claim);
                }
                Command::LookUp(record) => {
                    let ran = self.ran.contains(&record.key);
                    self.event(claim, Event::LookedUp(if ran { Lookup::Done } else { Lookup::Unknown }));
                }
                Command::Answer(outcome) => self.reported.push((claim, outcome)),
            }
        }
    }

    fn message(&mut self, claim: Claim, purpose: Purpose, put: Put) {
        self.messages.push(Message { claim, purpose, put });
    }

    fn put(&mut self, host: usize, message: Message) {
        self.next += 1;
        let ticket = Ticket::new(self.next);
        self.hosts[host]
            .tickets
            .insert(ticket, (message.claim, message.purpose));
        let until = self.now + Duration::from_millis(250);
        let (put, wall_ms) = (message.put, 0);
        self.batch(
            host,
            BatchEvent::Put {
                ticket,
                put,
                until,
                wall_ms,
            },
        );
    }

    fn batch(&mut self, host: usize, event: BatchEvent) {
        let commands = self.hosts[host].batch.handle(self.now, event);
        for command in commands {
            match command {
                BatchCommand::Reply(ticket, verdict) => {
                    let (claim, purpose) = self.hosts[host]
                        .tickets
                        .remove(&ticket)
                        .expect("one reply for each ticket");
                    self.replies.push((claim, purpose, verdict));
                }
                command => self.calls.push((host, self.hosts[host].incarnation, command)),
            }
        }
    }

    fn call(&mut self, pick: usize, delivery: Delivery) {
        let Some((host, incarnation, command)) = take(&mut self.calls, pick) else {
            return;
        };
        let event = match delivery {
            _ if self.platform.down => failed(&command, Failure::Refused),
            Delivery::Answered => self.platform.handle(command),
            Delivery::NeverArrives => failed(&command, Failure::Lost),
            Delivery::AnswerLost => {
                let lost = failed(&command, Failure::Lost);
                self.platform.handle(command);
                lost
            }
            Delivery::EffectLate => {
                let lost = failed(&command, Failure::Lost);
                if let BatchCommand::Write(base, shard) = command {
                    self.late_writes.push((base, shard));
                }
                lost
            }
        };
        if let Some(event) = event.filter(|_| self.hosts[host].incarnation == incarnation) {
            self.batch(host, event);
        }
    }

    fn verdict(&mut self, claim: Claim, purpose: Purpose, verdict: Verdict) {
        let event = match purpose {
            Purpose::Claim => Event::Claimed(verdict),
            Purpose::Close => Event::Closed(verdict),
            Purpose::Record => Event::Recorded(verdict),
        };
        self.event(claim, event);
    }

    fn target(&mut self, pick: usize, end: End) {
        let Some(claim) = take(&mut self.sends, pick) else {
            return;
        };
        let key = self.claims[&claim].0;
        match end {
            End::Answered | End::LostAfterRun => self.ran.push(key),
            End::LostBeforeRun => self.pending_runs.push(key),
            // The call counts as sent only when a connection was made.
            End::NotConnected => self.sent.retain(|sent| *sent != claim),
        }
        let call = match end {
            End::Answered => Call::Answered(Answer::new(200, b"paid")),
            End::LostAfterRun | End::LostBeforeRun => Call::Lost,
            End::NotConnected => Call::NotConnected,
        };
        self.event(claim, Event::Called(call));
    }

    fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
        self.ran.append(&mut self.pending_runs);
        for host in 0..ENTRIES {
            self.batch(host, BatchEvent::Tick);
            let claims = self.hosts[host].machines.keys().copied().collect::<Vec<_>>();
            for claim in claims {
                self.event(claim, Event::Tick);
            }
        }
    }

    fn crash(&mut self, entry: usize) {
        let dead = std::mem::replace(&mut self.hosts[entry], Host::new(self.next + 1));
        // Claimants at other entries see their connection to the crashed owner close.
        let lost = dead.tickets.into_values();
        self.replies
            .extend(lost.map(|(claim, purpose)| (claim, purpose, Verdict::Unknown)));
        // Writes that the crashed entry sent to the platform may still arrive, and calls that it decided on may have
        // been sent.
        let (calls, kept) = std::mem::take(&mut self.calls)
            .into_iter()
            .partition(|call| call.0 == entry);
        self.calls = kept;
        let calls: Vec<(usize, u64, BatchCommand)> = calls;
        self.late_writes
            .extend(calls.into_iter().filter_map(|(_, _, command)| match command {
                BatchCommand::Write(base, shard) => Some((base, shard)),
                _ => None,
            }));
        for claim in dead.machines.into_keys() {
            if let Some(position) = self.sends.iter().position(|sent| *sent == claim) {
                self.sends.remove(position);
                self.pending_runs.push(self.claims[&claim].0);
            }
        }
    }

    fn check(&self) {
        for (index, claim) in self.sent.iter().enumerate() {
            let key = self.claims[claim].0;
            let again = self.sent[..index].iter().any(|other| self.claims[other].0 == key);
            assert!(!again, "key {key:?} was sent twice");
        }
        for (claim, outcome) in &self.reported {
            let (key, body) = self.claims[claim];
            let sent = self.sent.iter().any(|other| self.claims[other].0 == key);
            match outcome {
                Outcome::NotRun(Scope::Key) => assert!(!sent, "not run was reported for key {key:?}, which was sent"),
                Outcome::NotRun(Scope::Request) => assert!(!self.sent.contains(claim), "not run reported after a send"),
                Outcome::Answered | Outcome::Recorded(_) => assert!(self.ran.contains(&key), "no run of {key:?}"),
                Outcome::Mismatch => {
                    let other = self
                        .claims
                        .values()
                        .any(|(other, digest)| *other == key && *digest != body);
                    assert!(other, "mismatch without another body");
                }
                Outcome::Unknown => {}
            }
        }
    }

    // Ends all faults, lets time pass, and checks that every surviving claimant has answered and finished.
    fn settle(&mut self) {
        self.platform.down = false;
        for (base, shard) in std::mem::take(&mut self.late_writes) {
            let _ = self.platform.write(base, shard);
        }
        for _ in 0..200 {
            for _ in 0..20 {
                self.call(0, Delivery::Answered);
                self.step(&Step::Message {
                    pick: 0,
                    owner: 0,
                    lost: false,
                });
                self.step(&Step::Reply { pick: 0, lost: false });
                self.target(0, End::Answered);
            }
            self.advance(Duration::from_millis(100));
            self.check();
        }
        for (claim, machine) in self.hosts.iter().flat_map(|host| &host.machines) {
            let answers = self.reported.iter().filter(|(reported, _)| reported == claim).count();
            assert!(
                machine.is_finished() && answers == 1,
                "{answers} answers of {machine:?}"
            );
        }
        let records = self.platform.object.iter().flat_map(|(_, shard)| &shard.records);
        for record in records {
            let refused = (record.claim, Outcome::NotRun(Scope::Request));
            assert!(!self.reported.contains(&refused), "a refused request left {record:?}");
        }
    }
}

fn take<T>(list: &mut Vec<T>, pick: usize) -> Option<T> {
    (!list.is_empty()).then(|| list.remove(pick % list.len()))
}

struct Claims;

impl StateMachineTest for Claims {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut state: World, (): &(), transition: Step) -> World {
        state.step(&transition);
        state
    }

    fn check_invariants(state: &World, (): &()) {
        state.check();
    }

    fn teardown(mut state: World, (): ()) {
        state.settle();
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 1_500,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    })]

    #[test]
    fn actions_run_at_most_once_and_are_answered(sequential 50..150 => Claims);
}
