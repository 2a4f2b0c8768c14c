//! The retry budget.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_gateway::budget::{Allowance, Budget, Usage};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const ALLOWANCE: Allowance = Allowance {
    ratio: 0.8,
    minimum: 150.0,
    window: Duration::from_secs(10),
};

/// Stores the same counts for a number of peers.
fn set_peers(budget: &mut Budget, now: Instant, peers: usize, usage: Usage) {
    for peer in 0..peers {
        budget.set_peer_usage(now, &format!("peer-{peer}"), [("pool".to_owned(), usage)].into());
    }
}

/// Checks that the retries of the window that ends now are within the allowance for its requests.
fn assert_within(now: Instant, requests: &[Instant], retries: &[Instant]) {
    let in_window = |times: &[Instant]| times.iter().filter(|at| now.since(**at) < ALLOWANCE.window).count() as f64;
    let allowed = ALLOWANCE.ratio.mul_add(in_window(requests), ALLOWANCE.minimum);
    let used = in_window(retries);
    assert!(used <= allowed, "{now:?}: {used} of {allowed}");
}

/// Every request fails and every host retries as often as it can. Guards against hosts that together exceed the
/// allowance of all.
#[test]
fn hosts_together_stay_below_the_allowance_in_every_window() {
    let hosts = 8;
    let mut budgets = (0..hosts).map(|_| Budget::new(ALLOWANCE)).collect::<Vec<_>>();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for step in 0..60_u64 {
        let now = Instant::from_millis(step * 500);
        for budget in &mut budgets {
            for _ in 0..(step % 4) {
                budget.record_request(now, "pool");
                requests.push(now);
            }
            while budget.try_retry(now, "pool", hosts) {
                retries.push(now);
            }
        }
        assert_within(now, &requests, &retries);
    }
    assert!(!retries.is_empty());
}

/// Every request fails at all hosts, which exchange their counts a moment later. Guards against hosts that together
/// exceed the allowance before they receive each other's counts.
#[test]
fn hosts_with_exchanged_counts_stay_below_the_allowance() {
    let hosts = 8;
    let mut budgets = (0..hosts).map(|_| Budget::new(ALLOWANCE)).collect::<Vec<_>>();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for step in 0..600_u64 {
        let now = Instant::from_millis(step * 50);
        for budget in &mut budgets {
            if step % 3 == 0 {
                budget.record_request(now, "pool");
                requests.push(now);
            }
            // A retry follows a failure, which takes a few milliseconds.
            retries.extend((0..5).filter(|_| budget.try_retry(now, "pool", hosts)).map(|_| now));
        }
        let usages = budgets.iter_mut().map(|budget| budget.usage(now)).collect::<Vec<_>>();
        for (own, budget) in budgets.iter_mut().enumerate() {
            for (peer, usage) in usages.iter().enumerate().filter(|(peer, _)| *peer != own) {
                budget.set_peer_usage(now, &format!("peer-{peer}"), usage.clone());
            }
        }
        assert_within(now, &requests, &retries);
    }
}

/// 63 hosts have a few streams each, the engines of a data centre fail, and some hosts had more streams there than
/// others. Guards against streams that break off after one attempt at a host although the allowance of all hosts is not
/// used up.
#[test]
fn host_with_many_failures_uses_what_peers_leave() {
    let mut budget = Budget::new(ALLOWANCE);
    let now = Instant::from_millis(20_000);
    for _ in 0..4 {
        budget.record_request(now, "pool");
    }
    set_peers(
        &mut budget,
        now,
        62,
        Usage {
            requests: 6,
            retries: 1,
        },
    );
    let retries = (0..100).filter(|_| budget.try_retry(now, "pool", 63)).count();
    assert!(retries >= 12, "{retries}");
    set_peers(
        &mut budget,
        now,
        62,
        Usage {
            requests: 6,
            retries: 7,
        },
    );
    assert!(!budget.try_retry(now, "pool", 63), "the others have used the allowance");
}

