//! Usage of client accounts, counted in windows of true time and reported by the holder of the duty.
//!
//! | module | concern |
//! |--------|---------|
//! | [`batch`] | the message that carries totals |
//! | [`clock`] | true time |
//! | `exchange` | sends totals to the candidates for the duty |
//! | [`grid`] | the bounds of windows |
//! | [`journal`] | the record in the store |
//! | [`ledger`] | decides what to record and to report |
//! | [`notice`] | what became of a window |
//! | [`outbox`] | decides which totals to send |
//! | [`report`] | the report of a window |
//! | `runner` | keeps the record and sends the reports |
//! | `shared` | the state of a process |
//! | [`source`] | a process that counts |
//! | [`totals`] | the counts of all processes |

pub mod batch;
pub mod clock;
pub(crate) mod exchange;
pub mod grid;
pub mod journal;
pub mod ledger;
pub mod notice;
pub mod outbox;
pub mod report;
pub(crate) mod runner;
pub(crate) mod shared;
pub mod source;
pub mod totals;

use std::collections::BTreeMap;

pub use batch::Batch;
pub use clock::Clock;
pub use grid::Grid;
pub use journal::Journal;
pub use ledger::Ledger;
pub use notice::Notice;
pub use outbox::Outbox;
pub use report::Report;
pub(crate) use shared::Shared;
pub use source::Source;
pub use totals::Totals;

/// Numbers of requests by client account.
pub type Counts = BTreeMap<String, u64>;
