//! The process that writes the lease object.

use std::time::Duration;

use crate::id::Entry;
use crate::lease::{Lease, Observer, Tenure};
use crate::platform::Version;

/// Names the process in the lease, so that it recognises writes whose answers were lost.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    entry: Entry,
    /// A random number; another process of the same host has another one.
    process: u64,
    term: Duration,
    writes: u64,
}

impl Identity {
    /// Creates the identity of a process that has written nothing yet.
    pub(crate) fn new(entry: Entry, process: u64, term: Duration) -> Self {
        Self {
            entry,
            process,
            term,
            writes: 0,
        }
    }

    /// Returns the next contents of a lease that this process holds. The fencing number is not known before the write that
    /// takes the lease.
    pub(crate) fn held_lease(&mut self, number: Option<Version>) -> Lease {
        Lease {
            holder: Some(self.entry.clone()),
            term: self.term,
            // All calls end before the lease does.
            orders_end: self.term,
            tenure: Some(self.next_tenure(number)),
        }
    }

    /// Returns the contents of a lease that this process releases, after its calls have ended.
    pub(crate) fn released_lease(&mut self, number: Version) -> Lease {
        Lease {
            holder: None,
            term: self.term,
            orders_end: Duration::ZERO,
            tenure: Some(self.next_tenure(Some(number))),
        }
    }

    fn next_tenure(&mut self, number: Option<Version>) -> Tenure {
        self.writes += 1;
        Tenure {
            process: self.process,
            writes: self.writes,
            number,
        }
    }

    /// Returns the version of the lease object and the fencing number if this process holds the lease.
    pub(crate) fn find_own(&self, observer: &Observer) -> Option<(Version, Version)> {
        let (version, lease) = observer.lease()?;
        let tenure = lease.tenure.filter(|tenure| tenure.process == self.process)?;
        lease.holder.as_ref().filter(|holder| **holder == self.entry)?;
        Some((version, tenure.number.unwrap_or(version)))
    }
}
