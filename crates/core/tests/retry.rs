//! Tests of retry budgets.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::{Account, Target};
use hawthornpost_core::retry::Budget;
use test_case::test_case;

fn names() -> (Target, Account) {
    ("engine".parse().unwrap(), "crews".parse().unwrap())
}

/// Guards against a retry storm: if every attempt fails, retries are limited to a tenth of the first attempts.
#[test_case(100, 20; "few attempts add to the initial balance")]
#[test_case(1000, 110; "many attempts allow a tenth")]
fn retries_are_limited_to_a_fraction_of_the_first_attempts(attempts: usize, expected: usize) {
    let (target, account) = names();
    let mut budget = Budget::default();
    let retries = (0..attempts).filter(|_| {
        budget.deposit(Instant::ZERO, &target, &account);
        budget.withdraw(Instant::ZERO, &target, &account)
    });
    let retries = retries.count();
    assert!(
        retries.abs_diff(expected) <= 11,
        "{retries} retries for {attempts} first attempts"
    );
}

/// Guards against an account or target that exhausts the retries of another.
#[test]
fn accounts_and_targets_have_separate_budgets() {
    let (target, account) = names();
    let (other_target, other_account): (Target, Account) = ("e2".parse().unwrap(), "office".parse().unwrap());
    let mut budget = Budget::default();
    while budget.withdraw(Instant::ZERO, &target, &account) {}
    assert!(!budget.withdraw(Instant::ZERO, &other_target, &account));
    assert!(!budget.withdraw(Instant::ZERO, &target, &other_account));
    assert!(budget.withdraw(Instant::ZERO, &other_target, &other_account));
}

/// Guards against the loss of an engine that fails most of its long generations because their resumes exceed the
/// budget.
#[test]
fn long_generations_earn_the_budget_for_their_own_resume() {
    let (target, account) = names();
    let mut budget = Budget::default();
    for _ in 0..300 {
        budget.earn(Instant::ZERO, &target, &account, 256);
    }
    let resumed = (0..300).filter(|_| budget.withdraw(Instant::ZERO, &target, &account));
    assert_eq!(resumed.count(), 300);
}

/// Guards against a budget that is never refilled, and against memory that grows with every account seen.
#[test]
fn budget_refills_and_idle_balances_are_removed() {
    let (target, account) = names();
    let mut budget = Budget::default();
    while budget.withdraw(Instant::ZERO, &target, &account) {}
    assert!(budget.withdraw(Instant::from_millis(10_001), &target, &account));
    let later = Instant::from_start(Duration::from_secs(1000));
    budget.deposit(later, &"e2".parse().unwrap(), &"office".parse().unwrap());
    assert_eq!(budget.len(), 2);
}
