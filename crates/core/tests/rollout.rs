//! Rollouts: merging of counters, steps, comparison of versions, and final verdicts.

use hawthornpost_core::config::Document;
use hawthornpost_core::id::{Model, Rollout};
use hawthornpost_core::rollout::{Command, Metric, Origin, Outcome, Registry, Sample, Side, Verdict};
use jiff::{SignedDuration, Timestamp};
use test_case::test_case;

const RULES: &str = "[model letters]\nversion = v1\n[rollout move]\nmodel = letters\nfrom = v1\nto = v2\n\
    start = 1970-01-01T00:00:00Z\ndeadline = 1970-01-01T02:00:00Z\n";

fn document(rules: &str) -> Document {
    let mut csv = "name,address,data_centre,role,version,model,capacity_tokens,fencing\n".to_owned();
    for version in [1, 2] {
        for n in 0..10 {
            let line = format!("v{version}-{n},10.0.{version}.{n}:80,perth,engine,v{version},letters,1000,checked\n");
            csv.push_str(&line);
        }
    }
    Document::parse(1, &csv, rules).expect("a valid document")
}

fn registry(name: &str) -> Registry {
    let entry = name.parse().expect("a name");
    let mut registry = Registry::new(Origin { entry, incarnation: 1 });
    registry.configure(at(0), &document(RULES));
    registry.set_synchronized();
    registry
}

fn at(seconds: i64) -> Timestamp {
    Timestamp::UNIX_EPOCH + SignedDuration::from_secs(seconds)
}

fn model() -> Model {
    "letters".parse().expect("a name")
}

fn sample(side: Side, target: usize, route: &str, outcome: Outcome) -> Sample {
    let version = if side == Side::Old { "v1" } else { "v2" };
    Sample {
        route: route.parse().expect("a name"),
        side,
        target: format!("{version}-{target}").parse().expect("a name"),
        outcome,
    }
}

/// Records requests on a route; every `bad.0`-th one has the outcome `bad.1`.
fn record_requests(registry: &mut Registry, now: i64, side: Side, count: usize, route: &str, bad: (usize, Outcome)) {
    for n in 0..count {
        let is_bad = bad.0 > 0 && n % bad.0 == 0;
        let outcomes = match (is_bad, bad.1) {
            (true, outcome @ (Outcome::Failed | Outcome::EngineDied)) => vec![outcome],
            (true, outcome) => vec![outcome, Outcome::Served],
            _ => vec![Outcome::FirstToken(400), Outcome::Gap(60, 100), Outcome::Served],
        };
        for outcome in outcomes {
            registry.record(at(now), &model(), &sample(side, n % 10, route, outcome));
        }
    }
}

fn reversal(commands: &[Command]) -> Option<(Metric, String)> {
    commands.iter().find_map(|command| match command {
        Command::Broadcast(_, Verdict::Reversed { reason, .. }) => Some((reason.metric.clone(), reason.to_string())),
        Command::Broadcast(..) => None,
    })
}

const GOOD: (usize, Outcome) = (0, Outcome::Served);

#[test_case(20, (2, Outcome::Failed), true; "half of the requests fail")]
#[test_case(60, (50, Outcome::Failed), false; "one request in fifty fails")]
#[test_case(2, (1, Outcome::Failed), false; "two requests are too little evidence")]
#[test_case(20, (1, Outcome::FirstToken(2000)), true; "the first token is slow")]
#[test_case(60, (10, Outcome::FirstToken(2000)), false; "one first token in ten is slow")]
#[test_case(20, (1, Outcome::Gap(150, 100)), true; "tokens are slow")]
#[test_case(40, (20, Outcome::EngineDied), false; "two engines die")]
fn a_bad_version_is_reversed(requests: usize, bad: (usize, Outcome), reversed: bool) {
    let mut registry = registry("a");
    record_requests(&mut registry, 100, Side::Old, 500, "crews", GOOD);
    record_requests(&mut registry, 100, Side::New, requests, "crews", bad);
    let found = reversal(&registry.evaluate(at(101)));
    assert_eq!(found.is_some(), reversed, "{found:?}");
}

