//! How a message reaches all hosts: directly while there are few, and otherwise through relays in other data centres.
//!
//! With relays, a message crosses to each other data centre once per relay instead of once per host, and a sender has as
//! many receivers as its data centre has hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hawthornpost_core::id::DataCentre;
use hawthornpost_core::membership::{Member, State};
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::feed::name_hash;

/// The number of live hosts from which relays are used.
pub const MIN_HOSTS_FOR_RELAYS: usize = 32;
/// The number of relays of an urgent message in each data centre. One may have failed without the sender's knowledge.
pub const RELAYS_PER_DATA_CENTRE: usize = 2;

/// The receivers of a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// The hosts that receive it directly.
    pub direct: Vec<SocketAddr>,
    /// The hosts that receive it and forward it to their data centre.
    pub relays: Vec<SocketAddr>,
}

impl Plan {
    /// Plans a message of `own` to the other live hosts, with up to `relays` random relays in each data centre.
    pub fn new(own: &Member, others: &[&Member], relays: usize, random: &mut impl Rng) -> Self {
        if others.len() + 1 < MIN_HOSTS_FOR_RELAYS {
            return Self {
                direct: addresses(others),
                relays: Vec::new(),
            };
        }
        let mut plan = Self::default();
        for (data_centre, members) in by_data_centre(others) {
            if *data_centre == own.data_centre || members.len() <= relays {
                plan.direct.extend(addresses(&members));
            } else {
                let reachable = members.iter().filter(|member| member.state == State::Alive);
                let reachable = reachable.copied().collect::<Vec<_>>();
                let candidates = if reachable.is_empty() { &members } else { &reachable };
                let chosen = candidates.sample(random, relays).copied().collect::<Vec<_>>();
                plan.relays.extend(addresses(&chosen));
            }
        }
        plan
    }
}

/// Returns the addresses to which a relay forwards a message: the other live hosts of its data centre.
pub fn neighbours(own: &Member, others: &[&Member]) -> Vec<SocketAddr> {
    let neighbours = others.iter().filter(|member| member.data_centre == own.data_centre);
    neighbours.map(|member| member.peer_address).collect()
}

/// Returns the host of the data centre of `own` that gathers the load reports of its hosts; `None` while there are few
/// hosts, which report to each other, and at the gathering host itself.
pub fn collector(own: &Member, others: &[&Member]) -> Option<SocketAddr> {
    if others.len() + 1 < MIN_HOSTS_FOR_RELAYS {
        return None;
    }
    let neighbours = others.iter().filter(|member| member.data_centre == own.data_centre);
    let available = neighbours.filter(|member| member.state == State::Alive && !member.draining);
    let first = available.min_by_key(|member| (name_hash(&member.name), &member.name))?;
    let is_own = !own.draining && (name_hash(&own.name), &own.name) < (name_hash(&first.name), &first.name);
    (!is_own).then_some(first.peer_address)
}

fn by_data_centre<'a>(members: &[&'a Member]) -> BTreeMap<&'a DataCentre, Vec<&'a Member>> {
    let mut data_centres = BTreeMap::<_, Vec<_>>::new();
    for member in members {
        data_centres.entry(&member.data_centre).or_default().push(*member);
    }
    data_centres
}

fn addresses(members: &[&Member]) -> Vec<SocketAddr> {
    members.iter().map(|member| member.peer_address).collect()
}
