//! Duties: calls to the platform that one host at a time makes for all hosts.
//!
//! The holder is decided by a lease in the platform's store. `docs/design/duties.md` describes who may act, and when.
//!
//! | module | concern |
//! |--------|---------|
//! | [`fence`] | the holder's name and number in each call |
//! | [`isolation`] | whether this host hears from most hosts |
//! | [`kind`] | the duties |
//! | `runner` | keeps the lease |
//! | `state` | this host's view of the lease and of its calls |

pub mod fence;
pub mod isolation;
pub mod kind;
pub(crate) mod runner;
pub(crate) mod state;

pub use fence::Fence;
pub use isolation::Isolation;
pub use kind::Duty;
pub(crate) use state::State;
