//! Sequential test of the new version against the old one.
//!
//! The new version's rate of bad requests is tested against an upper bound for a version that is as good as the old
//! one. The test statistic is a sequential likelihood ratio. For any rate up to the bound its expected value never
//! exceeds one, regardless of when it is read, so that testing after every request does not add false alarms. The
//! statistic is computed over the intervals from each possible onset to now, which detects versions that degrade late.

use std::collections::BTreeMap;

use jiff::Timestamp;

use crate::id::Route;
use crate::rollout::{Counters, Evidence, Histogram, Metric, Rate, Reason, Schedule, Side};

/// The probability that a run of a good version is reversed.
const FALSE_ALARM_PROBABILITY: f64 = 0.001;
/// The alternative hypotheses, as multiples of the bound.
const ALTERNATIVE_FACTORS: [f64; 6] = [1.5, 2.0, 4.0, 8.0, 16.0, 32.0];
/// The minimum number of bad requests or deaths; one or two never reverse a run.
const MIN_BAD_COUNT: u64 = 3;
/// The minimum bound for errors: a version with a lower error rate is not reversed for errors.
const MIN_ERROR_BOUND: f64 = 0.01;
/// Requests count as slow above this quantile of the old version, so some requests are always slow.
const SLOW_QUANTILE: f64 = 0.9;
const MIN_SLOW_BOUND: f64 = 0.05;
/// The number of buckets above the quantile from which first tokens count as slow. Cold prefix caches of a new version
/// can double the time to the first token.
const FIRST_TOKEN_SLACK_BUCKETS: u8 = 4;
const GAP_SLACK_BUCKETS: u8 = 2;
/// The bound is this multiple of the upper estimate of the old version's rate, plus a margin.
const RATE_TOLERANCE_FACTOR: f64 = 1.5;
const RATE_MARGIN: f64 = 0.005;
/// The weight of the old version's rate over the whole run, in requests of the compared intervals.
const PRIOR_REQUESTS: f64 = 50.0;
/// The bound for engine deaths, as a multiple of the old version's rate.
const DEATH_TOLERANCE_FACTOR: f64 = 3.0;
/// The assumed time between deaths of an engine without other evidence, in seconds.
const PRIOR_LIFETIME_SECS: f64 = 3600.0;

/// Bad and all requests of both versions in one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pair {
    /// The requests to the new version.
    pub new: Rate,
    /// The requests to the old version.
    pub old: Rate,
}

/// Returns the reason if the new version has to be reversed.
pub fn judge(evidence: &Evidence, schedule: &Schedule, now: Timestamp) -> Option<Reason> {
    let groups = evidence.groups();
    let tests = (groups.len() * 3 + 1) as f64 * f64::from(Schedule::INTERVALS);
    let threshold = threshold(tests, FALSE_ALARM_PROBABILITY);
    let bad_group = groups
        .iter()
        .find_map(|(route, routes)| judge_group(evidence, route.as_ref(), routes, threshold));
    bad_group.or_else(|| judge_deaths(evidence, schedule, now, threshold))
}

fn judge_group(evidence: &Evidence, route: Option<&Route>, routes: &[Route], threshold: f64) -> Option<Reason> {
    let reason = |metric: Metric, found: Pair| Reason {
        metric,
        route: route.cloned(),
        new: found.new,
        old: found.old,
    };
    let errors = |counters: &Counters| Rate {
        bad: u64::from(counters.errors),
        of: u64::from(counters.requests),
    };
    if let Some(found) = compare(&pairs(evidence, routes, errors), MIN_ERROR_BOUND, threshold) {
        return Some(reason(Metric::Errors, found));
    }
    if let Some((millis, found)) = compare_slow(
        evidence,
        routes,
        |counters| &counters.first_token,
        FIRST_TOKEN_SLACK_BUCKETS,
        threshold,
    ) {
        return Some(reason(Metric::FirstToken(millis), found));
    }
    let found = compare_slow(evidence, routes, |counters| &counters.gap, GAP_SLACK_BUCKETS, threshold);
    found.map(|(millis, found)| reason(Metric::Gap(millis), found))
}

