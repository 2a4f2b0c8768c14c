//! Messages between hosts, and writes to the store.

use hawthornpost_core::clock::Instant;
use hawthornpost_gateway::rollout::{Order, State};
use hawthornpost_gateway::trial::Observation;

pub struct Message {
    pub from: usize,
    pub to: usize,
    /// When it arrives.
    pub at: Instant,
    pub contents: Contents,
}

#[derive(Clone)]
pub enum Contents {
    Observation(Box<Observation>),
    /// All orders as of a revision of the store.
    AllOrders(u64, Vec<Order>),
    /// A write of the sender's to the store.
    Write {
        order: Order,
        state: State,
    },
}
