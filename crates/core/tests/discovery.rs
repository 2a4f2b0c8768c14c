//! Address offers to callers, and draining.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::discovery::{Caller, Candidate, Command, Drain, Event, alternative, offer};
use hawthornpost_core::id::{Account, Entry};
use test_case::test_case;

const LIFETIME: Duration = Duration::from_secs(10);
const STREAM_LIMIT: Duration = Duration::from_secs(60);

fn candidates(weights: &[u32]) -> Vec<Candidate> {
    let candidate = |(index, weight): (usize, &u32)| Candidate {
        entry: format!("e{index}").parse().unwrap(),
        address: format!("10.0.0.{index}:80").parse().unwrap(),
        data_centre: "perth".parse().unwrap(),
        weight: *weight,
        accepts_work: true,
    };
    weights.iter().enumerate().map(candidate).collect()
}

/// Returns the first entry offered to each of 2,000 callers of one account.
fn first_entries(candidates: &[Candidate]) -> Vec<Entry> {
    let account: Account = "crews".parse().unwrap();
    (0..2000)
        .map(|origin| {
            let origin = format!("10.1.{origin}");
            let caller = Caller {
                account: &account,
                origin: &origin,
            };
            offer(caller, candidates, LIFETIME).entries[0].entry.clone()
        })
        .collect()
}

/// Guards against an entry that receives more callers than its weight allows, including callers of a single large
/// account.
#[test]
fn callers_are_spread_by_weight() {
    let mut counts = BTreeMap::new();
    for entry in first_entries(&candidates(&[10, 10, 20, 0])) {
        *counts.entry(entry).or_insert(0_usize) += 1;
    }
    let count = |name: &str| counts.get(&name.parse::<Entry>().unwrap()).copied().unwrap_or(0);
    assert!(
        count("e0").abs_diff(500) < 60 && count("e2").abs_diff(1000) < 80,
        "{counts:?}"
    );
    assert_eq!(count("e3"), 0);
}

/// Guards against the loss of an entry that moves callers of other entries, or moves all its callers to one entry.
#[test]
fn loss_of_an_entry_moves_only_its_callers() {
    let all = candidates(&[10; 8]);
    let mut closed = all.clone();
    closed[3].accepts_work = false;
    let lost: Entry = "e3".parse().unwrap();
    let mut moved = BTreeMap::new();
    for (before, after) in first_entries(&all).into_iter().zip(first_entries(&closed)) {
        if before == lost {
            *moved.entry(after).or_insert(0_usize) += 1;
        } else {
            assert_eq!(before, after);
        }
    }
    assert_eq!(moved.len(), 7, "the callers are spread over all others: {moved:?}");
}

/// Guards against a full entry that redirects a caller to itself.
#[test]
fn full_entry_names_another() {
    let account: Account = "crews".parse().unwrap();
    let caller = Caller {
        account: &account,
        origin: "10.1.1.1",
    };
    let all = candidates(&[10, 10]);
    assert_eq!(alternative(caller, &all, &all[0].entry).unwrap().entry, all[1].entry);
    assert_eq!(alternative(caller, &all[..1], &all[0].entry), None);
}

/// Guards against a drain that refuses callers whose cached address is still valid, or that ends streams early.
#[test_case(&[], &[]; "nothing happens before the lifetime has passed")]
#[test_case(&[(9, 0)], &[]; "nothing happens before that even without streams")]
#[test_case(&[(10, 1)], &[Command::StopAccepting]; "new work is refused after the lifetime")]
#[test_case(&[(10, 1), (69, 1)], &[Command::StopAccepting]; "streams continue until the limit")]
#[test_case(&[(10, 1), (30, 0)], &[Command::StopAccepting, Command::Stop]; "the entry stops after the last stream")]
#[test_case(&[(10, 1), (70, 1)], &[Command::StopAccepting, Command::HandOver]; "the remaining streams are handed over at the limit")]
#[test_case(&[(99, 0)], &[Command::StopAccepting, Command::Stop]; "a late event performs all steps")]
fn drain(events: &[(u64, usize)], expected: &[Command]) {
    let mut drain = Drain::new(LIFETIME, STREAM_LIMIT);
    assert_eq!(drain.handle(Instant::ZERO, Event::Leave), [Command::Withdraw]);
    assert_eq!(
        drain.handle(Instant::ZERO, Event::Leave),
        [],
        "leaving twice changes nothing"
    );
    assert!(!drain.is_offered() && drain.accepts());
    let mut commands = Vec::new();
    for (seconds, open) in events {
        let now = Instant::from_start(Duration::from_secs(*seconds));
        commands.extend(drain.handle(now, Event::RunningWork(*open)));
    }
    assert_eq!(commands, expected);
    assert_eq!(drain.accepts(), !expected.contains(&Command::StopAccepting));
}
