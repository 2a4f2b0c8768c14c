//! Grow-only counters, merged by maximum.

use serde::{Deserialize, Serialize};

use crate::rollout::Outcome;

/// The number of histogram buckets per doubling of the time.
const BUCKETS_PER_OCTAVE: f64 = 4.0;
/// The last bucket, which starts at about one minute.
const MAX_BUCKET: u8 = 63;

/// A histogram of times in milliseconds.
///
/// `hdrhistogram` does not fit, because two copies have to be merged by the maximum of each bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Histogram {
    /// The buckets that are not empty, in order.
    buckets: Vec<(u8, u32)>,
}

/// The counters of one route or target, version and interval.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Requests that ended, including failed ones.
    #[serde(rename = "r", default)]
    pub requests: u32,
    /// Requests that failed.
    #[serde(rename = "e", default)]
    pub errors: u32,
    /// Generated tokens.
    #[serde(rename = "t", default)]
    pub tokens: u32,
    /// Times to the first token.
    #[serde(rename = "f", default)]
    pub first_token: Histogram,
    /// Mean times between tokens.
    #[serde(rename = "g", default)]
    pub gap: Histogram,
    /// Engine deaths; used for targets only.
    #[serde(rename = "d", default)]
    pub deaths: u32,
}

impl Histogram {
    /// Records a time.
    pub fn record(&mut self, millis: u32) {
        *self.slot(bucket(millis)) += 1;
    }

    /// Returns the number of recorded times.
    pub fn total(&self) -> u64 {
        self.buckets.iter().map(|(_, count)| u64::from(*count)).sum()
    }

    /// Returns the number of times in buckets above this one.
    pub fn above(&self, bucket: u8) -> u64 {
        let above = self.buckets.iter().filter(|(index, _)| *index > bucket);
        above.map(|(_, count)| u64::from(*count)).sum()
    }

    /// Returns the bucket of a quantile, or `None` if the histogram is empty.
    pub fn quantile(&self, quantile: f64) -> Option<u8> {
        let rank = self.total() as f64 * quantile;
        let mut below = 0.0;
        for (index, count) in &self.buckets {
            below += f64::from(*count);
            if below >= rank {
                return Some(*index);
            }
        }
        None
    }

    /// Adds the counts of another histogram.
    pub fn add(&mut self, other: &Self) {
        self.combine(other, u32::saturating_add);
    }

    /// Returns the time at which a bucket ends, in milliseconds.
    pub fn end_of(bucket: u8) -> u32 {
        let millis = (f64::from(bucket + 1) / BUCKETS_PER_OCTAVE).exp2().round();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "2^16 at most")]
        let millis = millis as u32;
        millis
    }

    fn slot(&mut self, bucket: u8) -> &mut u32 {
        let index = match self.buckets.binary_search_by_key(&bucket, |(index, _)| *index) {
            Ok(index) => index,
            Err(index) => {
                self.buckets.insert(index, (bucket, 0));
                index
            }
        };
        &mut self.buckets[index].1
    }

    fn combine(&mut self, other: &Self, with: fn(u32, u32) -> u32) {
        for (bucket, count) in &other.buckets {
            let slot = self.slot((*bucket).min(MAX_BUCKET));
            *slot = with(*slot, *count);
        }
    }
}

impl Counters {
    /// Counts an observation of a request or its engine.
    pub(crate) fn count(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Served => self.requests += 1,
            Outcome::Failed => {
                self.requests += 1;
                self.errors += 1;
            }
            Outcome::FirstToken(millis) => self.first_token.record(millis),
            Outcome::Gap(millis, tokens) => {
                self.tokens = self.tokens.saturating_add(tokens);
                self.gap.record(millis);
            }
            // All requests that run on the engine report the same death.
            Outcome::EngineDied => self.deaths = 1,
        }
    }

    /// Takes the maximum of each counter, so that a copy received twice or out of order has no effect.
    pub fn merge_max(&mut self, other: &Self) {
        self.combine(other, u32::max);
    }

    /// Adds each counter.
    pub fn add(&mut self, other: &Self) {
        self.combine(other, u32::saturating_add);
    }

    /// Subtracts each counter.
    pub(crate) fn subtract(&mut self, other: &Self) {
        self.combine(other, u32::saturating_sub);
    }

    fn combine(&mut self, other: &Self, with: fn(u32, u32) -> u32) {
        self.requests = with(self.requests, other.requests);
        self.errors = with(self.errors, other.errors);
        self.tokens = with(self.tokens, other.tokens);
        self.deaths = with(self.deaths, other.deaths);
        self.first_token.combine(&other.first_token, with);
        self.gap.combine(&other.gap, with);
    }
}

fn bucket(millis: u32) -> u8 {
    let index = (f64::from(millis.max(1)).log2() * BUCKETS_PER_OCTAVE).floor();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "between 0 and 128"
    )]
    let index = index as u8;
    index.min(MAX_BUCKET)
}
