//! The calls to the store that a candidate makes.

/// A call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Read the latest state of the lease.
    ReadLatest,
    /// Read a state that may be outdated.
    ReadStale,
    /// Take the lease.
    Take,
    /// Renew it.
    Renew,
    /// Release it.
    Release,
}
