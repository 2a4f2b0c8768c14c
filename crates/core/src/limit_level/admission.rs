//! Admission of the requests for one service.

use std::time::Duration;

use crate::clock::Instant;
use crate::limit_level::{Demand, Level, Offered, Peers, Rank, Signal, Throughput};

/// The minimum of the mean delay. A level reacts to the beginning of an overload within this time.
const MIN_DELAY: Duration = Duration::from_millis(500);
/// The part of the time until its deadline after which a refused caller returns at the latest, so that it can still be
/// served.
const MAX_DELAY_FRACTION: f64 = 0.75;
/// The spread of the delays of refused callers around their mean, as a factor.
const DELAY_SPREAD: (f64, f64) = (0.5, 1.5);

/// The admission of requests for one service at one host.
///
/// ```
/// use std::time::Duration;
///
/// use hawthornpost_core::clock::Instant;
/// use hawthornpost_core::limit_level::{Admission, Demand};
///
/// let mut admission = Admission::default();
/// let demand = Demand { account: "crews", weight: 1, priority: 3, work: 1.0 };
/// assert!(admission.admit(Instant::ZERO, &demand, Duration::from_secs(3), 0.5).is_ok());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Admission {
    own: Level,
    peers: Peers,
    offered: Offered,
    throughput: Throughput,
}

/// The refusal of a request that ranks above the level.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// The level that decided.
    pub level: f64,
    /// The rank of the request.
    pub rank: Rank,
    /// The time after which the caller may return.
    pub retry_after: Duration,
}

impl Admission {
    /// Applies a signal of the service.
    pub fn observe(&mut self, now: Instant, signal: Signal) {
        self.own.observe(now, signal, self.throughput.completed_part());
    }

    /// Records work that the service has completed, in the unit of [`Demand::work`].
    pub fn record_completed(&mut self, now: Instant, work: f64) {
        self.throughput.record_completed(now, work);
    }

    /// Stores the level of a peer.
    pub fn merge_peer(&mut self, now: Instant, peer: &str, level: f64) {
        self.peers.put(now, peer, level);
    }

    /// Returns the level by this host's own signal, which its peers are told.
    pub fn own_level(&self, now: Instant) -> f64 {
        self.own.value(now)
    }

    /// Returns the level that decides on requests.
    pub fn level(&mut self, now: Instant) -> f64 {
        self.peers.median(now, self.own.value(now))
    }

    /// Decides on a request whose deadline is in `time_left`. `random` is a number between 0 and 1.
    ///
    /// # Errors
    ///
    /// Fails with the reason when the request ranks above the level.
    pub fn admit(
        &mut self,
        now: Instant,
        demand: &Demand<'_>,
        time_left: Duration,
        random: f64,
    ) -> Result<(), Refusal> {
        self.offered.record(now, demand, random);
        self.throughput.record_offered(now, demand.work);
        let level = self.level(now);
        if level >= 1.0 {
            return Ok(());
        }
        let (part, rank) = self.offered.part(demand, level);
        if part >= 1.0 || self.offered.admit(demand, part) {
            return Ok(());
        }
        Err(Refusal {
            level,
            rank,
            retry_after: self.retry_after(now, time_left, random),
        })
    }

    /// Returns the time after which a refused caller may return. The overload is expected to last for as long again as
    /// it has lasted. `random`, between 0 and 1, spreads the delays, so that callers do not return at the same time.
    pub fn retry_after(&self, now: Instant, time_left: Duration, random: f64) -> Duration {
        let (least, most) = DELAY_SPREAD;
        let spread = (most - least).mul_add(random, least);
        let latest = time_left.mul_f64(MAX_DELAY_FRACTION).mul_f64(spread / most);
        let delay = self.own.overloaded_for(now).mul_f64(spread);
        delay.max(MIN_DELAY.mul_f64(spread)).min(latest)
    }
}
