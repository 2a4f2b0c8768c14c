//! Interface to the metadata store of the platform.

use std::time::Duration;

use crate::config::Config;
use crate::rollout::{Order, State};
use crate::target::Target;

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
}

/// Client of the metadata store.
pub trait Platform: 'static {
    /// Lists all objects of a kind.
    fn list(&self, kind: Kind) -> impl Future<Output = Result<Listing, Failure>>;

    /// Waits at most `wait` for changes of a kind after a revision (long poll).
    fn watch(&self, kind: Kind, revision: u64, wait: Duration) -> impl Future<Output = Result<Changes, Failure>>;

    /// Writes the state of an order if the order has not changed since it was read.
    fn write_state(&self, order: &Order, state: State) -> impl Future<Output = Result<(), Failure>>;
}
