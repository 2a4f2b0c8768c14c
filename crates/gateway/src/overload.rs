//! Overload of services: which requests this host admits, refuses or does not retry.
//!
//! | module | concern |
//! |--------|---------|
//! | [`bound`] | the bound on the expected time of streams |
//! | `check` | the decision on a request |
//! | [`service`] | the state of one service |
//! | [`waits`] | the expected time of calls, learned from responses |

pub mod bound;
mod check;
pub mod service;
pub mod waits;

use std::collections::{BTreeMap, HashMap};

use hawthornpost_core::clock::Instant;

pub use service::Service;

/// Levels are exchanged in thousandths, to keep messages small.
const PERMILLE: f64 = 1000.0;

/// The state of all services.
#[derive(Debug, Default)]
pub struct Overload {
    services: HashMap<String, Service>,
}

impl Overload {
    /// Returns the state of a service.
    pub fn service(&mut self, name: &str) -> &mut Service {
        if !self.services.contains_key(name) {
            self.services.insert(name.to_owned(), Service::default());
        }
        self.services.entry(name.to_owned()).or_default()
    }

    /// Returns the levels below 1 by this host's own signals, in thousandths, for its peers.
    pub fn own_levels(&self, now: Instant) -> BTreeMap<String, u16> {
        let levels = self
            .services
            .iter()
            .map(|(name, service)| (name, service.own_level(now)));
        let lowered = levels.filter(|(_, level)| *level < 1.0);
        lowered
            .map(|(name, level)| (name.clone(), to_permille(level)))
            .collect()
    }

    /// Stores the levels of a peer. A service that it does not name is at 1 there.
    pub fn merge_peer(&mut self, now: Instant, peer: &str, levels: &BTreeMap<String, u16>) {
        for name in levels.keys() {
            self.service(name);
        }
        for (name, service) in &mut self.services {
            let level = levels.get(name).map_or(1.0, |level| f64::from(*level) / PERMILLE);
            service.merge_peer(now, peer, level);
        }
    }

    /// Returns the services with the level, from 0 to 1, that decides on their requests.
    pub fn levels(&mut self, now: Instant) -> Vec<(&str, f64)> {
        let services = self.services.iter_mut();
        services
            .map(|(name, service)| (name.as_str(), service.level(now)))
            .collect()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a level is between 0 and 1"
)]
fn to_permille(level: f64) -> u16 {
    (level * PERMILLE) as u16
}
