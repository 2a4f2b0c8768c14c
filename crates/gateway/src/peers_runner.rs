//! The socket and the tasks that exchange datagrams with other entry hosts.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::Entry;
use hawthornpost_core::membership::{self, Command, Member, Message, State};
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;

use crate::datagram::{Datagram, MAX_DATAGRAM_BYTES};
use crate::dissemination::RELAYS_PER_DATA_CENTRE;
use crate::error::{Kind, Result};
use crate::event::Event;
use crate::gateway::Gateway;
use crate::load_exchange::Exchange;
use crate::peers::Peers;
use crate::peers_socket::Socket;
use crate::successor;
use crate::usage;

/// The maximum number of members in a datagram. Larger ones would be lost more often, as each takes several packets.
const MAX_VIEW_MEMBERS: usize = 64;
/// The interval at which a host repeats to another host what that one may have missed.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum sleep of the probe task.
const MAX_PROBE_SLEEP: Duration = Duration::from_secs(1);
/// The delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A probe relayed on behalf of another host.
#[derive(Debug)]
struct Relayed {
    probe: u64,
    requester: SocketAddr,
    sent: Instant,
}

/// The socket and the relayed probes of this host.
struct Runner {
    gateway: Rc<Gateway>,
    socket: Rc<Socket>,
    loads: Exchange,
    usage: usage::exchange::Exchange,
    relayed: RefCell<BTreeMap<u64, Relayed>>,
    next_relay: Cell<u64>,
}

/// Relayed probes are numbered from here, so that they never collide with this host's own probes.
const FIRST_RELAY_NUMBER: u64 = 1 << 40;
/// A relayed probe without a response is discarded after this time.
const RELAY_TIMEOUT: Duration = Duration::from_secs(1);