/// Returns the counts of both versions by interval.
fn pairs(evidence: &Evidence, routes: &[Route], rate: impl Fn(&Counters) -> Rate) -> Vec<Pair> {
    let mut pairs = Vec::<Pair>::new();
    for side in [Side::Old, Side::New] {
        for (interval, counters) in evidence.cells(side, routes) {
            let index = interval as usize;
            if index >= pairs.len() {
                pairs.resize(index + 1, Pair::default());
            }
            let sum = match side {
                Side::Old => &mut pairs[index].old,
                Side::New => &mut pairs[index].new,
            };
            *sum = sum.plus(rate(counters));
        }
    }
    pairs
}

/// Compares the rates of slow requests, where the old version's histogram defines what is slow.
fn compare_slow(
    evidence: &Evidence,
    routes: &[Route],
    histogram: impl Fn(&Counters) -> &Histogram,
    buckets: u8,
    threshold: f64,
) -> Option<(u32, Pair)> {
    let mut old = Histogram::default();
    for counters in routes.iter().filter_map(|route| evidence.total(Side::Old, route)) {
        old.add(histogram(counters));
    }
    let slow = old.quantile(SLOW_QUANTILE)? + buckets;
    let totals = routes.iter().filter_map(|route| evidence.total(Side::New, route));
    if totals.map(|counters| histogram(counters).above(slow)).sum::<u64>() < MIN_BAD_COUNT {
        return None;
    }
    let rate = |counters: &Counters| Rate {
        bad: histogram(counters).above(slow),
        of: histogram(counters).total(),
    };
    let found = compare(&pairs(evidence, routes, rate), MIN_SLOW_BOUND, threshold);
    found.map(|found| (Histogram::end_of(slow), found))
}

/// Returns the counts since the latest onset from which the new version is significantly worse, if there is a baseline.
fn compare(intervals: &[Pair], floor: f64, threshold: f64) -> Option<Pair> {
    let has_baseline = intervals.iter().any(|pair| pair.old.of > 0);
    has_baseline.then(|| search(intervals, floor, threshold))?
}

/// Returns the counts since the latest onset from which the new version is significantly worse, out of successive
/// intervals.
///
/// A good version is found worse with at most the probability `false_alarms`, in all of `tests` tests together. The search
/// may be repeated after every request. A version whose rate of bad requests is below `floor` is never worse;
/// without requests of the old version, one above it may be.
pub fn find_worse(intervals: &[Pair], floor: f64, tests: u32, false_alarms: f64) -> Option<Pair> {
    search(intervals, floor, threshold(f64::from(tests), false_alarms))
}

fn search(intervals: &[Pair], floor: f64, threshold: f64) -> Option<Pair> {
    let overall = intervals
        .iter()
        .copied()
        .fold(Pair::default(), Pair::plus)
        .old
        .fraction();
    let mut since = Pair::default();
    intervals.iter().rev().find_map(|pair| {
        since = since.plus(*pair);
        let bound = bound(since.old, overall).max(floor);
        // Below the bound every alternative is less likely, so the likelihood ratio need not be computed.
        let may_be_bad = since.new.bad >= MIN_BAD_COUNT && since.new.fraction() > bound;
        (may_be_bad && log_ratio(since.new, bound) >= threshold).then_some(since)
    })
}

/// Returns the logarithm of the likelihood ratio from which a version is worse, if that is tested in several ways.
fn threshold(tests: f64, false_alarms: f64) -> f64 {
    (tests / false_alarms).ln()
}

/// Returns the highest rate that counts as good.
///
/// The estimate includes the old version's whole run, because its few requests of the same intervals say little once
/// most traffic has moved.
fn bound(old: Rate, overall: f64) -> f64 {
    let weight = old.of as f64 + PRIOR_REQUESTS;
    let estimate = ((old.bad as f64 + PRIOR_REQUESTS * overall) / weight).max(overall);
    let upper = estimate + 2.0 * (estimate * (1.0 - estimate) / weight).sqrt();
    (RATE_TOLERANCE_FACTOR * upper + RATE_MARGIN).min(0.9)
}

