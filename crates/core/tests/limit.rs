//! Tests of quotas, account shares, expected lengths and rejections.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::{Account, Model, Target};
use hawthornpost_core::limit::{Accounts, Cause, Demand, Lengths, Limiter, Parameters, Sharer};
use hawthornpost_core::wire::Load;
use test_case::test_case;

const PARAMETERS: Parameters = Parameters {
    propagation_delay: Duration::from_secs(5),
    settling_time: Duration::from_secs(8),
    growth_delay: Duration::from_secs(60),
    max_lifetime: Duration::from_secs(600),
    pause_threshold: Duration::MAX,
    max_report_age: Duration::from_secs(3),
    min_sharers: 1,
    headroom_permille: 0,
    overbooking_permille: 1000,
};
const SETTLED_AGE: Duration = Duration::from_secs(3600);

struct Fixture {
    limiter: Limiter,
    account: Account,
    model: Model,
    target: Target,
}

impl Fixture {
    fn new(parameters: Parameters) -> Self {
        let (account, model, target): (_, Model, Target) = (
            "crews".parse().unwrap(),
            "letters".parse().unwrap(),
            "engine".parse().unwrap(),
        );
        let mut limiter = Limiter::new(Instant::ZERO, parameters);
        limiter.add(Instant::ZERO, &target, &model, 12_000);
        Self {
            limiter,
            account,
            model,
            target,
        }
    }

    fn observe_others(&mut self, seconds: u64, others: &[Duration]) {
        let sharer = |(index, age): (usize, &Duration)| Sharer {
            entry: format!("e{index}").parse().unwrap(),
            age: *age,
        };
        let view = others.iter().enumerate().map(sharer).collect::<Vec<_>>();
        self.limiter.observe(at(seconds), &self.target, &view);
    }

    fn bound(&self, seconds: u64) -> u64 {
        self.limiter.bound(at(seconds), &self.target)
    }

    fn demand(&self, prompt: u64, expected: u64) -> Demand<'_> {
        Demand {
            account: &self.account,
            priority: 9,
            share: 10,
            prompt,
            expected,
        }
    }

    fn report(&mut self, seconds: u64, sequence: u64, held: u64) {
        let load = Load {
            model: self.model.clone(),
            version: "v1".parse().unwrap(),
            tokens_held: held,
            tokens_capacity: 12_000,
            running: 1,
            waiting: 0,
            sequence,
        };
        self.limiter.report(at(seconds), &self.target, &load);
    }
}

fn at(seconds: u64) -> Instant {
    Instant::from_start(Duration::from_secs(seconds))
}

/// Guards against a rejection that reports load as its cause while an entry that has just started waits for its share;
/// the cause and the retry delay both differ.
#[test]
fn a_settling_entry_returns_its_remaining_wait() {
    let mut fixture = Fixture::new(Parameters {
        growth_delay: Duration::from_secs(10),
        ..PARAMETERS
    });
    fixture.observe_others(1, &[SETTLED_AGE]);
    let demand = Demand {
        account: &fixture.account,
        priority: 9,
        share: 10,
        prompt: 100,
        expected: 100,
    };
    let refusal = fixture.limiter.admit(at(4), &fixture.target, &demand).unwrap_err();
    assert_eq!(refusal.cause, Cause::Settling);
    assert_eq!(refusal.retry_after, Duration::from_secs(6));
    assert_eq!(fixture.limiter.wait_left(at(4)), Duration::from_secs(6));
    assert_eq!(fixture.limiter.wait_left(at(10)), Duration::ZERO);
}

/// Guards against a new entry that uses capacity which others still hold, and against one that never gets its share.
#[test_case(0, 2, 0; "a new entry waits until all others have seen it")]
#[test_case(61, 2, 0; "older entries may still hold their earlier shares")]
#[test_case(609, 2, 4_000; "it has an equal share once their reservations have ended")]
#[test_case(609, 0, 12_000; "a single entry has the whole capacity")]
fn new_entry(seconds: u64, others: usize, expected: u64) {
    let mut fixture = Fixture::new(PARAMETERS);
    fixture.observe_others(0, &vec![SETTLED_AGE; others]);
    assert_eq!(fixture.bound(seconds), expected);
}

/// Guards against a restart that leaves a configured entry without quota for the maximum lifetime of a reservation.
#[test]
fn entry_within_the_minimum_gets_its_share_after_settling() {
    let mut fixture = Fixture::new(Parameters {
        min_sharers: 3,
        ..PARAMETERS
    });
    fixture.observe_others(0, &[SETTLED_AGE, SETTLED_AGE]);
    assert_eq!(fixture.bound(59), 0);
    assert_eq!(fixture.bound(60), 4_000);
}

/// Guards against an entry that continues after a pause with a share that others have taken over.
#[test]
fn entry_waits_after_a_pause() {
    let pause_threshold = Duration::from_secs(1);
    let mut fixture = Fixture::new(Parameters {
        min_sharers: 3,
        pause_threshold,
        ..PARAMETERS
    });
    fixture.observe_others(0, &[SETTLED_AGE, SETTLED_AGE]);
    (1..=100).for_each(|second| fixture.limiter.tick(at(second)));
    assert_eq!(fixture.bound(100), 4_000);
    fixture.limiter.tick(at(102));
    assert_eq!(fixture.bound(109), 0);
    assert_eq!(fixture.bound(110), 4_000);
}

