//! The usage as a process knows it, which its requests and the messages of other hosts change.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hawthornpost_core::clock::Instant;

use crate::duty::Duty;
use crate::settings::Settings;
use crate::usage::ledger::Timing;
use crate::usage::outbox::{Message, Receiver};
use crate::usage::{Batch, Clock, Grid, Outbox, Source, Totals};

/// How long the request of a holder for totals counts. The holder repeats it several times within.
const SUBSCRIPTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Totals of windows that begin later than this many windows after the current one are not kept.
const MAX_WINDOWS_AHEAD: u64 = 2;

/// The counts and the true time.
#[derive(Debug)]
pub(crate) struct Shared {
    timing: Timing,
    source: Source,
    clock: RefCell<Clock>,
    totals: RefCell<Totals>,
    outbox: RefCell<Outbox>,
    /// Holders that asked for totals, with the time at which they did so last.
    subscribers: RefCell<BTreeMap<SocketAddr, Instant>>,
}

impl Shared {
    /// Creates an empty state if the settings ask for reports of the usage.
    pub(crate) fn new(settings: &Settings) -> Option<Self> {
        let duties = settings.duties.as_ref()?;
        if !duties.kinds.contains(&Duty::Usage) {
            return None;
        }
        let grid = Grid::new(duties.window);
        let source = Source {
            host: settings.entry.name.clone(),
            process: rand::random(),
        };
        Some(Self {
            timing: Timing {
                grid,
                timeout: duties.report_timeout,
            },
            outbox: RefCell::new(Outbox::new(source.clone(), grid)),
            source,
            clock: RefCell::default(),
            totals: RefCell::default(),
            subscribers: RefCell::default(),
        })
    }

    /// Returns when windows are reported.
    pub(crate) fn timing(&self) -> Timing {
        self.timing
    }

    /// Returns the true time since the start of 1970.
    pub(crate) fn time(&self, now: Instant) -> Duration {
        self.clock.borrow_mut().time(now, wall_time())
    }

    /// Returns the counts of all processes that this host knows.
    pub(crate) fn totals(&self) -> &RefCell<Totals> {
        &self.totals
    }

    /// Records the wall time of a peer that has just arrived.
    pub(crate) fn record_wall_time(&self, now: Instant, peer: &str, wall: Duration) {
        self.clock.borrow_mut().record(now, peer, wall);
    }

    /// Counts a request that began to run at `at`.
    pub(crate) fn count(&self, now: Instant, at: Instant, account: &str) {
        let time = self.clock.borrow_mut().time_of(at, now, wall_time());
        let window = self.timing.grid.window(time);
        self.totals.borrow_mut().add(window, &self.source, account);
        self.outbox.borrow_mut().record_change(window, account);
    }

    /// Merges totals of a peer, except of windows that are over or far ahead.
    pub(crate) fn merge(&self, now: Instant, batch: &Batch) {
        let time = self.time(now);
        let first = self.timing.first_due(time);
        let last = self.timing.grid.window(time) + MAX_WINDOWS_AHEAD;
        let mut totals = self.totals.borrow_mut();
        for (window, counts) in batch.windows.range(first..=last) {
            totals.merge(*window, &batch.from, counts);
        }
    }

    /// Sends totals to a holder until its request times out.
    pub(crate) fn subscribe(&self, now: Instant, address: SocketAddr) {
        self.subscribers.borrow_mut().insert(address, now);
    }

    /// Returns what to send to the candidates and to the holder, and drops what is over.
    pub(crate) fn take_messages(&self, now: Instant, mut receivers: Vec<Receiver>) -> Vec<Message> {
        let time = self.time(now);
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.retain(|_, at| now.since(*at) < SUBSCRIPTION_TIMEOUT);
        for address in subscribers.keys() {
            if receivers.iter().all(|receiver| receiver.address != *address) {
                receivers.push(Receiver {
                    address: *address,
                    incarnation: 0,
                });
            }
        }
        let mut totals = self.totals.borrow_mut();
        // Late counts of a reported window are compared with its report when it is over.
        let first = self.timing.first_due(time).saturating_sub(1);
        let last = self.timing.grid.window(time) + MAX_WINDOWS_AHEAD;
        totals.retain(&(first..=last));
        self.outbox.borrow_mut().take(time, &receivers, &totals)
    }
}

/// Returns the wall time of this host since the start of 1970.
pub(crate) fn wall_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