/// Returns the logarithm of the likelihood ratio averaged over the alternatives.
fn log_ratio(new: Rate, bound: f64) -> f64 {
    let (bad, good) = (new.bad as f64, (new.of - new.bad) as f64);
    let alternatives = ALTERNATIVE_FACTORS.iter().map(|factor| (factor * bound).min(0.95));
    log_mean_exp(alternatives.map(|rate| bad * (rate / bound).ln() + good * ((1.0 - rate) / (1.0 - bound)).ln()))
}

fn log_mean_exp(log_values: impl Iterator<Item = f64>) -> f64 {
    let log_values = log_values.collect::<Vec<_>>();
    let highest = log_values.iter().copied().fold(f64::MIN, f64::max);
    let sum = log_values.iter().map(|value| (value - highest).exp()).sum::<f64>();
    highest + (sum / log_values.len() as f64).ln()
}

/// Compares the rates of deaths per engine time.
fn judge_deaths(evidence: &Evidence, schedule: &Schedule, now: Timestamp, threshold: f64) -> Option<Reason> {
    let intervals = evidence
        .targets(Side::New)
        .flat_map(|(_, intervals)| intervals.values());
    if intervals.map(|counters| u64::from(counters.deaths)).sum::<u64>() < MIN_BAD_COUNT {
        return None;
    }
    let old = deaths(evidence, schedule, Side::Old, now);
    let new = deaths(evidence, schedule, Side::New, now);
    let total = old.values().copied().fold(Rate::default(), Rate::plus);
    let bound = DEATH_TOLERANCE_FACTOR * (total.bad as f64 + 1.0) / (total.of as f64 + PRIOR_LIFETIME_SECS);
    let mut since = Pair::default();
    (0..=schedule.interval(now)?).rev().find_map(|interval| {
        since.new = since.new.plus(new.get(&interval).copied().unwrap_or_default());
        since.old = since.old.plus(old.get(&interval).copied().unwrap_or_default());
        let (deaths, seconds) = (since.new.bad as f64, since.new.of as f64);
        let ratio = log_mean_exp(
            ALTERNATIVE_FACTORS
                .iter()
                .map(|factor| deaths * factor.ln() - (factor - 1.0) * bound * seconds),
        );
        let is_bad = since.new.bad >= MIN_BAD_COUNT && ratio >= threshold;
        is_bad.then_some(Reason {
            metric: Metric::Deaths,
            route: None,
            new: since.new,
            old: since.old,
        })
    })
}

/// Returns deaths and seconds of engine time by interval. A target's time counts in the intervals in which it served.
fn deaths(evidence: &Evidence, schedule: &Schedule, side: Side, now: Timestamp) -> BTreeMap<u32, Rate> {
    let mut rates = BTreeMap::<u32, Rate>::new();
    for (_, intervals) in evidence.targets(side) {
        for (interval, counters) in intervals {
            let rate = rates.entry(*interval).or_default();
            rate.bad += u64::from(counters.deaths);
            rate.of += schedule.seconds_of(*interval, now);
        }
    }
    rates
}

impl Pair {
    /// Returns the counts that were added since `earlier`.
    #[must_use]
    pub fn minus(self, earlier: Self) -> Self {
        Self {
            new: self.new.minus(earlier.new),
            old: self.old.minus(earlier.old),
        }
    }

    /// Returns the sums of both counts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            new: self.new.plus(other.new),
            old: self.old.plus(other.old),
        }
    }
}

impl Rate {
    fn minus(self, earlier: Self) -> Self {
        Self {
            bad: self.bad.saturating_sub(earlier.bad),
            of: self.of.saturating_sub(earlier.of),
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            bad: self.bad + other.bad,
            of: self.of + other.of,
        }
    }

    fn fraction(self) -> f64 {
        self.bad as f64 / self.of.max(1) as f64
    }
}
