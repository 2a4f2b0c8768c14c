//! The quarantine of a process, which its requests and the messages of other hosts change.

use std::cell::RefCell;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use serde_json::Value;
use tokio::sync::watch;

use crate::prompt::{Part, Parts};
use crate::quarantine::{Crash, Quarantine, Snapshot, Verdict};

/// Times in the quarantine are later than on the clock of the process by this, so that the age of evidence that another
/// host collected before the process started is still a time.
const CLOCK_OFFSET: Duration = Duration::from_secs(24 * 60 * 60);

/// The quarantine with a notification of changes.
#[derive(Debug)]
pub(crate) struct Shared {
    state: RefCell<Quarantine>,
    changed: watch::Sender<()>,
}

impl Shared {
    pub(crate) fn new() -> Self {
        Self {
            state: RefCell::default(),
            changed: watch::Sender::new(()),
        }
    }

    pub(crate) fn record_crash(&self, now: Instant, crash: &Crash, parts: &Parts) {
        self.state.borrow_mut().record_crash(now + CLOCK_OFFSET, crash, parts);
        self.changed.send_replace(());
    }

    /// Records that an engine has begun to answer these parts; returns those that had been suspected.
    pub(crate) fn record_begun(&self, now: Instant, parts: &Parts) -> Parts {
        self.state.borrow_mut().record_begun(now + CLOCK_OFFSET, parts)
    }

    pub(crate) fn clear(&self, now: Instant, parts: &Parts) {
        self.state.borrow_mut().clear(now + CLOCK_OFFSET, parts);
        self.changed.send_replace(());
    }

    pub(crate) fn merge(&self, now: Instant, snapshot: &Snapshot) {
        self.state.borrow_mut().merge(now + CLOCK_OFFSET, snapshot);
        self.changed.send_replace(());
    }

    pub(crate) fn admit(&self, now: Instant, request: &str, parts: &Parts) -> Verdict {
        self.state.borrow_mut().admit(now + CLOCK_OFFSET, request, parts)
    }

    pub(crate) fn snapshot(&self, now: Instant) -> Option<Snapshot> {
        self.state.borrow_mut().snapshot(now + CLOCK_OFFSET)
    }

    pub(crate) fn trial(&self, now: Instant, part: &Part) -> Snapshot {
        self.state.borrow().trial(now + CLOCK_OFFSET, part)
    }

    pub(crate) fn dump(&self, now: Instant) -> Value {
        self.state.borrow().dump(now + CLOCK_OFFSET)
    }

    pub(crate) fn quarantined(&self, request: &str, parts: &Parts) -> Option<Part> {
        self.state.borrow().quarantined(request, parts)
    }

    /// Waits until a request must not run.
    pub(crate) async fn wait_quarantined(&self, request: &str, parts: &Parts) -> Part {
        let mut changed = self.changed.subscribe();
        loop {
            if let Some(part) = self.quarantined(request, parts) {
                return part;
            }
            // The sender lives as long as this.
            let _changed = changed.changed().await;
        }
    }
}
