//! Claims: the claimant's state machine, the rules of a shard, batching of writes, sealing and retention.

use std::time::Duration;

use hawthornpost_core::claim::{
    Answer, Batch, BatchCommand, BatchEvent, Call, Command, Digest, Event, Index, Key, Lookup, Machine, Outcome,
    Policy, Put, Record, Scope, Segment, Shard, State, Ticket, Timeouts, Verdict,
};
use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::{Account, Claim, Entry, Service, Target};
use hawthornpost_core::platform::{Failure, Version};
use test_case::test_case;

const NOW_MS: u64 = 1_800_000_000_000;

fn record(key: u64, claim: u8, state: State) -> Record {
    let account = Account::new("crews").expect("valid name");
    let service = Service::new("pay").expect("valid name");
    Record {
        key: Key::new(&account, &service, &key.to_string()),
        claim: Claim::from_random([claim; 16]),
        entry: Entry::new("e1").expect("valid name"),
        target: Target::new("pay-1").expect("valid name"),
        body: Digest::new("/pay", b"{}"),
        at_ms: NOW_MS,
        state,
    }
}

fn own() -> Record {
    record(1, 1, State::Claimed)
}

fn done() -> State {
    State::Done(Answer::new(200, b"{\"paid\": 1}"))
}

fn other_body() -> Record {
    Record {
        body: Digest::new("/pay", b"{\"sum\": 2}"),
        ..record(1, 2, done())
    }
}

fn start() -> Machine {
    Machine::start(Instant::ZERO, own(), Timeouts::default(), true).0
}

// Guards against a call sent without a confirmed claim, and against reporting "not run" without proof.
#[test_case(Verdict::Stored => vec![Command::Send(own().claim)]; "confirmed")]
#[test_case(Verdict::Refused => vec![Command::Answer(Outcome::NotRun(Scope::Request))]; "not written")]
#[test_case(Verdict::Unknown => vec![Command::Close(own())]; "answer lost")]
#[test_case(Verdict::Held(record(1, 2, State::Claimed)) => vec![Command::LookUp(record(1, 2, State::Claimed))]; "another claim")]
#[test_case(Verdict::Held(record(1, 2, done())) => vec![Command::Answer(Outcome::Recorded(Answer::new(200, b"{\"paid\": 1}")))]; "recorded")]
#[test_case(Verdict::Held(record(1, 2, State::NotRun)) => vec![Command::Answer(Outcome::NotRun(Scope::Key))]; "closed earlier")]
#[test_case(Verdict::Held(other_body()) => vec![Command::Answer(Outcome::Mismatch)]; "another body")]
#[test_case(Verdict::Sealed("shard-01-9".to_owned()) => vec![Command::ReadSegment("shard-01-9".to_owned())]; "in a segment")]
fn claim_verdict(verdict: Verdict) -> Vec<Command> {
    start().handle(Instant::from_millis(5), Event::Claimed(verdict))
}

#[test_case(Verdict::Stored => vec![Command::Answer(Outcome::NotRun(Scope::Key))]; "tombstone written")]
#[test_case(Verdict::Held(own()) => vec![Command::Send(own().claim)]; "the lost write took effect")]
#[test_case(Verdict::Unknown => Vec::<Command>::new(); "tombstone lost")]
#[test_case(Verdict::Refused => Vec::<Command>::new(); "tombstone not written")]
fn close_verdict(verdict: Verdict) -> Vec<Command> {
    let mut machine = start();
    machine.handle(Instant::from_millis(5), Event::Claimed(Verdict::Unknown));
    machine.handle(Instant::from_millis(9), Event::Closed(verdict))
}

// Guards against reporting "not run" after a lost response or after a status lookup without a result.
#[test_case(Call::Answered(Answer::new(200, b"{\"paid\": 1}")), None => vec![Outcome::Answered]; "answered")]
#[test_case(Call::NotConnected, None => vec![Outcome::NotRun(Scope::Key)]; "not connected")]
#[test_case(Call::Lost, Some(Lookup::Unknown) => vec![Outcome::Unknown]; "lost")]
#[test_case(Call::Lost, Some(Lookup::Done) => vec![Outcome::Recorded(Answer::resolved())]; "lost and resolved")]
fn call_result(call: Call, found: Option<Lookup>) -> Vec<Outcome> {
    let mut machine = start();
    machine.handle(Instant::ZERO, Event::Claimed(Verdict::Stored));
    let mut commands = machine.handle(Instant::ZERO, Event::Called(call));
    commands.extend(
        found
            .into_iter()
            .flat_map(|found| machine.handle(Instant::ZERO, Event::LookedUp(found))),
    );
    let outcomes = commands.into_iter().filter_map(|command| match command {
        Command::Answer(outcome) => Some(outcome),
        _ => None,
    });
    outcomes.collect()
}

