//! Other entry hosts: who is there, what they know and the work that they have at targets.
//!
//! Hosts talk over UDP, because a datagram cannot get stuck in a connection that went silent. Whatever does not fit
//! into a datagram, such as a configuration, is fetched from the peer's HTTP endpoint.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::Entry;
use hawthornpost_core::membership::{self, Command, Member, Message, State, Table};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::budget::Used;
use crate::error::{Kind, Result};
use crate::event::Event;
use crate::feed::{self, Candidate, Feed};
use crate::gateway::Gateway;
use crate::load::Load;
use crate::settings::Settings;
use crate::successor;
use crate::target::Target;

/// The time between two probes of a host. Together with the suspicion it bounds how long a dead host is given out.
const PROBE_PERIOD: Duration = Duration::from_millis(300);
/// How long a direct probe may take.
const PROBE_LIMIT: Duration = Duration::from_millis(100);
/// The largest datagram.
const DATAGRAM_BYTES: usize = 60 << 10;
/// Loads are told at most this often by a few hosts.
const LOAD_GAP: Duration = Duration::from_millis(40);
/// The part of that time for each host, so that what a host gets in a second does not grow with the number of hosts; links
/// of 10 Mbit/s carry the events of streams beside it.
const LOAD_GAP_PER_HOST: Duration = Duration::from_millis(4);
/// Loads are told at least this often while there are any, so that a lost datagram does no lasting harm.
const LOAD_REFRESH: Duration = Duration::from_secs(2);
/// The longest sleep of the prober.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// The other entry hosts.
#[derive(Debug)]
pub struct Peers {
    name: Entry,
    table: RefCell<Table>,
    seeds: Vec<SocketAddr>,
    revisions: RefCell<BTreeMap<Entry, u64>>,
    revision: Cell<u64>,
    news: Notify,
    loads: Notify,
    changed: Notify,
    /// What the others have to be told besides this host's own state.
    notices: RefCell<Vec<Datagram>>,
    /// What watchers told this host.
    feeds: RefCell<Vec<Feed>>,
    fed: Notify,
}

/// What hosts send to each other.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Datagram {
    /// A probe.
    Ping { probe: u64, message: Message },
    /// The answer to a probe.
    Pong { probe: u64, message: Message },
    /// Asks a host to probe another one.
    PingVia {
        probe: u64,
        target: Entry,
        message: Message,
    },
    /// The sender's whole view of the members.
    View { members: Vec<Member> },
    /// The sender's work at targets, and its requests and repeats in the last window.
    Loads {
        from: Entry,
        loads: BTreeMap<String, Load>,
        used: BTreeMap<String, Used>,
    },
    /// The sender saw a target fail.
    Suspect { target: String },
    /// The sender watches the store and tells what it saw.
    Feed(Feed),
    /// The sender saw another incarnation at a target's address, and maybe knows it.
    Replaced { target: String, successor: Option<Target> },
}

/// A probe that was made for another host.
#[derive(Debug)]
struct Relayed {
    probe: u64,
    asker: SocketAddr,
    sent: Instant,
}

