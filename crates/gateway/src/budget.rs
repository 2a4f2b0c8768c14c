//! The budget of repeated sends that all entry hosts share.
//!
//! Each host takes its part of the fixed allowance; the part that grows with requests follows from the host's own
//! requests. Both are counted in a sliding window, so no window of that length holds more than is allowed.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use hawthornpost_core::clock::Instant;

/// The part of the allowance that is used; the rest absorbs requests that are counted elsewhere at another time.
const USABLE: f64 = 0.75;

/// How many repeated sends are allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Repeated sends for each request in the window.
    pub ratio: f64,
    /// Repeated sends in the window without any request, for all hosts together.
    pub minimum: f64,
    /// The length of the window.
    pub window: Duration,
}

/// Counts of requests and repeated sends for each service.
#[derive(Debug)]
pub struct Budget {
    allowance: Allowance,
    services: HashMap<String, Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl Budget {
    /// Creates an empty budget.
    pub fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            services: HashMap::new(),
        }
    }

    /// Counts a request for a service.
    pub fn note_request(&mut self, now: Instant, service: &str) {
        let window = self.allowance.window;
        let counts = self.counts(service);
        counts.requests.push_back(now);
        drop_old(&mut counts.requests, now, window);
    }

    /// Returns whether a request may be sent once more, and counts it when it may.
    #[must_use = "a repeat that is not allowed must not be sent"]
    pub fn take_repeat(&mut self, now: Instant, service: &str, hosts: usize) -> bool {
        let Allowance { ratio, minimum, window } = self.allowance;
        let counts = self.counts(service);
        drop_old(&mut counts.requests, now, window);
        drop_old(&mut counts.repeats, now, window);
        let own_part = minimum / hosts.max(1) as f64;
        let allowed = USABLE * (counts.requests.len() as f64).mul_add(ratio, own_part);
        let has_room = (counts.repeats.len() as f64) < allowed;
        if has_room {
            counts.repeats.push_back(now);
        }
        has_room
    }

    fn counts(&mut self, service: &str) -> &mut Counts {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Counts::default());
        }
        self.services.entry(service.to_owned()).or_default()
    }
}

fn drop_old(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
