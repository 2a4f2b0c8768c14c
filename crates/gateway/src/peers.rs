//! Other entry hosts: membership, the state that they have, and the reports exchanged with them.
//!
//! Hosts communicate over UDP, because a datagram cannot get stuck behind a stalled connection. Data that does not fit
//! into a datagram, such as a configuration, is fetched from the peer's HTTP endpoint.

mod watchers;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::Entry;
use hawthornpost_core::membership::{self, Member, Message, State, Table};
use rand::seq::IndexedRandom;
use tokio::sync::Notify;

use crate::datagram::Datagram;
use crate::departures::Departure;
use crate::dissemination::{self, MIN_HOSTS_FOR_RELAYS, Plan};
use crate::duration::millis;
use crate::feed::Update;
use crate::settings::Settings;
use crate::target::Target;
use crate::trial::Observation;

/// The interval between two probes. Together with the suspicion timeout it bounds how long callers are still directed to
/// a failed host.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// The maximum size of the membership updates in one probe. Datagrams are compressed to about a fifth, so one packet
/// carries them. They are that many only while hosts join or fail in numbers.
const MAX_UPDATE_BYTES: usize = 6 << 10;
/// The time without a datagram after which a host may be cut off from the others, which probe it more often.
const MAX_SILENCE: Duration = Duration::from_secs(1);
/// The timeout of a direct probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// The other entry hosts.
#[derive(Debug)]
pub struct Peers {
    pub(crate) name: Entry,
    pub(crate) table: RefCell<Table>,
    pub(crate) seeds: Vec<SocketAddr>,
    is_seed: bool,
    /// The store revisions of the targets that the peers know.
    peer_revisions: RefCell<BTreeMap<Entry, u64>>,
    revision: Cell<u64>,
    newer_state: Notify,
    /// When the last datagram arrived.
    last_heard: Cell<Instant>,
    pub(crate) loads_changed: Notify,
    pub(crate) outbox_changed: Notify,
    /// Datagrams to broadcast at the next `outbox_changed`; if there are none, this host's own state is broadcast.
    pub(crate) outbox: RefCell<Vec<Datagram>>,
    /// Store changes received from watchers, with the watcher's address.
    pub(crate) updates: RefCell<Vec<(SocketAddr, Update)>>,
    pub(crate) update_received: Notify,
    /// Wakes the evaluation of trials.
    trials_changed: Notify,
    /// Wakes the evaluation of trials for a verdict of a peer.
    verdict_received: Notify,
}

