//! The expected times by which a host recognises overload, and the levels that hosts tell each other.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::limit_level::Demand;
use hawthornpost_gateway::fleet::{Fleet, Report};
use hawthornpost_gateway::load::Load;
use hawthornpost_gateway::overload::Overload;
use hawthornpost_gateway::overload::waits::Waits;
use hawthornpost_gateway::speed::{Queue, Speed};

use support::{NEED, POOL, engine};

const WORK: Duration = Duration::from_millis(60);
const OBJECTIVE: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_secs(3);
const CALL: Demand<'_> = Demand {
    account: "crews",
    weight: 1,
    priority: 2,
    work: 1.0,
};

fn report(waiting: u32) -> Report {
    Report {
        running: 6,
        waiting,
        slots: 6,
    }
}

/// Returns the state after calm responses of three targets and then responses with these waiting calls at each.
fn waits(waiting: [u32; 3]) -> Waits {
    let mut waits = Waits::default();
    for tick in 0..40 {
        for (target, waiting) in ["a", "b", "c"].into_iter().zip(waiting) {
            let waiting = if tick < 20 { 0 } else { waiting };
            let took = WORK * (1 + waiting / 6);
            waits.record(Instant::from_millis(tick * 20), target, took, Some(report(waiting)));
        }
    }
    waits
}

#[test]
fn waiting_calls_at_all_targets_are_an_expected_time() {
    // Guards against calls that are admitted into queues longer than the objective.
    let forecast = waits([36, 36, 36]).forecast(Instant::from_millis(800));
    let forecast = forecast.expect("a forecast after responses");
    assert!(forecast.expected > OBJECTIVE, "{forecast:?}");
    assert!(forecast.unloaded <= WORK * 2, "{forecast:?}");
    assert!(forecast.is_queueing());
}

#[test]
fn one_crowded_target_is_no_overload() {
    // Guards against refusals because one of three targets is slow or crowded.
    let forecast = waits([60, 0, 0]).forecast(Instant::from_millis(800));
    assert!(
        forecast.is_some_and(|forecast| forecast.expected < OBJECTIVE),
        "{forecast:?}"
    );
}

#[test]
fn old_responses_are_no_overload() {
    // Guards against refusals by what a target reported before its callers left.
    assert!(waits([36, 36, 36]).forecast(Instant::from_millis(2000)).is_none());
}

#[test]
fn refusals_by_full_targets_lower_the_level_and_are_forgotten() {
    // Guards against targets that refuse before their queue is longer than the objective, at twice their room and more.
    let mut overload = Overload::default();
    let service = overload.service("desk");
    for tick in 0..40 {
        let now = Instant::from_millis(tick * 20);
        service.record_objective(now, OBJECTIVE);
        service.waits().record_refusal(now);
        service.observe(now, hawthornpost_gateway::fleet::Forecast::default());
    }
    assert!(service.level(Instant::from_millis(800)) < 0.5);
    service.observe(
        Instant::from_millis(2900),
        hawthornpost_gateway::fleet::Forecast::default(),
    );
    assert!(service.level(Instant::from_millis(2900)) >= 1.0);
    let decision = service.admit(Instant::from_millis(2900), &CALL, DEADLINE, 0.1);
    assert_eq!(decision, Ok(()));
}

#[test]
fn levels_are_told_only_while_they_are_below_1() {
    // Guards against load reports that grow on calm days, and against a level of a peer that stays after its overload.
    let mut overload = Overload::default();
    overload.service("desk");
    assert!(overload.own_levels(Instant::ZERO).is_empty());
    let lowered = BTreeMap::from([("desk".to_owned(), 300)]);
    for peer in ["a", "b", "c"] {
        overload.merge_peer(Instant::ZERO, peer, &lowered);
    }
    assert!(overload.service("desk").level(Instant::ZERO) < 0.4);
    for peer in ["a", "b", "c"] {
        overload.merge_peer(Instant::ZERO, peer, &BTreeMap::new());
    }
    assert!(overload.service("desk").level(Instant::ZERO) >= 1.0);
}

#[test]
fn the_speed_of_a_service_is_learned() {
    // Guards against expected times of other engines than those of the service, here of half the prefill speed.
    let mut speed = Speed::default();
    for tokens in (1..600).map(|index| 4000 + index % 7 * 2000) {
        let queue = Queue {
            prefill_tokens: tokens,
            streams: 2,
        };
        speed.record(queue, Duration::from_millis(tokens / 4 + 80));
    }
    let tenfold = speed.reading_ms(80_000);
    assert!((18_000.0..22_000.0).contains(&tenfold), "{tenfold}");
}

#[test]
fn one_wrong_time_does_not_change_the_speed() {
    // Guards against a frozen engine by which all of its service would seem slow.
    let mut speed = Speed::default();
    let queue = Queue {
        prefill_tokens: 8000,
        streams: 0,
    };
    speed.record(queue, Duration::from_secs(600));
    assert!(speed.reading_ms(8000) < 1200.0);
}

#[test]
fn a_slow_engine_gets_fewer_streams_and_waiting_prompts_are_expected() {
    // Guards against engines of .6 and 1.6 of a speed that get the same work, and against a full queue that looks empty.
    let mut fleet = Fleet::new(3);
    fleet.put(engine("slow", "a", 8001));
    fleet.put(engine("fast", "b", 8002));
    let queue = Queue {
        prefill_tokens: 8000,
        streams: 0,
    };
    for _ in 0..50 {
        fleet.record_first_event("slow", queue, Duration::from_millis(1600));
        fleet.record_first_event("fast", queue, Duration::from_millis(625));
    }
    let chosen = (0..100).filter_map(|_| fleet.choose_stream(Instant::ZERO, POOL, NEED));
    assert!(chosen.filter(|target| target.id == "fast").count() >= 95);
    fleet.add_load("fast", Load::stream(64_000, 64_000));
    let forecast = fleet.stream_forecast("fast", NEED).expect("a known engine");
    assert!(forecast.expected > Duration::from_secs(4), "{forecast:?}");
    assert!(forecast.unloaded < Duration::from_secs(1), "{forecast:?}");
}
