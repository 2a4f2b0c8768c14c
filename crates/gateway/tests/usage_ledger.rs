//! Decisions of the holders of the duty, through failures of holders, of the store and of the platform.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_gateway::platform::Stored;
use hawthornpost_gateway::usage::ledger::{Step, Timing};
use hawthornpost_gateway::usage::{Counts, Grid, Ledger, Notice, Report, Source, Totals};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use test_case::test_case;

const START: Duration = Duration::from_secs(1_767_225_600);
const WINDOW: Duration = Duration::from_secs(5);
const TIMEOUT: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(100);
const HOSTS: usize = 4;

fn timing() -> Timing {
    Timing {
        grid: Grid::new(WINDOW),
        timeout: TIMEOUT,
    }
}

/// The store and the platform.
#[derive(Default)]
struct Platform {
    record: Option<Stored>,
    revision: u64,
    /// Writes whose answer was lost and which take effect later.
    late: VecDeque<(Option<u64>, String)>,
    /// The reports by window.
    reports: BTreeMap<u64, (Duration, Counts)>,
}

impl Platform {
    fn write(&mut self, base: Option<u64>, contents: &str) -> Option<u64> {
        if self.record.as_ref().map(|record| record.revision) != base {
            return None;
        }
        self.revision += 1;
        let contents = contents.to_owned();
        let revision = self.revision;
        self.record = Some(Stored { revision, contents });
        Some(revision)
    }

    /// Takes a report; another one for the same window must not differ.
    fn report(&mut self, time: Duration, report: &Report) {
        let (_, counts) = self
            .reports
            .entry(report.window)
            .or_insert((time, report.counts.clone()));
        assert_eq!(*counts, report.counts, "two reports for window {}", report.window);
    }
}

struct Host {
    source: Source,
    ledger: Ledger,
    totals: Totals,
    /// What the other hosts have not received yet.
    unsent: Vec<u64>,
}

impl Host {
    fn new(index: usize, rng: &mut SmallRng) -> Self {
        let host = format!("host-{index}").parse().expect("a name");
        let process = rng.random();
        Self {
            source: Source { host, process },
            ledger: Ledger::new(timing()),
            totals: Totals::default(),
            unsent: Vec::new(),
        }
    }
}

