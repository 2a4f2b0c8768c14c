//! Which parts of prompts a host quarantines, and what it tells others.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_gateway::prompt::{Part, Parts};
use hawthornpost_gateway::quarantine::{Crash, Quarantine, Snapshot, Verdict};

const START: Instant = Instant::from_millis(1_000_000);
const DEADLY: &str = "deadly";

fn at(millis: u64) -> Instant {
    START + Duration::from_millis(millis)
}

fn parts(ids: &[&str]) -> Parts {
    ids.iter().filter_map(|id| Part::new(id)).collect()
}

fn crash(engine: u64, request: &str) -> Crash {
    Crash {
        engine: format!("engine-{engine}"),
        request: request.to_owned(),
    }
}

fn is_refused(quarantine: &Quarantine, ids: &[&str]) -> bool {
    quarantine.quarantined("another request", &parts(ids)).is_some()
}

/// Returns a quarantine after crashes of requests with the same parts.
fn after_crashes(count: u64) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for index in 0..count {
        let request = format!("r-{index}");
        quarantine.record_crash(at(index * 1000), &crash(index, &request), &parts(&["first", DEADLY]));
    }
    quarantine
}

/// Guards against a request that crashes a third engine, and against others that are refused because of it alone.
#[test]
fn a_request_is_refused_after_its_second_crash() {
    let mut quarantine = Quarantine::default();
    let prompt = parts(&["first", DEADLY]);
    quarantine.record_crash(at(0), &crash(0, "r"), &prompt);
    assert_eq!(quarantine.quarantined("r", &prompt), None);
    quarantine.record_crash(at(50), &crash(1, "r"), &prompt);
    assert!(quarantine.quarantined("r", &prompt).is_some());
    assert!(!is_refused(&quarantine, &["first", DEADLY]));
}

/// Guards against sound requests that are refused because they share one part with a deadly one.
#[test]
fn requests_with_only_some_of_the_suspected_parts_are_allowed() {
    let quarantine = after_crashes(3);
    assert!(is_refused(&quarantine, &["first", DEADLY]));
    assert!(!is_refused(&quarantine, &["first"]));
    assert!(!is_refused(&quarantine, &["first", "other"]));
}

/// Guards against sound requests that are refused because one of them waited at an engine that a request with the same
/// first part crashed: then the first part was at as many crashes as the deadly one.
#[test]
fn a_bystander_with_the_same_first_part_is_allowed() {
    let mut quarantine = after_crashes(3);
    quarantine.record_crash(at(1000), &crash(1, "bystander"), &parts(&["first"]));
    assert!(!is_refused(&quarantine, &["first"]));
    assert!(!is_refused(&quarantine, &["first", "other"]));
    assert!(is_refused(&quarantine, &["first", DEADLY]));
}

/// Guards against a deadly request that is tried because the trial of its other part is due.
#[test]
fn a_request_with_two_quarantined_parts_is_tried_only_when_both_are_due() {
    let mut quarantine = Quarantine::default();
    for index in 0..8 {
        let (part, time) = if index < 4 { ("early", 0) } else { (DEADLY, 28_000) };
        let request = format!("r-{index}");
        let at = at(time + index * 1000);
        quarantine.record_crash(at, &crash(index, &request), &parts(&[part]));
    }
    let both = parts(&["early", DEADLY]);
    assert!(matches!(quarantine.admit(at(40_000), "r", &both), Verdict::Refused(_)));
    assert!(matches!(quarantine.admit(at(80_000), "r", &both), Verdict::Trial(_)));
    assert!(matches!(quarantine.admit(at(80_001), "r", &both), Verdict::Refused(_)));
}

/// Guards against a deadly part that escapes in a request with another first part after the first parts were cleared.
#[test]
fn a_cleared_part_leaves_the_others_suspected() {
    let mut quarantine = after_crashes(4);
    assert!(!is_refused(&quarantine, &["second", DEADLY]));
    let cleared = quarantine.record_begun(at(3500), &parts(&["first"]));
    assert_eq!(cleared, parts(&["first"]));
    assert!(is_refused(&quarantine, &["second", DEADLY]));
    assert!(!is_refused(&quarantine, &["first", "second"]));
}

