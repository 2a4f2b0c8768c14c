//! Entries that vanish from the store after an outage.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_gateway::lapses::Lapses;

const RETURN: Instant = Instant::from_millis(5_000);

fn after_return(elapsed: Duration) -> Instant {
    RETURN + elapsed
}

/// Guards against a live target that is removed because two lists of the same revision follow each other, or because its
/// entry lapses shortly after the first change.
#[test]
fn entries_may_lapse_during_an_outage_and_until_targets_have_registered_again() {
    let mut lapses = Lapses::default();
    assert!(!lapses.are_possible(Instant::ZERO));
    lapses.begin();
    assert!(lapses.are_possible(RETURN));
    for elapsed_ms in [0, 1, 400, 1_900] {
        lapses.end(after_return(Duration::from_millis(elapsed_ms)));
        assert!(lapses.are_possible(after_return(Duration::from_millis(elapsed_ms))));
    }
}

/// Guards against a target that is kept in use after its removal, long after an outage in which nothing has changed.
#[test]
fn entries_that_vanish_later_have_not_lapsed() {
    let mut lapses = Lapses::default();
    lapses.begin();
    lapses.end(RETURN);
    assert!(!lapses.are_possible(after_return(Duration::from_secs(2))));
    // Without an outage, the store that responds changes nothing.
    lapses.end(after_return(Duration::from_secs(9)));
    assert!(!lapses.are_possible(after_return(Duration::from_secs(9))));
}