/// A run of several hosts in virtual time.
struct Model {
    rng: SmallRng,
    time: Duration,
    hosts: Vec<Host>,
    platform: Platform,
    truth: BTreeMap<u64, Counts>,
    /// What killed hosts counted and had not sent.
    lost: BTreeMap<u64, u64>,
    notices: Vec<Notice>,
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let hosts = (0..HOSTS).map(|index| Host::new(index, &mut rng)).collect();
        Self {
            rng,
            time: START,
            hosts,
            platform: Platform::default(),
            truth: BTreeMap::new(),
            lost: BTreeMap::new(),
            notices: Vec::new(),
        }
    }

    /// Lets `holder` hold the duty for a time, in which calls fail with a probability.
    fn run(&mut self, holder: Option<usize>, duration: Duration, failures: f64) {
        let end = self.time + duration;
        while self.time < end {
            self.time += STEP;
            self.count();
            // Totals arrive within a quarter of a second.
            if self.rng.random_bool(0.5) {
                self.exchange();
            }
            for index in 0..HOSTS {
                if Some(index) != holder {
                    self.hosts[index].ledger.release();
                }
            }
            if let Some(index) = holder {
                self.act(index, failures);
            }
        }
    }

    fn count(&mut self) {
        let window = timing().grid.window(self.time);
        let first = timing().first_due(self.time) - 1;
        for host in &mut self.hosts {
            host.totals.retain(&(first..=window));
            let account = ["a", "b", "c"][self.rng.random_range(0..3)];
            host.totals.add(window, &host.source, account);
            host.unsent.push(window);
            *self
                .truth
                .entry(window)
                .or_default()
                .entry(account.to_owned())
                .or_default() += 1;
        }
    }

    fn exchange(&mut self) {
        for from in 0..HOSTS {
            self.hosts[from].unsent.clear();
            self.send_all(from);
        }
    }

    fn send_all(&mut self, from: usize) {
        let Host { source, totals, .. } = &self.hosts[from];
        let source = source.clone();
        let own = totals
            .windows()
            .filter_map(|window| Some((window, totals.of(window, &source)?.clone())));
        for (window, counts) in own.collect::<Vec<_>>() {
            for host in &mut self.hosts {
                host.totals.merge(window, &source, &counts);
            }
        }
    }

    fn act(&mut self, index: usize, failures: f64) {
        let late = self.platform.late.pop_front().filter(|_| self.rng.random_bool(0.5));
        if let Some((base, contents)) = late {
            self.platform.write(base, &contents);
        }
        let (time, now) = (self.time, Instant::from_start(self.time.saturating_sub(START)));
        let is_failure = self.rng.random_bool(failures);
        // A call that fails may take effect at once, later or never.
        let fate = self.rng.random_range(0..3);
        let host = &mut self.hosts[index];
        match host.ledger.next(now, time, &host.totals) {
            Step::Read if is_failure => host.ledger.store_failed(now),
            Step::Read => host.ledger.read(time, self.platform.record.as_ref(), &mut host.totals),
            Step::Write { base, contents } if is_failure => {
                match fate {
                    0 => drop(self.platform.write(base, &contents)),
                    1 => self.platform.late.push_back((base, contents)),
                    _ => {}
                }
                host.ledger.store_failed(now);
            }
            Step::Write { base, contents } => match self.platform.write(base, &contents) {
                Some(revision) => host.ledger.written(revision),
                None => host.ledger.store_failed(now),
            },
            Step::Report(report) if is_failure => {
                if fate == 0 {
                    self.platform.report(time, &report);
                }
                host.ledger.report_failed(now);
            }
            Step::Report(report) => {
                host.ledger.reported(time, &report, &host.totals);
                self.platform.report(time, &report);
            }
            Step::Wait => {}
        }
        self.notices.extend(self.hosts[index].ledger.take_notices());
    }

    /// Kills a host, which starts anew without state.
    fn kill(&mut self, index: usize) {
        for window in std::mem::take(&mut self.hosts[index].unsent) {
            *self.lost.entry(window).or_default() += 1;
        }
        self.hosts[index] = Host::new(index, &mut self.rng);
        // Hosts send everything to a new candidate; what only killed hosts had counted is in the record.
        for from in 0..HOSTS {
            self.send_all(from);
        }
    }

    fn requests(&self, window: u64) -> u64 {
        self.truth[&window].values().sum()
    }

    /// Returns the windows that ended long enough before the end of the run, without the first one.
    fn ended(&self) -> impl Iterator<Item = u64> + use<> {
        let first = timing().grid.window(START) + 1;
        first..timing().grid.window(self.time.saturating_sub(TIMEOUT))
    }
}

/// Guards against two different reports for a window, whatever fails, and against counts of requests that did not run.
#[test]
fn no_window_is_reported_differently() {
    for seed in 0..150 {
        let mut model = Model::new(seed);
        for _ in 0..40 {
            let holder = model.rng.random_range(0..=HOSTS);
            let duration = Duration::from_millis(model.rng.random_range(100..6000));
            let failures = [0.0, 0.2, 0.6][model.rng.random_range(0..3)];
            model.run((holder < HOSTS).then_some(holder), duration, failures);
            if model.rng.random_bool(0.5) {
                let index = model.rng.random_range(0..HOSTS);
                model.kill(index);
            }
        }
        for (window, (time, counts)) in &model.platform.reports {
            let is_true = counts
                .iter()
                .all(|(account, count)| *count <= model.truth[window][account]);
            assert!(is_true, "seed {seed}, window {window}");
            assert!(*time <= timing().grid.end(*window) + TIMEOUT + STEP, "seed {seed}");
        }
    }
}

/// Guards against windows that are missing or wrong while nothing fails, also windows without a request.
#[test]
fn every_window_of_a_calm_run_is_reported_exactly() {
    let mut model = Model::new(1);
    model.run(Some(0), Duration::from_secs(60), 0.0);
    model.run(Some(2), Duration::from_secs(60), 0.0);
    for window in model.ended() {
        assert_eq!(model.platform.reports[&window].1, model.truth[&window]);
    }
    assert!(
        model
            .notices
            .iter()
            .all(|notice| matches!(notice, Notice::Reported { .. }))
    );
}

