//! Accounts for the load of requests at targets.

use std::rc::Rc;

use crate::gateway::Gateway;
use crate::load::Load;

/// Guard that accounts for the load of a request at a target until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    pub(super) gateway: Rc<Gateway>,
    pub(super) target: String,
    pub(super) load: Load,
}

impl Reservation {
    /// Replaces the load.
    pub fn change(&mut self, load: Load) {
        let mut fleet = self.gateway.fleet.borrow_mut();
        fleet.remove_load(&self.target, self.load);
        fleet.add_load(&self.target, load);
        self.load = load;
        self.gateway.report_load(load);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.gateway.fleet.borrow_mut().remove_load(&self.target, self.load);
        self.gateway.report_load(self.load);
    }
}
