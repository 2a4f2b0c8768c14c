//! Load balancing among targets, with failures and restarts.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_gateway::availability::Availability;
use hawthornpost_gateway::departures::Departure;
use hawthornpost_gateway::fleet::{Fleet, Report};
use hawthornpost_gateway::load::Load;
use hawthornpost_gateway::target::Target;
use test_case::test_case;

use support::{NEED, POOL, engine};

const NOW: Instant = Instant::from_millis(100_000);

/// Returns a separate port for each server, except for "old" and "new", which share one.
fn port(id: &str) -> u16 {
    if id == "old" || id == "new" {
        return 8000;
    }
    id.bytes().fold(8001, |port, byte| port * 3 % 20_000 + u16::from(byte))
}

fn target(id: &str, data_centre: &str) -> Target {
    engine(id, data_centre, port(id))
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(7);
    for data_centre in ["a", "b", "c"] {
        for number in 0..6 {
            fleet.put(target(&format!("{data_centre}{number}"), data_centre));
        }
    }
    fleet
}

/// Engines of a data centre crash and restart at their addresses under other ids, and their old entries remain for some
/// heartbeats. Guards against requests to a server that no longer exists, which used up the retry budget (113 responses
/// of another incarnation in one day).
#[test_case(&["old", "new"]; "the later one registers later")]
#[test_case(&["new", "old"]; "a list names the later one first")]
fn a_restarted_server_takes_over_its_address(order: &[&str]) {
    let mut fleet = Fleet::new(7);
    for id in order {
        let started = if *id == "old" { 1 } else { 2 };
        fleet.put(Target {
            started: Some(started),
            ..target(id, "a")
        });
    }
    assert!(!fleet.is_usable(NOW, "old") && fleet.is_usable(NOW, "new"));
    for _ in 0..20 {
        assert_eq!(fleet.choose_stream(NOW, POOL, NEED).expect("a target").id, "new");
    }
}

/// Prompts that take a second of prefill each arrive faster than one engine prefills them. Guards against prompts that
/// queue at one engine while others are idle.
#[test]
fn prompts_are_spread_over_engines() {
    let mut fleet = fleet();
    for _ in 0..18 {
        let chosen = fleet.choose_stream(NOW, POOL, NEED).expect("a target");
        fleet.add_load(&chosen.id, Load::stream(NEED.prompt_tokens, NEED.memory_tokens));
    }
    let max = fleet.targets().map(|target| fleet.own_load(&target.id).streams).max();
    assert_eq!(max, Some(1));
}

/// Several hosts place streams at the same time. Guards against hosts that ignore each other's load and all choose the
/// same engine.
#[test]
fn streams_of_peers_count_as_load() {
    let mut fleet = fleet();
    let loaded = fleet
        .targets()
        .filter(|target| target.id != "b3")
        .map(|target| target.id.clone());
    let loads = loaded
        .map(|id| (id, Load::stream(16_000, 18_800)))
        .collect::<BTreeMap<_, _>>();
    fleet.merge_peer(NOW, "peer", &loads);
    assert_eq!(fleet.choose_stream(NOW, POOL, NEED).expect("a target").id, "b3");
    fleet.remove_peer("peer");
    let chosen = (0..40).map(|_| fleet.choose_stream(NOW, POOL, NEED).expect("a target").id.clone());
    assert!(
        chosen.collect::<std::collections::BTreeSet<_>>().len() > 6,
        "equal engines share the work"
    );
}

/// All engines of a data centre fail within a moment. Guards against streams that are retried at one failed engine of
/// the data centre after the other.
#[test]
fn two_failures_make_a_data_centre_suspect() {
    let mut fleet = fleet();
    assert!(!fleet.suspect(NOW, "a0"));
    assert!(fleet.suspect(NOW + Duration::from_millis(100), "a1"));
    for _ in 0..50 {
        let chosen = fleet
            .choose_stream(NOW + Duration::from_millis(200), POOL, NEED)
            .expect("a target");
        assert_ne!(chosen.data_centre, "a");
    }
    let later = NOW + Duration::from_secs(3);
    assert!(!fleet.is_suspect(later, "a0") && !fleet.is_suspect(later, "a5"));
}

/// Guards against failures that are far apart and still mark a data centre as suspect.
#[test]
fn failures_far_apart_do_not_make_a_data_centre_suspect() {
    let mut fleet = fleet();
    assert!(!fleet.suspect(NOW, "a0"));
    assert!(!fleet.suspect(NOW + Duration::from_secs(1), "a1"));
    assert!(!fleet.is_suspect(NOW + Duration::from_secs(1), "a2"));
}

