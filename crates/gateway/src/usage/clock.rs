//! True time, from the wall clocks of several hosts.

use std::collections::HashMap;
use std::time::Duration;

use hawthornpost_core::clock::Instant;

use crate::duration::millis;

/// How long the wall time of a peer counts. Clocks drift by less than a millisecond within this time.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(10);
/// The maximum number of peers whose wall times are kept.
const MAX_SAMPLES: usize = 64;
/// The deviation of the own wall clock from the median, in milliseconds, up to which it is trusted. Synchronised clocks
/// differ by less, and the wall times of peers are late by as much as their datagrams take.
const MAX_DEVIATION_MS: u64 = 100;
/// The number of hosts with which most have to agree before an offset is kept.
const MIN_HOSTS: usize = 3;
/// A kept offset is given up when less than one in this many hosts agrees with it.
const MIN_AGREEMENT: usize = 4;

/// The steady clock of the process plus an offset on which most hosts agree.
///
/// The wall clock of a single host may be wrong or step. This host's own one counts unless it is far from the median of
/// the offsets of this host and the peers that it heard lately, which then counts instead. An offset on which most hosts
/// agreed is kept when the clocks of many hosts step at the same time, as long as some still agree with it.
#[derive(Debug, Default)]
pub struct Clock {
    samples: HashMap<String, Sample>,
    /// The offset on which most hosts agreed.
    agreed_ms: Option<i64>,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Instant,
    offset_ms: i64,
}

impl Clock {
    /// Records the wall time of a peer, since the start of 1970, that has just arrived.
    pub fn record(&mut self, now: Instant, peer: &str, wall: Duration) {
        if self.samples.len() >= MAX_SAMPLES && !self.samples.contains_key(peer) {
            self.remove_oldest();
        }
        let sample = Sample {
            at: now,
            offset_ms: offset_ms(now, wall),
        };
        self.samples.insert(peer.to_owned(), sample);
    }

    /// Returns the true time at `at` since the start of 1970, where `wall` is this host's wall time `now`.
    pub fn time_of(&mut self, at: Instant, now: Instant, wall: Duration) -> Duration {
        let offset_ms = self.offset_ms(now, offset_ms(now, wall));
        let at_ms = signed_millis(at.since_start()).saturating_add(offset_ms);
        Duration::from_millis(u64::try_from(at_ms).unwrap_or_default())
    }

    /// Returns the true time since the start of 1970, where `wall` is this host's wall time.
    pub fn time(&mut self, now: Instant, wall: Duration) -> Duration {
        self.time_of(now, now, wall)
    }

    fn offset_ms(&mut self, now: Instant, own: i64) -> i64 {
        let recent = self.samples.values();
        let recent = recent.filter(|sample| now.since(sample.at) <= MAX_SAMPLE_AGE);
        let mut offsets = recent.map(|sample| sample.offset_ms).collect::<Vec<_>>();
        offsets.push(own);
        let middle = (offsets.len() - 1) / 2;
        let (_, median, _) = offsets.select_nth_unstable(middle);
        let median = *median;
        let supporters = |offset| offsets.iter().filter(|other| agree(**other, offset)).count();
        if offsets.len() >= MIN_HOSTS
            && supporters(median) * 2 > offsets.len()
            && self.agreed_ms.is_none_or(|agreed| agree(agreed, median))
        {
            self.agreed_ms = Some(median);
        }
        self.agreed_ms = self
            .agreed_ms
            .filter(|agreed| supporters(*agreed) * MIN_AGREEMENT >= offsets.len());
        let reference = self.agreed_ms.unwrap_or(median);
        if agree(own, reference) { own } else { reference }
    }

    fn remove_oldest(&mut self) {
        let oldest = self.samples.iter().min_by_key(|(_, sample)| sample.at);
        if let Some(peer) = oldest.map(|(peer, _)| peer.clone()) {
            self.samples.remove(&peer);
        }
    }
}

fn offset_ms(now: Instant, wall: Duration) -> i64 {
    signed_millis(wall) - signed_millis(now.since_start())
}

fn agree(one: i64, other: i64) -> bool {
    one.abs_diff(other) <= MAX_DEVIATION_MS
}

fn signed_millis(duration: Duration) -> i64 {
    i64::try_from(millis(duration)).unwrap_or(i64::MAX)
}