/// Guards against windows that are missed although a holder had time for them between failures, and against sums that
/// lack more than what a killed host had not sent.
#[test]
fn killed_holders_cost_only_what_they_had_not_sent() {
    for seed in 0..100 {
        let mut model = Model::new(seed);
        for round in 0..20 {
            model.run(Some(round % HOSTS), Duration::from_secs(7), 0.1);
            model.kill(round % HOSTS);
            model.run(None, Duration::from_secs(3), 0.0);
        }
        model.run(Some(0), Duration::from_secs(15), 0.0);
        for window in model.ended() {
            let (_, counts) = &model.platform.reports[&window];
            let missing = model.requests(window) - counts.values().sum::<u64>();
            let lost = model.lost.get(&window).copied().unwrap_or_default();
            assert!(missing <= lost, "seed {seed}, window {window}: {missing} of {lost}");
        }
    }
}

/// Guards against the loss of the open windows with all hosts.
#[test]
fn the_record_keeps_open_windows_when_all_hosts_restart() {
    let mut model = Model::new(1);
    model.run(Some(0), Duration::from_secs(14), 0.0);
    for index in 0..HOSTS {
        model.hosts[index] = Host::new(index, &mut model.rng);
    }
    model.run(None, Duration::from_secs(3), 0.0);
    model.run(Some(1), Duration::from_secs(30), 0.0);
    // The holder records each second, and reads before it decides.
    let most_lost = 13 * HOSTS as u64;
    for window in model.ended() {
        let missing = model.requests(window) - model.platform.reports[&window].1.values().sum::<u64>();
        assert!(missing <= most_lost, "window {window}: {missing}");
    }
}

/// Guards against reports that are overdue after an outage, and against windows that are skipped although they are due.
#[test_case(Duration::from_secs(4), 0; "a short outage")]
#[test_case(Duration::from_secs(30), 5; "a long outage")]
fn after_an_outage_what_is_due_is_reported(outage: Duration, missed: u64) {
    let mut model = Model::new(1);
    model.run(Some(0), Duration::from_secs(20), 0.0);
    model.run(None, outage, 0.0);
    model.run(Some(1), Duration::from_secs(30), 0.0);
    let windows = model.ended().collect::<Vec<_>>();
    let reported = windows
        .iter()
        .filter(|window| model.platform.reports.contains_key(window))
        .count();
    let unreported = windows.len() - reported;
    assert!(unreported as u64 <= missed, "{unreported}");
    let noticed = model.notices.iter().map(|notice| match notice {
        Notice::Missed { count, .. } => *count,
        _ => 0,
    });
    assert_eq!(noticed.sum::<u64>(), unreported as u64);
}

/// Guards against a second report that differs because of counts that arrive late, which are counted and dropped.
#[test]
fn late_counts_are_dropped_and_counted() {
    let mut model = Model::new(1);
    model.run(Some(0), Duration::from_secs(20), 0.0);
    let window = *model.platform.reports.keys().next_back().expect("a report");
    let source = model.hosts[3].source.clone();
    for _ in 0..7 {
        model.hosts[3].totals.add(window, &source, "a");
    }
    model.run(Some(0), Duration::from_secs(20), 0.0);
    assert!(model.notices.contains(&Notice::Late { window, requests: 7 }));
}

/// Guards against a holder that stops at a record that it cannot decode, and against a second report of its windows.
#[test]
fn an_unreadable_record_is_replaced() {
    let mut model = Model::new(1);
    model.run(Some(0), Duration::from_secs(20), 0.0);
    let reported = model.platform.reports.len();
    model.platform.record.as_mut().expect("a record").contents = "?".to_owned();
    model.run(Some(1), Duration::from_secs(20), 0.0);
    assert!(
        model
            .notices
            .iter()
            .any(|notice| matches!(notice, Notice::Missed { .. }))
    );
    assert!(model.platform.reports.len() > reported);
}
