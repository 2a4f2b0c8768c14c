//! Leases and orders: when a holder may act, and what a new holder waits for.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::{self, Entry, Model, Target, Version};
use hawthornpost_core::inventory::Fencing;
use hawthornpost_core::lease::{Holder, Lease, Observer};
use hawthornpost_core::order::{Command, Event, Issuer, Kind, Limits, Order, Reply};
use hawthornpost_core::platform::{self, Budget, Failure};
use test_case::test_case;

const TERM: Duration = Duration::from_secs(15);

fn lease(holder: Option<&str>, orders_end: Duration) -> Lease {
    Lease {
        holder: holder.map(|name| Entry::new(name).expect("valid name")),
        term: TERM,
        orders_end,
        tenure: None,
    }
}

fn version(number: u64) -> platform::Version {
    platform::Version::from(number)
}

fn seconds(seconds: u64) -> Instant {
    Instant::from_millis(seconds * 1_000)
}

// Guards against a holder that acts after other entries may acquire the lease.
#[test_case(14, true; "before the end")]
#[test_case(15, false; "at the end of the term")]
fn holder_measures_from_the_send(at: u64, held: bool) {
    let mut holder = Holder::new(TERM);
    holder.start_renewal(Instant::ZERO);
    holder.renewed(version(3));
    assert_eq!(holder.fencing(seconds(at)).is_some(), held);
    holder.clear();
    assert_eq!(holder.fencing(seconds(1)), None);
}

#[test_case(Some("e1"), 24, false; "held")]
#[test_case(Some("e1"), 26, true; "not renewed for the term and the clock drift")]
#[test_case(None, 10, true; "released")]
fn observer_measures_from_the_read(holder: Option<&str>, at: u64, acquirable: bool) {
    let mut observer = Observer::default();
    observer.observe(seconds(0), Some((version(1), lease(holder, TERM))));
    observer.observe(seconds(10), Some((version(2), lease(holder, TERM))));
    observer.observe(seconds(20), Some((version(2), lease(holder, TERM))));
    let expected = acquirable.then_some(Some(version(2)));
    assert_eq!(observer.acquirable(seconds(at)), expected);
}

fn order(number: u8, fencing: Fencing, weight_bytes: u64) -> Order {
    Order {
        id: id::Order::from_random([number; 16]),
        target: Target::new("gpu-1").expect("valid name"),
        fencing,
        kind: Kind::Load,
        model: Model::new("letters").expect("valid name"),
        version: Version::new("v2").expect("valid name"),
        adapter: None,
        role: None,
        weight_bytes,
    }
}

fn issuer(
    found: Option<(platform::Version, Lease)>,
    orders: impl IntoIterator<Item = Order>,
) -> (Issuer, Vec<Command>) {
    let mut issuer = Issuer::new(Entry::new("e2").expect("valid name"), Limits::default());
    for order in orders {
        issuer.handle(seconds(100), Event::Requested(order));
    }
    let commands = issuer.handle(seconds(100), Event::Read(Ok(found)));
    assert!(matches!(commands.as_slice(), [Command::Write(..)]), "{commands:?}");
    let commands = issuer.handle(seconds(100), Event::Written(Ok(version(8))));
    (issuer, commands)
}

fn fencing_numbers(commands: &[Command]) -> Vec<u64> {
    let sent = commands.iter().filter_map(|command| match command {
        Command::Send(_, body) => Some(body.fencing),
        _ => None,
    });
    sent.collect()
}

// Guards against an order to an engine that ignores fencing numbers while orders of the previous holder may still be
// executed.
#[test]
fn new_holder_waits_for_engines_that_ignore_fencing() {
    let released = lease(None, Duration::from_secs(7));
    let orders = [order(1, Fencing::Checked, 0), order(2, Fencing::Ignored, 0)];
    let (mut issuer, commands) = issuer(Some((version(7), released)), orders);
    assert_eq!(fencing_numbers(&commands), [8]);
    assert!(fencing_numbers(&issuer.handle(Instant::from_millis(107_000), Event::Tick)).is_empty());
    let renewed = issuer.handle(Instant::from_millis(107_100), Event::Written(Ok(version(9))));
    assert_eq!(fencing_numbers(&renewed), [9]);
}

// Guards against loads that together exceed the transfer rate of the weight store.
#[test]
fn loads_are_rate_limited() {
    let loads = (1..=3).map(|number| order(number, Fencing::Checked, 2_000_000_000));
    let (mut issuer, commands) = issuer(None, loads);
    assert_eq!(fencing_numbers(&commands).len(), 1);
    assert_eq!(issuer.deadline(), Some(seconds(102)));
    assert_eq!(fencing_numbers(&issuer.handle(seconds(102), Event::Tick)).len(), 1);
    assert_eq!(fencing_numbers(&issuer.handle(seconds(103), Event::Tick)).len(), 0);
}

// Guards against an order under a lease whose renewal result was lost or that expired during a pause.
#[test_case(Event::ClockJumped; "clock jump")]
#[test_case(Event::Written(Err(Failure::Lost)); "renewal lost")]
fn no_order_without_the_lease(event: Event) {
    let (mut issuer, _) = issuer(None, [order(1, Fencing::Checked, 0)]);
    issuer.handle(seconds(106), Event::Tick);
    issuer.handle(seconds(106), event);
    assert!(fencing_numbers(&issuer.handle(seconds(107), Event::Requested(order(2, Fencing::Checked, 0)))).is_empty());
}

#[test]
fn idle_issuer_releases_the_lease() {
    let (mut issuer, _) = issuer(None, [order(1, Fencing::Checked, 0)]);
    let commands = issuer.handle(
        seconds(101),
        Event::Sent(id::Order::from_random([1; 16]), Reply::Executed),
    );
    let released = lease(None, Duration::from_secs(6));
    let report = Command::Report(id::Order::from_random([1; 16]), true);
    assert_eq!(commands, [report, Command::Write(Some(version(8)), released)]);
}

// Guards against bursts above the rate limit of platform calls.
#[test]
fn budget_limits_the_rate() {
    let mut budget = Budget::new(100, 5);
    let taken = (0..2_000)
        .filter(|millis| budget.take(Instant::from_millis(*millis)))
        .count();
    assert!((200..=205).contains(&taken), "{taken} calls in 2 s");
    let now = Instant::from_millis(1_999);
    assert!(budget.take(budget.ready_at(now)));
}
