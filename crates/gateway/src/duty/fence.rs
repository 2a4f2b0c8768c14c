//! The identification of the holder in a call.

use hawthornpost_core::id::Entry;

/// The holder of the duties at the time of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fence {
    /// The holder.
    pub holder: Entry,
    /// A number that grows with each change of the holder.
    pub number: u64,
}
