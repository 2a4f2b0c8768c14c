//! An order with the inputs that decided it.

use crate::scaling::Order;

/// An order that the planner proposes.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// The order.
    pub order: Order,
    /// Why it is proposed.
    pub reason: Reason,
    /// The number of targets before: the one that was ordered last or, without an order, the one that was present.
    pub before: u32,
    /// The number of targets that are present and not leaving.
    pub present: u32,
    /// The demand of the last seconds, in occupied targets of all data centres.
    pub demand: f64,
    /// The highest demand of the window, in the same unit.
    pub peak: f64,
    /// The demand that is expected when a target that is ordered now has started, in the same unit.
    pub forecast: f64,
}

/// Why an order is proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The demand exceeds the capacity of the targets.
    Demand,
    /// The demand will exceed it when new targets have started, by its trend.
    Trend,
    /// There are more targets than needed.
    Surplus,
    /// Targets that were ordered are not present.
    Missing,
}

impl Reason {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Demand => "demand",
            Self::Trend => "trend",
            Self::Surplus => "surplus",
            Self::Missing => "missing",
        }
    }
}
