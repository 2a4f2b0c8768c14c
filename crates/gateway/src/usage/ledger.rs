//! Decides what the holder of the duty records and reports, without I/O.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornpost_core::clock::Instant;

use crate::platform::Stored;
use crate::usage::{Grid, Journal, Notice, Report, Totals};

/// The interval at which the totals of open windows are recorded.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// The delay after a failed call to the store or to the platform.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// The time that the last counts of a window have to arrive, as a fraction of the time within which the report is due. The
/// rest is for a change of the holder and for repeated calls.
const SETTLING_FRACTION: f64 = 0.25;
/// The maximum of that time. Totals are sent several times within it.
const MAX_SETTLING_TIME: Duration = Duration::from_secs(5);

/// The reasons for missing windows, in the log.
const UNDECIDED: &str = "no host could record the window in time; look at the store and at the lease of the duties";
const UNREPORTED: &str = "the platform accepted no report in time; look at the address of the duties";
const UNRECORDED: &str =
    "the store has no record, and a deleted one may have decided them; after the first start, find out who deleted it";
const UNREADABLE: &str =
    "the record of an earlier holder cannot be decoded and is replaced; run one release on all hosts";

/// When windows are reported.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The windows.
    pub grid: Grid,
    /// The time after the end of a window within which its report is due.
    pub timeout: Duration,
}

/// What the holder has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the record.
    Read,
    /// Write the record if it has the revision `base`, or create it.
    Write {
        /// The revision.
        base: Option<u64>,
        /// The contents.
        contents: String,
    },
    /// Report a window.
    Report(Report),
    /// Nothing for now.
    Wait,
}

/// The windows from the first request to the report.
///
/// The sums of a window are decided by a conditional write and reported after it. A call whose answer is lost is followed
/// by a read, so a decision is never made twice.
#[derive(Debug)]
pub struct Ledger {
    timing: Timing,
    /// The record as this host knows it; `None` if it has to be read.
    recorded: Option<Recorded>,
    /// The contents that are being written.
    pending: Option<Journal>,
    /// The numbers of requests that this process reported, by window.
    reported: BTreeMap<u64, u64>,
    last_write: Instant,
    next_store_call: Instant,
    next_report: Instant,
    notices: Vec<Notice>,
}

#[derive(Clone, Debug)]
struct Recorded {
    revision: Option<u64>,
    journal: Journal,
}

impl Timing {
    /// Returns the first window whose report is not overdue.
    pub fn first_due(&self, time: Duration) -> u64 {
        self.grid.window(time.saturating_sub(self.timeout))
    }

    /// Returns the first window whose counts may still arrive.
    fn first_unsettled(&self, time: Duration) -> u64 {
        let settling = self.timeout.mul_f64(SETTLING_FRACTION).min(MAX_SETTLING_TIME);
        self.grid.window(time.saturating_sub(settling))
    }
}

impl Ledger {
    /// Creates the state of a host that does not hold the duty.
    pub fn new(timing: Timing) -> Self {
        Self {
            timing,
            recorded: None,
            pending: None,
            reported: BTreeMap::new(),
            last_write: Instant::ZERO,
            next_store_call: Instant::ZERO,
            next_report: Instant::ZERO,
            notices: Vec::new(),
        }
    }

    /// Forgets the record, because other holders may change it.
    pub fn release(&mut self) {
        self.recorded = None;
        self.pending = None;
    }

    /// Returns the next step at a true time; the holder executes it and records its outcome.
    pub fn next(&mut self, now: Instant, time: Duration, totals: &Totals) -> Step {
        self.expire(time, totals);
        let may_call_store = now >= self.next_store_call;
        let Some(recorded) = &self.recorded else {
            return if may_call_store { Step::Read } else { Step::Wait };
        };
        if now >= self.next_report
            && let Some(report) = self.due_report(recorded, time)
        {
            return Step::Report(report);
        }
        let has_ended = recorded.journal.next < self.timing.first_unsettled(time);
        if !may_call_store || !(has_ended || now.since(self.last_write) >= WRITE_INTERVAL) {
            return Step::Wait;
        }
        let journal = self.successor(&recorded.journal, time, totals);
        if journal == recorded.journal {
            return Step::Wait;
        }
        let base = recorded.revision;
        let contents = serde_json::to_string(&journal).unwrap_or_default();
        self.last_write = now;
        self.pending = Some(journal);
        Step::Write { base, contents }
    }

    /// Takes over the record that was read, and merges its totals.
    pub fn read(&mut self, time: Duration, stored: Option<&Stored>, totals: &mut Totals) {
        let journal = match stored.map(|stored| serde_json::from_str::<Journal>(&stored.contents)) {
            Some(Ok(journal)) => journal,
            Some(Err(_)) => self.replace_unreadable(time),
            None => self.create(time, totals),
        };
        journal.merge_open(totals);
        self.recorded = Some(Recorded {
            revision: stored.map(|stored| stored.revision),
            journal,
        });
    }

