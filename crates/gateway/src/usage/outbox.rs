//! Decides which totals a host sends to the candidates for the duty, and when.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::usage::{Batch, Counts, Grid, Source, Totals};

/// The maximum number of totals in a batch, so that the datagram takes few packets.
const MAX_BATCH_TOTALS: usize = 400;
/// The times after the end of a window at which all of its totals are sent again.
const REPEATS: [Duration; 2] = [Duration::from_millis(400), Duration::from_millis(1200)];

/// A process that receives totals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Receiver {
    /// Its address.
    pub address: SocketAddr,
    /// A number that changes when it starts anew; 0 if it is not known.
    pub incarnation: u64,
}

/// A batch with its receivers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The receivers.
    pub to: Vec<SocketAddr>,
    /// The batch.
    pub batch: Batch,
}

/// The totals of this process that have to be sent.
///
/// Receivers get what changed, all of a window twice after its end, and everything when they are new.
#[derive(Debug)]
pub struct Outbox {
    source: Source,
    grid: Grid,
    changed: BTreeMap<u64, BTreeSet<String>>,
    informed: BTreeSet<Receiver>,
    /// How often each window was sent after its end.
    repeats: BTreeMap<u64, usize>,
}

impl Outbox {
    /// Creates the state of a process that has sent nothing.
    pub fn new(source: Source, grid: Grid) -> Self {
        Self {
            source,
            grid,
            changed: BTreeMap::new(),
            informed: BTreeSet::new(),
            repeats: BTreeMap::new(),
        }
    }

    /// Records that a total of this process has changed.
    pub fn record_change(&mut self, window: u64, account: &str) {
        let accounts = self.changed.entry(window).or_default();
        if !accounts.contains(account) {
            accounts.insert(account.to_owned());
        }
    }

    /// Returns what to send at a true time.
    pub fn take(&mut self, time: Duration, receivers: &[Receiver], totals: &Totals) -> Vec<Message> {
        let changed = self.changed_counts(time, totals);
        let (informed, new) = receivers
            .iter()
            .partition::<Vec<_>, _>(|receiver| self.informed.contains(receiver));
        self.informed = receivers.iter().copied().collect();
        let mut messages = self.messages(&informed, changed);
        if !new.is_empty() {
            let all = self.all_counts(totals);
            messages.extend(self.messages(&new, all));
        }
        messages
    }

    /// Returns the totals that changed, and those of ended windows that are due again.
    fn changed_counts(&mut self, time: Duration, totals: &Totals) -> BTreeMap<u64, Counts> {
        let mut counts = BTreeMap::new();
        for (window, accounts) in std::mem::take(&mut self.changed) {
            let Some(all) = totals.of(window, &self.source) else {
                continue;
            };
            let changed = all.iter().filter(|(account, _)| accounts.contains(*account));
            counts.insert(
                window,
                changed.map(|(account, total)| (account.clone(), *total)).collect(),
            );
        }
        let first = totals.first_window().unwrap_or(u64::MAX);
        self.repeats.retain(|window, _| *window >= first);
        for (window, all) in own(totals, &self.source) {
            let repeats = self.repeats.entry(window).or_default();
            let Some(delay) = REPEATS.get(*repeats) else {
                continue;
            };
            if time >= self.grid.end(window) + *delay {
                *repeats += 1;
                counts.insert(window, all.clone());
            }
        }
        counts
    }

    fn all_counts(&self, totals: &Totals) -> BTreeMap<u64, Counts> {
        let own = own(totals, &self.source);
        own.map(|(window, counts)| (window, counts.clone())).collect()
    }

    /// Divides totals into batches.
    fn messages(&self, receivers: &[&Receiver], windows: BTreeMap<u64, Counts>) -> Vec<Message> {
        let to = receivers.iter().map(|receiver| receiver.address).collect::<Vec<_>>();
        if to.is_empty() {
            return Vec::new();
        }
        let totals = windows.into_iter().flat_map(|(window, counts)| {
            let counts = counts.into_iter();
            counts.map(move |(account, total)| (window, account, total))
        });
        let totals = totals.collect::<Vec<_>>();
        let batches = totals.chunks(MAX_BATCH_TOTALS).map(|chunk| self.batch(chunk));
        batches.map(|batch| Message { to: to.clone(), batch }).collect()
    }

    fn batch(&self, totals: &[(u64, String, u64)]) -> Batch {
        let mut windows = BTreeMap::<u64, Counts>::new();
        for (window, account, total) in totals {
            windows.entry(*window).or_default().insert(account.clone(), *total);
        }
        Batch {
            from: self.source.clone(),
            windows,
        }
    }
}

fn own<'a>(totals: &'a Totals, source: &'a Source) -> impl Iterator<Item = (u64, &'a Counts)> {
    totals
        .windows()
        .filter_map(move |window| Some((window, totals.of(window, source)?)))
}
