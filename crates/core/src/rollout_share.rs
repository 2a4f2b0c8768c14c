//! The share of traffic that the new version receives.

use jiff::{SignedDuration, Timestamp};
use serde::{Deserialize, Serialize};

use crate::rollout::{Counters, Evidence, Side, Verdict};
use crate::rules::RolloutRule;

const MILLION: u32 = 1_000_000;
/// The share of the first step, in millionths.
const FIRST_STEP_SHARE: u32 = 10_000;
/// The share of the last step, in millionths. The old version keeps the rest as a baseline.
const LAST_STEP_SHARE: u32 = 980_000;
/// The fraction of the time until the deadline that the steps use; the rest is reserved for late evidence.
const PLANNED_FRACTION: f64 = 0.7;
/// A target counts as loaded when it had this fraction of the mean load of an old target.
const MIN_LOAD_FRACTION: f64 = 0.7;
/// The minimum time of evidence for an estimate of the end.
const MIN_ESTIMATE_TIME: SignedDuration = SignedDuration::from_secs(60);

/// The number of targets of each version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Targets of the old version.
    pub old: u32,
    /// Targets of the new version.
    pub new: u32,
}

/// The steps of a run, derived from its rule and fleet alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    start: Timestamp,
    deadline: Timestamp,
    min_requests: u64,
    fleet: Fleet,
    steps: Vec<Step>,
}

/// One step of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Step {
    /// The share in millionths.
    share: u32,
    /// The number of targets of the new version in use.
    targets: u32,
}

/// The current share of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The share in millionths.
    pub millionths: u32,
    /// The number of targets of the new version to use. A small share uses few, so that each carries a full load.
    pub new_targets: u32,
    /// The number of targets of the old version to use, so that targets of both versions have similar load.
    pub old_targets: u32,
    /// The step, from zero.
    pub step: u32,
    /// The number of steps.
    pub steps: u32,
    /// Whether the last step is complete.
    pub is_complete: bool,
    /// The estimated end of the run at the current request rate, if it is after the deadline.
    pub late: Option<Timestamp>,
}

impl Schedule {
    /// The number of intervals into which evidence is divided.
    pub const INTERVALS: u32 = 64;

    /// Computes the steps: the share doubles from 1 % to the load of one old target, then the number of targets
    /// doubles.
    pub fn new(rule: &RolloutRule, fleet: Fleet) -> Self {
        let old = fleet.old.max(1);
        let mut steps = Vec::new();
        let mut share = FIRST_STEP_SHARE;
        // A further small step is worthwhile while its share is less than two thirds of one target's load.
        while share * 3 / 2 < MILLION / old {
            steps.push(Step { share, targets: 1 });
            share *= 2;
        }
        let mut targets = 1;
        while targets < old {
            steps.push(Step {
                share: MILLION / old * targets,
                targets,
            });
            targets *= 2;
        }
        steps.push(Step {
            share: LAST_STEP_SHARE,
            targets: old,
        });
        Self {
            start: rule.start,
            deadline: rule.deadline,
            min_requests: u64::from(rule.min_requests),
            fleet,
            steps,
        }
    }

    /// Returns the interval of a time, or `None` before the start.
    pub fn interval(&self, at: Timestamp) -> Option<u32> {
        let since = at.duration_since(self.start);
        if since.is_negative() {
            return None;
        }
        let interval = since.as_millis() / self.interval_length().as_millis();
        Some(u32::try_from(interval).unwrap_or(u32::MAX))
    }

    /// Returns how much of an interval has passed, in seconds.
    pub(crate) fn seconds_of(&self, interval: u32, now: Timestamp) -> u64 {
        let length = self.interval_length();
        let seconds = match self.interval(now) {
            Some(current) if current == interval => now.duration_since(self.start) - length * to_i32(interval),
            Some(current) if current < interval => SignedDuration::ZERO,
            _ => length,
        };
        u64::try_from(seconds.as_secs()).unwrap_or(0)
    }

    /// Returns the length of an interval: at least 10 s, so that it contains requests of both versions.
    fn interval_length(&self) -> SignedDuration {
        (self.window() / to_i32(Self::INTERVALS)).max(SignedDuration::from_secs(10))
    }

    fn window(&self) -> SignedDuration {
        self.deadline.duration_since(self.start)
    }

    fn last_step(&self) -> u32 {
        u32::try_from(self.steps.len() - 1).unwrap_or(u32::MAX)
    }

    fn planned_step_duration(&self) -> SignedDuration {
        self.window().mul_f64(PLANNED_FRACTION) / to_i32(self.last_step() + 1)
    }

    /// Returns the number of steps that may have ended by time.
    fn steps_by_time(&self, now: Timestamp) -> u32 {
        let since = now.duration_since(self.start).max(SignedDuration::ZERO);
        let steps = since.as_millis() / self.planned_step_duration().as_millis().max(1);
        u32::try_from(steps).unwrap_or(u32::MAX)
    }

    /// Returns the number of steps that may have ended by requests: each step needs another `min_requests` at the new
    /// version in every group of routes.
    fn steps_by_requests(&self, evidence: &Evidence) -> u32 {
        let groups = evidence.groups();
        let fewest = groups
            .iter()
            .map(|(_, routes)| evidence.requests_of(Side::New, routes))
            .min();
        u32::try_from(fewest.unwrap_or(0) / self.min_requests.max(1)).unwrap_or(u32::MAX)
    }