    /// Records that the write took effect.
    pub fn written(&mut self, revision: u64) {
        let Some(journal) = self.pending.take() else {
            return;
        };
        if let Some(before) = &self.recorded {
            let missed = self.missed(&before.journal, &journal);
            self.notices.extend(missed);
        }
        self.recorded = Some(Recorded {
            revision: Some(revision),
            journal,
        });
    }

    /// Records that a call to the store failed, or that another host wrote the record. The write may take effect
    /// nevertheless, so the record is read again.
    pub fn store_failed(&mut self, now: Instant) {
        self.release();
        self.next_store_call = now + RETRY_DELAY;
    }

    /// Records that the platform accepted a report.
    pub fn reported(&mut self, time: Duration, report: &Report, totals: &Totals) {
        // The record may contain any number.
        let requests = report
            .counts
            .values()
            .fold(0, |sum: u64, count| sum.saturating_add(*count));
        self.reported.insert(report.window, requests);
        self.notices.push(Notice::Reported {
            window: report.window,
            requests,
            accounts: report.counts.len(),
            sources: totals.sources(report.window),
            age: time.saturating_sub(self.timing.grid.end(report.window)),
        });
    }

    /// Records that a report was not accepted, or that its answer was lost.
    pub fn report_failed(&mut self, now: Instant) {
        self.next_report = now + RETRY_DELAY;
    }

    /// Returns the notices since the last call.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// Returns the report of the first recorded window that is due and was not reported.
    fn due_report(&self, recorded: &Recorded, time: Duration) -> Option<Report> {
        let mut due = recorded.journal.sums.range(self.timing.first_due(time)..);
        let (window, counts) = due.find(|(window, _)| !self.reported.contains_key(window))?;
        Some(Report {
            window: *window,
            counts: counts.clone(),
        })
    }

    /// Returns what the record should contain.
    fn successor(&self, journal: &Journal, time: Duration, totals: &Totals) -> Journal {
        let first_due = self.timing.first_due(time);
        let first_unsettled = self.timing.first_unsettled(time);
        let mut journal = journal.clone();
        journal.next = journal.next.max(first_due);
        while journal.next < first_unsettled {
            journal.close(totals.sums(journal.next));
        }
        let is_open = |window: &u64| *window >= first_due && !self.reported.contains_key(window);
        journal.sums.retain(|window, _| is_open(window));
        journal.set_open(totals);
        journal
    }

    /// Returns the windows that were dropped by a write without a report of this process.
    fn missed(&self, before: &Journal, after: &Journal) -> Vec<Notice> {
        let is_missed = |window: &u64| !after.sums.contains_key(window) && !self.reported.contains_key(window);
        let unreported = before.sums.keys().filter(|window| is_missed(window));
        let mut missed = unreported
            .map(|window| Notice::Missed {
                first: *window,
                count: 1,
                reason: UNREPORTED,
            })
            .collect::<Vec<_>>();
        let first_decided = after.sums.range(before.next..).next().map(|(window, _)| *window);
        let end = first_decided.unwrap_or(after.next);
        if end > before.next {
            missed.push(Notice::Missed {
                first: before.next,
                count: end - before.next,
                reason: UNDECIDED,
            });
        }
        missed
    }

    /// Returns the first record. A deleted one may have named any ended window.
    fn create(&mut self, time: Duration, totals: &Totals) -> Journal {
        let next = self.timing.grid.window(time);
        let first = totals.first_window().unwrap_or(next).max(self.timing.first_due(time));
        if first < next {
            self.notices.push(Notice::Missed {
                first,
                count: next - first,
                reason: UNRECORDED,
            });
        }
        Journal {
            next,
            ..Journal::default()
        }
    }

    /// Returns the record in place of one that cannot be decoded. It may have named any ended window.
    fn replace_unreadable(&mut self, time: Duration) -> Journal {
        let first = self.timing.first_due(time);
        let next = self.timing.grid.window(time);
        self.notices.push(Notice::Missed {
            first,
            count: next - first,
            reason: UNREADABLE,
        });
        Journal {
            next,
            ..Journal::default()
        }
    }

    /// Forgets reported windows that are overdue, and compares them with what arrived since.
    fn expire(&mut self, time: Duration, totals: &Totals) {
        let current = self.reported.split_off(&self.timing.first_due(time));
        for (window, reported) in std::mem::replace(&mut self.reported, current) {
            let late = totals.requests(window).saturating_sub(reported);
            if late > 0 {
                self.notices.push(Notice::Late { window, requests: late });
            }
        }
    }
}