// Guards against sending the call after the caller got the outcome "unknown".
#[test]
fn late_confirmation_is_recorded_as_not_run() {
    let mut machine = start();
    machine.handle(Instant::from_millis(1_000), Event::Tick);
    let answered_late = machine.handle(Instant::from_millis(3_000), Event::Tick);
    assert_eq!(answered_late, [Command::Answer(Outcome::Unknown)]);
    let late = machine.handle(Instant::from_millis(3_500), Event::Closed(Verdict::Held(own())));
    assert_eq!(late, [Command::Record(own().key, own().claim, State::NotRun)]);
}

#[test]
fn action_is_refused_without_a_write_while_the_platform_is_down() {
    let (machine, commands) = Machine::start(Instant::ZERO, own(), Timeouts::default(), false);
    assert_eq!(commands, [Command::Answer(Outcome::NotRun(Scope::Request))]);
    assert!(machine.is_finished());
}

// Guards against a second claim for a key and against changes of a settled record.
#[test_case(&Put::Claim(own()) => Some(Verdict::Stored); "same claim again")]
#[test_case(&Put::Claim(record(1, 2, State::Claimed)) => Some(Verdict::Held(own())); "second claim")]
#[test_case(&Put::Tombstone(own()) => Some(Verdict::Held(own())); "tombstone over a claim")]
#[test_case(&Put::Outcome { key: own().key, claim: own().claim, state: done() } => None; "outcome")]
#[test_case(&Put::Outcome { key: own().key, claim: Claim::from_random([2; 16]), state: done() } => Some(Verdict::Held(own())); "outcome of another claim")]
#[test_case(&Put::Claim(record(2, 1, State::Claimed)) => Some(Verdict::Sealed("shard-00-1".to_owned())); "key in a segment")]
#[test_case(&Put::Claim(record(3, 1, State::Claimed)) => None; "free key")]
fn shard_rule(put: &Put) -> Option<Verdict> {
    let mut index = Index::default();
    let records = vec![record(2, 9, done())];
    index.add("shard-00-1", &Segment { records });
    let mut shard = Shard::default();
    shard.apply(&Put::Claim(own()), &index);
    shard.apply(put, &index)
}

fn put(number: u64, put: Put) -> BatchEvent {
    until(Instant::ZERO, number, put)
}

fn until(now: Instant, number: u64, put: Put) -> BatchEvent {
    BatchEvent::Put {
        ticket: Ticket::new(number),
        put,
        until: now + Duration::from_secs(1),
        wall_ms: NOW_MS,
    }
}

fn shard(records: Vec<Record>) -> Shard {
    Shard {
        records,
        ..Shard::default()
    }
}

// Guards against one write per claim: changes that arrive during a write are combined into the next one.
#[test]
fn batch_combines_changes() {
    let mut batch = Batch::new(0, Policy::default());
    assert_eq!(
        batch.handle(Instant::ZERO, put(1, Put::Claim(own()))),
        [BatchCommand::Read]
    );
    let first = batch.handle(Instant::ZERO, BatchEvent::Read(Ok(None)));
    assert_eq!(first, [BatchCommand::Write(None, shard(vec![own()]))]);
    for number in 2..10 {
        let claim = Put::Claim(record(number, 1, State::Claimed));
        assert_eq!(batch.handle(Instant::from_millis(5), put(number, claim)), []);
    }
    let mut answered = batch.handle(Instant::from_millis(8), BatchEvent::Written(Ok(Version::from(1))));
    assert_eq!(answered.remove(0), BatchCommand::Reply(Ticket::new(1), Verdict::Stored));
    assert!(matches!(answered.as_slice(), [BatchCommand::Write(_, shard)] if shard.records.len() == 9));
}

