//! The holder of duties: when it takes, keeps and releases the lease.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::duty::{Candidate, Command, Eligibility, Event, Limits, Reason};
use hawthornpost_core::id::Entry;
use hawthornpost_core::lease::Lease;
use hawthornpost_core::platform::{Failure, Version};
use test_case::test_case;

const LIMITS: Limits = Limits {
    term: Duration::from_secs(3),
    call_timeout: Duration::from_millis(500),
};

fn millis(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn entry(name: &str) -> Entry {
    Entry::new(name).expect("valid name")
}

fn lease_of(name: &str) -> Lease {
    Lease {
        holder: Some(entry(name)),
        term: LIMITS.term,
        orders_end: LIMITS.term,
        tenure: None,
    }
}

/// Returns an eligible candidate that has read that there is no lease.
fn candidate() -> Candidate {
    let mut candidate = Candidate::new(entry("host-1"), 17, LIMITS, Instant::ZERO);
    candidate.handle(Instant::ZERO, Event::Eligibility(Eligibility::Eligible));
    candidate.handle(Instant::ZERO, Event::Read(Ok(None)));
    candidate
}

/// Lets a candidate act on its deadlines until it writes the lease; reads return `found`.
fn next_write(candidate: &mut Candidate, found: Option<&(Version, Lease)>) -> (Instant, Option<Version>, Lease) {
    for _ in 0..100 {
        let now = candidate.deadline().expect("a candidate has a deadline");
        let mut commands = candidate.handle(now, Event::Tick);
        if let Some(Command::Read { .. }) = commands.last() {
            commands = candidate.handle(now, Event::Read(Ok(found.cloned())));
        }
        if let Some(Command::Write(base, lease)) = commands.pop() {
            return (now, base, lease);
        }
    }
    panic!("the candidate never writes");
}

/// Returns a holder with the number 7 and when it took the lease.
fn holder() -> (Candidate, Instant) {
    let mut candidate = candidate();
    let (taken_at, base, _) = next_write(&mut candidate, None);
    assert_eq!(base, None);
    let commands = candidate.handle(taken_at, Event::Written(Ok(Version::from(7))));
    assert_eq!(commands, [Command::Began(Version::from(7))]);
    (candidate, taken_at)
}

/// Guards against a process that acts within a term of a call of the process before it.
#[test]
fn a_new_process_waits_for_the_one_before_it() {
    let (_, taken_at) = holder();
    assert!(taken_at >= millis(3_500), "{taken_at:?}");
}

/// Guards against calls that arrive after the end of the lease, and against a number that changes with renewals.
#[test]
fn calls_begin_only_while_the_lease_outlasts_them() {
    let (mut holder, taken_at) = holder();
    assert_eq!(
        holder.fencing(taken_at + Duration::from_millis(2_400)),
        Some(Version::from(7))
    );
    assert_eq!(holder.fencing(taken_at + Duration::from_millis(2_500)), None);
    let (renewed_at, base, lease) = next_write(&mut holder, None);
    assert_eq!((renewed_at - taken_at, base), (LIMITS.term / 3, Some(Version::from(7))));
    assert_eq!(lease.tenure.and_then(|tenure| tenure.number), Some(Version::from(7)));
    holder.handle(renewed_at, Event::Written(Ok(Version::from(9))));
    assert_eq!(
        holder.begin_call(taken_at + Duration::from_millis(2_500)),
        Some(Version::from(7))
    );
}

/// Guards against a lease that is lost, or held for too long, when the answer to a write is lost.
#[test_case(true; "the write took effect")]
#[test_case(false; "the write had no effect")]
fn lost_answers_are_read_back(is_applied: bool) {
    let mut candidate = candidate();
    let (sent_at, _, lease) = next_write(&mut candidate, None);
    let now = sent_at + Duration::from_secs(1);
    candidate.handle(now, Event::Written(Err(Failure::Lost)));
    let now = candidate.deadline().expect("a retry");
    let commands = candidate.handle(now, Event::Tick);
    assert_eq!(commands, [Command::Read { is_latest: true }]);
    let found = is_applied.then_some((Version::from(8), lease));
    candidate.handle(now, Event::Read(Ok(found)));
    let number = is_applied.then_some(Version::from(8));
    assert_eq!(candidate.fencing(now), number);
    // The lease counts from before the write was sent.
    assert_eq!(candidate.fencing(sent_at + Duration::from_millis(2_500)), None);
}

/// Guards against a busy loop while the store answers reads and turns writes away.
#[test]
fn refused_writes_are_repeated_at_intervals() {
    let mut candidate = candidate();
    let (first, _, _) = next_write(&mut candidate, None);
    let mut last = first;
    for _ in 0..10 {
        candidate.handle(last, Event::Written(Err(Failure::Lost)));
        (last, _, _) = next_write(&mut candidate, None);
    }
    assert!(last.since(first) >= LIMITS.term, "{:?}", last.since(first));
}

/// Guards against a host that acts after a pause before it has renewed the lease.
#[test]
fn a_pause_requires_a_renewal() {
    let (mut holder, taken_at) = holder();
    let commands = holder.handle(taken_at, Event::ClockJumped);
    assert!(matches!(commands[0], Command::Ended(_, Reason::Paused)), "{commands:?}");
    assert!(matches!(commands[1], Command::Write(..)), "{commands:?}");
    assert_eq!(holder.fencing(taken_at), None);
    holder.handle(taken_at, Event::Written(Ok(Version::from(9))));
    assert_eq!(holder.fencing(taken_at), Some(Version::from(7)));
}

/// Guards against duties that nobody does because their holder cannot reach the platform or its peers, or stops, and
/// against one that takes the lease again at once.
#[test_case(Some(Eligibility::Stopping), Reason::Stopping; "the process stops")]
#[test_case(Some(Eligibility::Ineligible), Reason::Ineligible; "other hosts compete")]
#[test_case(Some(Eligibility::Isolated), Reason::Isolated; "most hosts are silent")]
#[test_case(None, Reason::Unreachable; "the platform is silent")]
fn a_holder_releases_the_lease(eligibility: Option<Eligibility>, reason: Reason) {
    let (mut holder, taken_at) = holder();
    let mut now = taken_at;
    let mut commands = Vec::new();
    match eligibility {
        Some(eligibility) => commands = holder.handle(now, Event::Eligibility(eligibility)),
        // Renewals go on, and calls fail for a term.
        None => {
            for version in 8..40 {
                now = now + Duration::from_millis(400);
                holder.begin_call(now);
                commands = holder.handle(now, Event::CallEnded(false));
                if let [Command::Write(..)] = commands[..] {
                    holder.handle(now, Event::Written(Ok(Version::from(version))));
                } else if !commands.is_empty() {
                    break;
                }
            }
        }
    }
    assert_eq!(commands[0], Command::Ended(Version::from(7), reason));
    let Some(Command::Write(_, lease)) = commands.get(1) else {
        panic!("the lease is released: {commands:?}");
    };
    assert_eq!(lease.holder, None);
    let released = (Version::from(50), lease.clone());
    holder.handle(now, Event::Written(Ok(released.0)));
    if matches!(reason, Reason::Isolated | Reason::Unreachable) {
        let (again_at, _, _) = next_write(&mut holder, Some(&released));
        assert!(again_at.since(now) >= LIMITS.term * 2, "{:?}", again_at.since(now));
    } else {
        assert_eq!(holder.deadline(), None);
    }
}

/// Guards against a release while a call is open, which may arrive after a call of the next holder.
#[test]
fn the_lease_is_released_after_open_calls() {
    let (mut holder, taken_at) = holder();
    holder.begin_call(taken_at);
    let commands = holder.handle(taken_at, Event::Eligibility(Eligibility::Stopping));
    assert!(matches!(commands[..], [Command::Ended(..)]), "{commands:?}");
    let commands = holder.handle(taken_at, Event::CallEnded(true));
    assert!(matches!(commands[..], [Command::Write(..)]), "{commands:?}");
}

/// Guards against a lease that is taken from a holder that renews it, and against a stale read that makes a candidate
/// believe that it may take it.
#[test]
fn a_lease_of_another_host_is_taken_after_its_term() {
    let mut candidate = candidate();
    let now = millis(3_000);
    candidate.handle(now, Event::Tick);
    candidate.handle(now, Event::Read(Ok(Some((Version::from(9), lease_of("host-2"))))));
    let outdated = (Version::from(5), lease_of("host-2"));
    let (taken_at, base, _) = next_write(&mut candidate, Some(&outdated));
    assert!(taken_at.since(now) >= LIMITS.term, "{:?}", taken_at.since(now));
    assert_eq!(base, Some(Version::from(9)));
}

/// Guards against a busy loop, or a lease that nobody can take any more, after its object was deleted.
#[test]
fn a_deleted_lease_is_created_again_after_a_term() {
    let (mut holder, _) = holder();
    let (now, ..) = next_write(&mut holder, None);
    let commands = holder.handle(now, Event::Written(Err(Failure::Missing)));
    assert_eq!(commands, [Command::Read { is_latest: true }]);
    holder.handle(now, Event::Read(Ok(None)));
    let (again_at, base, _) = next_write(&mut holder, None);
    assert!(again_at.since(now) >= LIMITS.term, "{:?}", again_at.since(now));
    assert_eq!(base, None);
}
