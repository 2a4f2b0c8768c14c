//! This host's share of the connections that targets accept.

use crate::connections::Shared;

use super::Gateway;

impl Gateway {
    /// Returns the connections to targets.
    pub(crate) fn connections(&self) -> &Shared {
        &self.connections
    }

    /// Returns this host's share of the connections of a target of a service; `None` if their number is not known.
    pub(crate) fn connection_share(&self, service: &str) -> Option<u32> {
        self.fleet.borrow().connection_share(service)
    }

    /// Divides the connections of the targets among the live hosts, some time after the last division.
    pub(super) fn update_connection_shares(&self) {
        let now = self.now();
        if !self.connections.is_share_outdated(now) {
            return;
        }
        self.connections.observe_hosts(now, self.peers.live_hosts());
        let table = self.table();
        let services = table.all_max_connections().iter();
        let shares = services.map(|(service, max)| (service.clone(), self.connections.share_of(*max)));
        self.fleet.borrow_mut().set_connection_shares(shares.collect());
    }
}