/// Guards against a reversal because of a fault that affects both versions, such as an overloaded network.
#[test]
fn fault_of_both_versions_does_not_reverse() {
    let mut registry = registry("a");
    record_requests(&mut registry, 100, Side::Old, 500, "crews", (3, Outcome::Failed));
    record_requests(&mut registry, 100, Side::New, 60, "crews", (3, Outcome::Failed));
    assert_eq!(reversal(&registry.evaluate(at(101))), None);
}

#[test]
fn a_version_bad_on_one_route_is_reversed_with_the_route_and_the_counts() {
    let mut registry = registry("a");
    for route in ["crews", "notes", "letters"] {
        record_requests(&mut registry, 100, Side::Old, 300, route, GOOD);
        record_requests(
            &mut registry,
            100,
            Side::New,
            30,
            route,
            if route == "notes" { (2, Outcome::Failed) } else { GOOD },
        );
    }
    let (metric, text) = reversal(&registry.evaluate(at(101))).expect("a reversal");
    assert_eq!(metric, Metric::Errors);
    assert!(
        text.contains("route notes: 15 of 30 requests") || text.contains("route notes: 15 of 30 at"),
        "{text}"
    );
    assert!(
        registry.reports()[0]
            .reason
            .as_ref()
            .is_some_and(|reason| *reason == text)
    );
}

/// Guards against a long good history that hides a version which degrades later.
#[test]
fn a_version_that_degrades_later_is_reversed() {
    let mut registry = registry("a");
    record_requests(&mut registry, 100, Side::Old, 5000, "crews", GOOD);
    record_requests(&mut registry, 100, Side::New, 5000, "crews", GOOD);
    assert_eq!(reversal(&registry.evaluate(at(101))), None);
    record_requests(&mut registry, 3000, Side::Old, 50, "crews", GOOD);
    record_requests(&mut registry, 3000, Side::New, 25, "crews", (2, Outcome::Failed));
    assert!(reversal(&registry.evaluate(at(3001))).is_some());
}

#[test]
fn deaths_of_all_engines_reverse_the_version() {
    let mut registry = registry("a");
    record_requests(&mut registry, 100, Side::Old, 500, "crews", GOOD);
    record_requests(&mut registry, 100, Side::New, 10, "crews", GOOD);
    for n in 0..10 {
        registry.record(at(110), &model(), &sample(Side::New, n, "crews", Outcome::EngineDied));
    }
    assert_eq!(
        reversal(&registry.evaluate(at(115))).expect("a reversal").0,
        Metric::Deaths
    );
}

#[test_case(0, 7000, 0; "no evidence keeps the first share")]
#[test_case(49, 7000, 0; "too little evidence keeps the first share")]
#[test_case(50, 7000, 1; "the evidence of one step")]
#[test_case(500, 100, 0; "the plan allows the first step only")]
#[test_case(500, 1500, 2; "the plan allows the third step")]
fn the_share_follows_evidence_and_plan(requests: usize, now: i64, step: u32) {
    let mut registry = registry("a");
    record_requests(&mut registry, now, Side::Old, 500, "crews", GOOD);
    record_requests(&mut registry, now, Side::New, requests, "crews", GOOD);
    registry.evaluate(at(now));
    assert_eq!(registry.reports()[0].share.step, step);
}

/// Guards against moving all traffic to a version whose targets never carried a full load.
#[test]
fn share_stops_until_a_target_has_carried_a_full_load() {
    let mut registry = registry("a");
    record_requests(&mut registry, 6000, Side::Old, 50_000, "crews", GOOD);
    record_requests(&mut registry, 6000, Side::New, 2000, "crews", GOOD);
    registry.evaluate(at(6001));
    let share = registry.reports()[0].share;
    assert_eq!((share.millionths, share.new_targets), (100_000, 1));
}

#[test]
fn late_end_is_reported_early() {
    let mut registry = registry("a");
    record_requests(&mut registry, 100, Side::Old, 10, "crews", GOOD);
    registry.evaluate(at(300));
    let late = registry.reports()[0].share.late.expect("a late end");
    assert!(late > at(7200));
}

