//! The number of targets of a service in each data centre, ordered by the holder of the duty.
//!
//! | module | concern |
//! |--------|---------|
//! | [`order`] | an order for a data centre |
//! | `runner` | sends orders |

pub mod order;
pub(crate) mod runner;

pub use order::Order;
