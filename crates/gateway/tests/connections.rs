//! Kept connections and this host's share of the connections that targets accept.

use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_gateway::availability::Availability;
use hawthornpost_gateway::connections::{Count, Pool, Reuse, Share, Slot};
use hawthornpost_gateway::fleet::{Criteria, Fleet};
use hawthornpost_gateway::target::Target;
use hawthornpost_gateway::versions::Versions;
use test_case::test_case;

const NOW: Instant = Instant::from_millis(50_000);
const TIMEOUT: Option<Duration> = Some(Duration::from_secs(10));

fn after(millis: u64) -> Instant {
    NOW + Duration::from_millis(millis)
}

/// Guards against an action on a connection that its target may have dropped: its outcome would be unknown.
#[test]
fn only_requests_that_may_be_repeated_use_a_connection_that_was_idle_for_long() {
    let mut pool = Pool::new();
    pool.put(NOW, "a", 1, TIMEOUT);
    assert_eq!(pool.take(after(3000), "a", Reuse::Recent, |_| true), None);
    assert_eq!(pool.take(after(3000), "a", Reuse::Any, |_| true), Some(1));
    pool.put(after(3000), "a", 1, TIMEOUT);
    assert_eq!(pool.take(after(3050), "a", Reuse::Recent, |_| true), Some(1));
    assert!(pool.is_empty());
}

/// Guards against requests on connections that a target closes at its idle timeout, stated or not.
#[test_case(None, 700; "not stated")]
#[test_case(Some(Duration::from_secs(1)), 600; "short")]
#[test_case(Some(Duration::ZERO), 0; "none")]
#[test_case(Some(Duration::from_secs(600)), 5000; "long")]
fn a_connection_is_not_used_near_its_idle_timeout(timeout: Option<Duration>, rest_ms: u64) {
    let mut pool = Pool::new();
    pool.put(NOW, "a", 1, timeout);
    assert_eq!(pool.take(after(rest_ms), "a", Reuse::Any, |_| true), None);
    assert!(pool.is_empty());
}

/// Guards against requests on a connection that ended, or received bytes, while it was idle, and against an older one that
/// is used although a newer one is sound.
#[test]
fn the_newest_usable_connection_is_taken() {
    let mut pool = Pool::new();
    for connection in 1..=3 {
        pool.put(NOW, "a", connection, TIMEOUT);
    }
    assert_eq!(pool.take(NOW, "a", Reuse::Any, |connection| *connection != 3), Some(2));
    assert_eq!(pool.len(), 1);
    pool.retain(NOW, |connection| *connection != 1);
    assert!(pool.is_empty());
}

/// Many targets, each used now and then. Guards against connections without bound on a small host.
#[test]
fn idle_connections_are_bounded() {
    let mut pool = Pool::new();
    for target in 0..5000 {
        pool.put(NOW, &target.to_string(), target, TIMEOUT);
    }
    assert!(pool.len() <= 128, "{}", pool.len());
}

/// Calls beyond what the targets serve, at 58 hosts that all open connections. Guards against connections beyond the
/// number that a target accepts, which it resets.
#[test]
fn the_hosts_together_stay_within_the_limit_of_a_target() {
    const LIMIT: u32 = 410;
    let mut open = 0;
    for _ in 0..58 {
        let mut share = Share::new();
        share.observe(NOW, 58);
        let share = Some(share.of(LIMIT));
        let count = Rc::new(Count::default());
        let mut slots = Vec::new();
        while count.has_room(share) {
            slots.push(Slot::new(&count));
        }
        open += count.used();
    }
    assert!((LIMIT / 2..LIMIT).contains(&open), "{open}");
}