/// Guards against a backup that is lost in the same outage of a data centre as the engine of its stream.
#[test]
fn backup_is_placed_in_another_data_centre() {
    let mut fleet = fleet();
    let primary = fleet.get("b0").cloned().expect("a target");
    for _ in 0..50 {
        let backup = fleet.choose_backup(NOW, &primary, POOL, NEED).expect("a target");
        assert_ne!(backup.data_centre, "b");
    }
}

/// Guards against streams at an engine whose memory is full while another one has room.
#[test]
fn full_engines_are_avoided() {
    let mut fleet = fleet();
    for id in fleet.targets().map(|target| target.id.clone()).collect::<Vec<_>>() {
        if id != "c1" {
            fleet.add_load(&id, Load::backup(80_000));
        }
    }
    fleet.add_load("c1", Load::stream(24_000, 30_000));
    assert_eq!(fleet.choose_stream(NOW, POOL, NEED).expect("a target").id, "c1");
}

/// One of three servers of a service fails part of its calls although it is listed as healthy. Guards against a server
/// that keeps getting the same share of the calls.
#[test]
fn failing_servers_get_fewer_calls() {
    let mut fleet = Fleet::new(3);
    for id in ["x", "y", "z"] {
        fleet.put(target(id, "a"));
    }
    for _ in 0..30 {
        fleet.record_outcome("x", true);
        fleet.record_outcome("y", false);
    }
    for _ in 0..20 {
        assert_ne!(fleet.choose_call(NOW, POOL).expect("a target").id, "x");
    }
}

/// Guards against a server that is busy with the calls of peers and counts as idle, and against a report that has no
/// expiry.
#[test]
fn load_reports_count_until_they_expire() {
    let mut fleet = Fleet::new(3);
    fleet.put(target("x", "a"));
    fleet.put(target("y", "a"));
    fleet.record_report(
        NOW,
        "x",
        Report {
            running: 6,
            waiting: 9,
            slots: 6,
        },
    );
    assert_eq!(fleet.choose_call(NOW, POOL).expect("a target").id, "y");
    fleet.add_load("y", Load::CALL);
    let later = NOW + Duration::from_secs(2);
    assert_eq!(fleet.choose_call(later, POOL).expect("a target").id, "x");
}

/// Guards against requests to a target after another incarnation responded at its address, until the store lists a new
/// incarnation under its id.
#[test]
fn replaced_target_gets_no_work_until_a_new_incarnation_is_listed() {
    let mut fleet = Fleet::new(3);
    fleet.put(target("x", "a"));
    fleet.mark_replaced("x");
    assert!(fleet.choose_stream(NOW, POOL, NEED).is_none());
    fleet.put(target("x", "a"));
    assert!(fleet.choose_stream(NOW, POOL, NEED).is_none());
    fleet.put(Target {
        started: Some(2),
        ..target("x", "a")
    });
    assert!(fleet.choose_stream(NOW, POOL, NEED).is_some());
}

/// Guards against a late message of a peer that adds a removed target again: a stream was sent to a server 3.2 s after
/// it had announced that it leaves.
#[test]
fn removed_target_is_not_added_again_by_a_peer() {
    let mut fleet = Fleet::new(3);
    fleet.put(target("x", "a"));
    fleet.remove(NOW, "x");
    assert!(!fleet.put_unlisted(NOW, target("x", "a")));
    assert!(fleet.get("x").is_none());
    fleet.put(target("x", "a"));
    assert!(fleet.get("x").is_some(), "the store may list it again");
}

/// Guards against a new incarnation under the same id that inherits load and suspicion.
#[test]
fn new_incarnation_starts_without_load() {
    let mut fleet = Fleet::new(3);
    fleet.put(target("x", "a"));
    fleet.add_load("x", Load::stream(8000, 9400));
    fleet.suspect(NOW, "x");
    fleet.put(Target {
        started: Some(2),
        ..target("x", "a")
    });
    assert!(fleet.own_load("x").is_empty());
    assert!(!fleet.is_suspect(NOW, "x"));
}

