//! Model of rollouts without a network: several hosts run the real decisions beside a small store, while orders follow
//! each other, hosts are paused, cut off and restarted, and messages and calls are lost, late or out of order.
//!
//! Guards against a final state that is changed, a host that goes back to an earlier order, hosts that differ from the
//! store for good, a bad version that is completed, and requests to a version on trial by a host that was paused.

mod model;

use std::time::Duration;

use hawthornpost_gateway::rollout::State;
use test_case::test_case;

use model::{Faults, Quality, World};

/// Long enough for all messages and calls in flight, and for watchers to tell the others of all orders.
const SETTLING_TIME: Duration = Duration::from_secs(12);

/// Any order of all faults: afterwards all hosts agree with the store.
#[test]
fn hosts_agree_with_the_store_after_any_faults() {
    for seed in 0..200 {
        let mut world = World::new(seed, 5, Faults::ANY);
        world.run(Duration::from_secs(40));
        world.end_faults();
        world.run(SETTLING_TIME);
        world.check_agreement();
    }
}

/// A version that fails is never completed, although hosts are paused, cut off and restarted during its trial. It may turn
/// bad up to a quarter of the order before its deadline.
#[test_case(Duration::ZERO; "bad from the start")]
#[test_case(Duration::from_secs(6); "bad from the middle")]
#[test_case(Duration::from_secs(9); "bad in the last quarter")]
fn bad_version_is_never_completed(bad_after: Duration) {
    for seed in 0..150 {
        let mut world = World::new(seed, 6, Faults::HOSTS);
        world.order("v2", Quality::BadAfter(bad_after));
        world.run(Duration::from_secs(20));
        world.end_faults();
        world.run(SETTLING_TIME);
        assert_eq!(world.state(), State::RolledBack, "seed {seed}");
    }
}

/// A good version is completed in time, by few hosts and by many, one order after the other.
#[test_case(6, 20; "few hosts")]
#[test_case(295, 1; "many hosts")]
fn good_version_is_completed_in_time(hosts: usize, seeds: u64) {
    for seed in 0..seeds {
        let mut world = World::new(seed, hosts, Faults::NONE);
        for version in ["v2", "v1"] {
            world.order(version, Quality::Good);
            world.run(model::ORDER_DURATION);
            assert_eq!(world.state(), State::Completed, "seed {seed}, {version}");
        }
    }
}

/// A single pause of a host, at any moment of the trial and of any length, neither keeps a good version from completion
/// nor a bad one from being rolled back.
#[test]
fn pause_at_any_moment_changes_no_verdict() {
    for start in (0..13).map(Duration::from_secs) {
        for length in [2, 4, 8].map(Duration::from_secs) {
            for (quality, expected) in [
                (Quality::Good, State::Completed),
                (Quality::BadAfter(Duration::from_secs(7)), State::RolledBack),
            ] {
                let mut world = World::new(start.as_secs(), 6, Faults::NONE);
                world.order("v2", quality);
                world.run(start);
                world.pause(1);
                world.run(length);
                world.wake(1);
                world.run(SETTLING_TIME);
                assert_eq!(world.state(), expected, "paused at {start:?} for {length:?}");
                world.check_agreement();
            }
        }
    }
}