/// Guards against a deadly part that hides behind different first parts.
#[test]
fn a_part_is_recognised_in_different_requests() {
    let mut quarantine = Quarantine::default();
    for index in 0..3 {
        let first = format!("first-{index}");
        quarantine.record_crash(
            at(index * 500),
            &crash(index, &format!("r-{index}")),
            &parts(&[&first, DEADLY]),
        );
    }
    assert!(is_refused(&quarantine, &["first-9", DEADLY]));
    assert!(!is_refused(&quarantine, &["first-0"]));
}

/// Guards against a quarantine of a popular part when many engines of a data centre crash at once.
#[test]
fn engines_that_crash_at_once_do_not_quarantine_a_shared_part() {
    let mut quarantine = Quarantine::default();
    for index in 0..11 {
        let request = format!("r-{index}");
        quarantine.record_crash(at(index * 10), &crash(index, &request), &parts(&["popular"]));
    }
    assert!(!is_refused(&quarantine, &["popular"]));
}

/// Guards against a bystander that is refused because it waited at two of the engines that a deadly part crashed.
#[test]
fn a_bystander_of_several_crashes_is_allowed() {
    let mut quarantine = Quarantine::default();
    for index in 0..3 {
        let first = format!("first-{index}");
        let request = format!("r-{index}");
        quarantine.record_crash(at(index * 500), &crash(index, &request), &parts(&[&first, DEADLY]));
    }
    for index in 0..2 {
        quarantine.record_crash(at(index * 500), &crash(index, "bystander"), &parts(&["rare"]));
    }
    assert!(!is_refused(&quarantine, &["rare"]));
    assert!(is_refused(&quarantine, &[DEADLY]));
}

/// Guards against a repaired model that never serves the part again, and against a trial by each request.
#[test]
fn one_request_is_tried_after_a_quiet_time() {
    let mut quarantine = after_crashes(4);
    let prompt = parts(&["first", DEADLY]);
    assert!(matches!(
        quarantine.admit(at(20_000), "r", &prompt),
        Verdict::Refused(_)
    ));
    assert!(matches!(
        quarantine.admit(at(45_000), "r", &prompt),
        Verdict::Refused(_)
    ));
    assert!(matches!(quarantine.admit(at(76_000), "r", &prompt), Verdict::Trial(_)));
    assert!(matches!(
        quarantine.admit(at(76_010), "r", &prompt),
        Verdict::Refused(_)
    ));
    quarantine.record_begun(at(77_000), &prompt);
    assert_eq!(quarantine.admit(at(77_010), "r", &prompt), Verdict::Allowed);
}

/// Guards against a second trial by another host.
#[test]
fn a_trial_is_told_to_other_hosts() {
    let mut first = after_crashes(4);
    let mut second = Quarantine::default();
    second.merge(at(4000), &first.snapshot(at(4000)).expect("evidence"));
    let prompt = parts(&["first", DEADLY]);
    assert!(matches!(first.admit(at(40_000), "r", &prompt), Verdict::Trial(_)));
    let notice = first.trial(at(40_010), &Part::new(DEADLY).expect("an id"));
    assert!(serde_json::to_vec(&notice).is_ok_and(|bytes| bytes.len() < 500));
    second.merge(at(40_010), &notice);
    assert!(matches!(second.admit(at(40_020), "r", &prompt), Verdict::Refused(_)));
}

/// Guards against evidence of simultaneous crashes that leaves no room for later ones.
#[test]
fn many_simultaneous_crashes_do_not_hide_later_ones() {
    let mut quarantine = Quarantine::default();
    for index in 0..40 {
        let time = if index < 36 { index } else { index * 1000 };
        let request = format!("r-{index}");
        quarantine.record_crash(at(time), &crash(index, &request), &parts(&[DEADLY]));
    }
    assert!(is_refused(&quarantine, &[DEADLY]));
}

