//! Measurement of an engine's silence.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_gateway::reachability::Finding;
use hawthornpost_gateway::silence::Silence;
use hawthornpost_gateway::stall::Stall;

const TIMEOUT: Duration = Duration::from_millis(560);
const PROBE_INTERVAL: Duration = Duration::from_millis(240);

/// Guards against streams that are resumed elsewhere while the link of this host is full: every engine was held to be
/// unreachable, in turn, until the retry budget was exhausted.
#[test]
fn silence_of_all_hosts_is_not_held_against_an_engine() {
    let mut now = Instant::ZERO;
    let mut silence = Silence::start(now, TIMEOUT);
    for _ in 0..10 {
        now = now + PROBE_INTERVAL;
        assert_eq!(silence.record(now, Finding::Inconclusive), None);
        assert_eq!(silence.remaining(now), TIMEOUT);
    }
}

/// Guards against a host that is cut off and keeps its streams, which callers could resume at other hosts.
#[test]
fn a_long_silence_of_all_hosts_is_a_stall() {
    let mut now = Instant::ZERO;
    let mut silence = Silence::start(now, TIMEOUT);
    while !silence.remaining(now).is_zero() {
        now = now + PROBE_INTERVAL;
        assert_eq!(silence.record(now, Finding::Inconclusive), None);
        assert!(now.since(Instant::ZERO) < Duration::from_secs(5));
    }
}

/// Prompts wait at engines for 20 s. Guards against a new connection to each engine several times a second, and against a
/// crash of its host that is found out late.
#[test]
fn a_long_silence_is_probed_less_often() {
    let silence = Silence::start(Instant::ZERO, TIMEOUT);
    let (mut now, mut probes) = (Instant::ZERO, 0);
    while now < Instant::from_millis(20_000) {
        let wait = silence.next_probe(now, PROBE_INTERVAL);
        assert!(wait <= PROBE_INTERVAL.max(now.since(Instant::ZERO) / 2));
        now = now + wait;
        probes += 1;
    }
    assert!(probes <= 14, "{probes}");
}

/// Guards against an engine that accepts connections and never responds, and against one whose host is down.
#[test]
fn silence_of_an_engine_alone_is_a_stall() {
    let mut silence = Silence::start(Instant::ZERO, TIMEOUT);
    let now = Instant::ZERO + PROBE_INTERVAL;
    assert_eq!(silence.record(now, Finding::Reachable), None);
    assert_eq!(silence.remaining(now), (Instant::ZERO + TIMEOUT).since(now));
    assert_eq!(silence.remaining(now + TIMEOUT), Duration::ZERO);
    assert_eq!(silence.record(now, Finding::Unreachable), Some(Stall::Unreachable));
}