// Guards against exceeding the write rate of a shard, and against outcomes that cause writes of their own while claims
// arrive.
#[test]
fn write_rate_is_limited() {
    let mut batch = Batch::new(0, Policy::default());
    batch.handle(Instant::ZERO, put(0, Put::Claim(own())));
    let mut commands = batch.handle(Instant::ZERO, BatchEvent::Read(Ok(None)));
    let mut writes = 0;
    for number in 2..2_000_u64 {
        let now = Instant::from_millis(number * 5);
        if commands
            .iter()
            .any(|command| matches!(command, BatchCommand::Write(..)))
        {
            writes += 1;
            batch.handle(now, BatchEvent::Written(Ok(Version::from(number))));
        }
        let claim = record(number, 1, State::Claimed);
        commands = batch.handle(now, until(now, number, Put::Claim(claim)));
    }
    assert!((36..=45).contains(&writes), "{writes} writes in 10 s");
}

#[test]
fn outcome_shares_a_write_with_the_next_claim() {
    let mut batch = Batch::new(0, Policy::default());
    batch.handle(Instant::ZERO, put(1, Put::Claim(own())));
    batch.handle(Instant::ZERO, BatchEvent::Read(Ok(None)));
    batch.handle(Instant::ZERO, BatchEvent::Written(Ok(Version::from(1))));
    let (key, claim, state) = (own().key, own().claim, done());
    let outcome = Put::Outcome { key, claim, state };
    assert_eq!(batch.handle(Instant::from_millis(20), put(2, outcome)), []);
    assert_eq!(batch.deadline(), Some(Instant::from_millis(510)));
    let together = batch.handle(
        Instant::from_millis(40),
        put(3, Put::Claim(record(3, 1, State::Claimed))),
    );
    assert!(matches!(together.as_slice(), [BatchCommand::Write(_, shard)] if shard.records[0].state == done()));
}

// Guards against `Refused` while a lost write may still take effect, and against `Unknown` once it no longer can.
#[test_case(None => Verdict::Unknown; "the object is as before")]
#[test_case(Some((Version::from(4), shard(vec![]))) => Verdict::Refused; "the object has a newer version without it")]
#[test_case(Some((Version::from(4), shard(vec![own()]))) => Verdict::Stored; "the lost write took effect")]
fn lost_write(found: Option<(Version, Shard)>) -> Verdict {
    let mut batch = Batch::new(0, Policy::default());
    batch.handle(Instant::ZERO, put(1, Put::Claim(own())));
    batch.handle(Instant::ZERO, BatchEvent::Read(Ok(None)));
    batch.handle(Instant::from_millis(400), BatchEvent::Written(Err(Failure::Lost)));
    let mut commands = batch.handle(Instant::from_millis(500), BatchEvent::Read(Ok(found)));
    commands.extend(batch.handle(Instant::from_millis(600), BatchEvent::Written(Err(Failure::Conflict))));
    commands.extend(batch.handle(Instant::from_millis(1_000), BatchEvent::Tick));
    let verdict = commands.into_iter().find_map(|command| match command {
        BatchCommand::Reply(_, verdict) => Some(verdict),
        _ => None,
    });
    verdict.expect("the claimant is answered at its deadline")
}

// Guards against a shard that exceeds the platform's value size, and against sealing a claim that is not yet settled.
#[test]
fn full_shard_is_sealed() {
    let settled = (0..1_800).map(|number| record(number, 1, done()));
    let mut shard = shard(settled.chain([record(9_999, 1, State::Claimed)]).collect());
    let bytes = serde_json::to_vec(&shard).expect("serializable").len();
    let estimate = shard.estimated_bytes();
    assert!(
        estimate >= bytes && estimate < bytes * 5 / 4,
        "estimated {estimate}, serialized {bytes}"
    );
    let (sealed, segment) = shard
        .seal(3, Version::from(7), Policy::default())
        .expect("the shard is full");
    assert_eq!((sealed.name.as_str(), segment.records.len()), ("shard-03-7", 1_800));
    shard.sealed(sealed);
    assert_eq!(shard.records, [record(9_999, 1, State::Claimed)]);
    assert_eq!(shard.expire(NOW_MS + 86_400_001, Policy::default()), ["shard-03-7"]);
    assert_eq!(shard, Shard::default());
}
