//! The store: one order with a status, a revision and conditional writes.

use hawthornpost_core::clock::Instant;
use hawthornpost_gateway::rollout::{Order, State};

use super::{ORDER_DURATION, SERVICE};

#[derive(Default)]
pub struct Store {
    revision: u64,
    /// All copies of the order that the store has held, with the time of each; `None` for a deletion.
    history: Vec<(Instant, Option<Order>)>,
}

impl Store {
    /// Replaces the order. A status for the same version stays, as the operator writes the order only.
    pub fn order(&mut self, now: Instant, version: &str) {
        let status = self.latest().filter(|order| order.version == version && !order.is_new);
        let state = status.map(|order| order.state);
        if state == Some(State::InProgress)
            || self
                .latest()
                .is_some_and(|order| order.version == version && order.is_new)
        {
            return;
        }
        // The operator gives a version again by deleting its order and creating another one.
        self.push(now, version, None);
    }

    pub fn delete(&mut self) {
        if self.latest().is_some() {
            self.revision += 1;
            self.history.push((Instant::ZERO, None));
        }
    }

    /// Writes a state if the order has not changed since it was read, and returns whether it was written.
    pub fn write(&mut self, now: Instant, order: &Order, state: State, seed: u64) -> bool {
        let Some(latest) = self.latest().filter(|latest| latest.revision == order.revision) else {
            return false;
        };
        assert!(
            !latest.state.is_final(),
            "seed {seed}: {state:?} would replace {latest:?}"
        );
        let version = latest.version.clone();
        self.push(now, &version, Some(state));
        true
    }

    fn push(&mut self, now: Instant, version: &str, state: Option<State>) {
        self.revision += 1;
        let order = Order {
            service: SERVICE.to_owned(),
            version: version.to_owned(),
            duration: ORDER_DURATION,
            state: state.unwrap_or_default(),
            is_new: state.is_none(),
            revision: self.revision,
            since: self.revision,
            rejected: std::iter::empty().collect(),
        };
        self.history.push((now, Some(order)));
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn latest(&self) -> Option<&Order> {
        self.history.last().and_then(|(_, order)| order.as_ref())
    }

    pub fn list(&self) -> Vec<Order> {
        self.latest().cloned().into_iter().collect()
    }

    /// Returns the copies after a revision.
    pub fn changes(&self, since: u64) -> Vec<Order> {
        let orders = self.history.iter().filter_map(|(_, order)| order.as_ref());
        orders.filter(|order| order.revision > since).cloned().collect()
    }

    /// Returns when the store got the rollback of the latest order, if the given copy is of that order.
    pub fn rolled_back_since(&self, order: &Order) -> Option<Instant> {
        let (at, latest) = self.history.last()?;
        let latest = latest.as_ref()?;
        let is_rolled_back = latest.state == State::RolledBack && latest.version == order.version;
        is_rolled_back.then_some(*at)
    }
}
