//! The charges of this entry at one target.

use crate::clock::Instant;
use crate::limit::{Share, Sharer, Timing};
use crate::wire::Load;

/// The charges at one target and the two bounds on them.
#[derive(Clone, Debug)]
pub struct Room {
    capacity: u64,
    share: Share,
    /// Tokens reserved by charges: prompts, produced and expected ones.
    reserved: u64,
    /// Tokens of the charges that exist already: prompts and produced ones.
    held: u64,
    report: Option<Report>,
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
            reserved: 0,
            held: 0,
            report: None,
        }
    }

    /// Changes the capacity that the inventory gives.
    pub fn resize(&mut self, capacity: u64) {
        self.capacity = capacity;
    }

    /// Takes a new view of the entries that share the target.
    pub fn observe(&mut self, now: Instant, view: &[Sharer], timing: &Timing) {
        self.share.observe(now, view, timing);
    }

    /// Takes a load report. Reports that are older than the last one are dropped; a restarted target counts from the
    /// beginning, which shows once the last report is too old.
    pub fn report(&mut self, now: Instant, load: &Load, timing: &Timing) {
        let last = self.report.filter(|last| now.since(last.at) < timing.report);
        if last.is_some_and(|last| load.sequence <= last.sequence) {
            return;
        }
        let own = last.map_or(0, |last| last.own.min(self.held));
        self.report = Some(Report {
            at: now,
            sequence: load.sequence,
            foreign: load.tokens_held.saturating_sub(own),
            capacity: load.tokens_capacity,
            own: self.held,
        });
    }

    /// Begins anew after a pause.
    pub fn restart(&mut self, now: Instant, timing: &Timing) {
        self.share.restart(now, timing);
        self.report = None;
    }

    /// Returns the tokens that can still be reserved.
    pub fn free(&mut self, now: Instant, timing: &Timing) -> u64 {
        self.bound(now, timing).saturating_sub(self.reserved)
    }

    /// Returns the tokens that this entry may hold at the target.
    pub fn bound(&mut self, now: Instant, timing: &Timing) -> u64 {
        let report = self.report.filter(|report| now.since(report.at) < timing.report);
        let capacity = report.map_or(self.capacity, |report| report.capacity.min(self.capacity));
        let usable = timing.usable(capacity);
        let by_share = self.share.bound(now, usable, timing);
        report.map_or(by_share, |report| by_share.min(usable.saturating_sub(report.foreign)))
    }

    /// Returns the capacity that the inventory gives.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Returns the tokens that are reserved.
    pub fn reserved(&self) -> u64 {
        self.reserved
    }

    pub(crate) fn reserve(&mut self, tokens: u64, held: u64) {
        self.reserved += tokens;
        self.held += held;
    }

    pub(crate) fn produce(&mut self, tokens: u64) {
        self.held += tokens;
    }

    pub(crate) fn release(&mut self, tokens: u64, held: u64) {
        self.reserved = self.reserved.saturating_sub(tokens);
        self.held = self.held.saturating_sub(held);
    }
}
