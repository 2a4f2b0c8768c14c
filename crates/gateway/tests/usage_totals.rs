//! The totals of all processes, and the messages that carry them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hawthornpost_gateway::usage::outbox::Receiver;
use hawthornpost_gateway::usage::{Batch, Counts, Grid, Outbox, Source, Totals};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

const WINDOW: Duration = Duration::from_secs(5);

fn source(host: usize, process: u64) -> Source {
    let host = format!("host-{host}").parse().expect("a name");
    Source { host, process }
}

fn receiver(port: u16, incarnation: u64) -> Receiver {
    Receiver {
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        incarnation,
    }
}

/// Counts random requests in a process and returns its messages, of which some are lost. All totals are in the last one,
/// which goes to a receiver that has started anew.
fn run(rng: &mut SmallRng, source: &Source, truth: &mut BTreeMap<u64, Counts>) -> Vec<Batch> {
    let grid = Grid::new(WINDOW);
    let mut totals = Totals::default();
    let mut outbox = Outbox::new(source.clone(), grid);
    let mut batches = Vec::new();
    for step in 0..100 {
        let time = Duration::from_millis(step * 250);
        for _ in 0..rng.random_range(0..4) {
            let account = format!("account-{}", rng.random_range(0..5));
            let window = grid.window(time);
            totals.add(window, source, &account);
            outbox.record_change(window, &account);
            *truth.entry(window).or_default().entry(account).or_default() += 1;
        }
        batches.extend(outbox.take(time, &[receiver(1, 1)], &totals));
    }
    batches.retain(|_| rng.random_bool(0.5));
    batches.extend(outbox.take(Duration::from_secs(40), &[receiver(1, 2)], &totals));
    batches.into_iter().map(|message| message.batch).collect()
}

proptest! {
    /// Guards against sums that change with lost, repeated and reordered messages and with processes that start anew.
    #[test]
    fn messages_in_any_order_give_the_same_sums(seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut truth = BTreeMap::new();
        let mut batches = Vec::new();
        for (host, process) in [(0, 0), (0, 1), (1, 2), (2, 3)] {
            batches.extend(run(&mut rng, &source(host, process), &mut truth));
        }
        batches.extend(batches.clone());
        batches.shuffle(&mut rng);
        let mut received = Totals::default();
        for batch in &batches {
            for (window, counts) in &batch.windows {
                received.merge(*window, &batch.from, counts);
            }
        }
        let sums = received.windows().map(|window| (window, received.sums(window)));
        prop_assert_eq!(sums.collect::<BTreeMap<_, _>>(), truth);
    }
}

/// Guards against a lost message that lowers a report: all totals follow again twice after the end of the window.
#[test]
fn an_ended_window_is_sent_again() {
    let source = source(0, 0);
    let (mut totals, mut outbox) = (Totals::default(), Outbox::new(source.clone(), Grid::new(WINDOW)));
    let to = [receiver(1, 1)];
    totals.add(0, &source, "a");
    outbox.record_change(0, "a");
    let sent = [100, 200, 4900, 5450, 5700, 6250, 6500, 9000].map(|millis| {
        let messages = outbox.take(Duration::from_millis(millis), &to, &totals);
        messages.len()
    });
    assert_eq!(sent, [1, 0, 0, 1, 0, 1, 0, 0]);
}

/// Guards against messages of a size or a number that delays streams on the same link.
#[test]
fn many_accounts_are_sent_in_small_batches_and_only_when_they_change() {
    let source = source(0, 0);
    let (mut totals, mut outbox) = (Totals::default(), Outbox::new(source.clone(), Grid::new(WINDOW)));
    let to = [receiver(1, 1), receiver(2, 1), receiver(3, 1)];
    for account in 0..15_000 {
        totals.add(0, &source, &format!("account-{account}"));
    }
    let messages = outbox.take(Duration::from_secs(1), &to, &totals);
    let sizes = messages.iter().map(|message| {
        assert_eq!(message.to.len(), to.len());
        serde_json::to_vec(&message.batch).expect("a batch").len()
    });
    assert!(sizes.max() < Some(16 << 10));
    assert!(messages.len() <= 40);
    outbox.record_change(0, "account-7");
    let messages = outbox.take(Duration::from_secs(2), &to, &totals);
    assert_eq!(
        messages[0].batch.windows[&0],
        Counts::from([("account-7".to_owned(), 1)])
    );
    assert_eq!(messages.len(), 1);
}

/// Guards against memory that grows with the number of processes and accounts, and with time.
#[test]
fn totals_are_bounded() {
    let mut totals = Totals::default();
    for host in 0..30 {
        let source = source(host, 0);
        for account in 0..10_000 {
            totals.add(u64::from(host > 15), &source, &format!("account-{account}"));
        }
    }
    assert!(totals.len() <= 200_000);
    totals.retain(&(1..=3));
    assert_eq!(totals.windows().collect::<Vec<_>>(), [1]);
}
