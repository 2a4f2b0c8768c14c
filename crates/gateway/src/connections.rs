//! Connections to targets: how many this host may open, and those that are kept for further requests.
//!
//! A target accepts a limited number of connections from all hosts together and resets those beyond it. Each host uses
//! its share of that number. `docs/design/connections.md` says which requests use a kept connection.
//!
//! | module | concern |
//! |--------|---------|
//! | [`count`] | connections of this host to one target |
//! | `lease` | a connection that a request uses |
//! | [`pool`] | idle connections to targets |
//! | [`share`] | this host's share of a target's connections |
//! | `shared` | the connections of a process |

pub mod count;
pub(crate) mod lease;
pub mod pool;
pub mod share;
pub(crate) mod shared;

pub use count::{Count, Slot};
pub(crate) use lease::{Lease, idle_timeout};
pub use pool::{Pool, Reuse};
pub use share::Share;
pub(crate) use shared::Shared;
