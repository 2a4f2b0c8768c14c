//! The bound on the expected time to the first event of streams.

mod support;

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::limit_level::Demand;
use hawthornpost_gateway::fleet::{Fleet, Forecast};
use hawthornpost_gateway::load::Load;
use hawthornpost_gateway::overload::bound::{Bound, Urgency};
use test_case::test_case;

use support::{NEED, engine};

const URGENT_ROUTE: Urgency = Urgency {
    priority: 0,
    objective: Duration::from_secs(4),
};
const OTHER_ROUTE: Urgency = Urgency {
    priority: 2,
    objective: Duration::from_secs(10),
};
const DEADLINE: Duration = Duration::from_secs(24);
const URGENT: Demand<'_> = Demand {
    account: "crews",
    weight: 1,
    priority: 0,
    work: 9000.0,
};
const OTHER: Demand<'_> = Demand { priority: 2, ..URGENT };

fn forecast(expected_ms: u64) -> Forecast {
    Forecast {
        expected: Duration::from_millis(expected_ms),
        unloaded: Duration::from_secs(1),
        remaining: Duration::from_secs(1),
    }
}

#[test]
fn less_urgent_streams_leave_room_for_urgent_ones() {
    // Guards against urgent streams that are late because less urgent ones fill the queue up to their own objective.
    let mut bound = Bound::default();
    let now = Instant::ZERO;
    assert_eq!(bound.admit(now, &OTHER, OTHER_ROUTE, forecast(3000)), Ok(()));
    assert_eq!(bound.admit(now, &URGENT, URGENT_ROUTE, forecast(3000)), Ok(()));
    assert_ne!(bound.admit(now, &OTHER, OTHER_ROUTE, forecast(3000)), Ok(()));
    assert_ne!(bound.admit(now, &URGENT, URGENT_ROUTE, forecast(9000)), Ok(()));
    // Without urgent streams in use, the others have their own objective again.
    let later = Instant::from_millis(6000);
    assert_eq!(bound.admit(later, &OTHER, OTHER_ROUTE, forecast(3000)), Ok(()));
}

#[test]
fn urgent_streams_wait_only_for_urgent_ones() {
    // Guards against urgent streams that are refused because of less urgent ones that the engines serve after them.
    let mut bound = Bound::default();
    let now = Instant::ZERO;
    for _ in 0..9 {
        assert_eq!(bound.admit(now, &OTHER, OTHER_ROUTE, forecast(1500)), Ok(()));
    }
    assert_eq!(bound.admit(now, &URGENT, URGENT_ROUTE, forecast(1500)), Ok(()));
    assert_eq!(bound.admit(now, &URGENT, URGENT_ROUTE, forecast(8000)), Ok(()));
    assert_ne!(bound.admit(now, &OTHER, OTHER_ROUTE, forecast(8000)), Ok(()));
}

#[test]
fn the_priority_of_an_account_does_not_widen_the_bound() {
    // Guards against an urgent account that fills the queue up to the long objective of a less urgent route.
    let mut bound = Bound::default();
    let now = Instant::ZERO;
    assert_eq!(bound.admit(now, &URGENT, URGENT_ROUTE, forecast(1500)), Ok(()));
    assert_ne!(bound.admit(now, &URGENT, OTHER_ROUTE, forecast(3000)), Ok(()));
}

#[test]
fn a_long_prompt_at_idle_engines_is_admitted() {
    // Guards against refusals without waiting requests, because the prompt alone takes longer than the objective.
    let long = Forecast {
        unloaded: Duration::from_secs(5),
        ..forecast(6000)
    };
    let mut bound = Bound::default();
    assert_eq!(bound.admit(Instant::ZERO, &URGENT, URGENT_ROUTE, long), Ok(()));
    assert!(!bound.is_refusing(Instant::ZERO));
}

#[test]
fn refusals_end_with_the_queue() {
    // Guards against streams that are refused after the end of an overload, or after a short loss of engines.
    let mut bound = Bound::default();
    for tick in 0..100 {
        let now = Instant::from_millis(tick * 100);
        assert_ne!(bound.admit(now, &URGENT, URGENT_ROUTE, forecast(9000)), Ok(()));
    }
    let now = Instant::from_millis(10_000);
    assert_eq!(bound.admit(now, &URGENT, URGENT_ROUTE, forecast(3000)), Ok(()));
    assert!(!bound.is_refusing(now + Duration::from_secs(1)));
}

#[test]
fn an_account_above_its_share_is_refused_first() {
    // Guards against an account at ten times its usual load that takes the room of the others.
    let mut bound = Bound::default();
    let flood = Demand {
        account: "flood",
        ..URGENT
    };
    let mut admitted = [0, 0];
    for tick in 0..1000 {
        let now = Instant::from_millis(tick * 10);
        // The queue is at half to all of the bound, and beyond it from time to time.
        let forecast = forecast(2200 + tick % 20 * 100);
        let demand = if tick % 11 == 0 { URGENT } else { flood };
        if bound.admit(now, &demand, URGENT_ROUTE, forecast).is_ok() && tick >= 200 {
            admitted[usize::from(tick % 11 == 0)] += 1;
        }
    }
    let [flood, crews] = admitted;
    assert!(crews * 10 > flood * 2, "{admitted:?}");
    assert!(crews >= 60, "{admitted:?}");
}

#[test_case(0.0; "early")]
#[test_case(1.0; "late")]
fn refused_callers_return_when_the_queue_has_drained(random: f64) {
    // Guards against callers that return into the same queue, and against delays that they do not wait for.
    let mut bound = Bound::default();
    let now = Instant::ZERO;
    bound.record_refusal(now);
    let mean = bound.retry_after(now, Duration::from_secs(4), DEADLINE, 0.5);
    assert!(mean >= Duration::from_secs(4), "{mean:?}");
    let delay = bound.retry_after(now, Duration::from_secs(600), DEADLINE, random);
    assert!(delay <= DEADLINE / 3 + Duration::from_millis(1), "{delay:?}");
    assert!(bound.retry_after(now, Duration::ZERO, DEADLINE, random) >= Duration::from_millis(250));
}

#[test]
fn streams_beyond_slots_or_memory_wait_for_the_end_of_others() {
    // Guards against engines whose prompts are all read but that have neither a slot nor memory for another stream.
    let mut fleet = Fleet::new(3);
    fleet.put(engine("slots", "a", 8001));
    fleet.put(engine("memory", "b", 8002));
    fleet.put(engine("half", "b", 8003));
    fleet.record_stream("pool", Duration::from_secs(12));
    for _ in 0..12 {
        fleet.add_load("slots", Load::stream(0, 0));
    }
    fleet.add_load("memory", Load::stream(0, 44_000));
    fleet.add_load("memory", Load::backup(44_000));
    fleet.add_load("half", Load::stream(0, 44_000));
    let expected = |id: &str| fleet.stream_forecast(id, NEED).expect("a known engine").expected;
    assert!(expected("slots") > Duration::from_secs(12));
    assert!(expected("memory") > expected("half") + Duration::from_secs(1));
}
