//! Trials of new versions.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_gateway::rollout::{Order, State};
use hawthornpost_gateway::trial::{Exposure, Outcome, Trial};
use hawthornpost_gateway::versions::Versions;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use test_case::test_case;

const EXPOSURE: Exposure = Exposure {
    share: 0.1,
    slack: 50.0,
};
const DURATION: Duration = Duration::from_secs(12);
/// The interval between requests of the service, at all hosts together.
const STEP_MS: u64 = 12;
const HOSTS: usize = 8;
/// The steps between two exchanges of counts.
const EXCHANGE_STEPS: u64 = 20;

fn order() -> Order {
    Order {
        service: "desk".to_owned(),
        version: "v2".to_owned(),
        duration: DURATION,
        state: State::InProgress,
        is_new: true,
        revision: 1,
    }
}

/// The quality of a version.
#[derive(Clone, Copy, Debug)]
struct Quality {
    /// The share of requests that fail.
    failures: f64,
    /// The factor by which responses are slower than usual.
    latency_factor: f64,
    /// The time from which this quality applies; before it, the version is good.
    from_s: u64,
}

const GOOD: Quality = Quality {
    failures: 0.01,
    latency_factor: 1.0,
    from_s: 0,
};

/// Runs a trial on several hosts. Returns the verdict with its time in milliseconds, the requests, and the requests to
/// the new version.
fn run_trial(seed: u64, new: Quality, old: Quality) -> (State, u64, u64, u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let trial = || Trial::new(order(), Instant::ZERO, ["v1".to_owned()].into());
    let mut trials = (0..HOSTS).map(|_| trial()).collect::<Vec<_>>();
    let (mut requests, mut exposed) = (0, 0);
    for step in 0.. {
        let now = Instant::from_millis(step * STEP_MS);
        let own = random.random_range(0..HOSTS);
        let versions = trials[own].versions(now, EXPOSURE, HOSTS);
        let is_new = matches!(versions, Versions::Only { .. });
        requests += 1;
        exposed += u64::from(is_new);
        if is_new {
            trials[own].record_exposed();
        }
        let quality = if is_new { new } else { old };
        let quality = if now.since_start().as_secs() < quality.from_s {
            GOOD
        } else {
            quality
        };
        let outcome = if random.random::<f64>() < quality.failures {
            Outcome::Failed
        } else {
            Outcome::Responded(
                Duration::from_millis(60).mul_f64(quality.latency_factor * random.random_range(0.8..1.6)),
            )
        };
        trials[own].record("book", if is_new { "v2" } else { "v1" }, outcome);
        if step % EXCHANGE_STEPS == 0 {
            let observations = trials.iter().map(|trial| trial.observation(now)).collect::<Vec<_>>();
            for (host, trial) in trials.iter_mut().enumerate() {
                for (peer, observation) in observations.iter().enumerate().filter(|(peer, _)| *peer != host) {
                    trial.merge_peer(now, &format!("peer-{peer}"), observation.clone());
                }
                trial.decide(now);
            }
        }
        let state = trials[0].state();
        if state != State::InProgress {
            return (state, step * STEP_MS, requests, exposed);
        }
    }
    unreachable!("a trial ends at its deadline")
}

/// Guards against a good version that is rolled back, or replaces the old one after the deadline, also when servers of
/// both versions sometimes fail.
#[test_case(0.0; "no failures")]
#[test_case(0.05; "servers fail")]
fn good_version_replaces_the_old_one_before_the_deadline(failures: f64) {
    let quality = Quality { failures, ..GOOD };
    for seed in 0..300 {
        let (state, at_ms, ..) = run_trial(seed, quality, quality);
        assert_eq!(state, State::Completed, "seed {seed}");
        assert!((10_000..12_000).contains(&at_ms), "seed {seed}: {at_ms}");
    }
}

/// Guards against a bad version that replaces the old one, or that gets more requests than allowed before it is rolled
/// back.
#[test_case(Quality { failures: 0.5, ..GOOD }; "half of the requests fail")]
#[test_case(Quality { latency_factor: 6.0, ..GOOD }; "six times slower")]
#[test_case(Quality { failures: 0.6, from_s: 5, ..GOOD }; "fails later")]
fn bad_version_is_rolled_back_within_its_exposure(new: Quality) {
    for seed in 0..300 {
        let (state, at_ms, requests, exposed) = run_trial(seed, new, GOOD);
        assert_eq!(state, State::RolledBack, "seed {seed}");
        let allowed = EXPOSURE.share.mul_add(requests as f64, EXPOSURE.slack);
        assert!(
            exposed as f64 <= allowed,
            "seed {seed}: {exposed} of {requests} by {at_ms} ms"
        );
    }
}

/// Guards against a version that replaces the old one without evidence, and against a verdict that changes.
#[test]
fn version_without_outcomes_is_rolled_back_for_good() {
    let mut trial = Trial::new(order(), Instant::ZERO, ["v1".to_owned()].into());
    assert_eq!(trial.decide(Instant::ZERO + DURATION), State::RolledBack);
    let mut later = order();
    later.is_new = false;
    trial.update(later);
    assert_eq!(trial.state(), State::RolledBack);
    assert_eq!(trial.stable_versions(), Versions::Except(["v2".to_owned()].into()));
}

/// Guards against hosts with different verdicts, and against a host that receives the order late and decides after the
/// deadline.
#[test]
fn host_adopts_verdict_and_start_of_peers() {
    let mut early = Trial::new(order(), Instant::ZERO, ["v1".to_owned()].into());
    let mut late = Trial::new(order(), Instant::from_millis(7000), ["v1".to_owned()].into());
    late.merge_peer(
        Instant::from_millis(7000),
        "early",
        early.observation(Instant::from_millis(7000)),
    );
    for _ in 0..10 {
        late.record("book", "v2", Outcome::Responded(Duration::from_millis(60)));
    }
    let due = Instant::from_millis(11_700);
    assert_eq!(late.decide(due), State::Completed);
    early.merge_peer(due, "late", late.observation(due));
    assert_eq!(early.state(), State::Completed);
}
