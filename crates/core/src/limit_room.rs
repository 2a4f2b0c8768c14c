//! The charges of this entry at one target.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;
use crate::limit::{Share, Sharer, Timing};
use crate::wire::Load;

/// The charges at one target and the two bounds on them.
#[derive(Clone, Debug)]
pub struct Room {
    capacity: u64,
    share: Share,
    total: Tokens,
    /// The bounds of the last [`Timing::hold`], largest first; all but the last have an end. Requests that were admitted
    /// under an earlier bound may grow up to it.
    bounds: VecDeque<(Option<Instant>, u64)>,
    report: Option<Report>,
}

/// The parts of one charge or of all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Tokens {
    /// Prompt and expected answer.
    pub(crate) charged: u64,
    /// Prompt and the part of the answer that memory is reserved for.
    pub(crate) held: u64,
    /// Prompt and the part of the answer that exists.
    pub(crate) used: u64,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    at: Instant,
    sequence: u64,
    /// Tokens that other entries hold at the target.
    foreign: u64,
    capacity: u64,
    /// Own tokens held when the report came; the next report is compared with it, because it is as late as the lag.
    own: u64,
}

impl Room {
    /// Creates a room for a target of which the inventory gives this capacity; it is not used before `ready`.
    pub fn new(now: Instant, ready: Instant, capacity: u64) -> Self {
        Self {
            capacity,
            share: Share::new(now, ready),
            total: Tokens::default(),
            bounds: VecDeque::new(),
            report: None,
        }
    }

    /// Changes the capacity that the inventory gives.
    pub fn resize(&mut self, now: Instant, capacity: u64, timing: &Timing) {
        self.capacity = capacity;
        self.bound(now, timing);
    }

    /// Takes a new view of the entries that share the target.
    pub fn observe(&mut self, now: Instant, view: &[Sharer], timing: &Timing) {
        self.share.observe(now, view, timing);
        // The time that the earlier bound may still be grown up to begins with the view, not with the next request.
        self.bound(now, timing);
    }

    /// Takes a load report. Reports that are older than the last one are dropped; a restarted target counts from the
    /// beginning, which shows once the last report is too old.
    pub fn report(&mut self, now: Instant, load: &Load, timing: &Timing) {
        let last = self.report.filter(|last| now.since(last.at) < timing.report);
        if last.is_some_and(|last| load.sequence <= last.sequence) {
            return;
        }
        let own = last.map_or(0, |last| last.own.min(self.total.used));
        self.report = Some(Report {
            at: now,
            sequence: load.sequence,
            foreign: load.tokens_held.saturating_sub(own),
            capacity: load.tokens_capacity,
            own: self.total.used,
        });
    }

    /// Waits after a pause until other entries' views are known again.
    pub fn wait(&mut self, now: Instant, timing: &Timing) {
        self.share.wait(now, timing);
        self.report = None;
    }

    /// Returns how long the room cannot be used yet.
    pub(crate) fn wait_left(&self, now: Instant, timing: &Timing) -> Duration {
        self.share.wait_left(now, timing)
    }

    /// Begins anew, after a pause in which others may have taken this entry's share.
    pub fn restart(&mut self, now: Instant, timing: &Timing) {
        self.wait(now, timing);
        self.share.restart(now);
        self.bounds.clear();
    }

    /// Returns the tokens that can still be charged.
    pub fn free(&mut self, now: Instant, timing: &Timing) -> u64 {
        let bound = self.bound(now, timing);
        let by_charge = timing.chargeable(bound).saturating_sub(self.total.charged);
        by_charge.min(timing.chargeable(bound.saturating_sub(self.total.held)))
    }

    /// Returns whether a new request fits.
    pub(crate) fn fits(&mut self, now: Instant, request: Tokens, timing: &Timing) -> bool {
        let bound = self.bound(now, timing);
        self.total.held + request.held <= bound && self.total.charged + request.charged <= timing.chargeable(bound)
    }

    /// Returns whether a request that was admitted may hold this many more tokens.
    pub(crate) fn may_grow(&mut self, now: Instant, tokens: u64, timing: &Timing) -> bool {
        let bound = self.bound(now, timing);
        let largest = self.bounds.front().map_or(bound, |(_, bound)| *bound);
        self.total.held + tokens <= largest.min(self.reported_bound(now, timing))
    }

    /// Returns the tokens that the requests of this entry may hold at the target.
    pub fn bound(&mut self, now: Instant, timing: &Timing) -> u64 {
        let report = self.report.filter(|report| now.since(report.at) < timing.report);
        let capacity = report.map_or(self.capacity, |report| report.capacity.min(self.capacity));
        let by_share = self.share.bound(now, timing.usable(capacity), timing);
        self.remember(now, by_share, timing);
        by_share.min(self.reported_bound(now, timing))
    }

    /// Returns the capacity that the inventory gives.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Returns the tokens that are charged.
    pub fn charged(&self) -> u64 {
        self.total.charged
    }

    /// Returns the tokens that memory is reserved for.
    pub fn held(&self) -> u64 {
        self.total.held
    }

    pub(crate) fn add(&mut self, tokens: Tokens) {
        self.total.charged += tokens.charged;
        self.total.held += tokens.held;
        self.total.used += tokens.used;
    }

    pub(crate) fn subtract(&mut self, tokens: Tokens) {
        self.total.charged = self.total.charged.saturating_sub(tokens.charged);
        self.total.held = self.total.held.saturating_sub(tokens.held);
        self.total.used = self.total.used.saturating_sub(tokens.used);
    }

    /// Returns what the load report leaves to this entry.
    fn reported_bound(&self, now: Instant, timing: &Timing) -> u64 {
        let report = self.report.filter(|report| now.since(report.at) < timing.report);
        report.map_or(u64::MAX, |report| {
            let usable = timing.usable(report.capacity.min(self.capacity));
            usable.saturating_sub(report.foreign)
        })
    }

    fn remember(&mut self, now: Instant, bound: u64, timing: &Timing) {
        while self
            .bounds
            .front()
            .is_some_and(|(end, _)| end.is_some_and(|end| end <= now))
        {
            self.bounds.pop_front();
        }
        match self.bounds.back_mut() {
            Some((None, last)) if *last == bound => return,
            Some((end, _)) => *end = Some(now + timing.hold),
            None => {}
        }
        while self.bounds.back().is_some_and(|(_, last)| *last <= bound) {
            self.bounds.pop_back();
        }
        self.bounds.push_back((None, bound));
    }
}