/// Guards against counting evidence twice that arrives more than once or through a third entry.
#[test]
fn evidence_is_merged_by_maximum() {
    let (mut a, mut b, mut c) = (registry("a"), registry("b"), registry("c"));
    record_requests(&mut a, 100, Side::New, 30, "crews", GOOD);
    record_requests(&mut b, 100, Side::New, 20, "crews", (1, Outcome::Failed));
    a.evaluate(at(101));
    b.evaluate(at(101));
    for _ in 0..2 {
        let delta = a.delta(&b.known(), 1 << 20);
        b.apply(at(102), &delta);
        let delta = b.delta(&c.known(), 1 << 20);
        c.apply(at(102), &delta);
        let delta = a.delta(&c.known(), 1 << 20);
        c.apply(at(102), &delta);
        let delta = c.delta(&a.known(), 1 << 20);
        a.apply(at(102), &delta);
    }
    assert_eq!(a.state_hash(), c.state_hash());
    assert_eq!(b.state_hash(), c.state_hash());
    assert!(a.delta(&c.known(), 1 << 20).cells.is_empty());
    for registry in [&mut a, &mut c] {
        record_requests(registry, 100, Side::Old, 100, "crews", GOOD);
        let (_, text) = reversal(&registry.evaluate(at(103))).expect("20 of 50 failed");
        assert!(text.contains("20 of 50"), "{text}");
    }
}

/// Guards against a small byte limit that loses evidence instead of delaying it.
#[test]
fn a_bounded_delta_arrives_in_parts() {
    let (mut a, mut b) = (registry("a"), registry("b"));
    for route in 0..20 {
        record_requests(&mut a, 100, Side::New, 5, &format!("route-{route}"), GOOD);
    }
    a.evaluate(at(101));
    let mut parts = 0;
    while a.state_hash() != b.state_hash() {
        let delta = a.delta(&b.known(), 600);
        assert!(!delta.cells.is_empty());
        b.apply(at(102), &delta);
        parts += 1;
        assert!(parts < 100, "the evidence does not arrive");
    }
    assert!(parts > 3, "{parts}");
}

#[test]
fn a_reversal_is_final_and_takes_precedence_over_a_completion() {
    let mut registry = registry("a");
    let rollout: Rollout = "move".parse().expect("a name");
    let run = registry.known().0[0].0.clone();
    registry.merge_verdict(at(50), &run, &Verdict::Done { at: at(50) });
    assert_eq!(registry.reports()[0].share.millionths, 1_000_000);
    let commands = registry.abort(at(60), &rollout, "ops").expect("a rollout");
    assert_eq!(commands.len(), 1);
    assert_eq!(registry.reports()[0].share.millionths, 0);
    assert_eq!(
        registry.merge_verdict(at(70), &run, &Verdict::Done { at: at(40) }),
        None
    );
    assert_eq!(
        registry.merge_verdict(at(70), &run, &registry.reports()[0].verdict.clone()),
        None
    );
    registry.configure(at(80), &document(RULES));
    assert_eq!(
        registry
            .choose(&model(), b"request")
            .expect("a choice")
            .version
            .as_str(),
        "v1"
    );
    assert_eq!(registry.abort(at(90), &"other".parse().expect("a name"), "ops"), None);
}

#[test]
fn an_aborted_rule_ends_the_run() {
    let mut registry = registry("a");
    let commands = registry.configure(at(10), &document(&format!("{RULES}aborted = true\n")));
    assert!(matches!(reversal(&commands), Some((Metric::Aborted(_), _))));
}

/// Guards against an entry that restarts during a reversal and serves the new version before it has read the verdicts.
#[test]
fn entry_without_verdicts_serves_the_old_version() {
    let entry = "a".parse().expect("a name");
    let mut registry = Registry::new(Origin { entry, incarnation: 1 });
    registry.configure(at(0), &document(RULES));
    let run = registry.known().0[0].0.clone();
    registry.merge_verdict(at(0), &run, &Verdict::Done { at: at(0) });
    assert_eq!(
        registry
            .choose(&model(), b"request")
            .expect("a choice")
            .version
            .as_str(),
        "v1"
    );
    registry.set_synchronized();
    assert_eq!(
        registry
            .choose(&model(), b"request")
            .expect("a choice")
            .version
            .as_str(),
        "v2"
    );
}