impl Peers {
    /// Creates a view that knows only this host.
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
            period: PROBE_PERIOD,
            probe_limit: PROBE_LIMIT,
            ..membership::Settings::default()
        };
        let seeds = settings.peers.seeds.iter();
        let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), listen.peers.port()));
        let seeds = seeds.filter(|seed| *seed != listen.peers).collect::<Vec<_>>();
        Self {
            name: settings.entry.name.clone(),
            table: RefCell::new(Table::new(own, seeds.clone(), timing, rand::random())),
            seeds,
            revisions: RefCell::default(),
            revision: Cell::default(),
            news: Notify::new(),
            loads: Notify::new(),
            changed: Notify::new(),
            notices: RefCell::default(),
            feeds: RefCell::default(),
            fed: Notify::new(),
        }
    }

    /// Returns the addresses for callers of all hosts that take new work.
    pub fn open_addresses(&self) -> Vec<SocketAddr> {
        let table = self.table.borrow();
        let open = table.live().into_iter().filter(|member| !member.draining);
        open.map(|member| member.caller_address).collect()
    }

    /// Returns the number of live hosts, this one included.
    pub fn live_hosts(&self) -> usize {
        self.table.borrow().live().len()
    }

    /// Returns all known hosts.
    pub fn members(&self) -> Vec<Member> {
        self.table.borrow().snapshot()
    }

    /// Returns the address of a live peer that has a newer configuration than `version`.
    pub fn with_newer_config(&self, version: u64) -> Option<SocketAddr> {
        let table = self.table.borrow();
        let newer = table
            .others()
            .filter(|member| member.is_live() && member.config > version);
        pick_near(table.own(), &newer.collect::<Vec<_>>())
    }

    /// Returns the address of a live peer that knows the targets as of a later revision.
    pub fn with_newer_targets(&self, revision: u64) -> Option<SocketAddr> {
        let table = self.table.borrow();
        let revisions = self.revisions.borrow();
        let newer = revisions.iter().filter(|(_, known)| **known > revision);
        let members = newer.filter_map(|(name, _)| table.get(name));
        pick_near(
            table.own(),
            &members.filter(|member| member.is_live()).collect::<Vec<_>>(),
        )
    }

    /// Returns the addresses of some peers to ask for what this host lacks.
    pub fn sources(&self) -> Vec<SocketAddr> {
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

    /// Waits until a peer may know something newer.
    pub async fn news(&self) {
        self.news.notified().await;
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
            self.changed.notify_one();
        }
    }

    /// Tells the other hosts that a target failed.
    pub(crate) fn tell_suspect(&self, target: &str) {
        self.tell(Datagram::Suspect {
            target: target.to_owned(),
        });
    }

    /// Tells the other hosts that another incarnation answers at a target's address.
    pub(crate) fn tell_replaced(&self, target: &str, successor: Option<Target>) {
        self.tell(Datagram::Replaced {
            target: target.to_owned(),
            successor,
        });
    }

    /// Tells the other hosts what this host saw in the store.
    pub(crate) fn tell_feed(&self, feed: Feed) {
        self.tell(Datagram::Feed(feed));
    }

    /// Waits for what watchers tell.
    pub(crate) async fn feeds(&self) -> Vec<Feed> {
        loop {
            let feeds = self.feeds.take();
            if !feeds.is_empty() {
                return feeds;
            }
            self.fed.notified().await;
        }
    }

    /// Returns whether this host is one of those that watch the store.
    pub fn is_watcher(&self) -> bool {
        let table = self.table.borrow();
        let live = table.live();
        let open = live.iter().filter(|member| !member.draining);
        let candidates = open.map(|member| Candidate {
            entry: &member.name,
            data_centre: &member.data_centre,
        });
        feed::is_watcher(&self.name, &candidates.collect::<Vec<_>>())
    }

    fn tell(&self, notice: Datagram) {
        self.notices.borrow_mut().push(notice);
        self.changed.notify_one();
    }

    pub(crate) fn wake_loads(&self) {
        self.loads.notify_one();
    }

    fn others(&self) -> Vec<SocketAddr> {
        let table = self.table.borrow();
        let live = table.others().filter(|member| member.is_live());
        live.map(|member| member.peer_address).collect()
    }

    /// Builds a probe that is not part of a round, to tell a change at once.
    fn greeting(&self) -> Datagram {
        let table = self.table.borrow();
        let message = Message {
            from: table.own().clone(),
            updates: Vec::new(),
            payload: self.revision.get(),
        };
        Datagram::Ping { probe: 0, message }
    }

    fn note(&self, message: &Message) {
        let name = &message.from.name;
        let is_newer = {
            let mut revisions = self.revisions.borrow_mut();
            let known = revisions.entry(name.clone()).or_default();
            *known = message.payload;
            message.payload > self.revision.get()
        };
        let own_config = self.table.borrow().own().config;
        if is_newer || message.from.config > own_config {
            self.news.notify_one();
        }
    }
}

/// The sockets and the probes of a running host.
struct Runner {
    gateway: Rc<Gateway>,
    socket: UdpSocket,
    relayed: RefCell<BTreeMap<u64, Relayed>>,
    next_relay: Cell<u64>,
}

