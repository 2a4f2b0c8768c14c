//! Trials of new versions.

use std::collections::BTreeSet;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_gateway::rollout::{Order, State};
use hawthornpost_gateway::trial::{Exposure, Latency, Outcome, SAMPLED_INTERVALS, Trial};
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
        since: 1,
        rejected: BTreeSet::new(),
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
                trial.decide(now, HOSTS);
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
#[test_case(Quality { failures: 0.6, from_s: 9, ..GOOD }; "fails in the last quarter")]
#[test_case(Quality { latency_factor: 6.0, from_s: 9, ..GOOD }; "six times slower in the last quarter")]
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
    assert_eq!(trial.decide(Instant::ZERO + DURATION, 1), State::RolledBack);
    let mut later = order();
    later.is_new = false;
    trial.update(later, BTreeSet::new());
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
    assert_eq!(late.decide(due, 2), State::Completed);
    early.merge_peer(due, "late", late.observation(due));
    assert_eq!(early.state(), State::Completed);
}

/// Lets hosts exchange their observations.
fn exchange(now: Instant, trials: &mut [&mut Trial]) {
    let observations = trials.iter().map(|trial| trial.observation(now)).collect::<Vec<_>>();
    for (host, trial) in trials.iter_mut().enumerate() {
        for (peer, observation) in observations.iter().enumerate().filter(|(peer, _)| *peer != host) {
            trial.merge_peer(now, &format!("peer-{peer}"), observation.clone());
        }
    }
}

/// Three hosts at which both versions are good until 8 s after the order.
fn three_hosts_at_8_s() -> [Trial; 3] {
    let mut trials = [(); 3].map(|()| Trial::new(order(), Instant::ZERO, ["v1".to_owned()].into()));
    for at_ms in (0..=8_000).step_by(200) {
        let now = Instant::from_millis(at_ms);
        for trial in &mut trials {
            trial.record("book", "v1", Outcome::Responded(Duration::from_millis(60)));
            trial.record("book", "v2", Outcome::Responded(Duration::from_millis(60)));
        }
        let [first, second, third] = &mut trials;
        exchange(now, &mut [first, second, third]);
        for trial in &mut trials {
            trial.decide(now, 3);
        }
    }
    trials
}

/// Guards against a host that was paused over the deadline of an order and decides alone, by what it knew before, that
/// a version is good that its peers have rolled back.
#[test]
fn paused_host_decides_nothing_before_it_hears_of_its_peers() {
    let [mut first, mut second, mut paused] = three_hosts_at_8_s();
    let stale = first.observation(Instant::from_millis(8_000));
    for at_ms in (8_200..=12_000).step_by(200) {
        let now = Instant::from_millis(at_ms);
        first.record("book", "v2", Outcome::Failed);
        second.record("book", "v2", Outcome::Failed);
        exchange(now, &mut [&mut first, &mut second]);
        first.decide(now, 3);
        second.decide(now, 3);
    }
    assert_eq!(first.state(), State::RolledBack);

    let woken = Instant::from_millis(12_000);
    paused.lose_contact(woken);
    assert_eq!(paused.decide(woken, 3), State::InProgress);
    assert_eq!(
        paused.versions(woken, EXPOSURE, 3),
        Versions::Except(["v2".to_owned()].into())
    );
    // A datagram that arrived before the pause is read after it.
    paused.merge_peer(woken, "peer-0", stale);
    assert_eq!(paused.decide(woken, 3), State::InProgress);
    assert_eq!(
        paused.unwritten(),
        Some(State::InProgress),
        "the order itself may be written"
    );

    paused.merge_peer(woken, "peer-0", first.observation(woken));
    assert_eq!(paused.decide(woken, 3), State::RolledBack);
    assert_eq!(paused.unwritten(), Some(State::RolledBack));
}

