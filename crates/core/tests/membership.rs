//! Membership: precedence of member states, failure detection, and the size of messages.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::membership::{Command, Event, Member, Message, Settings, State, Table};
use test_case::test_case;

fn member(number: u16, incarnation: u64, state: State) -> Member {
    Member {
        name: format!("entry-{number}").parse().expect("a name"),
        peer_address: ([10, 0, 0, 1], number).into(),
        caller_address: ([10, 0, 0, 2], number).into(),
        data_centre: "perth".parse().expect("a name"),
        region: "scotland".parse().expect("a name"),
        incarnation,
        state,
        draining: false,
        config: 0,
    }
}

fn table(others: u16) -> Table {
    let mut table = Table::new(member(0, 10, State::Alive), Vec::new(), Settings::default(), 1);
    let others = (1..=others)
        .map(|number| member(number, 10, State::Alive))
        .collect::<Vec<_>>();
    table.merge(Instant::ZERO, &others);
    table
}

#[test_case((10, State::Alive), (10, State::Suspect), true; "suspicion of the same incarnation")]
#[test_case((10, State::Suspect), (10, State::Alive), false; "alive with the same incarnation does not end a suspicion")]
#[test_case((10, State::Suspect), (11, State::Alive), true; "a refutation ends a suspicion")]
#[test_case((10, State::Dead), (11, State::Alive), true; "a dead member comes back with a higher incarnation")]
#[test_case((11, State::Alive), (10, State::Dead), false; "an old death is ignored")]
#[test_case((10, State::Left), (10, State::Dead), false; "a member that left is not dead")]
fn newer_state_supersedes_older(known: (u64, State), heard: (u64, State), supersedes: bool) {
    assert_eq!(
        member(1, heard.0, heard.1).supersedes(&member(1, known.0, known.1)),
        supersedes
    );
}

/// Runs a table whose probes are never answered and returns all state changes of members with their times.
fn run_without_answers(table: &mut Table, until_secs: u64) -> Vec<(Instant, State)> {
    let mut changes = Vec::new();
    while let Some(now) = table
        .deadline()
        .filter(|now| *now < Instant::from_millis(until_secs * 1000))
    {
        for command in table.handle(now, Event::Tick) {
            if let Command::Changed(member) = command {
                changes.push((now, member.state));
            }
        }
    }
    changes
}

#[test]
fn a_silent_member_is_suspected_and_then_dead() {
    let changes = run_without_answers(&mut table(1), 60);
    let [(suspected, State::Suspect), (dead, State::Dead)] = changes[..] else {
        panic!("{changes:?}")
    };
    assert_eq!(suspected, Instant::from_millis(1000));
    assert_eq!(dead - suspected, Duration::from_secs(3));
}

/// Guards against an entry that suspects others after it was paused itself and received no answers.
#[test]
fn pause_of_this_entry_causes_no_suspicion() {
    let mut table = table(2);
    table.handle(Instant::ZERO, Event::Tick);
    let commands = table.handle(Instant::from_millis(60_000), Event::Tick);
    assert!(
        !commands.iter().any(|command| matches!(command, Command::Changed(_))),
        "{commands:?}"
    );
}

#[test]
fn relays_are_asked_before_suspicion_and_their_answer_counts() {
    let mut table = table(5);
    let ping = table.handle(Instant::ZERO, Event::Tick);
    let Command::Ping { probe, .. } = ping[0] else {
        panic!("{ping:?}")
    };
    let relays = table.handle(Instant::from_millis(300), Event::Tick);
    let is_relayed = |command: &Command| matches!(command, Command::PingVia { probe: number, .. } if *number == probe);
    assert_eq!(relays.iter().filter(|command| is_relayed(command)).count(), 3);
    let message = Message {
        from: member(2, 10, State::Alive),
        updates: Vec::new(),
        payload: 0,
    };
    table.handle(Instant::from_millis(400), Event::Answered { probe, message });
    table.handle(Instant::from_millis(1000), Event::Tick);
    assert!(table.others().all(|member| member.state == State::Alive));
}

/// Guards against a lost probe that removes a live entry permanently: the entry refutes the claim.
#[test_case(State::Suspect)]
#[test_case(State::Dead)]
fn a_claim_about_this_entry_is_refuted(state: State) {
    let mut table = table(1);
    let message = Message {
        from: member(1, 10, State::Alive),
        updates: vec![member(0, 10, state)],
        payload: 0,
    };
    let (answer, _) = table.receive(Instant::ZERO, &message);
    assert_eq!((answer.from.incarnation, answer.from.state), (11, State::Alive));
}

/// A sender that is considered dead receives that state in the answer, and both sides exchange their member lists.
#[test]
fn message_of_a_dead_member_starts_a_sync() {
    let mut table = table(2);
    table.merge(Instant::ZERO, &[member(1, 10, State::Dead)]);
    let message = Message {
        from: member(1, 10, State::Alive),
        updates: Vec::new(),
        payload: 0,
    };
    let (answer, commands) = table.receive(Instant::ZERO, &message);
    assert!(answer.updates.contains(&member(1, 10, State::Dead)));
    assert!(matches!(commands[..], [Command::Sync(_)]));
}

#[test]
fn updates_stay_within_the_byte_limit() {
    let mut table = table(390);
    let empty = Message {
        from: member(1, 10, State::Alive),
        updates: Vec::new(),
        payload: 0,
    };
    let (answer, _) = table.receive(Instant::ZERO, &empty);
    let bytes = serde_json::to_vec(&answer.updates).expect("JSON").len();
    assert!((800..=1200).contains(&bytes), "{bytes}");
}

#[test]
fn leaving_and_draining_are_marked() {
    let mut table = table(1);
    table.set_draining(true);
    assert!(table.own().draining && table.own().incarnation == 11);
    assert_eq!(table.leave().from.state, State::Left);
    assert_eq!(table.live().len(), 2);
    assert_eq!(table.rank(), 0);
}