impl Peers {
    /// Creates a membership that contains only this host.
    pub fn new(settings: &Settings) -> Self {
        let listen = &settings.listen;
        let own = Member {
            name: settings.entry.name.clone(),
            peer_address: listen.peers,
            caller_address: listen.callers,
            data_centre: settings.entry.data_centre.clone(),
            region: settings.entry.region.clone(),
            incarnation: incarnation(),
            state: State::Alive,
            draining: true,
            config: 0,
        };
        let timing = membership::Settings {
            period: PROBE_INTERVAL,
            probe_timeout: PROBE_TIMEOUT,
            max_update_bytes: MAX_UPDATE_BYTES,
            ..membership::Settings::default()
        };
        let seeds = settings.peers.seeds.iter();
        let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), listen.peers.port()));
        let (own_seeds, seeds) = seeds.partition::<Vec<_>, _>(|seed| *seed == listen.peers);
        Self {
            is_seed: !own_seeds.is_empty(),
            name: settings.entry.name.clone(),
            table: RefCell::new(Table::new(own, seeds.clone(), timing, rand::random())),
            seeds,
            peer_revisions: RefCell::default(),
            revision: Cell::default(),
            newer_state: Notify::new(),
            last_heard: Cell::default(),
            loads_changed: Notify::new(),
            outbox_changed: Notify::new(),
            outbox: RefCell::default(),
            updates: RefCell::default(),
            update_received: Notify::new(),
            trials_changed: Notify::new(),
            verdict_received: Notify::new(),
        }
    }

    /// Returns the caller addresses of all live hosts that accept new requests.
    pub fn available_addresses(&self) -> Vec<SocketAddr> {
        let table = self.table.borrow();
        let available = table.live().into_iter().filter(|member| !member.draining);
        available.map(|member| member.caller_address).collect()
    }

    /// Returns the number of live hosts, including this one.
    pub fn live_hosts(&self) -> usize {
        self.table.borrow().live().len()
    }

    /// Returns all known hosts.
    pub fn members(&self) -> Vec<Member> {
        self.table.borrow().snapshot()
    }

    /// Returns the address of a live peer whose configuration is newer than `version`.
    pub fn with_newer_config(&self, version: u64) -> Option<SocketAddr> {
        let table = self.table.borrow();
        let newer = table
            .others()
            .filter(|member| member.is_live() && member.config > version);
        pick_nearby(table.own(), &newer.collect::<Vec<_>>())
    }

    /// Returns the address of a live peer that knows the targets as of a later store revision.
    pub fn with_newer_targets(&self, revision: u64) -> Option<SocketAddr> {
        let table = self.table.borrow();
        let revisions = self.peer_revisions.borrow();
        let newer = revisions.iter().filter(|(_, known)| **known > revision);
        let members = newer.filter_map(|(name, _)| table.get(name));
        pick_nearby(
            table.own(),
            &members.filter(|member| member.is_live()).collect::<Vec<_>>(),
        )
    }

    /// Returns the peer address of a random live host, outside a data centre if there is one.
    pub(crate) fn reference_address(&self, data_centre: &str) -> Option<SocketAddr> {
        let table = self.table.borrow();
        let live = table.others().filter(|member| member.is_live()).collect::<Vec<_>>();
        let outside = live.iter().filter(|member| member.data_centre.as_str() != data_centre);
        let outside = outside.collect::<Vec<_>>();
        let chosen = outside
            .choose(&mut rand::rng())
            .copied()
            .or_else(|| live.choose(&mut rand::rng()));
        chosen.map(|member| member.peer_address)
    }

    /// Returns the addresses of live peers and seeds from which missing state can be fetched.
    pub fn fetch_addresses(&self) -> Vec<SocketAddr> {
        let table = self.table.borrow();
        let live = table
            .others()
            .filter(|member| member.is_live())
            .map(|member| member.peer_address);
        let mut sources = live.collect::<Vec<_>>();
        sources.extend(
            self.seeds
                .iter()
                .filter(|seed| !sources.contains(seed))
                .copied()
                .collect::<Vec<_>>(),
        );
        sources
    }

    /// Returns whether other hosts join through this one.
    pub(crate) fn is_seed(&self) -> bool {
        self.is_seed
    }

    /// Records the arrival of a datagram.
    pub(crate) fn record_heard(&self, now: Instant) {
        self.last_heard.set(now);
    }

    /// Returns whether other hosts have sent anything in the last second.
    pub(crate) fn hears_others(&self, now: Instant) -> bool {
        now.since(self.last_heard.get()) < MAX_SILENCE
    }

    /// Waits until a peer may have newer state.
    pub async fn newer_state(&self) {
        self.newer_state.notified().await;
    }

    pub(crate) fn set_config(&self, version: u64) {
        self.table.borrow_mut().set_config(version);
    }

    pub(crate) fn set_revision(&self, revision: u64) {
        self.revision.set(revision);
        self.table.borrow_mut().set_payload(revision);
    }

    pub(crate) fn set_draining(&self, draining: bool) {
        let mut table = self.table.borrow_mut();
        if table.own().draining != draining {
            table.set_draining(draining);
            self.outbox_changed.notify_one();
        }
    }

    /// Reports a suspected target to the other hosts.
    pub(crate) fn broadcast_suspect(&self, target: &str) {
        self.broadcast(Datagram::Suspect {
            target: target.to_owned(),
        });
    }

    /// Reports to the other hosts that another incarnation responds at a target's address.
    pub(crate) fn broadcast_replaced(&self, target: &str, successor: Option<Target>) {
        self.broadcast(Datagram::Replaced {
            target: target.to_owned(),
            successor,
        });
    }

    /// Reports to the other hosts that a target is leaving.
    pub(crate) fn broadcast_leaving(&self, departure: &Departure) {
        self.broadcast(Datagram::Departures(vec![departure.clone()]));
    }

    /// Sends changes read from the store to the other hosts.
    pub(crate) fn broadcast_update(&self, update: Update) {
        self.broadcast(Datagram::Feed(update));
    }

    /// Sends this host's results of a trial to the other hosts.
    pub(crate) fn broadcast_trial(&self, observation: Observation) {
        let from = self.name.clone();
        self.broadcast(Datagram::Trial {
            from,
            told: observation,
        });
    }

    /// Waits until an order or the results of a trial change.
    pub(crate) async fn trials_changed(&self) {
        self.trials_changed.notified().await;
    }

    pub(crate) fn wake_trials(&self) {
        self.trials_changed.notify_one();
    }

    /// Waits until a peer has reached a verdict on a trial.
    pub(crate) async fn verdict_received(&self) {
        self.verdict_received.notified().await;
    }

    pub(crate) fn wake_for_verdict(&self) {
        self.verdict_received.notify_one();
    }

    /// Waits for store changes from watchers.
    pub(crate) async fn receive_updates(&self) -> Vec<(SocketAddr, Update)> {
        loop {
            let updates = self.updates.take();
            if !updates.is_empty() {
                return updates;
            }
            self.update_received.notified().await;
        }
    }

    /// Sends a datagram to the other hosts.
    pub(crate) fn broadcast(&self, datagram: Datagram) {
        self.outbox.borrow_mut().push(datagram);
        self.outbox_changed.notify_one();
    }

    pub(crate) fn wake_loads(&self) {
        self.loads_changed.notify_one();
    }

    /// Returns the receivers of a message to all hosts.
    pub(crate) fn plan(&self, relays: usize) -> Plan {
        let table = self.table.borrow();
        let others = table.others().filter(|member| member.is_live()).collect::<Vec<_>>();
        Plan::new(table.own(), &others, relays, &mut rand::rng())
    }

    /// Returns whether messages to all hosts go through relays.
    pub(crate) fn has_relays(&self) -> bool {
        self.live_hosts() >= MIN_HOSTS_FOR_RELAYS
    }

    /// Returns the peer addresses of the other live hosts of this data centre.
    pub(crate) fn neighbours(&self) -> Vec<SocketAddr> {
        let table = self.table.borrow();
        let others = table.others().filter(|member| member.is_live()).collect::<Vec<_>>();
        dissemination::neighbours(table.own(), &others)
    }

    /// Returns the host that gathers the load reports of this data centre; `None` if this host does.
    pub(crate) fn collector(&self) -> Option<SocketAddr> {
        let table = self.table.borrow();
        let others = table.others().filter(|member| member.is_live()).collect::<Vec<_>>();
        dissemination::collector(table.own(), &others)
    }

    /// Returns the peer addresses of the other live hosts.
    pub(crate) fn live_addresses(&self) -> Vec<SocketAddr> {
        let table = self.table.borrow();
        let live = table.others().filter(|member| member.is_live());
        live.map(|member| member.peer_address).collect()
    }

    /// Builds a probe outside the probe interval, which announces this host's state at once.
    pub(crate) fn announcement(&self) -> Datagram {
        let table = self.table.borrow();
        let message = Message {
            from: table.own().clone(),
            updates: Vec::new(),
            payload: self.revision.get(),
        };
        Datagram::Ping {
            probe: 0,
            message,
            wall_ms: None,
        }
    }

    /// Records which state the sender of a message has.
    pub(crate) fn record_state(&self, message: &Message) {
        let name = &message.from.name;
        let is_newer = {
            let mut revisions = self.peer_revisions.borrow_mut();
            let known = revisions.entry(name.clone()).or_default();
            *known = message.payload;
            message.payload > self.revision.get()
        };
        let own_config = self.table.borrow().own().config;
        if is_newer || message.from.config > own_config {
            self.newer_state.notify_one();
        }
    }
}

/// Picks a random member, preferably in this host's data centre, because traffic between data centres is expensive.
fn pick_nearby(own: &Member, members: &[&Member]) -> Option<SocketAddr> {
    let near = members.iter().filter(|member| member.data_centre == own.data_centre);
    let near = near.collect::<Vec<_>>();
    let chosen = near
        .choose(&mut rand::rng())
        .copied()
        .or_else(|| members.choose(&mut rand::rng()));
    chosen.map(|member| member.peer_address)
}

/// Returns a number that is higher than in earlier runs of the host. If the clock was set back, the membership protocol
/// compensates when the host refutes outdated claims about itself.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    millis(since)
}