/// Guards against a host that is cut off from its peers and completes an order by what it knew before.
#[test]
fn host_without_contact_decides_nothing_and_leaves_the_trial() {
    let [mut alone, ..] = three_hosts_at_8_s();
    for at_ms in (8_200..=14_000).step_by(200) {
        // Its membership counts the others as failed after some time.
        let live_hosts = if at_ms < 11_000 { 3 } else { 1 };
        assert_eq!(alone.decide(Instant::from_millis(at_ms), live_hosts), State::InProgress);
    }
    let now = Instant::from_millis(14_000);
    assert_eq!(
        alone.versions(now, EXPOSURE, 1),
        Versions::Except(["v2".to_owned()].into())
    );
}

/// Guards against a host that overwrites the final state of the store with its own verdict.
#[test]
fn final_state_of_the_store_replaces_the_verdict_and_is_not_written_again() {
    let [mut trial, ..] = three_hosts_at_8_s();
    let now = Instant::from_millis(8_200);
    for _ in 0..60 {
        trial.record("book", "v2", Outcome::Failed);
    }
    assert_eq!(trial.decide(now, 3), State::RolledBack);
    assert_eq!(trial.unwritten(), Some(State::RolledBack));
    let completed = Order {
        state: State::Completed,
        is_new: false,
        revision: 2,
        ..order()
    };
    trial.update(completed, BTreeSet::new());
    assert_eq!(trial.decide(now, 3), State::Completed);
    assert_eq!(trial.unwritten(), None);
    assert_eq!(trial.stable_versions(), Versions::Except(["v1".to_owned()].into()));
}

/// Guards against hosts that differ for good because each keeps the verdict that it reached first: a host that has seen
/// the version fail prevails until the store holds a final state.
#[test]
fn rollback_prevails_over_completion_until_the_store_holds_a_state() {
    let [mut first, mut second, _] = three_hosts_at_8_s();
    let due = Instant::from_millis(11_600);
    exchange(due, &mut [&mut first, &mut second]);
    assert_eq!(first.decide(due, 3), State::Completed);
    for _ in 0..60 {
        second.record("book", "v2", Outcome::Failed);
    }
    assert_eq!(second.decide(due, 3), State::RolledBack);
    exchange(due, &mut [&mut first, &mut second]);
    assert_eq!(first.state(), State::RolledBack);
    assert_eq!(second.state(), State::RolledBack);
}

/// The interval between requests of a deployment with many hosts, each of which sees a few requests during an order.
const SPARSE_STEP_MS: u64 = 30;
const MANY_HOSTS: usize = 86;
/// The steps between two exchanges of counts among many hosts.
const SPARSE_EXCHANGE_STEPS: u64 = 23;
/// The time to the first event of the old version.
const FIRST_EVENT: Duration = Duration::from_secs(1);
/// The interval between events of the old version.
const EVENT_INTERVAL: Duration = Duration::from_millis(30);

/// The speed of a version of model engines.
#[derive(Clone, Copy, Debug)]
struct Speed {
    first_event_factor: f64,
    interval_factor: f64,
    /// The share of the streams to which the factors apply.
    share: f64,
}

const USUAL: Speed = Speed {
    first_event_factor: 1.0,
    interval_factor: 1.0,
    share: 0.0,
};

/// An outcome in the future, or the start of the wait for the next one.
#[derive(Clone, Copy, Debug)]
enum Step {
    First { first_event: Duration, interval: Duration },
    Sampled(Duration),
}

