//! The quota of this entry at one target.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;
use crate::limit::{Parameters, Share, Sharer};
use crate::wire::Load;

/// The reservations at one target and the two bounds on them: the entry's share and the load report.
#[derive(Clone, Debug)]
pub struct Quota {
    capacity: u64,
    share: Share,
    total: Tokens,
    /// The bounds of the last [`Parameters::max_lifetime`] with their expiry, largest first; only the last has none.
    /// Requests that were admitted under an earlier bound may grow up to it.
    bounds: VecDeque<(Option<Instant>, u64)>,
    report: Option<Report>,
}

/// Token counts of one reservation, or the sum over all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Tokens {
    /// Tokens of the prompt and the expected answer.
    pub(crate) charged: u64,
    /// Tokens of the prompt and of the part of the answer that memory is reserved for.
    pub(crate) reserved: u64,
    /// Tokens of the prompt and of the generated part of the answer.
    pub(crate) used: u64,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    at: Instant,
    sequence: u64,
    /// Tokens that other entries hold at the target.
    others: u64,
    capacity: u64,
    /// Tokens that this entry used when the report arrived. They are subtracted from the next report, because a report
    /// lags behind the state of the target.
    own: u64,
}

impl Quota {
    /// Creates a quota for a target with the capacity from the inventory; it is zero before `ready` if the target is
    /// shared.
    pub fn new(now: Instant, ready: Instant, capacity: u64) -> Self {
        Self {
            capacity,
            share: Share::new(now, ready),
            total: Tokens::default(),
            bounds: VecDeque::new(),
            report: None,
        }
    }

    /// Updates the capacity from the inventory.
    pub fn resize(&mut self, now: Instant, capacity: u64, parameters: &Parameters) {
        self.capacity = capacity;
        self.bound(now, parameters);
    }

    /// Updates the set of other entries that share the target.
    pub fn observe(&mut self, now: Instant, view: &[Sharer], parameters: &Parameters) {
        self.share.observe(now, view, parameters);
        // The expiry of the previous bound counts from this update, not from the next request.
        self.bound(now, parameters);
    }

    /// Records a load report. Reports that are not newer than the last one are dropped. A restarted target resets its
    /// sequence numbers, so its reports are accepted once the last report is too old.
    pub fn report(&mut self, now: Instant, load: &Load, parameters: &Parameters) {
        let last = self
            .report
            .filter(|last| now.since(last.at) < parameters.max_report_age);
        if last.is_some_and(|last| load.sequence <= last.sequence) {
            return;
        }
        let own = last.map_or(0, |last| last.own.min(self.total.used));
        self.report = Some(Report {
            at: now,
            sequence: load.sequence,
            others: load.tokens_held.saturating_sub(own),
            capacity: load.tokens_capacity,
            own: self.total.used,
        });
    }

    /// Suspends the quota after a pause until the set of other entries is up to date again.
    pub fn wait(&mut self, now: Instant, parameters: &Parameters) {
        self.share.wait(now, parameters);
        self.report = None;
    }

    /// Returns the time until the quota can be used.
    pub(crate) fn wait_left(&self, now: Instant, parameters: &Parameters) -> Duration {
        self.share.wait_left(now, parameters)
    }

    /// Resets the share after a pause in which other entries may have taken it over.
    pub fn restart(&mut self, now: Instant, parameters: &Parameters) {
        self.wait(now, parameters);
        self.share.restart(now);
        self.bounds.clear();
    }

    /// Returns the tokens that can still be charged.
    pub fn free(&mut self, now: Instant, parameters: &Parameters) -> u64 {
        let bound = self.bound(now, parameters);
        let by_charge = parameters.chargeable(bound).saturating_sub(self.total.charged);
        by_charge.min(parameters.chargeable(bound.saturating_sub(self.total.reserved)))
    }

    /// Returns whether a new request fits.
    pub(crate) fn fits(&mut self, now: Instant, request: Tokens, parameters: &Parameters) -> bool {
        let bound = self.bound(now, parameters);
        self.total.reserved + request.reserved <= bound
            && self.total.charged + request.charged <= parameters.chargeable(bound)
    }

    /// Returns whether an admitted request may reserve this many more tokens.
    pub(crate) fn may_grow(&mut self, now: Instant, tokens: u64, parameters: &Parameters) -> bool {
        let bound = self.bound(now, parameters);
        let largest = self.bounds.front().map_or(bound, |(_, bound)| *bound);
        self.total.reserved + tokens <= largest.min(self.reported_bound(now, parameters))
    }

    /// Returns the tokens that this entry may reserve at the target.
    pub fn bound(&mut self, now: Instant, parameters: &Parameters) -> u64 {
        let report = self
            .report
            .filter(|report| now.since(report.at) < parameters.max_report_age);
        let capacity = report.map_or(self.capacity, |report| report.capacity.min(self.capacity));
        let by_share = self.share.bound(now, parameters.usable(capacity), parameters);
        self.record_bound(now, by_share, parameters);
        by_share.min(self.reported_bound(now, parameters))
    }

    /// Returns the capacity from the inventory.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Returns the tokens that are charged.
    pub fn charged(&self) -> u64 {
        self.total.charged
    }

    /// Returns the tokens that memory is reserved for.
    pub fn reserved(&self) -> u64 {
        self.total.reserved
    }

    pub(crate) fn add(&mut self, tokens: Tokens) {
        self.total.charged += tokens.charged;
        self.total.reserved += tokens.reserved;
        self.total.used += tokens.used;
    }

    pub(crate) fn subtract(&mut self, tokens: Tokens) {
        self.total.charged = self.total.charged.saturating_sub(tokens.charged);
        self.total.reserved = self.total.reserved.saturating_sub(tokens.reserved);
        self.total.used = self.total.used.saturating_sub(tokens.used);
    }

    /// Returns the tokens that other entries leave free according to the load report.
    fn reported_bound(&self, now: Instant, parameters: &Parameters) -> u64 {
        let report = self
            .report
            .filter(|report| now.since(report.at) < parameters.max_report_age);
        report.map_or(u64::MAX, |report| {
            let usable = parameters.usable(report.capacity.min(self.capacity));
            usable.saturating_sub(report.others)
        })
    }

    fn record_bound(&mut self, now: Instant, bound: u64, parameters: &Parameters) {
        while self
            .bounds
            .front()
            .is_some_and(|(end, _)| end.is_some_and(|end| end <= now))
        {
            self.bounds.pop_front();
        }
        match self.bounds.back_mut() {
            Some((None, last)) if *last == bound => return,
            Some((end, _)) => *end = Some(now + parameters.max_lifetime),
            None => {}
        }
        while self.bounds.back().is_some_and(|(_, last)| *last <= bound) {
            self.bounds.pop_back();
        }
        self.bounds.push_back((None, bound));
    }
}