/// Guards against reservations that are lost when a target is removed from the subset and added again.
#[test]
fn removed_target_keeps_its_reservations() {
    let mut fixture = Fixture::new(PARAMETERS);
    let account = fixture.account.clone();
    let demand = Demand {
        account: &account,
        priority: 9,
        share: 10,
        prompt: 5_000,
        expected: 0,
    };
    let reservation = fixture.limiter.admit(at(0), &fixture.target, &demand).unwrap();
    fixture.limiter.remove(&fixture.target);
    let refusal = fixture.limiter.admit(at(0), &fixture.target, &demand).unwrap_err();
    assert_eq!(refusal.cause, Cause::Target);
    fixture.limiter.add(at(1), &fixture.target, &fixture.model, 12_000);
    assert_eq!(fixture.limiter.charged(&fixture.target), 5_000);
    drop(reservation);
    fixture.limiter.remove(&fixture.target);
    assert_eq!(fixture.limiter.free(at(2), &fixture.target), 0);
}

/// Guards against a share that grows before the other entries have seen the change, or that shrinks late.
#[test]
fn share_shrinks_at_once_and_grows_late() {
    let mut fixture = Fixture::new(PARAMETERS);
    fixture.observe_others(0, &[SETTLED_AGE; 2]);
    fixture.observe_others(1000, &[SETTLED_AGE; 3]);
    assert_eq!(fixture.bound(1000), 3_000);
    fixture.observe_others(1010, &[SETTLED_AGE; 1]);
    assert_eq!(fixture.bound(1069), 3_000);
    assert_eq!(fixture.bound(1070), 6_000);
}

/// Guards against a new entry that masks the loss of another one, so that shares grow too early.
#[test]
fn lost_entry_counts_in_addition_to_its_replacement() {
    let mut fixture = Fixture::new(PARAMETERS);
    fixture.observe_others(0, &[SETTLED_AGE; 3]);
    fixture.limiter.observe(at(1000), &fixture.target, &[]);
    let replacement = ["e0", "e1", "e9"].map(|name| Sharer {
        entry: name.parse().unwrap(),
        age: SETTLED_AGE,
    });
    fixture.limiter.observe(at(1001), &fixture.target, &replacement);
    assert_eq!(fixture.bound(1001), 2_400);
    assert_eq!(fixture.bound(1060), 3_000);
}

/// Guards against one of several new entries that uses the share of an older one.
#[test_case(70, 0; "the newer entry yields")]
#[test_case(5, 6_000; "an entry that is older by more than the propagation delay does not")]
fn newer_entries_yield_to_older_ones(other_age: u64, expected: u64) {
    let mut fixture = Fixture::new(PARAMETERS);
    fixture.observe_others(61, &[Duration::from_secs(other_age)]);
    assert_eq!(fixture.bound(61), expected);
}

/// Guards against quota that is granted although the target reports that other entries use it.
#[test]
fn load_report_is_a_second_bound() {
    let mut fixture = Fixture::new(PARAMETERS);
    fixture.report(1, 1, 9_000);
    assert_eq!(fixture.bound(1), 3_000);
    fixture.report(1, 1, 0);
    assert_eq!(fixture.bound(2), 3_000, "a duplicate report was applied");
    assert_eq!(fixture.bound(4), 12_000, "an outdated report was applied");
}

/// Guards against a load report whose own tokens are counted as those of other entries.
#[test]
fn own_tokens_in_a_report_are_subtracted() {
    let mut fixture = Fixture::new(PARAMETERS);
    let demand = Demand {
        account: &fixture.account,
        priority: 9,
        share: 10,
        prompt: 4_000,
        expected: 1_000,
    };
    let reservation = fixture.limiter.admit(at(0), &fixture.target, &demand).unwrap();
    fixture.report(1, 1, 0);
    fixture.report(2, 2, 6_000);
    assert_eq!(fixture.bound(2), 10_000);
    drop(reservation);
}

/// Guards against a reservation that grows beyond the quota, and against tokens that are not released.
#[test]
fn reservation_grows_within_the_quota_and_is_released_on_drop() {
    let mut fixture = Fixture::new(PARAMETERS);
    let (target, model) = (fixture.target.clone(), fixture.model.clone());
    let account = fixture.account.clone();
    let demand = Demand {
        account: &account,
        priority: 9,
        share: 10,
        prompt: 1_000,
        expected: 9_000,
    };
    let mut reservation = fixture.limiter.admit(at(0), &target, &demand).unwrap();
    assert_eq!(reservation.remaining(), 128, "memory was not reserved in steps");
    reservation.produce(128);
    reservation.grow(at(1), 8_872).unwrap();
    assert_eq!(
        fixture.limiter.charged(&target),
        10_000,
        "the expected answer was charged twice"
    );
    reservation.grow(at(1), 2_000).unwrap();
    assert_eq!(reservation.grow(at(1), 1).unwrap_err().cause, Cause::Target);
    assert_eq!(fixture.limiter.charged(&target), 12_000);
    drop(reservation);
    assert_eq!(fixture.limiter.charged(&target), 0);
    assert_eq!(fixture.limiter.charged_to(&account, &model), 0);
}

