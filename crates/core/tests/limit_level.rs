//! Admission by level: loads beyond the capacity of a service, at one host and at many with late reports.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::limit_level::{Admission, Demand, Level, MIN_PART, Peers, RECOVERY, Signal};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use test_case::test_case;

const DEADLINE: Duration = Duration::from_secs(3);
const IN_TIME: Signal = Signal {
    expected: Duration::from_millis(60),
    unloaded: Duration::from_millis(60),
    objective: Duration::from_millis(300),
    refused_part: 0.0,
};
const LATE: Signal = Signal {
    expected: Duration::from_millis(600),
    ..IN_TIME
};

fn demand(account: &str, priority: u8) -> Demand<'_> {
    Demand {
        account,
        weight: 1,
        priority,
        work: 1.0,
    }
}

/// Offers `rates` of (account, priority, requests in 10 ms) for 10 s at a level and returns the admitted part of each.
fn admitted(level: f64, rates: &[(&str, u8, f64)]) -> Vec<f64> {
    let mut random = SmallRng::seed_from_u64(4);
    let mut admission = Admission::default();
    let mut counts = vec![(0_u32, 0_u32); rates.len()];
    for tick in 0..1000 {
        let now = Instant::from_millis(tick * 10);
        for peer in ["one", "two", "three"] {
            admission.merge_peer(now, peer, level);
        }
        for ((account, priority, rate), (offered, served)) in rates.iter().zip(&mut counts) {
            if random.random::<f64>() < *rate {
                let decision = admission.admit(now, &demand(account, *priority), DEADLINE, random.random());
                *offered += u32::from(tick >= 200);
                *served += u32::from(tick >= 200 && decision.is_ok());
            }
        }
    }
    let parts = counts
        .iter()
        .map(|(offered, served)| f64::from(*served) / f64::from(*offered));
    parts.collect()
}

#[test]
fn calm_load_is_never_refused() {
    // Guards against refusals while the service meets its objective.
    let mut admission = Admission::default();
    for tick in 0..1000 {
        let now = Instant::from_millis(tick * 10);
        admission.observe(now, IN_TIME);
        assert_eq!(admission.admit(now, &demand("crews", 2), DEADLINE, 0.1), Ok(()));
    }
}

#[test]
fn a_slow_service_without_waiting_requests_is_not_overloaded() {
    // Guards against refusals when a whole service turns slow, which less work would not change.
    let slow = Signal {
        expected: Duration::from_millis(700),
        unloaded: Duration::from_millis(600),
        ..IN_TIME
    };
    assert!(!slow.is_overload());
    assert!(LATE.is_overload());
}

#[test]
fn an_urgent_kind_is_not_served_worse() {
    // Guards against urgent requests that are refused in favour of less urgent ones at half of the capacity.
    let parts = admitted(0.5, &[("crews", 0, 0.2), ("crews", 2, 0.6)]);
    assert!(parts[0] > 0.99, "{parts:?}");
    assert!((parts[1] - 1.0 / 3.0).abs() < 0.1, "{parts:?}");
}

#[test]
fn a_less_urgent_kind_keeps_its_least_part() {
    // Guards against starvation when urgent requests alone exceed the capacity.
    let parts = admitted(0.3, &[("crews", 0, 0.6), ("crews", 2, 0.6)]);
    assert!(parts[1] > MIN_PART / 2.0, "{parts:?}");
    assert!(parts[1] < MIN_PART * 2.0, "{parts:?}");
}

#[test]
fn least_parts_do_not_exceed_the_level() {
    // Guards against a queue that never shrinks at ten times the room, because least parts are admitted beyond the level.
    let rates = [("crews", 0, 0.2), ("crews", 2, 0.8)];
    let parts = admitted(0.08, &rates);
    let total = parts
        .iter()
        .zip(rates)
        .map(|(part, (_, _, rate))| part * rate)
        .sum::<f64>();
    assert!(total < 0.1, "{parts:?}");
}

#[test]
fn one_account_at_15_times_its_usual_does_not_push_out_others() {
    // Guards against an account that takes the room of nine others, each of which would be served whole without it.
    let names = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
    let mut rates = names.map(|name| (name, 2, 0.04)).to_vec();
    rates.push(("flood", 2, 0.6));
    let parts = admitted(0.5, &rates);
    let others = parts[..names.len()].iter().sum::<f64>() / names.len() as f64;
    assert!(others >= 0.9, "{parts:?}");
    assert!(parts[names.len()] < 0.35, "{parts:?}");
}

#[test]
fn repeating_at_once_does_not_gain_room() {
    // Guards against callers that repeat each refused request three times and so get more than the others.
    let parts = admitted(0.5, &[("patient", 2, 0.2), ("hasty", 2, 0.8)]);
    assert!(parts[0] >= 0.9, "{parts:?}");
    assert!((parts[1] * 0.8 / 0.3 - 1.0).abs() < 0.15, "{parts:?}");
}