/// Guards against a sound part that stays quarantined after a coincidence, as nothing is sent that could clear it.
#[test]
fn a_request_is_tried_soon_while_a_coincidence_is_possible() {
    let mut quarantine = after_crashes(3);
    let prompt = parts(&["first", DEADLY]);
    assert!(matches!(quarantine.admit(at(5900), "r", &prompt), Verdict::Refused(_)));
    assert!(matches!(quarantine.admit(at(6100), "r", &prompt), Verdict::Trial(_)));
    quarantine.record_crash(at(7000), &crash(9, "r"), &prompt);
    assert!(matches!(
        quarantine.admit(at(12_000), "r", &prompt),
        Verdict::Refused(_)
    ));
}

/// Guards against early trials of a part that crashed many engines within a short time.
#[test]
fn many_simultaneous_crashes_are_no_coincidence() {
    let mut quarantine = after_crashes(3);
    let prompt = parts(&["first", DEADLY]);
    quarantine.record_crash(at(2010), &crash(7, "r-7"), &prompt);
    assert!(matches!(quarantine.admit(at(9000), "r", &prompt), Verdict::Refused(_)));
}

/// Guards against callers that keep a part quarantined for good by sending it again and again.
#[test]
fn a_request_is_tried_at_last_although_requests_keep_coming() {
    let mut quarantine = after_crashes(4);
    let prompt = parts(&["first", DEADLY]);
    let verdicts = (1..400).map(|second| quarantine.admit(at(second * 1000 + 3000), "r", &prompt));
    let trials = verdicts.filter(|verdict| matches!(verdict, Verdict::Trial(_))).count();
    assert_eq!(trials, 1);
}

/// Guards against evidence that is lost or counted twice on its way to a restarted host, also as JSON.
#[test]
fn a_restarted_host_learns_what_is_quarantined() {
    let mut known = after_crashes(4);
    let bytes = serde_json::to_vec(&known.snapshot(at(5000)).expect("evidence")).expect("JSON");
    let snapshot = serde_json::from_slice::<Snapshot>(&bytes).expect("a snapshot");
    let mut restarted = Quarantine::default();
    restarted.merge(at(5010), &snapshot);
    restarted.merge(at(6010), &snapshot);
    assert!(is_refused(&restarted, &["first", DEADLY]));
    assert!(!is_refused(&restarted, &["first"]));
}

/// Guards against late evidence that suspects a part again after it was cleared.
#[test]
fn late_evidence_does_not_undo_a_clearance() {
    let mut late = after_crashes(4);
    let snapshot = late.snapshot(at(3100)).expect("evidence");
    let mut quarantine = Quarantine::default();
    quarantine.merge(at(3100), &snapshot);
    quarantine.record_begun(at(3200), &parts(&["first", DEADLY]));
    quarantine.merge(at(3300), &late.snapshot(at(3300)).expect("evidence"));
    assert!(!is_refused(&quarantine, &["first", DEADLY]));
}

/// Guards against memory and datagrams that grow with the number of parts or crashes.
#[test]
fn evidence_is_bounded() {
    let mut quarantine = after_crashes(4);
    for index in 0..500 {
        let many = (0..Part::MAX_PER_PROMPT).map(|part| format!("part-{index}-{part}-{}", "x".repeat(40)));
        let many = many.filter_map(|id| Part::new(&id)).collect::<Parts>();
        quarantine.record_crash(at(4000 + index * 10), &crash(index, "other"), &many);
    }
    let dump = quarantine.dump(at(9000));
    assert!(dump.as_array().is_some_and(|entries| entries.len() <= 256));
    let snapshot = serde_json::to_vec(&quarantine.snapshot(at(9000))).expect("JSON");
    assert!(snapshot.len() < 60 << 10, "{} bytes", snapshot.len());
    assert!(is_refused(&quarantine, &["first", DEADLY]));
}
