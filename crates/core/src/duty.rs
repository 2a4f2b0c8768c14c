//! The holder of duties: calls to the platform that one host at a time makes for all.
//!
//! Candidates compete for one lease object in the platform's store. The version of the write that took the lease is the
//! fencing number of all calls until another host takes it. The platform does not check it, so a holder stops by itself
//! before its lease ends, and acts again only after a whole term unless nobody else has held the lease since.

use std::time::Duration;

use crate::lease::Lease;
use crate::platform::{Failure, Version};

pub use crate::duty_candidate::Candidate;

/// The number of terms for which a host that released the lease because of a fault leaves it to others.
const PENALTY_TERMS: u32 = 2;
/// The number of reads of another candidate in a term.
const READS_PER_TERM: u32 = 3;
/// The number of retries of the holder in a term.
const RETRIES_PER_TERM: u32 = 10;

/// Time limits of the lease and of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The duration of the lease after each renewal. The platform forbids
    /// that two hosts act in turn within this time.
    pub term: Duration,
    /// The time after which a call is abandoned, so that it cannot arrive later.
    pub call_timeout: Duration,
}

impl Limits {
    pub(crate) fn penalty(&self) -> Duration {
        self.term * PENALTY_TERMS
    }

    pub(crate) fn read_interval(&self) -> Duration {
        self.term / READS_PER_TERM
    }

    pub(crate) fn retry_delay(&self) -> Duration {
        self.term / RETRIES_PER_TERM
    }
}

/// Whether a host should hold the lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Eligibility {
    /// It competes for the lease.
    Eligible,
    /// It hears from less than half of the hosts. It competes only when nobody else takes the lease.
    Isolated,
    /// Other hosts compete.
    #[default]
    Ineligible,
    /// Its process stops.
    Stopping,
}

impl Eligibility {
    pub(crate) fn competes(self) -> bool {
        matches!(self, Self::Eligible | Self::Isolated)
    }
}

/// Input of a [`Candidate`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Whether the host should hold the lease; repeats have no effect.
    Eligibility(Eligibility),
    /// A read of the lease object ended: its version and contents, or `None` when it does not exist.
    Read(Result<Option<(Version, Lease)>, Failure>),
    /// A write of the lease object ended: its new version or the failure.
    Written(Result<Version, Failure>),
    /// A call to the platform ended; `true` if the platform answered it.
    CallEnded(bool),
    /// The clock jumped or the process was paused.
    ClockJumped,
    /// A deadline passed.
    Tick,
}

/// Output of a [`Candidate`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Read the lease object; a read that need not be the latest state costs less.
    Read {
        /// Whether the latest state is needed.
        is_latest: bool,
    },
    /// Write the lease object on condition that it has the given version, or create it.
    Write(Option<Version>, Lease),
    /// The host became the holder with this fencing number.
    Began(Version),
    /// The host is no longer the holder with this fencing number.
    Ended(Version, Reason),
}

/// The reason why a host is no longer the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It was released because the process stops.
    Stopping,
    /// It was released because other hosts compete for it.
    Ineligible,
    /// It was released because the host hears from less than half of the hosts.
    Isolated,
    /// It was released because the platform does not answer calls.
    Unreachable,
    /// The lease was not renewed in time.
    Expired,
    /// Another process has the lease.
    Replaced,
    /// The process was paused.
    Paused,
}

impl Reason {
    /// Returns whether the holder released the lease.
    pub const fn is_release(self) -> bool {
        matches!(
            self,
            Self::Stopping | Self::Ineligible | Self::Isolated | Self::Unreachable
        )
    }

    /// Returns the name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Stopping => "the process stops",
            Self::Ineligible => "other hosts compete for the lease",
            Self::Isolated => "most hosts do not respond",
            Self::Unreachable => "the platform does not answer calls",
            Self::Expired => "the lease was not renewed in time",
            Self::Replaced => "another process took the lease",
            Self::Paused => "the process was paused",
        }
    }
}