/// Runs a trial of model engines, whose outcomes come long after their requests, on many hosts with few requests each.
/// Returns the verdict with its time in milliseconds, the requests, and the requests to the new version.
fn run_stream_trial(seed: u64, new_version: Speed) -> (State, u64, u64, u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut trials = (0..MANY_HOSTS)
        .map(|_| Trial::new(order(), Instant::ZERO, ["v1".to_owned()].into()).with_rounding(random.random()))
        .collect::<Vec<_>>();
    let mut due = std::collections::BTreeMap::<(u64, u64), (usize, &str, Step)>::new();
    let (mut requests, mut exposed) = (0, 0);
    for step in 0.. {
        let now_ms = step * SPARSE_STEP_MS;
        let now = Instant::from_millis(now_ms);
        while let Some(entry) = due.first_entry().filter(|entry| entry.key().0 <= now_ms) {
            let (_, id) = *entry.key();
            let (host, version, next) = entry.remove();
            let outcome = match next {
                Step::First { first_event, .. } => Outcome::Responded(first_event),
                Step::Sampled(interval) => Outcome::Streamed(interval),
            };
            let trial = &mut trials[host];
            if trial.end_wait(id) {
                trial.record_baseline("draft", version, outcome);
            } else {
                trial.record("draft", version, outcome);
            }
            if let Step::First { interval, .. } = next {
                trial.start_wait(id, now, "draft", version, Latency::EventInterval);
                let sampled_ms = u64::try_from((interval * SAMPLED_INTERVALS).as_millis()).expect("milliseconds");
                due.insert((now_ms + sampled_ms, id), (host, version, Step::Sampled(interval)));
            }
        }
        let host = random.random_range(0..MANY_HOSTS);
        let is_new = matches!(trials[host].versions(now, EXPOSURE, MANY_HOSTS), Versions::Only { .. });
        requests += 1;
        exposed += u64::from(is_new);
        if is_new {
            trials[host].record_exposed();
        }
        let quality = if is_new && random.random::<f64>() < new_version.share {
            new_version
        } else {
            USUAL
        };
        let noise = random.random_range(0.6..1.6);
        let first_event = FIRST_EVENT.mul_f64(quality.first_event_factor * noise);
        let interval = EVENT_INTERVAL.mul_f64(quality.interval_factor * random.random_range(0.8..1.3));
        let version = if is_new { "v2" } else { "v1" };
        trials[host].start_wait(step, now, "draft", version, Latency::Response);
        let first_ms = u64::try_from(first_event.as_millis()).expect("milliseconds");
        due.insert(
            (now_ms + first_ms, step),
            (host, version, Step::First { first_event, interval }),
        );
        if step % SPARSE_EXCHANGE_STEPS == 0 {
            let observations = trials.iter().map(|trial| trial.observation(now)).collect::<Vec<_>>();
            for (host, trial) in trials.iter_mut().enumerate() {
                for (peer, observation) in observations.iter().enumerate().filter(|(peer, _)| *peer != host) {
                    trial.merge_peer(now, &format!("peer-{peer}"), observation.clone());
                }
                trial.decide(now, MANY_HOSTS);
            }
        }
        let state = trials[0].state();
        if state != State::InProgress {
            return (state, now_ms, requests, exposed);
        }
    }
    unreachable!("a trial ends at its deadline")
}

/// Guards against a slow version of model engines that is kept, or rolled back only at the deadline, because its answers
/// count when they end and a single host sees few of them.
#[test_case(Speed { first_event_factor: 8.0, interval_factor: 8.0, share: 1.0 }, 8_000; "eight times slower")]
#[test_case(Speed { first_event_factor: 4.0, interval_factor: 4.0, share: 0.5 }, 12_000; "half four times slower")]
#[test_case(Speed { first_event_factor: 3.0, interval_factor: 3.0, share: 1.0 }, 10_000; "three times slower")]
#[test_case(Speed { first_event_factor: 1.0, interval_factor: 8.0, share: 1.0 }, 10_000; "slow after the first event")]
fn slow_engines_are_rolled_back_while_streams_run(new: Speed, latest_ms: u64) {
    for seed in 0..12 {
        let (state, at_ms, requests, exposed) = run_stream_trial(seed, new);
        assert_eq!(state, State::RolledBack, "seed {seed}");
        assert!(at_ms <= latest_ms, "seed {seed}: {at_ms}");
        let allowed = EXPOSURE.share.mul_add(requests as f64, EXPOSURE.slack);
        assert!(
            exposed > 0 && exposed as f64 <= allowed,
            "seed {seed}: {exposed} of {requests}"
        );
    }
}

/// Guards against a good version that is rolled back because each of many hosts may expose less than one request.
#[test]
fn good_engines_replace_the_old_ones_at_many_hosts() {
    for seed in 0..12 {
        let (state, at_ms, ..) = run_stream_trial(seed, USUAL);
        assert_eq!(state, State::Completed, "seed {seed}: {at_ms}");
    }
}
