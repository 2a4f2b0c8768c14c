//! Cluster membership: the entry hosts that this daemon considers live.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::config::Head;
use hawthornpost_core::id::{DataCentre, Entry, Region};
use hawthornpost_core::membership::{self, Command, Message, State, Table};
use hawthornpost_core::rollout::{Delta, Known, Run, Verdict};
use jiff::Timestamp;
use linkme::distributed_slice;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::configuration::{Configuration, Current, Reachability};
use crate::error::Result;
use crate::event::Event;
use crate::kernel::{Context, Phase};
use crate::peer::{self, METHODS, Method};
use crate::plugin::{PLUGINS, Plugin, Stage};
use crate::rollouts::Rollouts;

/// The largest size of the rollout samples in one reply.
const MAX_SAMPLE_BYTES: usize = 8 << 10;

/// The interval between two exchanges of rollout samples, per live member. The summary that is sent grows by about
/// 140 bytes per member; 390 members then exchange every 10 s, which costs 6 KB/s.
const PULL_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(25);

/// A live entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name.
    pub entry: Entry,
    /// The data centre.
    pub data_centre: DataCentre,
    /// The region.
    pub region: Region,
    /// The address that callers use.
    pub callers: SocketAddr,
    /// The address that peers use.
    pub peers: SocketAddr,
    /// The active configuration version.
    pub config_version: u64,
    /// Whether the entry host accepts no new work.
    pub leaving: bool,
}

/// The membership table of this entry host.
#[derive(Debug)]
pub struct Members {
    context: Rc<Context>,
    table: RefCell<Table>,
    incarnation: u64,
    is_pulling: Cell<bool>,
    next_pull_at: Cell<Instant>,
}

/// The request for an indirect probe.
#[derive(Debug, Serialize, Deserialize)]
struct Relay {
    target: Entry,
    message: Message,
}

/// The reply to an indirect probe.
#[derive(Debug, Serialize, Deserialize)]
struct Relayed {
    reached: bool,
    message: Message,
}

/// A request for state that the caller lacks, with a summary of the state that it has.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Pull {
    /// The caller's membership table, when the tables are to be exchanged.
    members: Vec<membership::Member>,
    /// A summary of the rollout samples that the caller has.
    known: Known,
    /// Rollout verdicts that the peer may lack.
    verdicts: Vec<(Run, Verdict)>,
}

/// The reply to `state_pull`: the state that the caller lacks.
#[derive(Debug, Serialize, Deserialize)]
pub struct Pulled {
    /// The peer's membership table, if the caller sent its own.
    members: Vec<membership::Member>,
    /// The head of the peer's configuration.
    pub head: Option<Head>,
    /// Rollout samples and verdicts.
    delta: Delta,
}

impl Members {
    /// Returns this entry host.
    pub fn local(&self) -> Member {
        let settings = self.context.settings();
        Member {
            entry: settings.entry.name.clone(),
            data_centre: settings.entry.data_centre.clone(),
            region: settings.entry.region.clone(),
            callers: settings.entry.advertise,
            peers: settings.peers.listen,
            config_version: self.context.component::<Current>().version(),
            leaving: self.context.phase() > Phase::Running,
        }
    }

    /// Returns the other live entry hosts, ordered by name.
    pub fn others(&self) -> Vec<Member> {
        let table = self.table.borrow();
        let live = table.others().filter(|member| member.is_live());
        live.map(Member::from).collect()
    }

    /// Returns all live entry hosts including this one, ordered by name.
    pub fn all(&self) -> Vec<Member> {
        let mut all = self.others();
        all.push(self.local());
        all.sort_by(|left, right| left.entry.cmp(&right.entry));
        all
    }

    /// Returns all entry hosts with their states, this one included.
    pub fn known(&self) -> Vec<membership::Member> {
        self.refresh();
        self.table.borrow().snapshot()
    }

    /// Returns the rank of this entry host: the number of live entry hosts with a lower name.
    pub fn rank(&self) -> usize {
        self.table.borrow().rank()
    }

    /// Returns the incarnation at the start of this process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the peer address of an entry host.
    pub fn peer_address(&self, entry: &Entry) -> Option<SocketAddr> {
        self.table.borrow().get(entry).map(|member| member.peer_address)
    }

    /// Records the configuration version that an entry host reported.
    pub fn record_config(&self, entry: &Entry, version: u64) {
        self.table.borrow_mut().note_config(entry, version);
    }

    /// Sends verdicts to a peer and merges the samples and verdicts that this entry host lacks.
    pub async fn pull(&self, peer: &Entry, verdicts: Vec<(Run, Verdict)>) -> Option<Pulled> {
        let address = self.peer_address(peer)?;
        self.pull_from(address, Vec::new(), verdicts).await
    }

