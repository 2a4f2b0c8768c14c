//! The retry budget that all entry hosts share.
//!
//! Each host may use its part of the fixed allowance and what its own requests add to it. Failures are not spread
//! evenly over hosts, so a host may exceed its part while all hosts together, according to the counts that they
//! exchange, have used less than a limit of the whole allowance. All counts are of a sliding window, so no window of
//! that length holds more retries than allowed.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::iter;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use serde::{Deserialize, Serialize};

use crate::duration::scale_by_hosts;

/// The share of the allowance that is used. The rest is a margin for requests that are counted at another place and
/// time.
const USABLE_SHARE: f64 = 0.75;

/// The share of the whole allowance up to which a host may use more than its own part.
const MAX_SHARED_USE: f64 = 0.5;
/// The multiple of its own part that a host may use. It bounds what many hosts use before they receive each other's
/// counts.
const MAX_OWN_PARTS: f64 = 4.0;
/// The share of the allowance that a process uses right after its start. If all hosts lost power, nobody knows what was
/// used shortly before. The share grows as those retries leave the window.
const MIN_STARTUP_SHARE: f64 = 0.33;
/// The maximum age of the counts of peers while there are few hosts.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);
/// The maximum age of the counts of peers, per host. The interval between reports grows with the number of hosts.
const MAX_REPORT_AGE_PER_HOST: Duration = Duration::from_millis(6);
/// The counts of a peer are dropped after this time without a report.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// The limit of retries in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Retries per request in the window.
    pub ratio: f64,
    /// Retries in the window that need no requests, for all hosts together.
    pub minimum: f64,
    /// The length of the window.
    pub window: Duration,
}

/// Requests and retries of each service, at this host and at its peers.
#[derive(Debug)]
pub struct Budget {
    allowance: Allowance,
    services: HashMap<String, Counts>,
    peers: HashMap<String, (Instant, BTreeMap<String, Usage>)>,
}

/// The counts of a host in the last window. The short field names keep messages small.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Requests.
    #[serde(rename = "q")]
    pub requests: u32,
    /// Retries.
    #[serde(rename = "r")]
    pub retries: u32,
}

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl Budget {
    /// Creates an empty budget.
    pub fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            services: HashMap::new(),
            peers: HashMap::new(),
        }
    }

    /// Changes the allowance and keeps all counts.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
    }

    /// Counts a request to a service.
    pub fn record_request(&mut self, now: Instant, service: &str) {
        let window = self.allowance.window;
        let counts = self.counts(service);
        counts.requests.push_back(now);
        remove_expired(&mut counts.requests, now, window);
    }

    /// Stores the counts of a peer.
    pub fn set_peer_usage(&mut self, now: Instant, peer: &str, usage: BTreeMap<String, Usage>) {
        self.peers.insert(peer.to_owned(), (now, usage));
    }

    /// Returns the counts of this host, for its peers.
    pub fn usage(&mut self, now: Instant) -> BTreeMap<String, Usage> {
        let window = self.allowance.window;
        let services = self.services.iter_mut();
        services
            .map(|(name, counts)| (name.clone(), counts.usage(now, window)))
            .collect()
    }

    /// Returns the requests per second to a service by host, with `None` for this host.
    pub fn request_rates(&mut self, now: Instant, service: &str) -> Vec<(Option<&str>, f64)> {
        let window = self.allowance.window;
        let own = self.counts(service).usage(now, window);
        let rate = |usage: Usage| f64::from(usage.requests) / window.as_secs_f64().max(1.0);
        let peers = self.peers.iter();
        let recent = peers.filter(|(_, (last_report_at, _))| now.since(*last_report_at) < PEER_TIMEOUT);
        let of_peers =
            recent.filter_map(|(name, (_, services))| Some((Some(name.as_str()), rate(*services.get(service)?))));
        iter::once((None, rate(own))).chain(of_peers).collect()
    }

    /// Returns whether a request may be retried, and counts the retry if so.
    #[must_use = "a retry that is not allowed must not be sent"]
    pub fn try_retry(&mut self, now: Instant, service: &str, hosts: usize) -> bool {
        let Allowance { ratio, minimum, window } = self.allowance;
        let usage = self.counts(service).usage(now, window);
        let usable_share =
            USABLE_SHARE * (now.since_start().as_secs_f64() / window.as_secs_f64()).clamp(MIN_STARTUP_SHARE, 1.0);
        let own_part = usable_share * f64::from(usage.requests).mul_add(ratio, minimum / hosts.max(1) as f64);
        let total = self.total_usage(now, service, usage);
        let total_allowed = usable_share * f64::from(total.requests).mul_add(ratio, minimum);
        // Whole retries only: many hosts with a part of one and a half would use two each.
        let retries_with_this = f64::from(usage.retries) + 1.0;
        // A host that has the counts of few peers does not know what they use.
        let knows_peers = 2 * (self.peers.len() + 1) >= hosts;
        let is_within_shared_limit = knows_peers
            && f64::from(total.retries) < MAX_SHARED_USE * total_allowed
            && retries_with_this <= MAX_OWN_PARTS * own_part;
        // What is left beyond that is divided among the hosts until their counts are exchanged.
        let recent = self.counts(service).count_retries_within(now, max_report_age(hosts));
        let remaining = (total_allowed - f64::from(total.retries)).max(0.0) / hosts.max(1) as f64;
        let is_within_remaining = knows_peers && recent + 1.0 <= remaining;
        let is_allowed = retries_with_this <= own_part || is_within_shared_limit || is_within_remaining;
        if is_allowed {
            self.counts(service).retries.push_back(now);
        }
        is_allowed
    }

    fn total_usage(&mut self, now: Instant, service: &str, own: Usage) -> Usage {
        self.peers
            .retain(|_, (last_report_at, _)| now.since(*last_report_at) < PEER_TIMEOUT);
        let of_peers = self.peers.values().filter_map(|(_, services)| services.get(service));
        of_peers.fold(own, |sum, usage| Usage {
            requests: sum.requests.saturating_add(usage.requests),
            retries: sum.retries.saturating_add(usage.retries),
        })
    }

    fn counts(&mut self, service: &str) -> &mut Counts {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Counts::default());
        }
        self.services.entry(service.to_owned()).or_default()
    }
}

/// Returns the maximum age of the counts of peers.
fn max_report_age(hosts: usize) -> Duration {
    MAX_REPORT_AGE.max(scale_by_hosts(MAX_REPORT_AGE_PER_HOST, hosts))
}

impl Counts {
    fn count_retries_within(&self, now: Instant, age: Duration) -> f64 {
        let recent = self.retries.iter().rev().take_while(|at| now.since(**at) < age);
        recent.count() as f64
    }

    fn usage(&mut self, now: Instant, window: Duration) -> Usage {
        remove_expired(&mut self.requests, now, window);
        remove_expired(&mut self.retries, now, window);
        let count = |times: &VecDeque<Instant>| u32::try_from(times.len()).unwrap_or(u32::MAX);
        Usage {
            requests: count(&self.requests),
            retries: count(&self.retries),
        }
    }
}

fn remove_expired(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
