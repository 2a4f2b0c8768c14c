//! The evidence against a part of a prompt.

use std::collections::BTreeSet;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::prompt::{Part, Parts};

/// Crashes within this time count as one, because a failure of several engines at once has another cause.
const SIMULTANEOUS: Duration = Duration::from_millis(200);
/// The number of crashes after which requests with a part are refused.
const MIN_CRASHES: usize = 3;
/// The number of crashes after which a request that waited at all of them is not retried.
const MIN_CRASHES_OF_ONE_REQUEST: usize = 2;
/// The maximum number of crashes kept for a part.
const MAX_CRASHES: usize = 12;

/// An engine that crashed while it held a request without events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The incarnation of the engine.
    pub engine: String,
    /// The last part of the request's prompt, which its repeats share, or else the id of the request.
    pub request: String,
}

/// A crash with its time.
#[derive(Clone, Debug)]
struct Seen {
    crash: Crash,
    at: Instant,
}

/// The crashes at which a part was waiting for its first event.
#[derive(Clone, Debug)]
pub(crate) struct Evidence {
    /// The crashes, at most [`MAX_CRASHES`].
    crashes: Vec<Seen>,
    /// The parts that all requests with this part had in common, this part included.
    pub context: Parts,
    /// When the last request with the part was refused.
    pub refused_at: Option<Instant>,
    /// When a single request was let through after a quiet time.
    pub trial_at: Option<Instant>,
    /// When the last crash occurred.
    pub crashed_at: Instant,
}

/// The evidence against a part, for another host; times are ages, because clocks of different hosts are not comparable.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// The part.
    pub part: Part,
    #[serde_as(as = "Vec<(_, DurationMilliSeconds<u64>)>")]
    crashes: Vec<(Crash, Duration)>,
    context: Parts,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    refused: Option<Duration>,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    trial: Option<Duration>,
}

impl Evidence {
    /// Creates evidence without a crash from the first request with the part.
    pub(crate) fn new(now: Instant, context: &Parts) -> Self {
        Self {
            crashes: Vec::new(),
            context: context.clone(),
            refused_at: None,
            trial_at: None,
            crashed_at: now,
        }
    }

    /// Creates the evidence of another host without its crashes, which [`Evidence::merge`] adds.
    pub(crate) fn unmerged(record: &Record) -> Self {
        Self::new(Instant::ZERO, &record.context)
    }

    /// Adds a crash, unless it is known.
    pub(crate) fn add(&mut self, crash: &Crash, at: Instant) {
        if self.crashes.iter().any(|seen| seen.crash == *crash) {
            return;
        }
        self.crashed_at = self.crashed_at.max(at);
        let crash = crash.clone();
        self.crashes.push(Seen { crash, at });
        self.crashes.sort_by_key(|seen| seen.at);
        if self.crashes.len() > MAX_CRASHES {
            self.remove_least_telling();
        }
    }

    /// Removes a crash that does not count because another one occurred at the same time, or else the last one.
    fn remove_least_telling(&mut self) {
        let is_simultaneous = |pair: &[Seen]| pair[1].at.since(pair[0].at) < SIMULTANEOUS;
        let simultaneous = self.crashes.windows(2).position(is_simultaneous);
        let index = simultaneous.map_or(self.crashes.len() - 1, |first| first + 1);
        self.crashes.remove(index);
    }

    /// Removes crashes up to a time; returns whether there are others.
    pub(crate) fn remove_until(&mut self, limit: Instant) -> bool {
        self.crashes.retain(|seen| seen.at > limit);
        !self.crashes.is_empty()
    }

    /// Narrows the context to the parts of one more request.
    pub(crate) fn narrow(&mut self, parts: &Parts) {
        self.context.retain(|part| parts.contains(part));
    }

    /// Returns the number of crashes at different times and engines.
    pub(crate) fn crashes(&self) -> usize {
        let mut count = 0;
        let mut last: Option<Instant> = None;
        let mut engines = BTreeSet::new();
        for seen in &self.crashes {
            let is_separate = last.is_none_or(|last| seen.at.since(last) >= SIMULTANEOUS);
            if engines.insert(&seen.crash.engine) && is_separate {
                last = Some(seen.at);
                count += 1;
            }
        }
        count
    }

    /// Returns whether the crashes are enough to refuse this request.
    pub(crate) fn is_sufficient(&self, request: &str) -> bool {
        self.is_conclusive() || self.has_repeated(request)
    }

    /// Returns whether the crashes are enough to refuse all requests with the part.
    pub(crate) fn is_conclusive(&self) -> bool {
        self.crashes() >= MIN_CRASHES
    }

    /// Returns whether the crashes are just enough, so that a coincidence is not excluded.
    pub(crate) fn is_weak(&self) -> bool {
        self.engines().len() <= MIN_CRASHES
    }

    /// Returns whether a request waited at so many crashes that it is their likely cause. It is at one engine at a time, so
    /// its crashes are separate however soon they follow.
    fn has_repeated(&self, request: &str) -> bool {
        let own = self.crashes.iter().filter(|seen| seen.crash.request == request);
        let engines = own.map(|seen| &seen.crash.engine).collect::<BTreeSet<_>>();
        engines.len() >= MIN_CRASHES_OF_ONE_REQUEST
    }

    /// Returns whether this part was at all crashes of another one, and at more, or at as many while its requests always
    /// had the other part as well: then requests with the other part alone are not the cause.
    pub(crate) fn explains(&self, other: &Self) -> bool {
        let (own, others) = (self.crashes(), other.crashes());
        let is_narrower = other.context.len() < self.context.len() && other.context.is_subset(&self.context);
        (own > others || own == others && is_narrower) && other.engines().is_subset(&self.engines())
    }

    fn engines(&self) -> BTreeSet<&str> {
        self.crashes.iter().map(|seen| seen.crash.engine.as_str()).collect()
    }

    /// Encodes the evidence for another host.
    pub(crate) fn record(&self, now: Instant, part: &Part) -> Record {
        let age = |at: Instant| now.since(at);
        let crashes = self.crashes.iter().map(|seen| (seen.crash.clone(), age(seen.at)));
        Record {
            part: part.clone(),
            crashes: crashes.collect(),
            context: self.context.clone(),
            refused: self.refused_at.map(age),
            trial: self.trial_at.map(age),
        }
    }

    /// Encodes only the trial, in a message that is small enough for all hosts at once.
    pub(crate) fn trial_record(&self, now: Instant, part: &Part) -> Record {
        Record {
            crashes: Vec::new(),
            ..self.record(now, part)
        }
    }

    /// Adds what another host knows.
    pub(crate) fn merge(&mut self, now: Instant, record: &Record) {
        let at = |age: Duration| Instant::from_start(now.since_start().saturating_sub(age));
        for (crash, age) in &record.crashes {
            self.add(crash, at(*age));
        }
        self.narrow(&record.context);
        self.refused_at = self.refused_at.max(record.refused.map(at));
        self.trial_at = self.trial_at.max(record.trial.map(at));
    }
}
