//! The loads of this host and its peers on targets.

use std::collections::BTreeMap;

use hawthornpost_core::clock::Instant;

use crate::load::Load;
use crate::peer_loads::Change;

use super::Fleet;

impl Fleet {
    /// Returns the load from this host on a target.
    pub fn own_load(&self, id: &str) -> Load {
        self.members.get(id).map_or(Load::default(), |member| member.own_load)
    }

    /// Returns the loads of streams and backups from this host by target.
    pub fn own_loads(&self) -> BTreeMap<String, Load> {
        let loaded = self
            .members
            .iter()
            .filter(|(_, member)| member.own_load.streams > 0 || member.own_load.memory_tokens > 0);
        loaded.map(|(id, member)| (id.clone(), member.own_load)).collect()
    }

    /// Adds load from this host.
    pub fn add_load(&mut self, id: &str, load: Load) {
        if let Some(member) = self.members.get_mut(id) {
            member.own_load.add(load);
        }
    }

    /// Subtracts load from this host.
    pub fn remove_load(&mut self, id: &str, load: Load) {
        if let Some(member) = self.members.get_mut(id) {
            member.own_load.subtract(load);
        }
    }

    /// Merges the load report of a peer, which is incremental: it names the targets where its load has changed and some
    /// others.
    pub fn merge_peer(&mut self, now: Instant, peer: &str, report: &BTreeMap<String, Load>) {
        let changes = self.peer_loads.merge(now, peer, report);
        self.apply_load_changes(changes);
    }

    /// Removes the load of a peer.
    pub fn remove_peer(&mut self, peer: &str) {
        let changes = self.peer_loads.remove(peer);
        self.apply_load_changes(changes);
    }

    /// Removes peers without recent reports, and entries that were not refreshed.
    pub fn expire_peers(&mut self, now: Instant) {
        let changes = self.peer_loads.expire(now);
        self.apply_load_changes(changes);
    }

    fn apply_load_changes(&mut self, changes: Vec<Change>) {
        for change in changes {
            if let Some(member) = self.members.get_mut(&change.target) {
                member.peer_load.subtract(change.before);
                member.peer_load.add(change.after);
            }
        }
    }

    /// Returns the load from peers on a target.
    pub fn peer_load(&self, id: &str) -> Load {
        self.members.get(id).map_or(Load::default(), |member| member.peer_load)
    }
}
