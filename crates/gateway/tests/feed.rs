//! The choice of watchers and the handling of their updates.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::{DataCentre, Entry};
use hawthornpost_gateway::feed::{Candidate, Freshness, MAX_UPDATE_AGE, MAX_WATCHERS, Step, is_watcher, max_backoff};
use hawthornpost_gateway::platform::Kind;
use test_case::test_case;

fn hosts(count: usize, data_centres: usize) -> Vec<(Entry, DataCentre)> {
    let host = |index: usize| {
        let data_centre = format!("dc{}", index % data_centres);
        (
            format!("host-{index}").parse().expect("a name"),
            data_centre.parse().expect("a name"),
        )
    };
    (0..count).map(host).collect()
}

fn watchers(hosts: &[(Entry, DataCentre)]) -> Vec<&(Entry, DataCentre)> {
    let candidates = hosts
        .iter()
        .map(|(entry, data_centre)| Candidate { entry, data_centre })
        .collect::<Vec<_>>();
    hosts
        .iter()
        .filter(|(entry, _)| is_watcher(entry, &candidates))
        .collect()
}

/// Guards against a number of watchers that grows with the hosts, and against watchers that are all lost with one data
/// centre.
#[test]
fn few_hosts_in_different_data_centres_watch() {
    for (count, data_centres) in [(1, 1), (2, 1), (8, 3), (63, 4), (86, 3), (300, 8)] {
        let hosts = hosts(count, data_centres);
        let watchers = watchers(&hosts);
        assert_eq!(watchers.len(), MAX_WATCHERS.min(count), "{count} hosts");
        let used_data_centres = watchers
            .iter()
            .map(|(_, data_centre)| data_centre)
            .collect::<std::collections::BTreeSet<_>>();
        assert_eq!(
            used_data_centres.len(),
            MAX_WATCHERS.min(count).min(data_centres),
            "{count} hosts"
        );
    }
}

/// Guards against a host that relies for too long on watchers that send no updates, or watches although they do.
#[test]
fn host_relies_on_watchers_for_a_short_time() {
    let mut freshness = Freshness::default();
    let now = Instant::from_millis(5000);
    assert!(freshness.remaining(Kind::Targets, now).is_zero());
    freshness.mark_current(Kind::Targets, now);
    assert_eq!(
        freshness.remaining(Kind::Targets, now + Duration::from_secs(1)),
        MAX_UPDATE_AGE.saturating_sub(Duration::from_secs(1))
    );
    assert!(freshness.remaining(Kind::Targets, now + MAX_UPDATE_AGE).is_zero());
    assert!(
        freshness.remaining(Kind::Config, now).is_zero(),
        "each kind has its own freshness"
    );
}

/// Guards against a delayed response that adds a removed target again after a watcher's update, and against missed
/// changes. The state must not depend on the order in which changes arrive.
#[test_case(10, 10, 12, Step::Apply; "next changes")]
#[test_case(10, 8, 12, Step::Apply; "changes of which some are known")]
#[test_case(10, 8, 10, Step::Skip; "delayed response")]
#[test_case(10, 10, 10, Step::Skip; "nothing new")]
#[test_case(10, 11, 12, Step::Gap; "missing changes")]
#[test_case(10, 12, 12, Step::Gap; "too many changes for a datagram")]
fn changes_are_applied_once_and_in_order(known: u64, since: u64, revision: u64, expected: Step) {
    assert_eq!(Step::of(known, since, revision), expected);
}

/// The store is unavailable for 14 s, and 86 hosts that all retried as often as watchers made 4,978 calls. Guards
/// against such load, and against watchers or hosts without a configuration that notice late that the store is
/// available again.
#[test_case(true, 86, 600; "watcher")]
#[test_case(false, 8, 600; "few hosts")]
#[test_case(false, 40, 1000; "some hosts")]
#[test_case(false, 390, 2000; "many hosts")]
fn hosts_that_need_not_watch_retry_the_store_less_often(needs_store: bool, hosts: usize, backoff_ms: u64) {
    assert_eq!(max_backoff(needs_store, hosts), Duration::from_millis(backoff_ms));
}
