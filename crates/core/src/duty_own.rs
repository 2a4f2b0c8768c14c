//! The lease object while this process has it.

use crate::duty::Reason;
use crate::platform::Version;

/// The tenure of this process, with the state of the lease object that it wrote last.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Own {
    /// The fencing number.
    pub number: Version,
    /// The version of the lease object, on which the next write is conditional.
    pub version: Version,
    /// Why the lease is to be released.
    pub release: Option<Reason>,
}