/// Guards against a share that grows at once when hosts are lost from view, while they still use theirs.
#[test]
fn a_share_shrinks_at_once_and_grows_late() {
    let mut share = Share::new();
    share.observe(NOW, 10);
    let small = share.of(100);
    share.observe(after(100), 5);
    assert_eq!(share.of(100), small);
    share.observe(after(200), 20);
    assert!(share.of(100) < small);
    share.observe(after(300), 5);
    share.observe(after(5000), 8);
    share.observe(after(10_400), 5);
    let mut expected = Share::new();
    expected.observe(NOW, 8);
    assert_eq!(share.of(100), expected.of(100));
}

/// More hosts than connections. Guards against hosts that reach a target never, and against idle connections there.
#[test]
fn a_host_without_a_share_uses_one_connection() {
    let mut share = Share::new();
    share.observe(NOW, 295);
    assert_eq!(share.of(110), 0);
    let count = Rc::new(Count::default());
    assert!(count.has_room(Some(0)));
    let _slot = Slot::new(&count);
    assert!(!count.has_room(Some(0)));
}

/// Guards against a count that loses connections, or keeps those that are closed.
#[test]
fn slots_count_until_they_are_dropped() {
    let count = Rc::new(Count::default());
    let mut slot = Slot::new(&count);
    slot.set_idle(true);
    assert_eq!((count.used(), count.idle()), (0, 1));
    assert!(count.has_room(Some(1)) && count.is_exhausted(Some(1)));
    slot.set_idle(false);
    assert_eq!((count.used(), count.idle()), (1, 0));
    drop(slot);
    assert_eq!((count.used(), count.idle()), (0, 0));
}

/// More hosts appear while all connections are idle. Guards against connections that the hosts before them keep beyond their
/// smaller shares, for which the target resets those of the new hosts.
#[test]
fn connections_beyond_a_share_that_shrinks_are_closed() {
    let count = Rc::new(Count::default());
    let mut slots = [(); 7].map(|()| Slot::new(&count)).into_iter().collect::<Vec<_>>();
    for slot in &mut slots {
        slot.set_idle(true);
    }
    slots.retain(|slot| !slot.exceeds(Some(7)));
    assert_eq!(slots.len(), 7);
    slots.retain(|slot| !slot.exceeds(Some(3)));
    assert_eq!((slots.len(), count.idle()), (3, 3));
    slots.retain(|slot| !slot.exceeds(Some(0)));
    assert_eq!(slots.len(), 1);
    assert!(!slots[0].exceeds(None));
}

/// Calls to one target up to this host's share of its connections. Guards against further calls that wait for a
/// connection there while another target has room, and against a target that stays full.
#[test]
fn a_target_without_room_is_passed_over() {
    let mut fleet = Fleet::new(7);
    for (id, port) in [("a", 8001), ("b", 8002)] {
        fleet.put(Target {
            id: id.to_owned(),
            service: "desk".to_owned(),
            address: ([127, 0, 0, 1], port).into(),
            data_centre: "x".to_owned(),
            version: "v1".to_owned(),
            slots: 6,
            is_leaving: false,
            started: Some(1),
        });
    }
    fleet.set_connection_shares([("desk".to_owned(), 2)].into());
    let criteria = Criteria {
        service: "desk",
        versions: &Versions::Any,
        excluded: &[],
    };
    let count = fleet.connections("a").expect("a target");
    let slots = [Slot::new(&count), Slot::new(&count)];
    let availability = fleet.availability(NOW, "a").expect("a target");
    assert_eq!(availability, Availability::Full);
    assert!(
        availability.holds_copies(),
        "copies of streams need no connection of this host"
    );
    for _ in 0..20 {
        assert_eq!(fleet.choose_call(NOW, criteria).expect("a target").id, "b");
    }
    let other = fleet.connections("b").expect("a target");
    let others = [Slot::new(&other), Slot::new(&other)];
    assert!(fleet.choose_call(NOW, criteria).is_none());
    drop(slots);
    assert_eq!(fleet.choose_call(NOW, criteria).expect("a target").id, "a");
    drop(others);
}
