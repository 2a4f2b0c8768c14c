//! The rate at which whole state is sent to peers.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_gateway::send_rate::Limiter;

/// Guards against whole transfers to many peers at once, which fill the sender's link.
#[test]
fn transfers_leave_most_of_a_link_of_10_mbit() {
    const BYTES: usize = 12_500;
    let mut limiter = Limiter::default();
    let start = Instant::from_millis(1000);
    let admitted = (0..1000)
        .filter(|millis| limiter.admit(start + Duration::from_millis(*millis), BYTES))
        .count();
    assert!((20..=26).contains(&admitted), "{admitted} transfers in a second");
}

/// Guards against a limiter that turns peers away for longer than the transfer takes.
#[test]
fn the_next_transfer_is_admitted_after_the_last_one() {
    let mut limiter = Limiter::default();
    let start = Instant::from_millis(1000);
    assert!(limiter.admit(start, 31_250));
    assert!(!limiter.admit(start + Duration::from_millis(99), 1));
    assert!(limiter.admit(start + Duration::from_millis(101), 1));
}