/// Guards against a caller that is told to retry although the request can never be admitted.
#[test_case(12_001, Cause::TooLarge; "larger than the target")]
#[test_case(8_000, Cause::Target; "larger than what is free")]
fn rejection_returns_the_cause(tokens: u64, cause: Cause) {
    let mut fixture = Fixture::new(PARAMETERS);
    let target = fixture.target.clone();
    let account = fixture.account.clone();
    let demand = |tokens| Demand {
        account: &account,
        priority: 9,
        share: 10,
        prompt: tokens,
        expected: 0,
    };
    let _reservation = fixture.limiter.admit(at(0), &target, &demand(6_000)).unwrap();
    let refusal = fixture.limiter.admit(at(1), &target, &demand(tokens)).unwrap_err();
    assert_eq!(refusal.cause, cause);
    assert!(refusal.retry_after >= Duration::from_secs(1));
    assert_eq!(fixture.demand(1, 2).tokens(), 3);
}

/// Guards against expected answers that leave memory unused, and against admitted requests that exceed it.
#[test]
fn expected_answers_are_overbooked_but_memory_is_not() {
    let mut fixture = Fixture::new(Parameters {
        overbooking_permille: 1500,
        ..PARAMETERS
    });
    let account = fixture.account.clone();
    let demand = Demand {
        account: &account,
        priority: 9,
        share: 10,
        prompt: 1_000,
        expected: 5_000,
    };
    let admitted = (0..9).map_while(|_| fixture.limiter.admit(at(0), &fixture.target, &demand).ok());
    let mut reservations = admitted.collect::<Vec<_>>();
    assert_eq!(reservations.len(), 3, "the charges do not add up to 18,000 tokens");
    reservations[0].grow(at(1), 4_872).unwrap();
    assert_eq!(reservations[1].grow(at(1), 4_872).unwrap_err().cause, Cause::Target);
    reservations[1].grow(at(1), 3_744).unwrap();
    assert_eq!(fixture.limiter.reserved(&fixture.target), 12_000);
}

/// Guards against an answer that is cut off because the share shrank after admission.
#[test]
fn admitted_request_may_grow_within_the_share_it_had() {
    let mut fixture = Fixture::new(PARAMETERS);
    let account = fixture.account.clone();
    let demand = Demand {
        account: &account,
        priority: 9,
        share: 10,
        prompt: 1_000,
        expected: 9_000,
    };
    let mut reservation = fixture.limiter.admit(at(0), &fixture.target, &demand).unwrap();
    fixture.observe_others(1, &[SETTLED_AGE; 3]);
    reservation.grow(at(2), 5_000).unwrap();
    assert_eq!(fixture.bound(602), 0);
    assert_eq!(reservation.grow(at(702), 2_000).unwrap_err().cause, Cause::Target);
}

/// Guards against an account that uses the share of another.
#[test_case(9, 0, 980, true; "unused quota can be borrowed")]
#[test_case(9, 900, 100, false; "the last part of the quota cannot be borrowed")]
#[test_case(0, 790, 20, false; "a low priority may borrow less")]
fn borrowing(priority: u8, used: u64, tokens: u64, allowed: bool) {
    let (large, small): (Account, Account) = ("large".parse().unwrap(), "small".parse().unwrap());
    let mut accounts = Accounts::default();
    accounts.record_request(Instant::ZERO, &small, 30);
    accounts.record_request(Instant::ZERO, &large, 10);
    let mut fixture = Fixture::new(PARAMETERS);
    fixture.account = large.clone();
    assert_eq!(accounts.allows(&large, priority, used + tokens, 1000), allowed);
    assert!(
        accounts.allows(&small, 0, 750, 1000),
        "an account was denied its own share"
    );
}

/// Guards against an estimate from outdated lengths, or from another account's lengths when its own are known.
#[test]
fn expected_length_follows_the_account() {
    let (crews, office, model): (Account, Account, Model) = (
        "crews".parse().unwrap(),
        "office".parse().unwrap(),
        "letters".parse().unwrap(),
    );
    let mut lengths = Lengths::default();
    (0..600).for_each(|_| lengths.observe(&crews, &model, 2_000));
    assert!(
        lengths.expected(&office, &model, 9_000) >= 2_000,
        "an unknown account does not get the model's estimate"
    );
    (0..600).for_each(|_| lengths.observe(&office, &model, 50));
    assert!(lengths.expected(&office, &model, 9_000) < 60);
    assert_eq!(
        lengths.expected(&office, &model, 20),
        20,
        "the estimate exceeds the requested maximum"
    );
    (0..600).for_each(|_| lengths.observe(&crews, &model, 100));
    assert!(
        lengths.expected(&crews, &model, 9_000) < 120,
        "old lengths still determine the estimate"
    );
}
