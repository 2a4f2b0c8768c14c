//! The counts of all processes.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use crate::usage::{Counts, Source};

/// The maximum number of totals that are kept, which bounds the memory to some tens of megabytes.
const MAX_TOTALS: usize = 200_000;

/// Totals by window, process and account.
///
/// Totals only grow and are merged by maximum, so lost, repeated, late and reordered messages change nothing.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    windows: BTreeMap<u64, BTreeMap<Source, Counts>>,
    len: usize,
}

impl Totals {
    /// Adds a request to a total and returns it.
    pub fn add(&mut self, window: u64, source: &Source, account: &str) -> u64 {
        let total = self.total(window, source, account) + 1;
        self.raise(window, source, account, total);
        total
    }

    /// Merges totals of a process.
    pub fn merge(&mut self, window: u64, source: &Source, counts: &Counts) {
        for (account, total) in counts {
            self.raise(window, source, account, *total);
        }
    }

    /// Drops all windows but these.
    pub fn retain(&mut self, windows: &RangeInclusive<u64>) {
        self.windows.retain(|window, _| windows.contains(window));
        let sources = self.windows.values().flat_map(BTreeMap::values);
        self.len = sources.map(Counts::len).sum();
    }

    /// Returns the sums of a window by account.
    pub fn sums(&self, window: u64) -> Counts {
        let mut sums = Counts::new();
        for (account, total) in self
            .windows
            .get(&window)
            .into_iter()
            .flat_map(BTreeMap::values)
            .flatten()
        {
            *sums.entry(account.clone()).or_default() += total;
        }
        sums
    }

    /// Returns the number of requests in a window.
    pub fn requests(&self, window: u64) -> u64 {
        let sources = self.windows.get(&window).into_iter().flat_map(BTreeMap::values);
        sources.flat_map(Counts::values).sum()
    }

    /// Returns the number of processes that counted requests in a window.
    pub fn sources(&self, window: u64) -> usize {
        self.windows.get(&window).map_or(0, BTreeMap::len)
    }

    /// Returns the totals of a process in a window.
    pub fn of(&self, window: u64, source: &Source) -> Option<&Counts> {
        self.windows.get(&window)?.get(source)
    }

    /// Returns the windows with requests.
    pub fn windows(&self) -> impl Iterator<Item = u64> {
        self.windows.keys().copied()
    }

    /// Returns the first window with requests.
    pub fn first_window(&self) -> Option<u64> {
        self.windows().next()
    }

    /// Returns the totals of all processes from a window on, by window and process.
    pub fn since(&self, first: u64) -> impl Iterator<Item = (u64, &Source, &Counts)> {
        let sources = self.windows.range(first..);
        sources.flat_map(|(window, sources)| sources.iter().map(|(source, counts)| (*window, source, counts)))
    }

    /// Returns the number of totals.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether there is no total.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn total(&self, window: u64, source: &Source, account: &str) -> u64 {
        let counts = self.of(window, source);
        counts
            .and_then(|counts| counts.get(account))
            .copied()
            .unwrap_or_default()
    }

    fn raise(&mut self, window: u64, source: &Source, account: &str, total: u64) {
        if let Some(known) = self.get_mut(window, source, account) {
            *known = total.max(*known);
            return;
        }
        if self.len >= MAX_TOTALS {
            return;
        }
        let sources = self.windows.entry(window).or_default();
        let counts = sources.entry(source.clone()).or_default();
        counts.insert(account.to_owned(), total);
        self.len += 1;
    }

    fn get_mut(&mut self, window: u64, source: &Source, account: &str) -> Option<&mut u64> {
        self.windows.get_mut(&window)?.get_mut(source)?.get_mut(account)
    }
}
