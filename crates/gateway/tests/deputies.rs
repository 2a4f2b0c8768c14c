//! How many hosts watch the store in place of silent watchers.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::Entry;
use hawthornpost_gateway::deputies::Deputies;

fn host(index: usize) -> Entry {
    format!("host-{index}").parse().expect("a name")
}

/// All of 34 hosts miss the updates and call the store before they hear of each other, as on a busy machine. Guards
/// against calls of all of them for seconds (84 in 4 s with 34 hosts).
#[test]
fn three_of_many_deputies_stay() {
    let now = Instant::from_millis(5_000);
    let mut deputies = Deputies::default();
    (0..34).for_each(|index| deputies.record(now, host(index)));
    let staying = (0..34).filter(|index| !deputies.suffice_without(now, &host(*index)));
    assert_eq!(staying.count(), 3);
}

/// Guards against hosts without a deputy, because each relies on one that has ended.
#[test]
fn deputies_that_have_ended_do_not_count() {
    let now = Instant::from_millis(5_000);
    let mut deputies = Deputies::default();
    (0..34).for_each(|index| deputies.record(now, host(index)));
    let later = now + Duration::from_secs(3);
    assert!((0..34).all(|index| !deputies.suffice_without(later, &host(index))));
}

/// Guards against deputies that all resign, or none, because each knows only some of the others.
#[test]
fn a_host_that_hears_of_few_others_stays() {
    let now = Instant::from_millis(5_000);
    let mut deputies = Deputies::default();
    deputies.record(now, host(1));
    deputies.record(now, host(2));
    assert!((0..34).all(|index| !deputies.suffice_without(now, &host(index))));
}