    async fn pull_from(
        &self,
        address: SocketAddr,
        members: Vec<membership::Member>,
        verdicts: Vec<(Run, Verdict)>,
    ) -> Option<Pulled> {
        let rollouts = self.context.component::<Rollouts>();
        let pull = Pull {
            members,
            known: rollouts.known(),
            verdicts,
        };
        let client = self.context.component::<peer::Client>();
        let pulled = client.call::<Pulled>(address, "state_pull", &pull).await;
        match pulled {
            Ok(pulled) => {
                rollouts.merge(&pulled.delta);
                Some(pulled)
            }
            Err(error) => {
                log::debug!("cannot pull the state of {address}: {error}");
                None
            }
        }
    }

    /// Updates this entry host's own record in the membership table.
    fn refresh(&self) {
        let mut table = self.table.borrow_mut();
        table.set_config(self.context.component::<Current>().version());
        table.set_payload(self.context.component::<Rollouts>().payload_hash());
        table.set_draining(self.context.phase() > Phase::Running);
    }

    /// Processes a peer's probe and returns the reply.
    fn receive(self: &Rc<Self>, message: &Message) -> Message {
        self.refresh();
        let (answer, commands) = self.table.borrow_mut().receive(self.context.timer().now(), message);
        self.execute(commands);
        self.apply_piggyback(message);
        answer
    }

    fn receive_answer(self: &Rc<Self>, probe: u64, message: Message) {
        self.apply_piggyback(&message);
        let now = self.context.timer().now();
        let event = membership::Event::Answered { probe, message };
        let commands = self.table.borrow_mut().handle(now, event);
        self.execute(commands);
    }

    /// Processes the state that is piggybacked on a membership message: the configuration version and a hash of the
    /// rollout state.
    fn apply_piggyback(self: &Rc<Self>, message: &Message) {
        let configuration = self.context.component::<Configuration>();
        configuration.record_peer_answer(&message.from.name, message.from.config);
        let rollouts = self.context.component::<Rollouts>();
        let now = self.context.timer().now();
        let differs = message.payload != rollouts.payload_hash() && self.next_pull_at.get() <= now;
        if (differs || !rollouts.is_synchronized()) && !self.is_pulling.replace(true) {
            let live = u32::try_from(self.others().len()).unwrap_or(u32::MAX);
            self.next_pull_at.set(now + PULL_INTERVAL_PER_MEMBER * live);
            let (members, address) = (Rc::clone(self), message.from.peer_address);
            tokio::task::spawn_local(async move {
                if members.pull_from(address, Vec::new(), Vec::new()).await.is_some() {
                    members.context.component::<Rollouts>().mark_synchronized();
                }
                members.is_pulling.set(false);
            });
        }
    }

    fn execute(self: &Rc<Self>, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Changed(member) => log_change(&member),
                command => {
                    tokio::task::spawn_local(Rc::clone(self).execute_async(command));
                }
            }
        }
    }

    async fn execute_async(self: Rc<Self>, command: Command) {
        let client = self.context.component::<peer::Client>();
        match command {
            Command::Ping {
                probe,
                address,
                message,
            } => match client.call::<Message>(address, "member_ping", &message).await {
                Ok(answer) => self.receive_answer(probe, answer),
                Err(error) => log::debug!("cannot ping {address}: {error}"),
            },
            Command::PingVia {
                probe,
                relay,
                target,
                message,
            } => {
                let body = Relay { target, message };
                match client.call::<Relayed>(relay, "member_ping_req", &body).await {
                    Ok(relayed) if relayed.reached => self.receive_answer(probe, relayed.message),
                    Ok(_) => {}
                    Err(error) => log::debug!("cannot ping {} through {relay}: {error}", body.target),
                }
            }
            Command::Sync(address) => self.sync(address).await,
            Command::Changed(_) => {}
        }
    }

    async fn sync(self: Rc<Self>, address: SocketAddr) {
        if let Some(pulled) = self.pull_from(address, self.known(), Vec::new()).await {
            self.merge(&pulled.members);
        }
    }

    fn merge(self: &Rc<Self>, members: &[membership::Member]) {
        let now = self.context.timer().now();
        let commands = self.table.borrow_mut().merge(now, members);
        self.execute(commands);
    }

    /// Probes a member on behalf of a peer.
    async fn relay(self: Rc<Self>, relay: Relay) -> Relayed {
        let message = self.receive(&relay.message);
        let probe = self.table.borrow_mut().relay(&relay.target);
        let Some((address, ping)) = probe else {
            return Relayed {
                reached: false,
                message,
            };
        };
        let client = self.context.component::<peer::Client>();
        let answer = client.call::<Message>(address, "member_ping", &ping).await;
        if let Ok(answer) = &answer {
            self.apply_piggyback(answer);
            let commands = self.table.borrow_mut().apply(self.context.timer().now(), answer);
            self.execute(commands);
        }
        Relayed {
            reached: answer.is_ok(),
            message,
        }
    }

    /// Builds the reply to a peer that requests state.
    fn state(self: &Rc<Self>, pull: &Pull) -> Pulled {
        let rollouts = self.context.component::<Rollouts>();
        rollouts.merge_verdicts(&pull.verdicts);
        let members = if pull.members.is_empty() {
            Vec::new()
        } else {
            self.known()
        };
        self.merge(&pull.members);
        Pulled {
            members,
            head: self
                .context
                .component::<Configuration>()
                .snapshot()
                .map(|snapshot| snapshot.head.clone()),
            delta: rollouts.delta(&pull.known, MAX_SAMPLE_BYTES),
        }
    }
}