/// Relayed probes have numbers from here on, so that they never collide with this host's own.
const FIRST_RELAY: u64 = 1 << 40;
/// A relayed probe that was not answered within this time is forgotten.
const RELAY_LIFETIME: Duration = Duration::from_secs(1);

/// Runs the exchange with other hosts; returns only when the socket cannot be opened.
///
/// # Errors
///
/// Fails when the peer address cannot be bound.
pub(crate) async fn run(gateway: Rc<Gateway>) -> Result<()> {
    let address = gateway.settings().listen.peers;
    let socket = UdpSocket::bind(address)
        .await
        .map_err(|source| Kind::Listen { address, source })?;
    let runner = Rc::new(Runner {
        gateway,
        socket,
        relayed: RefCell::default(),
        next_relay: Cell::new(FIRST_RELAY),
    });
    for task in [Task::Receive, Task::Probe, Task::Loads, Task::Changes] {
        let runner = Rc::clone(&runner);
        tokio::task::spawn_local(async move { runner.run(task).await });
    }
    Ok(())
}

#[derive(Clone, Copy, Debug)]
enum Task {
    Receive,
    Probe,
    Loads,
    Changes,
}

impl Runner {
    async fn run(&self, task: Task) {
        match task {
            Task::Receive => self.receive().await,
            Task::Probe => self.probe().await,
            Task::Loads => self.tell_loads().await,
            Task::Changes => self.tell_changes().await,
        }
    }

    fn peers(&self) -> &Peers {
        self.gateway.peers()
    }

    fn send(&self, address: SocketAddr, datagram: &Datagram) {
        let bytes = serde_json::to_vec(datagram).unwrap_or_default();
        if let Err(error) = self.socket.try_send_to(&bytes, address) {
            log::debug!("datagram to {address} not sent: {error}");
        }
    }