/// 63 hosts are in a burst of requests, the engines of all data centres fail in turn, and hosts receive each other's
/// counts a quarter of a second late. Guards against hosts that each use what the others have not reported as used yet:
/// 1,355 retries were sent where 1,082 were allowed.
#[test]
fn many_hosts_with_late_counts_stay_below_the_allowance() {
    const HOSTS: usize = 63;
    const STEP_MS: u64 = 20;
    /// The steps between two reports of a host, and the steps that a report takes.
    const REPORT_STEPS: u64 = 13;
    const DELAY_STEPS: u64 = 5;
    for seed in 0..6 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut budgets = (0..HOSTS).map(|_| Budget::new(ALLOWANCE)).collect::<Vec<_>>();
        let mut reports = std::collections::VecDeque::new();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for step in 0..1500_u64 {
            let now = Instant::from_millis(step * STEP_MS);
            let is_burst = (500..1000).contains(&step);
            let arrivals = if is_burst { 3 } else { 1 };
            for _ in 0..arrivals {
                budgets[random.random_range(0..HOSTS)].record_request(now, "pool");
                requests.push(now);
            }
            // Every request fails for two seconds of every five.
            let fails = step % 250 < 100;
            for budget in &mut budgets {
                if fails && random.random::<f64>() < 0.5 && budget.try_retry(now, "pool", HOSTS) {
                    retries.push(now);
                }
            }
            for (host, budget) in budgets.iter_mut().enumerate() {
                if (step + host as u64).is_multiple_of(REPORT_STEPS) {
                    reports.push_back((step + DELAY_STEPS, host, budget.usage(now)));
                }
            }
            while reports.front().is_some_and(|(at, ..)| *at <= step) {
                let Some((_, from, usage)) = reports.pop_front() else {
                    break;
                };
                for (host, budget) in budgets.iter_mut().enumerate().filter(|(host, _)| *host != from) {
                    let _ = host;
                    budget.set_peer_usage(now, &format!("peer-{from}"), usage.clone());
                }
            }
            let window = ALLOWANCE.window;
            let count = |times: &[Instant], until: Instant| {
                let newest = times.iter().rev().skip_while(|at| **at > until);
                newest.take_while(|at| until.since(**at) < window).count() as f64
            };
            // The requests of this window count, those of the window before it, or those of the window half a length
            // earlier.
            let requests_by_window = [Duration::ZERO, window / 2, window].map(|back| {
                let until = now.since_start().saturating_sub(back);
                count(&requests, Instant::from_start(until))
            });
            let allowed = ALLOWANCE
                .ratio
                .mul_add(requests_by_window.into_iter().fold(0.0, f64::max), ALLOWANCE.minimum);
            let used = count(&retries, now);
            assert!(used <= allowed, "seed {seed}, step {step}: {used} of {allowed}");
        }
        assert!(retries.len() > 500, "{}", retries.len());
    }
}

/// Engines crash twice within one window, and the first crash has used more than half of the retries of all hosts.
/// Guards against streams of the second crash that break off after two attempts although a third of the retries is
/// left.
#[test]
fn remaining_retries_are_divided_among_hosts() {
    let mut budget = Budget::new(ALLOWANCE);
    let now = Instant::from_millis(20_000);
    for _ in 0..20 {
        budget.record_request(now, "pool");
    }
    set_peers(
        &mut budget,
        now,
        19,
        Usage {
            requests: 20,
            retries: 10,
        },
    );
    // The own part is 17 retries. Of 352 for all hosts 190 are used, and 8 of the rest are left for each host.
    let first = (0..100).filter(|_| budget.try_retry(now, "pool", 20)).count();
    assert_eq!(first, 17);
    let later = now + Duration::from_secs(1);
    let second = (0..100).filter(|_| budget.try_retry(later, "pool", 20)).count();
    assert!((5..=8).contains(&second), "{second}");
}