/// Queries whether a peer reaches the platform and which configuration version it has.
///
/// # Errors
///
/// Fails when the peer does not answer.
pub async fn query_reachability(context: &Context, address: SocketAddr) -> Result<Reachability> {
    let client = context.component::<peer::Client>();
    client.call(address, "platform_reach", &()).await
}

impl From<&membership::Member> for Member {
    fn from(member: &membership::Member) -> Self {
        Self {
            entry: member.name.clone(),
            data_centre: member.data_centre.clone(),
            region: member.region.clone(),
            callers: member.caller_address,
            peers: member.peer_address,
            config_version: member.config,
            leaving: member.draining,
        }
    }
}

fn log_change(member: &membership::Member) {
    let (entry, address) = (&member.name, &member.caller_address);
    match member.state {
        State::Alive => Event::MemberFound { entry, address }.log(),
        State::Suspect => log::debug!("entry {entry} is suspected to have failed"),
        State::Dead => Event::MemberLost {
            entry,
            error: &"no answer to direct and indirect probes",
        }
        .log(),
        State::Left => Event::MemberLost {
            entry,
            error: &"it left",
        }
        .log(),
    }
}

#[distributed_slice(PLUGINS)]
static MEMBERS: Plugin = Plugin {
    name: "members",
    stage: Stage::Cluster,
    start,
};

#[distributed_slice(METHODS)]
static PING: Method = Method {
    name: "member_ping",
    handle: |context, body| {
        Box::pin(async move {
            let message = peer::decode::<Message>(body)?;
            peer::encode(&context.component::<Members>().receive(&message))
        })
    },
};

#[distributed_slice(METHODS)]
static PING_REQ: Method = Method {
    name: "member_ping_req",
    handle: |context, body| {
        Box::pin(async move {
            let relay = peer::decode::<Relay>(body)?;
            peer::encode(&context.component::<Members>().relay(relay).await)
        })
    },
};

#[distributed_slice(METHODS)]
static STATE_PULL: Method = Method {
    name: "state_pull",
    handle: |context, body| {
        Box::pin(async move {
            let pull = peer::decode::<Pull>(body)?;
            peer::encode(&context.component::<Members>().state(&pull))
        })
    },
};

#[expect(clippy::unnecessary_wraps, reason = "the signature of all plug-ins")]
fn start(context: &Rc<Context>) -> Result<()> {
    let settings = context.settings();
    // The wall-clock time is higher than in every earlier run of the entry host.
    let incarnation = u64::try_from(Timestamp::now().as_millisecond()).unwrap_or(0);
    let own = membership::Member {
        name: settings.entry.name.clone(),
        peer_address: settings.peers.listen,
        caller_address: settings.entry.advertise,
        data_centre: settings.entry.data_centre.clone(),
        region: settings.entry.region.clone(),
        incarnation,
        state: State::Alive,
        draining: false,
        config: 0,
    };
    let seeds = settings.peers.seeds.clone();
    let members = Rc::new(Members {
        context: Rc::clone(context),
        table: RefCell::new(Table::new(own, seeds, membership::Settings::default(), rand::random())),
        incarnation,
        is_pulling: Cell::new(false),
        next_pull_at: Cell::default(),
    });
    context.provide(Rc::clone(&members));
    let dumped = Rc::clone(&members);
    context.register_dump("members", move || json!(dumped.known()));
    tokio::task::spawn_local(probe(members));
    Ok(())
}

async fn probe(members: Rc<Members>) {
    let context = Rc::clone(&members.context);
    loop {
        members.refresh();
        let now = context.timer().now();
        let commands = members.table.borrow_mut().handle(now, membership::Event::Tick);
        members.execute(commands);
        let deadline = members.table.borrow().deadline();
        context.timer().sleep_until(deadline.unwrap_or(now)).await;
    }
}
