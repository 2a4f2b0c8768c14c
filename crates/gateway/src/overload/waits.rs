//! The expected time of calls, learned from responses and the load that targets report in them.

use std::collections::HashMap;
use std::time::Duration;

use hawthornpost_core::clock::Instant;

use crate::fleet::{Forecast, Report};

/// The age after which an observation of a target is ignored.
const MAX_AGE: Duration = Duration::from_secs(1);
/// The weight of the latest attempt in the part that was refused.
const REFUSED_WEIGHT: f64 = 0.1;
/// The weight of the latest response in the time of a call that does not wait.
const WORK_WEIGHT: f64 = 0.05;
/// The factor by which the shortest observed time rises with each response of a target that reports no load.
const MIN_WORK_RISE: f64 = 1.01;

/// The waits at the targets of a service.
#[derive(Debug, Default)]
pub struct Waits {
    /// The time of a call that does not wait, in seconds.
    work: Option<f64>,
    /// The latest expected time at each target, in seconds.
    targets: HashMap<String, (Instant, f64)>,
    refused_part: f64,
    refused_at: Instant,
}

impl Waits {
    /// Records a response of a target and the load that it reported.
    pub fn record(&mut self, now: Instant, target: &str, took: Duration, report: Option<Report>) {
        self.refused_part -= REFUSED_WEIGHT * self.refused_part;
        let took = took.as_secs_f64();
        let work = self.learn_work(took, report);
        let expected = report.map_or(took, |report| {
            work * (1.0 + f64::from(report.waiting) / f64::from(report.slots.max(1)))
        });
        self.targets.retain(|_, (at, _)| now.since(*at) <= MAX_AGE);
        self.targets.insert(target.to_owned(), (now, expected));
    }

    /// Records that a full target refused a request.
    pub fn record_refusal(&mut self, now: Instant) {
        self.refused_part += REFUSED_WEIGHT * (1.0 - self.refused_part);
        self.refused_at = now;
    }

    /// Returns the part of the recent attempts that full targets refused, from 0 to 1.
    pub fn refused_part(&self, now: Instant) -> f64 {
        if now.since(self.refused_at) > MAX_AGE {
            return 0.0;
        }
        self.refused_part
    }

    /// Returns the expected time of the next call, as the median of the targets, because a few slow ones get fewer calls;
    /// `None` without recent responses.
    pub fn forecast(&self, now: Instant) -> Option<Forecast> {
        let fresh = self.targets.values().filter(|(at, _)| now.since(*at) <= MAX_AGE);
        let mut times = fresh.map(|(_, expected)| *expected).collect::<Vec<_>>();
        times.sort_by(f64::total_cmp);
        let expected = *times.get(times.len() / 2)?;
        Some(Forecast {
            expected: Duration::from_secs_f64(expected),
            unloaded: Duration::from_secs_f64(self.work.unwrap_or_default()),
            remaining: Duration::ZERO,
        })
    }

    /// Learns the time of a call that does not wait, and returns it.
    fn learn_work(&mut self, took: f64, report: Option<Report>) -> f64 {
        let known = self.work.unwrap_or(took);
        let work = match report {
            Some(report) if report.waiting == 0 => known + WORK_WEIGHT * (took - known),
            Some(_) => known.min(took),
            None => took.min(known * MIN_WORK_RISE),
        };
        self.work = Some(work);
        work
    }
}