    /// Returns the number of steps that may have ended by load: a step ends when all targets of the new version that it
    /// uses have carried the load of an old target.
    fn steps_by_load(&self, evidence: &Evidence) -> u32 {
        let loaded_targets = loaded_targets(evidence);
        let is_open = |step: &Step| {
            let needed = if step.share >= MILLION / self.fleet.old.max(1) {
                step.targets.min(self.fleet.new)
            } else {
                0
            };
            loaded_targets < needed
        };
        let open = self.steps.iter().position(is_open).unwrap_or(self.steps.len());
        u32::try_from(open).unwrap_or(u32::MAX)
    }
}

impl Share {
    /// Computes the share from configuration, time and evidence.
    pub fn of(schedule: &Schedule, now: Timestamp, evidence: &Evidence, verdict: &Verdict) -> Self {
        let last_step = schedule.last_step();
        let ended = schedule
            .steps_by_time(now)
            .min(schedule.steps_by_requests(evidence))
            .min(schedule.steps_by_load(evidence));
        let step = ended.min(last_step);
        let current = schedule.steps[step as usize];
        let (millionths, targets) = match verdict {
            Verdict::Running if now < schedule.start => (0, 0),
            Verdict::Running => (current.share, current.targets),
            Verdict::Done { .. } => (MILLION, schedule.fleet.new),
            Verdict::Reversed { .. } => (0, 0),
        };
        let new_targets = targets.min(schedule.fleet.new);
        let is_running = !verdict.is_final();
        Self {
            millionths,
            new_targets,
            old_targets: schedule.fleet.old.saturating_sub(new_targets).max(1),
            step,
            steps: last_step + 1,
            is_complete: is_running && ended > last_step,
            late: if is_running && ended <= last_step {
                estimate_late_end(schedule, now, evidence, step)
            } else {
                None
            },
        }
        .with_all_old_targets(verdict)
    }

    /// Returns whether a request goes to the new version. The result depends only on the request and the share.
    pub fn includes(&self, request: &[u8]) -> bool {
        let [a, b, c, d, ..] = *blake3::hash(request).as_bytes();
        let draw = (u64::from(u32::from_le_bytes([a, b, c, d])) * u64::from(MILLION)) >> u32::BITS;
        draw < u64::from(self.millionths)
    }

    /// Uses all old targets when the new version receives no traffic.
    fn with_all_old_targets(mut self, verdict: &Verdict) -> Self {
        if matches!(verdict, Verdict::Reversed { .. }) || self.millionths == 0 {
            self.old_targets = u32::MAX;
        }
        self
    }
}

/// Returns the number of targets of the new version that have carried the load of an old one in some interval.
fn loaded_targets(evidence: &Evidence) -> u32 {
    // Requests and number of targets of the old version by interval.
    let mut old = Vec::<(u64, u64)>::new();
    for (_, intervals) in evidence.targets(Side::Old) {
        for (interval, counters) in intervals {
            let index = *interval as usize;
            old.resize(old.len().max(index + 1), (0, 0));
            old[index].0 += u64::from(counters.requests);
            old[index].1 += 1;
        }
    }
    let is_loaded = |(interval, counters): (&u32, &Counters)| {
        old.get(*interval as usize).is_some_and(|(requests, targets)| {
            let scaled_requests = f64::from(counters.requests) * *targets as f64;
            *requests > 0 && *requests >= *targets && scaled_requests >= MIN_LOAD_FRACTION * *requests as f64
        })
    };
    let targets = evidence.targets(Side::New);
    let count = targets.filter(|(_, intervals)| intervals.iter().any(is_loaded)).count();
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Estimates the end of the run at the current request rate, and returns it if it is after the deadline.
fn estimate_late_end(schedule: &Schedule, now: Timestamp, evidence: &Evidence, step: u32) -> Option<Timestamp> {
    let elapsed = now.duration_since(schedule.start);
    if elapsed < MIN_ESTIMATE_TIME {
        return None;
    }
    let groups = evidence.groups();
    let slowest = groups.iter().map(|(_, routes)| {
        let (old, new) = (
            evidence.requests_of(Side::Old, routes),
            evidence.requests_of(Side::New, routes),
        );
        let per_second = (old + new) as f64 / elapsed.as_secs_f64();
        remaining_secs(schedule, step, new, per_second)
    });
    // Without completed requests the rollout cannot advance.
    let by_requests = if groups.is_empty() {
        f64::MAX
    } else {
        slowest.fold(0.0, f64::max)
    };
    let by_plan = schedule.planned_step_duration().as_secs_f64() * f64::from(schedule.last_step() + 1 - step);
    let seconds = by_requests
        .max(by_plan - schedule.planned_step_duration().as_secs_f64())
        .min(1e9);
    let end = now + SignedDuration::from_secs_f64(seconds);
    (end > schedule.deadline).then_some(end)
}

/// Returns the seconds until a group of routes has enough requests for all steps.
fn remaining_secs(schedule: &Schedule, step: u32, served: u64, per_second: f64) -> f64 {
    let mut seconds = 0.0;
    let mut served = served as f64;
    for (index, step) in schedule.steps.iter().enumerate().skip(step as usize) {
        let needed = (schedule.min_requests * (index as u64 + 1)) as f64;
        if served < needed {
            let rate = per_second * f64::from(step.share) / f64::from(MILLION);
            seconds += (needed - served) / rate.max(1e-9);
            served = needed;
        }
    }
    seconds
}

fn to_i32(number: u32) -> i32 {
    i32::try_from(number).unwrap_or(i32::MAX)
}
