//! Admission by level: which requests run while a service has less capacity than its callers ask for.
//!
//! Each host keeps a [`Level`] for each service: the part of the offered work, from 0 to 1, that is admitted. It falls
//! while the service is overloaded ([`Signal`]) and returns to 1 within [`RECOVERY`]. The hosts exchange their levels and
//! apply the median ([`Peers`]), so that no host refuses urgent requests while another one admits less urgent ones.
//! [`Offered`] ranks the work below the level: by priority, and within a priority by the excess of an account over its
//! fair share. [`Admission`] combines them for one service.
//!
//! | module | concern |
//! |--------|---------|
//! | `admission` | admission of the requests for one service |
//! | `level` | the level of one host |
//! | `offered` | recent work by priority and account, and the part of it that is admitted |
//! | `peers` | the levels of other hosts |
//! | `rank` | rank of a request |
//! | `signal` | whether a service is overloaded |
//! | `throughput` | the part of the offered work that a service completes |
//!
//! Levels by priority follow DAGOR, the decrease by the excess delay follows Breakwater, and fairness by tokens follows
//! VTC.

mod admission;
mod level;
mod offered;
mod peers;
mod rank;
mod signal;
mod throughput;

pub use admission::{Admission, Refusal};
pub use level::{Level, RECOVERY};
pub use offered::{MIN_PART, Offered};
pub use peers::Peers;
pub use rank::{Demand, Rank};
pub use signal::Signal;
pub use throughput::Throughput;
