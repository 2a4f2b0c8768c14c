//! The choice of watchers and the handling of their updates.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::{DataCentre, Entry};
use hawthornpost_gateway::feed::{Candidate, Freshness, MAX_WATCHERS, Step, is_watcher, max_backoff, max_deputy_delay};
use hawthornpost_gateway::platform::Kind;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
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

/// Guards against a host that relies for too long on watchers that send no updates, or watches although they do. Reading
/// the change itself takes a part of the time that a change may take.
#[test_case(2000; "small fleet")]
#[test_case(4000; "large fleet")]
#[test_case(600; "a short time")]
fn host_relies_on_watchers_for_a_short_time(change_timeout_ms: u64) {
    let change_timeout = Duration::from_millis(change_timeout_ms);
    let mut freshness = Freshness::new(change_timeout);
    let now = Instant::from_millis(5000);
    assert!(freshness.remaining(Kind::Targets, now).is_zero());
    freshness.mark_current(Kind::Targets, now);
    let trusted = freshness.remaining(Kind::Targets, now);
    assert!(trusted <= change_timeout * 2 / 3 && trusted > freshness.update_interval());
    let half = trusted / 2;
    assert_eq!(
        freshness.remaining(Kind::Targets, now + half),
        trusted.saturating_sub(half)
    );
    assert!(freshness.remaining(Kind::Targets, now + trusted).is_zero());
    assert!(
        freshness.remaining(Kind::Config, now).is_zero(),
        "each kind has its own freshness"
    );
}

/// The watchers cannot reach the store while other hosts can. Guards against calls of all hosts, which took 7,000 calls in
/// nine seconds, and against a change that comes into force too late.
#[test_case(8, 2000; "few hosts")]
#[test_case(86, 3000; "tens of hosts")]
#[test_case(295, 4000; "hundreds of hosts")]
#[test_case(390, 4000; "the planned size")]
fn few_hosts_take_the_place_of_silent_watchers(hosts: usize, change_timeout_ms: u64) {
    const SPREAD_MS: f64 = 40.0;
    let change_timeout = Duration::from_millis(change_timeout_ms);
    let mut random = SmallRng::seed_from_u64(7);
    let max_delay = max_deputy_delay(hosts);
    for _ in 0..100 {
        let delays = (0..hosts).map(|_| max_delay.as_secs_f64() * 1000.0 * random.random::<f64>());
        let delays = delays.collect::<Vec<_>>();
        let first = delays.iter().copied().fold(f64::INFINITY, f64::min);
        let callers = delays.iter().filter(|delay| **delay <= first + SPREAD_MS).count();
        assert!(callers <= 40, "{callers} of {hosts} hosts call");
    }
    let mut freshness = Freshness::new(change_timeout);
    freshness.mark_current(Kind::Config, Instant::ZERO);
    let latest = freshness.remaining(Kind::Config, Instant::ZERO) + max_delay;
    assert!(latest < change_timeout, "{latest:?}");
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
#[test_case(true, 86, true, 600; "watcher")]
#[test_case(false, 8, true, 600; "few hosts")]
#[test_case(false, 40, true, 1000; "some hosts")]
#[test_case(false, 295, true, 7375; "many hosts that tell each other")]
#[test_case(false, 390, false, 2000; "a host that hears nothing from others")]
fn hosts_that_need_not_watch_retry_the_store_less_often(
    needs_store: bool,
    hosts: usize,
    hears_others: bool,
    backoff_ms: u64,
) {
    let backoff = max_backoff(needs_store, hosts, hears_others);
    assert_eq!(backoff, Duration::from_millis(backoff_ms));
}