#[test]
fn an_account_that_was_refused_goes_first_when_it_returns() {
    // Guards against callers that are refused again and again by chance.
    let mut admission = Admission::default();
    for peer in ["one", "two", "three"] {
        admission.merge_peer(Instant::ZERO, peer, 0.5);
    }
    let mut refused_in_a_row = 0;
    for tick in 0..100 {
        let now = Instant::from_millis(tick);
        let is_refused = admission.admit(now, &demand("crews", 2), DEADLINE, 0.3).is_err();
        refused_in_a_row = if is_refused { refused_in_a_row + 1 } else { 0 };
        assert!(refused_in_a_row < 3);
    }
}

#[test_case(600, 0.0; "late")]
#[test_case(60, 0.8; "refused by targets")]
fn load_that_ends_is_forgotten_within_2_s(expected_ms: u64, refused_part: f64) {
    // Guards against refusals after the end of an overload.
    let signal = Signal {
        expected: Duration::from_millis(expected_ms),
        refused_part,
        ..IN_TIME
    };
    let mut level = Level::default();
    for tick in 0..1000 {
        level.observe(Instant::from_millis(tick * 10), signal, 0.0);
    }
    let end = Instant::from_millis(9990);
    assert!(level.value(end) < 0.1);
    assert!(level.value(end + RECOVERY) >= 1.0);
}

#[test]
fn a_level_does_not_fall_below_what_the_service_completes() {
    // Guards against targets that run idle because the hosts refuse more than the queue is too long by.
    let mut level = Level::default();
    for tick in 0..1000 {
        level.observe(Instant::from_millis(tick * 10), LATE, 0.5);
    }
    assert!(level.value(Instant::from_millis(9990)) >= 0.4);
}

#[test]
fn a_level_falls_once_in_a_reaction_time() {
    // Guards against a level that falls to the bottom before the first decrease can show.
    let mut level = Level::default();
    for micros in 0..400 {
        level.observe(Instant::from_start(Duration::from_micros(micros)), LATE, 0.0);
    }
    assert!(level.value(Instant::from_millis(1)) > 0.45);
}

#[test]
fn one_host_with_a_wrong_view_does_not_move_the_others() {
    // Guards against refusals at all hosts because one has lost its link to the targets, and against a wrong number.
    let mut peers = Peers::default();
    for (name, level) in [("a", 1.0), ("b", 0.02), ("c", 1.0), ("d", f64::NAN)] {
        peers.put(Instant::ZERO, name, level);
    }
    assert!(peers.median(Instant::ZERO, 1.0) >= 1.0);
}

#[test]
fn a_host_that_is_alone_uses_its_own_level() {
    // Guards against the levels of hosts that are gone or parted from this one.
    let mut peers = Peers::default();
    peers.put(Instant::ZERO, "a", 1.0);
    peers.put(Instant::ZERO, "b", 1.0);
    assert!(peers.median(Instant::from_millis(3000), 0.4) < 0.5);
}

#[test_case(0.0; "early")]
#[test_case(0.999; "late")]
fn refused_callers_return_before_their_deadline(random: f64) {
    // Guards against a Retry-After beyond the time in which the caller can still be served.
    let mut admission = Admission::default();
    for tick in 0..6000 {
        admission.observe(Instant::from_millis(tick * 10), LATE);
    }
    let delay = admission.retry_after(Instant::from_millis(60_000), DEADLINE, random);
    assert!(delay < DEADLINE * 4 / 5, "{delay:?}");
    assert!(delay > Duration::from_millis(100), "{delay:?}");
}

#[test]
fn levels_of_58_hosts_agree() {
    // Guards against hosts that refuse urgent requests while others admit less urgent ones: each hears the others late.
    let mut random = SmallRng::seed_from_u64(9);
    let names = (0..58).map(|index| format!("host-{index}")).collect::<Vec<_>>();
    let mut hosts = vec![Admission::default(); names.len()];
    let mut levels = Vec::new();
    for tick in 0..200_u64 {
        let now = Instant::from_millis(tick * 50);
        for host in &mut hosts {
            let expected = Duration::from_millis(random.random_range(140..300));
            host.observe(now, Signal { expected, ..IN_TIME });
        }
        if tick.is_multiple_of(6) {
            let told = hosts.iter().map(|host| host.own_level(now)).collect::<Vec<_>>();
            for (index, host) in hosts.iter_mut().enumerate() {
                let others = names.iter().zip(&told).enumerate().filter(|(other, _)| *other != index);
                others.for_each(|(_, (name, level))| host.merge_peer(now, name, *level));
            }
        }
        if tick > 100 {
            levels = hosts.iter_mut().map(|host| host.level(now)).collect();
            let spread = levels.iter().fold((1.0_f64, 0.0_f64), |(least, most), level| {
                (least.min(*level), most.max(*level))
            });
            assert!(spread.1 - spread.0 < 0.05, "{spread:?}");
        }
    }
    assert!(levels[0] < 1.0);
}
