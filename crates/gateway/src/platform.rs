//! Interface to the metadata store of the platform.

use std::time::Duration;

use crate::config::Config;
use crate::duty::Fence;
use crate::rollout::{Order, State};
use crate::scaling;
use crate::target::Target;
use crate::usage::Report;

/// The kinds of objects that the gateway reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// The configuration.
    Config,
    /// The targets.
    Targets,
    /// Rollout orders, which move a service to another version.
    Rollouts,
}

impl Kind {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Targets => "targets",
            Self::Rollouts => "rollouts",
        }
    }
}

/// An object of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Object {
    /// A version of the configuration.
    Config(Box<Config>),
    /// A target.
    Target(Target),
    /// A rollout order.
    Rollout(Order),
    /// An object that cannot be decoded.
    Unusable {
        /// The name.
        name: String,
        /// Why it cannot be decoded.
        reason: String,
    },
}

/// All objects of a kind at a revision.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The objects.
    pub objects: Vec<Object>,
    /// The store revision.
    pub revision: u64,
}

/// A change of an object.
#[derive(Clone, Debug)]
pub enum Change {
    /// The object was created or changed.
    Put(Object),
    /// The object with this name was deleted.
    Deleted(String),
}

/// The changes since a revision.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// The revision from which to continue the watch.
    pub revision: u64,
}

/// The reason why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The store no longer has the history since the revision.
    #[error("the store no longer has the history since the revision; list the objects again")]
    HistoryGone,
    /// The store did not respond or refused the call.
    #[error("{0}; the call will be retried")]
    Unavailable(String),
    /// The object has changed since it was read.
    #[error("the object has changed; read it again")]
    Conflict,
    /// The platform refused the call.
    #[error("the platform refused the call with status {status}")]
    Refused {
        /// The status.
        status: u16,
    },
}

impl Failure {
    /// Returns whether the platform responded to the call.
    pub fn is_answer(&self) -> bool {
        !matches!(self, Self::Unavailable(_))
    }
}

/// An object that the gateway keeps in the store for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Record {
    /// The lease of the duties.
    Lease,
    /// The usage counts of the windows that are not reported yet.
    Usage,
}

impl Record {
    /// Returns the name in the store, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Lease => "lease",
            Self::Usage => "usage",
        }
    }
}

/// The contents of a [`Record`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// The revision of the store at which it was written last.
    pub revision: u64,
    /// The contents as JSON.
    pub contents: String,
}

/// How old the result of a read may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// The latest state.
    Latest,
    /// A state that may be seconds old, at a fraction of the cost.
    Stale,
}

/// Client of the platform: its metadata store and its calls for duties.
pub trait Platform: 'static {
    /// Lists all objects of a kind.
    fn list(&self, kind: Kind) -> impl Future<Output = Result<Listing, Failure>>;

    /// Waits at most `wait` for changes of a kind after a revision (long poll).
    fn watch(&self, kind: Kind, revision: u64, wait: Duration) -> impl Future<Output = Result<Changes, Failure>>;

    /// Writes the state of an order if the order has not changed since it was read.
    fn write_state(&self, order: &Order, state: State) -> impl Future<Output = Result<(), Failure>>;

    /// Reads a record; `None` if it does not exist.
    fn read(&self, record: Record, consistency: Consistency) -> impl Future<Output = Result<Option<Stored>, Failure>>;

    /// Writes a record on condition that it has the revision `base`, or creates it. Returns the new revision.
    fn write(&self, record: Record, base: Option<u64>, contents: &str) -> impl Future<Output = Result<u64, Failure>>;

    /// Reports the usage of a window as the holder of the duty.
    fn report_usage(&self, fence: &Fence, report: &Report) -> impl Future<Output = Result<(), Failure>>;

    /// Orders the number of targets of a service in a data centre as the holder of the duty.
    fn order_targets(&self, fence: &Fence, order: &scaling::Order) -> impl Future<Output = Result<(), Failure>>;
}
