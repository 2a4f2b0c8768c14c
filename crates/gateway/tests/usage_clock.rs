//! True time from the wall clocks of several hosts.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_gateway::usage::{Clock, Grid};
use test_case::test_case;

const START: Duration = Duration::from_secs(1_767_225_600);

fn at(seconds: u64) -> Instant {
    Instant::from_start(Duration::from_secs(seconds))
}

/// A clock that heard three peers with these deviations in seconds at a time.
fn with_peers(now: Instant, deviations: [i64; 3]) -> Clock {
    let mut clock = Clock::default();
    for (index, deviation) in deviations.into_iter().enumerate() {
        clock.record(now, &format!("host-{index}"), wall(now, deviation));
    }
    clock
}

fn wall(now: Instant, deviation: i64) -> Duration {
    let time = START + now.since_start();
    if deviation < 0 {
        time.saturating_sub(Duration::from_secs(deviation.unsigned_abs()))
    } else {
        time + Duration::from_secs(deviation.unsigned_abs())
    }
}

/// Guards against counts in the wrong window on a host whose wall clock is off or has stepped.
#[test_case(5)]
#[test_case(-5)]
#[test_case(100_000)]
fn a_wrong_wall_clock_does_not_count(deviation: i64) {
    let mut clock = with_peers(at(20), [0, 0, 0]);
    assert_eq!(
        clock.time(at(20), wall(at(20), deviation)),
        START + Duration::from_secs(20)
    );
}

/// Guards against a peer whose wall clock is off.
#[test]
fn a_wrong_wall_clock_of_a_peer_does_not_count() {
    let mut clock = with_peers(at(20), [0, -5, 5]);
    assert_eq!(clock.time(at(20), wall(at(20), 0)), START + Duration::from_secs(20));
}

/// Guards against windows that shift by the delay of datagrams while the own clock is right.
#[test]
fn delayed_datagrams_do_not_shift_the_time() {
    let mut clock = Clock::default();
    let delay = Duration::from_millis(30);
    for peer in ["a", "b", "c"] {
        clock.record(at(20), peer, wall(at(20), 0).saturating_sub(delay));
    }
    assert_eq!(clock.time(at(20), wall(at(20), 0)), START + Duration::from_secs(20));
}

/// Guards against windows that shift when the clocks of most hosts step, and return later.
#[test_case(-4)]
#[test_case(4)]
fn clocks_that_step_together_do_not_count_while_some_disagree(step: i64) {
    let mut clock = with_peers(at(20), [0, 0, 0]);
    for second in 20..30 {
        let now = at(second);
        let deviations = if second < 22 { [0, 0, 0] } else { [step, step, 0] };
        for (index, deviation) in deviations.into_iter().enumerate() {
            clock.record(now, &format!("host-{index}"), wall(now, deviation));
        }
        let own = if second < 22 { 0 } else { step };
        assert_eq!(
            clock.time(now, wall(now, own)),
            START + now.since_start(),
            "after {second} s"
        );
    }
}

/// Guards against a time that stays wrong after all clocks were corrected.
#[test]
fn a_correction_of_all_clocks_counts() {
    let mut clock = with_peers(at(20), [0, 0, 0]);
    assert_eq!(clock.time(at(20), wall(at(20), 0)), wall(at(20), 0));
    for index in 0..3 {
        clock.record(at(21), &format!("host-{index}"), wall(at(21), 60));
    }
    assert_eq!(clock.time(at(21), wall(at(21), 60)), wall(at(21), 60));
}

/// Guards against samples from before all clocks were set.
#[test]
fn old_samples_do_not_count() {
    let mut clock = with_peers(at(20), [0, 0, 0]);
    assert_eq!(clock.time(at(31), wall(at(31), 7)), START + Duration::from_secs(38));
}

/// Guards against a new host that knows no time.
#[test]
fn a_new_host_uses_its_own_clock() {
    let mut clock = Clock::default();
    assert_eq!(clock.time(at(0), wall(at(0), 0)), START);
}

/// Guards against requests at the border of two windows that are counted when they end.
#[test]
fn an_earlier_time_is_attributed_to_its_window() {
    let mut clock = with_peers(at(20), [0, 0, 0]);
    let grid = Grid::new(Duration::from_secs(5));
    let window = grid.window(clock.time(at(20), wall(at(20), 0)));
    let before = clock.time_of(Instant::from_millis(19_990), at(20), wall(at(20), 5));
    assert_eq!(grid.window(before), window - 1);
    assert_eq!(grid.end(window - 1), START + Duration::from_secs(20));
}

/// Guards against memory that grows with the number of hosts.
#[test]
fn the_latest_samples_are_kept() {
    let mut clock = Clock::default();
    for index in 0..500 {
        let deviation = if index < 400 { 9 } else { 0 };
        clock.record(
            Instant::from_millis(index),
            &format!("host-{index}"),
            wall(Instant::from_millis(index), deviation),
        );
    }
    let now = Instant::from_millis(500);
    assert_eq!(clock.time(now, wall(now, 9)), START + Duration::from_millis(500));
}