/// Guards against targets that are passed on to peers although the store does not list them: those peers never learned
/// of their removal and sent a stream to a server 3.8 s after it had left.
#[test]
fn only_targets_in_the_store_are_passed_on() {
    let mut fleet = Fleet::new(3);
    for id in ["listed", "lapsed"] {
        fleet.put(target(id, "a"));
    }
    fleet.put_unlisted(NOW, target("unlisted", "a"));
    fleet.keep_lapsed("lapsed", NOW + Duration::from_secs(2));
    assert!(fleet.has_lapsed());
    let listed = fleet.listed().map(|target| target.id.as_str()).collect::<Vec<_>>();
    assert_eq!(listed, ["listed"]);
    let overdue = fleet.overdue_lapsed(NOW + Duration::from_secs(2));
    assert_eq!(
        overdue.iter().map(|target| target.id.as_str()).collect::<Vec<_>>(),
        ["lapsed"]
    );
    fleet.put(target("lapsed", "a"));
    assert!(!fleet.has_lapsed(), "the entry came back");
}

/// Half of the engines ask for a pause at the same time, as in a burst. Guards against work for them during the pause, and
/// against all hosts returning with all of their work at its end.
#[test]
fn paused_engines_get_no_work_and_then_gradually_more() {
    let mut fleet = fleet();
    let until = NOW + Duration::from_secs(9);
    let paused = fleet
        .targets()
        .map(|target| target.id.clone())
        .step_by(2)
        .collect::<Vec<_>>();
    for id in &paused {
        fleet.pause(id, until);
        assert_eq!(fleet.availability(NOW, id), Some(Availability::Paused(until)));
    }
    let mut share = |now: Instant| {
        let chosen = (0..400).map(|_| fleet.choose_stream(now, POOL, NEED).expect("a target").id.clone());
        chosen.filter(|id| paused.contains(id)).count()
    };
    assert_eq!(share(NOW + Duration::from_millis(8999)), 0);
    let (early, late) = (
        share(until + Duration::from_millis(200)),
        share(until + Duration::from_secs(2)),
    );
    assert!(early > 0 && early < 100 && late > 150, "{early} {late}");
}

/// Guards against a wait for engines that all ask for a pause, and against a refusal while one of them works.
#[test]
fn the_first_return_is_known_only_when_all_are_paused() {
    let mut fleet = fleet();
    let ids = fleet.targets().map(|target| target.id.clone()).collect::<Vec<_>>();
    for (index, id) in ids.iter().enumerate() {
        assert_eq!(fleet.paused_until(NOW, POOL.service), None);
        fleet.pause(id, NOW + Duration::from_secs(2 + index as u64));
    }
    assert_eq!(
        fleet.paused_until(NOW, POOL.service),
        Some(NOW + Duration::from_secs(2))
    );
    assert!(fleet.choose_stream(NOW, POOL, NEED).is_none());
}

/// Guards against a departed incarnation that returns with its entry, also when the departure was known before the target,
/// and against a restarted one that gets no work.
#[test]
fn a_departure_is_final_for_its_incarnation() {
    let started = |started| Target {
        started: Some(started),
        ..target("a0", "a")
    };
    let mut fleet = Fleet::new(7);
    assert!(fleet.record_departure(NOW, &Departure::of(&started(1))));
    assert!(!fleet.record_departure(NOW, &Departure::of(&started(1))));
    fleet.put(started(1));
    fleet.remove(NOW, "a0");
    fleet.put(started(1));
    assert_eq!(fleet.availability(NOW, "a0"), Some(Availability::Gone));
    fleet.put(started(2));
    assert_eq!(fleet.availability(NOW, "a0"), Some(Availability::Available));
}

/// Half of the engines refuse all requests without asking for a pause. Guards against streams that are offered to them
/// again and again until the retry budget is used up (578 of 829 arrivals were refused on such a day), and against engines
/// that are avoided after they work again.
#[test]
fn engines_that_refuse_are_avoided_while_others_work() {
    let mut fleet = fleet();
    let refusing = fleet
        .targets()
        .map(|target| target.id.clone())
        .step_by(2)
        .collect::<Vec<_>>();
    let mut refusals = 0;
    for step in 0..500 {
        let now = NOW + Duration::from_millis(step * 20);
        let chosen = fleet.choose_stream(now, POOL, NEED).expect("a target").id.clone();
        if refusing.contains(&chosen) {
            refusals += 1;
            fleet.record_refusal(now, &chosen);
        } else {
            fleet.record_response(&chosen);
        }
    }
    assert!(refusals <= 75, "{refusals} of 500 refused");
    for id in &refusing {
        fleet.record_response(id);
    }
    let now = NOW + Duration::from_secs(10);
    let chosen = (0..400).map(|_| fleet.choose_stream(now, POOL, NEED).expect("a target").id.clone());
    assert!(chosen.filter(|id| refusing.contains(id)).count() > 120);
}