    async fn receive(&self) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => match serde_json::from_slice(&buffer[..length]) {
                    Ok(datagram) => self.take(from, datagram),
                    Err(error) => log::debug!("datagram of {from} is malformed: {error}"),
                },
                // An earlier datagram met a closed port; the next receive works again.
                Err(error) => {
                    log::debug!("receive: {error}");
                    self.gateway.timer().sleep(PROBE_LIMIT).await;
                }
            }
        }
    }

    fn take(&self, from: SocketAddr, datagram: Datagram) {
        let now = self.gateway.now();
        match datagram {
            Datagram::Ping { probe, message } => {
                self.peers().note(&message);
                let (answer, commands) = self.peers().table.borrow_mut().receive(now, &message);
                if probe > 0 {
                    self.send(from, &Datagram::Pong { probe, message: answer });
                }
                self.carry_out(commands);
            }
            Datagram::Pong { probe, message } => self.take_pong(now, probe, message),
            Datagram::PingVia { probe, target, message } => self.relay(now, from, probe, &target, &message),
            Datagram::View { members } => {
                let commands = self.peers().table.borrow_mut().merge(now, &members);
                self.carry_out(commands);
            }
            Datagram::Loads { from, loads, used } => {
                self.gateway.fleet().borrow_mut().set_peer(now, from.as_str(), loads);
                self.gateway.budget().borrow_mut().set_peer(now, from.as_str(), used);
            }
            Datagram::Suspect { target } => {
                self.gateway.fleet().borrow_mut().suspect(now, &target);
            }
            Datagram::Feed(feed) => {
                self.peers().feeds.borrow_mut().push(feed);
                self.peers().fed.notify_one();
            }
            Datagram::Replaced { target, successor } => {
                self.gateway.fleet().borrow_mut().note_replaced(&target);
                if let Some(successor) = successor {
                    successor::put(&self.gateway, successor, &target);
                }
            }
        }
    }

    fn take_pong(&self, now: Instant, probe: u64, message: Message) {
        self.peers().note(&message);
        let relayed = self.relayed.borrow_mut().remove(&probe);
        if let Some(relayed) = relayed {
            let commands = self.peers().table.borrow_mut().absorb(now, &message);
            self.carry_out(commands);
            let probe = relayed.probe;
            self.send(relayed.asker, &Datagram::Pong { probe, message });
            return;
        }
        let event = membership::Event::Answered { probe, message };
        let commands = self.peers().table.borrow_mut().handle(now, event);
        self.carry_out(commands);
    }

    fn relay(&self, now: Instant, asker: SocketAddr, probe: u64, target: &Entry, message: &Message) {
        let commands = self.peers().table.borrow_mut().absorb(now, message);
        self.carry_out(commands);
        let Some((address, message)) = self.peers().table.borrow_mut().relay(target) else {
            return;
        };
        let number = self.next_relay.replace(self.next_relay.get() + 1);
        let mut relayed = self.relayed.borrow_mut();
        relayed.retain(|_, other| now.since(other.sent) < RELAY_LIFETIME);
        relayed.insert(
            number,
            Relayed {
                probe,
                asker,
                sent: now,
            },
        );
        drop(relayed);
        self.send(address, &Datagram::Ping { probe: number, message });
    }

    fn carry_out(&self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Ping {
                    probe,
                    address,
                    message,
                } => {
                    self.send(address, &Datagram::Ping { probe, message });
                }
                Command::PingVia {
                    probe,
                    relay,
                    target,
                    message,
                } => {
                    self.send(relay, &Datagram::PingVia { probe, target, message });
                }
                Command::Sync(address) => {
                    let members = self.peers().table.borrow().snapshot();
                    self.send(address, &Datagram::View { members });
                }
                Command::Changed(member) => self.note_change(&member),
            }
        }
    }

    fn note_change(&self, member: &Member) {
        if !member.is_live() {
            self.gateway.fleet().borrow_mut().remove_peer(member.name.as_str());
        }
        Event::PeerChanged {
            peer: member.name.as_str(),
            state: state_name(member.state),
            draining: member.draining,
            incarnation: member.incarnation,
            what: "another entry host changed its state",
        }
        .log();
    }

    async fn probe(&self) {
        for seed in &self.peers().seeds {
            self.send(*seed, &self.peers().greeting());
        }
        loop {
            let now = self.gateway.now();
            let commands = self.peers().table.borrow_mut().handle(now, membership::Event::Wake);
            self.carry_out(commands);
            self.gateway.fleet().borrow_mut().expire_peers(now);
            let deadline = self.peers().table.borrow().deadline();
            let sleep = deadline.map_or(LONGEST_SLEEP, |at| at.since(self.gateway.now()));
            self.gateway.timer().sleep(sleep.max(Duration::from_millis(1))).await;
        }
    }

    async fn tell_changes(&self) {
        loop {
            self.peers().changed.notified().await;
            let mut datagrams = self.peers().notices.take();
            if datagrams.is_empty() {
                datagrams.push(self.peers().greeting());
            }
            for address in self.peers().others() {
                for datagram in &datagrams {
                    self.send(address, datagram);
                }
            }
        }
    }

    async fn tell_loads(&self) {
        loop {
            let loads = self.gateway.fleet().borrow().own_loads();
            let is_empty = loads.is_empty();
            let from = self.peers().name.clone();
            let used = self.gateway.budget().borrow_mut().used(self.gateway.now());
            let datagram = Datagram::Loads { from, loads, used };
            for address in self.peers().others() {
                self.send(address, &datagram);
            }
            let hosts = u32::try_from(self.peers().live_hosts()).unwrap_or(u32::MAX);
            let gap = LOAD_GAP.max(LOAD_GAP_PER_HOST * hosts);
            self.gateway.timer().sleep(gap).await;
            let wake = self.peers().loads.notified();
            if is_empty {
                wake.await;
            } else {
                self.gateway.timer().limit(LOAD_REFRESH, wake).await;
            }
        }
    }
}

/// Picks a member at random, one of the own data centre when there is any, as bytes between data centres cost.
fn pick_near(own: &Member, members: &[&Member]) -> Option<SocketAddr> {
    let near = members.iter().filter(|member| member.data_centre == own.data_centre);
    let near = near.collect::<Vec<_>>();
    let chosen = near
        .choose(&mut rand::rng())
        .copied()
        .or_else(|| members.choose(&mut rand::rng()));
    chosen.map(|member| member.peer_address)
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Dead => "dead",
        State::Left => "left",
    }
}

/// Returns a number that is higher than in earlier lives of the host. A time of day that was set back is made up for by
/// the refutation of older claims.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