/// Binds the socket and starts the tasks that communicate with other hosts.
///
/// # Errors
///
/// Fails when the peer address cannot be bound.
pub(crate) async fn run(gateway: Rc<Gateway>) -> Result<()> {
    let address = gateway.settings().listen.peers;
    let socket = UdpSocket::bind(address)
        .await
        .map_err(|source| Kind::Listen { address, source })?;
    let socket = Rc::new(Socket(socket));
    let runner = Rc::new(Runner {
        loads: Exchange::new(&gateway, &socket),
        usage: usage::exchange::Exchange::new(&gateway, &socket),
        gateway,
        socket,
        relayed: RefCell::default(),
        next_relay: Cell::new(FIRST_RELAY_NUMBER),
    });
    for task in [
        Task::Receive,
        Task::Probe,
        Task::Loads,
        Task::Batches,
        Task::Changes,
        Task::Repeats,
        Task::Usage,
    ] {
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
    Batches,
    Changes,
    Repeats,
    Usage,
}

impl Runner {
    async fn run(&self, task: Task) {
        match task {
            Task::Receive => self.receive().await,
            Task::Probe => self.probe().await,
            Task::Loads => self.loads.report().await,
            Task::Batches => self.loads.send_batches().await,
            Task::Changes => self.broadcast_changes().await,
            Task::Repeats => self.repeat_state().await,
            Task::Usage => self.usage.run().await,
        }
    }

    fn peers(&self) -> &Peers {
        self.gateway.peers()
    }

    fn send(&self, address: SocketAddr, datagram: &Datagram) {
        self.socket.send(address, datagram);
    }

    async fn receive(&self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.0.recv_from(&mut buffer).await {
                Ok((length, from)) => match Datagram::decode(&buffer[..length]) {
                    Ok(datagram) => self.handle(from, datagram),
                    Err(error) => log::debug!("cannot decode a datagram from {from}: {error}"),
                },
                // An earlier datagram was sent to a closed port (ICMP port unreachable); the next receive works again.
                Err(error) => {
                    log::debug!(
                        "cannot receive a datagram at {}: {error}",
                        self.gateway.settings().listen.peers
                    );
                    self.gateway.timer().sleep(RECEIVE_RETRY_DELAY).await;
                }
            }
        }
    }

    fn handle(&self, from: SocketAddr, datagram: Datagram) {
        let now = self.gateway.now();
        self.peers().record_heard(now);
        match datagram {
            Datagram::Ping {
                probe,
                message,
                wall_ms,
            } => {
                self.gateway.record_wall_time(&message.from.name, wall_ms);
                self.peers().record_state(&message);
                let (response, commands) = self.peers().table.borrow_mut().receive(now, &message);
                if probe > 0 {
                    self.send(
                        from,
                        &Datagram::Pong {
                            probe,
                            message: response,
                            wall_ms: self.gateway.wall_ms(),
                        },
                    );
                }
                self.execute(commands);
            }
            Datagram::Pong {
                probe,
                message,
                wall_ms,
            } => {
                self.gateway.record_wall_time(&message.from.name, wall_ms);
                self.handle_pong(now, probe, message);
            }
            Datagram::PingVia { probe, target, message } => self.relay(now, from, probe, &target, &message),
            Datagram::View { members } => {
                let commands = self.peers().table.borrow_mut().merge(now, &members);
                self.execute(commands);
            }
            Datagram::Loads(report) => self.loads.apply(&report),
            Datagram::CollectedLoads(report) => {
                self.loads.apply(&report);
                self.loads.gather(report);
            }
            Datagram::LoadBatch(reports) => reports.iter().for_each(|report| self.loads.apply(report)),
            // A relay forwards once; nested relays would multiply a datagram.
            Datagram::Relayed(contents) if matches!(*contents, Datagram::Relayed(_)) => {
                log::debug!("dropped a relayed datagram of {from} that is to be relayed again");
            }
            Datagram::Relayed(contents) => {
                self.socket.send_all(&self.peers().neighbours(), &contents);
                self.handle(from, *contents);
            }
            Datagram::Suspect { target } => {
                self.gateway.fleet().borrow_mut().suspect(now, &target);
            }
            Datagram::Crash { crash, parts } => self.gateway.quarantine().record_crash(now, &crash, &parts),
            Datagram::Cleared { parts } => self.gateway.quarantine().clear(now, &parts),
            Datagram::Quarantine(snapshot) => self.gateway.quarantine().merge(now, &snapshot),
            Datagram::Trial {
                from,
                told: observation,
            } => self.gateway.merge_trial(from.as_str(), observation),
            Datagram::Feed(update) => {
                self.peers().updates.borrow_mut().push((from, update));
                self.peers().update_received.notify_one();
            }
            Datagram::Departures(departures) => {
                for departure in &departures {
                    self.gateway.add_departure(departure, "peer");
                }
            }
            Datagram::Usage(batch) => self.gateway.merge_usage(&batch),
            Datagram::UsageWanted { address } => self.gateway.subscribe_to_usage(address),
            Datagram::Replaced { target, successor } => {
                self.gateway.fleet().borrow_mut().mark_replaced(&target);
                if let Some(successor) = successor {
                    successor::add(&self.gateway, successor, &target);
                }
            }
        }
    }

    fn handle_pong(&self, now: Instant, probe: u64, message: Message) {
        self.peers().record_state(&message);
        let relayed = self.relayed.borrow_mut().remove(&probe);
        if let Some(relayed) = relayed {
            let commands = self.peers().table.borrow_mut().apply(now, &message);
            self.execute(commands);
            let probe = relayed.probe;
            let wall_ms = None;
            self.send(
                relayed.requester,
                &Datagram::Pong {
                    probe,
                    message,
                    wall_ms,
                },
            );
            return;
        }
        let event = membership::Event::Answered { probe, message };
        let commands = self.peers().table.borrow_mut().handle(now, event);
        self.execute(commands);
    }

    fn relay(&self, now: Instant, requester: SocketAddr, probe: u64, target: &Entry, message: &Message) {
        let commands = self.peers().table.borrow_mut().apply(now, message);
        self.execute(commands);
        let Some((address, message)) = self.peers().table.borrow_mut().relay(target) else {
            return;
        };
        let number = self.next_relay.replace(self.next_relay.get() + 1);
        let mut relayed = self.relayed.borrow_mut();
        relayed.retain(|_, other| now.since(other.sent) < RELAY_TIMEOUT);
        relayed.insert(
            number,
            Relayed {
                probe,
                requester,
                sent: now,
            },
        );
        drop(relayed);
        self.ping(address, number, message);
    }

    fn execute(&self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Ping {
                    probe,
                    address,
                    message,
                } => {
                    self.ping(address, probe, message);
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
                    for members in members.chunks(MAX_VIEW_MEMBERS) {
                        let members = members.to_vec();
                        self.send(address, &Datagram::View { members });
                    }
                }
                Command::Changed(member) => self.record_change(&member),
            }
        }
    }

    fn ping(&self, address: SocketAddr, probe: u64, message: Message) {
        let wall_ms = self.gateway.wall_ms();
        self.send(
            address,
            &Datagram::Ping {
                probe,
                message,
                wall_ms,
            },
        );
    }

    fn record_change(&self, member: &Member) {
        if !member.is_live() {
            self.gateway.fleet().borrow_mut().remove_peer(member.name.as_str());
        }
        Event::PeerChanged {
            peer: member.name.as_str(),
            state: state_name(member.state),
            draining: member.draining,
            incarnation: member.incarnation,
            what: "the membership state of another entry host has changed",
        }
        .log();
    }

    async fn probe(&self) {
        for seed in &self.peers().seeds {
            self.send(*seed, &self.peers().announcement());
        }
        loop {
            let now = self.gateway.now();
            let commands = self.peers().table.borrow_mut().handle(now, membership::Event::Tick);
            self.execute(commands);
            self.gateway.fleet().borrow_mut().expire_peers(now);
            let deadline = self.peers().table.borrow().deadline();
            let sleep = deadline.map_or(MAX_PROBE_SLEEP, |at| at.since(self.gateway.now()));
            self.gateway.timer().sleep(sleep.max(Duration::from_millis(1))).await;
        }
    }

    async fn broadcast_changes(&self) {
        loop {
            self.peers().outbox_changed.notified().await;
            let mut datagrams = self.peers().outbox.take();
            if datagrams.is_empty() {
                datagrams.push(self.peers().announcement());
            }
            for datagram in &datagrams {
                // Several watchers send each large update, so that it needs no second relay.
                let relays = if datagram.is_bulk() { 1 } else { RELAYS_PER_DATA_CENTRE };
                self.socket.disseminate(&self.peers().plan(relays), datagram);
            }
        }
    }

    /// Sends the evidence against parts of prompts and the departures of targets to a random host at intervals, for hosts
    /// that missed them or restarted.
    async fn repeat_state(&self) {
        loop {
            self.gateway.timer().sleep(REPEAT_INTERVAL).await;
            let Some(address) = self.peers().live_addresses().choose(&mut rand::rng()).copied() else {
                continue;
            };
            if let Some(snapshot) = self.gateway.quarantine().snapshot(self.gateway.now()) {
                self.send(address, &Datagram::Quarantine(snapshot));
            }
            let departures = self.gateway.fleet().borrow().recent_departures(self.gateway.now());
            if !departures.is_empty() {
                self.send(address, &Datagram::Departures(departures));
            }
        }
    }
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Dead => "dead",
        State::Left => "left",
    }
}
