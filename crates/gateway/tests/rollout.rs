//! Which of two copies of a service's order is newer, whichever way they reach a host.

use std::collections::BTreeSet;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_gateway::rollout::{Order, Relation, State};
use hawthornpost_gateway::rollouts::Rollouts;
use hawthornpost_gateway::trial::{Exposure, Outcome};
use hawthornpost_gateway::versions::Versions;
use test_case::test_case;

const EXPOSURE: Exposure = Exposure {
    share: 0.1,
    slack: 50.0,
};
const SERVICE: &str = "desk";

/// Returns an order as the store holds it at a revision.
fn order(version: &str, revision: u64, state: Option<State>) -> Order {
    Order {
        service: SERVICE.to_owned(),
        version: version.to_owned(),
        duration: Duration::from_secs(12),
        state: state.unwrap_or_default(),
        is_new: state.is_none(),
        revision,
        since: revision,
        rejected: BTreeSet::new(),
    }
}

fn versions(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn except(names: &[&str]) -> Versions {
    Versions::Except(versions(names))
}

fn rollouts() -> Rollouts {
    Rollouts::new(EXPOSURE, 0)
}

const RUNNING: Option<State> = Some(State::InProgress);
const COMPLETED: Option<State> = Some(State::Completed);
const ROLLED_BACK: Option<State> = Some(State::RolledBack);

/// Guards against a copy that replaces a newer one, and against an order that is taken for the one before it.
#[test_case(("v2", 10, None), ("v2", 11, RUNNING), Relation::Same; "the first state is written")]
#[test_case(("v2", 11, RUNNING), ("v2", 15, COMPLETED), Relation::Same; "the final state is written")]
#[test_case(("v2", 10, None), ("v2", 15, ROLLED_BACK), Relation::Same; "a host missed the first state")]
#[test_case(("v2", 15, COMPLETED), ("v3", 20, None), Relation::Later; "another version is ordered")]
#[test_case(("v2", 15, COMPLETED), ("v2", 20, None), Relation::Later; "the version is ordered again")]
#[test_case(("v2", 15, ROLLED_BACK), ("v2", 21, RUNNING), Relation::Later; "the version is on trial again")]
#[test_case(("v2", 15, ROLLED_BACK), ("v2", 25, COMPLETED), Relation::Later; "another final state is that of another order")]
#[test_case(("v2", 11, RUNNING), ("v2", 16, RUNNING), Relation::Later; "the order was changed while in progress")]
fn copies_are_compared_in_both_directions(
    known: (&str, u64, Option<State>),
    other: (&str, u64, Option<State>),
    expected: Relation,
) {
    let known = order(known.0, known.1, known.2);
    let other = order(other.0, other.1, other.2);
    assert_eq!(known.relation(&other), expected);
    let reverse = match expected {
        Relation::Later => Relation::Earlier,
        Relation::Same => Relation::Same,
        Relation::Earlier => unreachable!("the second copy is never the earlier one"),
    };
    assert_eq!(other.relation(&known), reverse);
}

/// Guards against hosts that keep the first order of a service when a peer tells them of the next one.
#[test]
fn order_of_a_peer_replaces_an_earlier_one_in_a_final_state() {
    let now = Instant::ZERO;
    let mut host = rollouts();
    host.put(now, order("v2", 15, COMPLETED), versions(&["v1", "v2"]));
    assert_eq!(host.stable_versions(SERVICE), except(&["v1"]));
    host.put(now, order("v3", 20, None), versions(&["v2", "v3"]));
    assert_eq!(host.stable_versions(SERVICE), except(&["v3"]));
    // A peer that is behind, or a datagram that is late, changes nothing.
    host.put(now, order("v2", 15, COMPLETED), versions(&["v2", "v3"]));
    assert_eq!(host.stable_versions(SERVICE), except(&["v3"]));
}

/// Guards against an observation that brings an order to a host, or the results of an earlier order to the present one.
#[test]
fn observation_of_a_peer_brings_a_newer_order_and_never_an_older_one() {
    let now = Instant::ZERO;
    let (mut behind, mut ahead) = (rollouts(), rollouts());
    behind.put(now, order("v2", 15, COMPLETED), versions(&["v2"]));
    ahead.put(now, order("v3", 20, None), versions(&["v2", "v3"]));
    for _ in 0..60 {
        ahead.record_outcome(now, SERVICE, "book", "v3", Outcome::Failed);
    }
    let observation = ahead.decide(now, 1).pop().expect("an observation");
    assert_eq!(observation.state, State::RolledBack);
    behind.merge_peer(now, "ahead", observation, versions(&["v2", "v3"]));
    assert_eq!(behind.state(SERVICE), Some(State::RolledBack));
    assert_eq!(behind.stable_versions(SERVICE), except(&["v3"]));

    ahead.put(now, order("v4", 30, None), versions(&["v2", "v4"]));
    let late = behind.decide(now, 1).pop().expect("an observation");
    ahead.merge_peer(now, "behind", late, versions(&["v2", "v4"]));
    assert_eq!(ahead.state(SERVICE), Some(State::InProgress));
    assert_eq!(ahead.stable_versions(SERVICE), except(&["v4"]));
}

/// Guards against an order that a peer brings back after it was removed.
#[test]
fn removed_order_is_not_added_again_by_a_peer() {
    let now = Instant::ZERO;
    let mut host = rollouts();
    host.put(now, order("v2", 15, ROLLED_BACK), versions(&["v1", "v2"]));
    host.retain(&BTreeSet::new(), 14);
    assert_eq!(
        host.state(SERVICE),
        Some(State::RolledBack),
        "the list is older than the order"
    );
    host.retain(&BTreeSet::new(), 18);
    host.set_revision(18);
    assert_eq!(host.state(SERVICE), None);
    host.put(now, order("v2", 15, ROLLED_BACK), versions(&["v1", "v2"]));
    assert_eq!(host.state(SERVICE), None);
    host.put(now, order("v2", 19, None), versions(&["v1", "v2"]));
    assert_eq!(host.state(SERVICE), Some(State::InProgress));
}

/// Guards against a version that was rolled back, or whose trial was abandoned, and that is used again as soon as the
/// service has another order.
#[test_case(ROLLED_BACK; "rolled back")]
#[test_case(RUNNING; "abandoned")]
fn rejected_version_stays_out_of_use_during_the_next_order(state: Option<State>) {
    let now = Instant::ZERO;
    let mut host = rollouts();
    host.put(now, order("v2", 15, state), versions(&["v1", "v2"]));
    host.put(now, order("v3", 20, None), versions(&["v1", "v2", "v3"]));
    assert_eq!(host.stable_versions(SERVICE), except(&["v2", "v3"]));
    host.put(now, order("v3", 25, COMPLETED), versions(&["v1", "v2", "v3"]));
    assert_eq!(host.stable_versions(SERVICE), except(&["v1", "v2"]));
    // Ordered again, it is on trial like any other version.
    host.put(now, order("v2", 30, None), versions(&["v2", "v3"]));
    assert_eq!(host.stable_versions(SERVICE), except(&["v2"]));
    host.put(now, order("v2", 35, COMPLETED), versions(&["v2", "v3"]));
    assert_eq!(host.stable_versions(SERVICE), except(&["v3"]));
}

/// Guards against a host without any target to use: after an order and one back to the version before, it would use
/// neither.
#[test]
fn version_before_the_first_order_is_used_again_after_an_order_back_to_it() {
    let now = Instant::ZERO;
    let mut host = rollouts();
    host.put(now, order("v2", 10, None), versions(&["v1", "v2"]));
    host.put(now, order("v2", 15, COMPLETED), versions(&["v1", "v2"]));
    host.put(now, order("v1", 20, None), versions(&["v1", "v2"]));
    assert_eq!(host.stable_versions(SERVICE), except(&["v1"]));
    host.put(now, order("v1", 25, COMPLETED), versions(&["v1", "v2"]));
    assert_eq!(host.stable_versions(SERVICE), except(&["v2"]));
}

/// A trial is due in 700 ms, before the turn of many hosts. Guards against a burst of observations from all of them at that
/// moment, and against a verdict without what the hosts saw last.
#[test]
fn many_hosts_send_their_last_observations_at_different_times() {
    let start = Instant::ZERO;
    let due = Duration::from_millis(700);
    let mut counts = [0; 10];
    for seed in 0..295 {
        let mut host = Rollouts::new(EXPOSURE, seed);
        host.put(start, order("v2", 15, None), versions(&["v1", "v2"]));
        let now = start
            + host
                .pause_between_decisions(start, usize::MAX, true)
                .saturating_sub(due);
        assert_eq!(
            host.pause_between_decisions(now, 295, true),
            due,
            "a host that writes the verdict"
        );
        assert_eq!(
            host.pause_between_decisions(now, 6, false),
            Duration::from_millis(200),
            "few hosts"
        );
        let pause = host.pause_between_decisions(now, 295, false);
        assert!((Duration::from_millis(200)..=due).contains(&pause), "{pause:?}");
        counts[usize::try_from(due.saturating_sub(pause).as_millis() / 51).expect("a small number")] += 1;
        // It sends them once.
        let next = host.pause_between_decisions(now + pause, 295, false);
        assert_eq!(next, Duration::from_millis(295 * 8));
    }
    assert!(
        counts.iter().all(|count| *count <= 60),
        "{counts:?} in tenths of half a second"
    );
}
