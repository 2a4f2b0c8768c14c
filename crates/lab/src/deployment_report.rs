//! Counters and latency histograms of a run, and the violations that the oracle found.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::experiment::Table;

/// Histogram bound in milliseconds; longer pauses are recorded as this value.
const MAX_RECORDED_MS: u64 = 600_000;
/// Maximum number of notes kept; further ones are discarded.
const MAX_NOTES: usize = 200;

/// Outcome of an action, as far as its caller knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Outcome {
    /// The action ran.
    Done,
    /// The action did not run.
    NotRun,
    /// The caller does not know whether the action ran.
    Unknown,
}

/// The counters of a run.
#[derive(Debug)]
pub(crate) struct Report {
    begin: Instant,
    /// Gaps between tokens longer than this count as pauses.
    pause_threshold: Duration,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    accounts: BTreeMap<String, Generations>,
    failures: BTreeMap<String, u64>,
    violations: Vec<String>,
    notes: Vec<String>,
    resumes: u64,
    longest_gap: Duration,
    /// Pauses during which the caller stayed connected to one entry host.
    same_entry: Histogram<u64>,
    /// Pauses during which the caller reconnected to another entry host.
    moved: Histogram<u64>,
    first_token: Histogram<u64>,
    actions: BTreeMap<String, Action>,
    lookups: u64,
    lookup_retries: BTreeMap<String, u64>,
    lookup_failures: BTreeMap<String, u64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Generations {
    started: u64,
    complete: u64,
    failed: u64,
}

#[derive(Clone, Debug)]
struct Action {
    outcome: Outcome,
    detail: String,
    history: Vec<String>,
}

impl Report {
    /// Creates a report; gaps between tokens above `pause_threshold` count as pauses.
    pub(crate) fn new(pause_threshold: Duration) -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_RECORDED_MS, 3).expect("valid bounds");
        Self {
            begin: Instant::now(),
            pause_threshold,
            state: Mutex::new(State {
                accounts: BTreeMap::new(),
                failures: BTreeMap::new(),
                violations: Vec::new(),
                notes: Vec::new(),
                resumes: 0,
                longest_gap: Duration::ZERO,
                same_entry: histogram(),
                moved: histogram(),
                first_token: histogram(),
                actions: BTreeMap::new(),
                lookups: 0,
                lookup_retries: BTreeMap::new(),
                lookup_failures: BTreeMap::new(),
            }),
        }
    }

    /// Returns the start of the run.
    pub(crate) fn begin(&self) -> Instant {
        self.begin
    }

    /// Returns the milliseconds since the start.
    pub(crate) fn now_ms(&self) -> u128 {
        self.begin.elapsed().as_millis()
    }

    /// Counts a started generation.
    pub(crate) fn generation_started(&self, account: &str) {
        self.state().account(account).started += 1;
    }

    /// Counts a generation whose answer was complete.
    pub(crate) fn generation_completed(&self, account: &str) {
        self.state().account(account).complete += 1;
    }

    /// Counts a generation that ended with an error.
    pub(crate) fn generation_failed(&self, account: &str, reason: &str) {
        let mut state = self.state();
        state.account(account).failed += 1;
        *state.failures.entry(reason.to_owned()).or_default() += 1;
    }

    /// Records a violation of an invariant.
    pub(crate) fn record_violation(&self, what: &str) {
        let at = self.now_ms();
        self.state().violations.push(format!("{at} ms: {what}"));
    }

    /// Keeps the description of a failed generation, which explains a number in the table.
    pub(crate) fn note(&self, what: &str) {
        let mut state = self.state();
        if state.notes.len() < MAX_NOTES {
            state.notes.push(what.to_owned());
        }
    }

    /// Counts a response that resumed a generation.
    pub(crate) fn generation_resumed(&self) {
        self.state().resumes += 1;
    }

    /// Records the time since the last token or since the request; `moved` tells whether the caller changed the entry
    /// host.
    pub(crate) fn record_gap(&self, gap: Duration, between_tokens: bool, moved: bool) {
        let ms = u64::try_from(gap.as_millis()).unwrap_or(u64::MAX);
        let mut state = self.state();
        if !between_tokens {
            state.first_token.saturating_record(ms);
            return;
        }
        state.longest_gap = state.longest_gap.max(gap);
        if moved {
            state.moved.saturating_record(ms);
        } else if gap > self.pause_threshold {
            state.same_entry.saturating_record(ms);
        }
    }

    /// Records the outcome of an action.
    pub(crate) fn record_action(&self, key: &str, outcome: Outcome, detail: &str, history: &[String]) {
        let action = Action {
            outcome,
            detail: detail.to_owned(),
            history: history.to_vec(),
        };
        self.state().actions.insert(key.to_owned(), action);
    }

    /// Counts a successful lookup.
    pub(crate) fn lookup_succeeded(&self) {
        self.state().lookups += 1;
    }

    /// Counts a failed attempt of a lookup.
    pub(crate) fn lookup_retried(&self, reason: &str) {
        *self.state().lookup_retries.entry(reason.to_owned()).or_default() += 1;
    }

    /// Counts a lookup whose attempts all failed.
    pub(crate) fn lookup_failed(&self, reason: &str) {
        *self.state().lookup_failures.entry(reason.to_owned()).or_default() += 1;
    }

    /// Compares the outcomes that callers got with the executions at the services; `runs` has an item for each key and
    /// claim.
    pub(crate) fn check_actions(&self, runs: &[(String, u64)]) {
        let mut total = BTreeMap::<&str, u64>::new();
        for (key, count) in runs {
            *total.entry(key).or_default() += count;
        }
        let mut state = self.state();
        let mut found = Vec::new();
        for (key, count) in &total {
            if *count > 1 {
                found.push(format!("action {key} ran {count} times"));
            }
        }
        for (key, action) in &state.actions {
            let count = total.get(key.as_str()).copied().unwrap_or_default();
            let is_wrong = match action.outcome {
                Outcome::Done => count == 0,
                Outcome::NotRun => count > 0,
                Outcome::Unknown => false,
            };
            if is_wrong {
                let (detail, history) = (&action.detail, action.history.join("; "));
                found.push(format!(
                    "action {key} was answered `{detail}` and ran {count} times; {history}"
                ));
            }
        }
        state.violations.append(&mut found);
    }

    /// Returns the violations so far.
    pub(crate) fn violations(&self) -> Vec<String> {
        self.state().violations.clone()
    }

    /// Returns the notes so far.
    pub(crate) fn notes(&self) -> Vec<String> {
        self.state().notes.clone()
    }

    /// Adds the rows measured by the callers.
    pub(crate) fn add_rows(&self, table: &mut Table) {
        let state = self.state();
        let mut row = |measure: &str, value: String| table.push([measure.to_owned(), value]);
        let sum = |count: fn(&Generations) -> u64| state.accounts.values().map(count).sum::<u64>().to_string();
        row("generations started", sum(|account| account.started));
        row("generations whole", sum(|account| account.complete));
        row("generations failed with an error", sum(|account| account.failed));
        for (reason, count) in &state.failures {
            row(&format!("  {reason}"), count.to_string());
        }
        row("violations", state.violations.len().to_string());
        for (name, account) in &state.accounts {
            let value = format!("{} / {} / {}", account.started, account.complete, account.failed);
            row(&format!("account {name}: started / whole / failed"), value);
        }
        row("resumes seen by callers", state.resumes.to_string());
        row("first token p50 / p95 / p99 / max (ms)", quantiles(&state.first_token));
        for (name, pauses) in [
            ("at one entry host", &state.same_entry),
            ("with a move to another", &state.moved),
        ] {
            row(&format!("pauses {name}"), pauses.len().to_string());
            row(&format!("pauses {name} p50 / p95 / p99 / max (ms)"), quantiles(pauses));
        }
        row(
            "longest pause in a stream (ms)",
            state.longest_gap.as_millis().to_string(),
        );
        let outcomes = |outcome: Outcome| state.actions.values().filter(move |action| action.outcome == outcome);
        for (name, outcome) in [
            ("done", Outcome::Done),
            ("not run", Outcome::NotRun),
            ("unknown", Outcome::Unknown),
        ] {
            row(&format!("actions {name}"), outcomes(outcome).count().to_string());
            let mut reasons = BTreeMap::<&str, u64>::new();
            for action in outcomes(outcome) {
                *reasons.entry(&action.detail).or_default() += 1;
            }
            for (reason, count) in reasons {
                row(&format!("  {reason}"), count.to_string());
            }
        }
        row("lookups answered", state.lookups.to_string());
        for (reason, count) in &state.lookup_retries {
            row(&format!("  attempts ended by {reason}"), count.to_string());
        }
        row(
            "lookups failed",
            state.lookup_failures.values().sum::<u64>().to_string(),
        );
        for (reason, count) in &state.lookup_failures {
            row(&format!("  {reason}"), count.to_string());
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn account(&mut self, name: &str) -> &mut Generations {
        self.accounts.entry(name.to_owned()).or_default()
    }
}

fn quantiles(histogram: &Histogram<u64>) -> String {
    let values = [0.5, 0.95, 0.99, 1.0].map(|quantile| histogram.value_at_quantile(quantile).to_string());
    values.join(" / ")
}
