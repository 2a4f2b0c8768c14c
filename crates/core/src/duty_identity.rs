//! The process that writes the lease object.

use std::time::Duration;

use crate::id::Entry;
use crate::lease::{Lease, Observer, Tenure};
use crate::platform::Version;

/// Identifies the process in the lease, so that it recognises its writes whose answers were lost.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    entry: Entry,
    /// A random number; another process of the same host has another one.
    process: u64,
    term: Duration,
    writes: u64,
    last_lease: Option<Lease>,
}

impl Identity {
    /// Creates the identity of a process that has written nothing yet.
    pub(crate) fn new(entry: Entry, process: u64, term: Duration) -> Self {
        Self {
            entry,
            process,
            term,
            writes: 0,
            last_lease: None,
        }
    }

    /// Returns the next contents of a lease that this process holds. The fencing number is not known before the write that
    /// takes the lease.
    pub(crate) fn held_lease(&mut self, number: Option<Version>) -> Lease {
        // All calls end before the lease does.
        self.next_lease(Some(self.entry.clone()), self.term, number)
    }

    /// Returns the contents of a lease that this process releases, after its calls have ended.
    pub(crate) fn released_lease(&mut self, number: Version) -> Lease {
        self.next_lease(None, Duration::ZERO, Some(number))
    }

    fn next_lease(&mut self, holder: Option<Entry>, orders_end: Duration, number: Option<Version>) -> Lease {
        self.writes += 1;
        let lease = Lease {
            holder,
            term: self.term,
            orders_end,
            tenure: Some(Tenure {
                process: self.process,
                writes: self.writes,
                number,
            }),
        };
        self.last_lease = Some(lease.clone());
        lease
    }

    /// Returns the contents of the last write.
    pub(crate) fn last_lease(&self) -> Option<&Lease> {
        self.last_lease.as_ref()
    }

    /// Returns the lease object if this process holds it.
    pub(crate) fn find_own(&self, observer: &Observer) -> Option<Found> {
        let (version, lease) = observer.lease()?;
        let tenure = lease.tenure.filter(|tenure| tenure.process == self.process)?;
        lease.holder.as_ref().filter(|holder| **holder == self.entry)?;
        Some(Found {
            version,
            number: tenure.number.unwrap_or(version),
            is_last_write: tenure.writes == self.writes,
        })
    }
}

/// A lease object that this process has written.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Found {
    /// The version of the object.
    pub version: Version,
    /// The fencing number.
    pub number: Version,
    /// Whether it is the last write that this process sent.
    pub is_last_write: bool,
}
