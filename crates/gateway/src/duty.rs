//! Duties: calls to the platform that one host at a time makes for all hosts.
//!
//! The holder is decided by a lease in the platform's store. `docs/design/duties.md` describes who may act, and when.
//!
//! | module | concern |
//! |--------|---------|
//! | [`fence`] | the holder's name and number in each call |
//! | [`kind`] | the duties |
//! | `runner` | keeps the lease |

pub mod fence;
pub mod kind;
pub(crate) mod runner;

pub use fence::Fence;
pub use kind::Duty;
