//! The number of targets of a service in each data centre, ordered by the holder of the duty.
//!
//! All modules but `runner` decide without a network, with the time passed in.
//!
//! | module | concern |
//! |--------|---------|
//! | [`bounds`] | the bounds of the configuration, checked |
//! | [`capacity`] | the number of targets that the work of a service occupies |
//! | [`demand`] | recent demand, its peak and its trend |
//! | [`hold`] | why no order is sent |
//! | [`occupancy`] | the work and the state of a target |
//! | [`order`] | an order for a data centre |
//! | [`place`] | the targets of a data centre, ordered and present |
//! | [`planner`] | the decision for a service |
//! | [`proposal`] | an order with the inputs that decided it |
//! | `runner` | sends orders |
//! | [`sample`] | what is known of a service at a point in time |
//! | [`split`] | the division of targets among data centres |
//! | [`view`] | whether this host knows enough to decide |

pub mod bounds;
pub mod capacity;
pub mod demand;
pub mod hold;
pub mod occupancy;
pub mod order;
pub mod place;
pub mod planner;
pub mod proposal;
pub(crate) mod runner;
pub mod sample;
pub mod split;
pub mod view;

pub use bounds::Bounds;
pub use capacity::Capacity;
pub use demand::Demand;
pub use hold::Hold;
pub use occupancy::Occupancy;
pub use order::Order;
pub use place::Place;
pub use planner::Planner;
pub use proposal::{Proposal, Reason};
pub use sample::Sample;
pub use view::View;
