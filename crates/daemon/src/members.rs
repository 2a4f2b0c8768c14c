//! The live entry hosts, as this daemon sees them.

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

use crate::configuration::{Configuration, Current, PeerReach};
use crate::error::Result;
use crate::event::Event;
use crate::kernel::{Context, Phase};
use crate::peer::{self, METHODS, Method};
use crate::plugin::{PLUGINS, Plugin, Stage};
use crate::rollouts::Rollouts;

/// The most bytes of evidence in one answer.
const EVIDENCE_BYTES: usize = 8 << 10;

/// The pause between two exchanges of evidence for each live member. The list of what an entry host has grows with the
/// fleet, about 140 bytes for each member; 390 members then exchange every 10 s, which costs 6 KB/s.
const PULL_PAUSE: Duration = Duration::from_millis(25);

/// A live entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name.
    pub entry: Entry,
    /// The data centre.
    pub data_centre: DataCentre,
    /// The region.
    pub region: Region,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for peers.
    pub peers: SocketAddr,
    /// The configuration version that is applied.
    pub config_version: u64,
    /// Whether the entry host takes no new work.
    pub leaving: bool,
}

/// The view of the live entry hosts.
#[derive(Debug)]
pub struct Members {
    context: Rc<Context>,
    table: RefCell<Table>,
    incarnation: u64,
    is_pulling: Cell<bool>,
    next_pull: Cell<Instant>,
}

/// An indirect probe.
#[derive(Debug, Serialize, Deserialize)]
struct Relay {
    target: Entry,
    message: Message,
}

/// The answer to an indirect probe.
#[derive(Debug, Serialize, Deserialize)]
struct Relayed {
    reached: bool,
    message: Message,
}

/// What an entry host has and tells, to get the rest from a peer.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Pull {
    /// The caller's whole view, when views are to be exchanged.
    members: Vec<membership::Member>,
    /// The evidence that the caller has.
    known: Known,
    /// Verdicts that the peer may not have yet.
    verdicts: Vec<(Run, Verdict)>,
}

/// What a peer has beyond that.
#[derive(Debug, Serialize, Deserialize)]
pub struct Pulled {
    /// The peer's whole view, if the caller sent its own.
    members: Vec<membership::Member>,
    /// The head of the peer's configuration.
    pub head: Option<Head>,
    /// Evidence and verdicts.
    delta: Delta,
}

impl Members {
    /// Returns this entry host.
    pub fn own(&self) -> Member {
        let settings = self.context.settings();
        Member {
            entry: settings.entry.name.clone(),
            data_centre: settings.entry.data_centre.clone(),
            region: settings.entry.region.clone(),
            callers: settings.entry.advertise,
            peers: settings.peers.listen,
            config_version: self.context.part::<Current>().version(),
            leaving: self.context.phase() > Phase::Running,
        }
    }

    /// Returns the other live entry hosts, ordered by name.
    pub fn others(&self) -> Vec<Member> {
        let table = self.table.borrow();
        let live = table.others().filter(|member| member.is_live());
        live.map(Member::from).collect()
    }

    /// Returns all live entry hosts with this one, ordered by name.
    pub fn all(&self) -> Vec<Member> {
        let mut all = self.others();
        all.push(self.own());
        all.sort_by(|left, right| left.entry.cmp(&right.entry));
        all
    }

    /// Returns all entry hosts with their states, this one included.
    pub fn known(&self) -> Vec<membership::Member> {
        self.refresh();
        self.table.borrow().snapshot()
    }

    /// Returns the number of live entry hosts with a lower name.
    pub fn rank(&self) -> usize {
        self.table.borrow().rank()
    }

    /// Returns the incarnation at the start of this process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the address for peers of an entry host.
    pub fn peer_address(&self, entry: &Entry) -> Option<SocketAddr> {
        self.table.borrow().get(entry).map(|member| member.peer_address)
    }

    /// Notes the version that an entry host said it has.
    pub fn note_config(&self, entry: &Entry, version: u64) {
        self.table.borrow_mut().note_config(entry, version);
    }

    /// Sends verdicts to a peer and takes over what it has and this entry host lacks.
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
        let rollouts = self.context.part::<Rollouts>();
        let pull = Pull {
            members,
            known: rollouts.known(),
            verdicts,
        };
        let client = self.context.part::<peer::Client>();
        let pulled = client.call::<Pulled>(address, "state_pull", &pull).await;
        match pulled {
            Ok(pulled) => {
                rollouts.absorb(&pulled.delta);
                Some(pulled)
            }
            Err(error) => {
                log::debug!("{error}");
                None
            }
        }
    }

    /// Brings this entry host's own record up to date.
    fn refresh(&self) {
        let mut table = self.table.borrow_mut();
        table.set_config(self.context.part::<Current>().version());
        table.set_payload(self.context.part::<Rollouts>().payload());
        table.set_draining(self.context.phase() > Phase::Running);
    }

    /// Takes a peer's probe and returns the answer.
    fn receive(self: &Rc<Self>, message: &Message) -> Message {
        self.refresh();
        let (answer, commands) = self.table.borrow_mut().receive(self.context.timer().now(), message);
        self.carry_out(commands);
        self.heard(message);
        answer
    }

    fn answered(self: &Rc<Self>, probe: u64, message: Message) {
        self.heard(&message);
        let now = self.context.timer().now();
        let event = membership::Event::Answered { probe, message };
        let commands = self.table.borrow_mut().handle(now, event);
        self.carry_out(commands);
    }

    /// Passes on what a message says beside membership.
    fn heard(self: &Rc<Self>, message: &Message) {
        let configuration = self.context.part::<Configuration>();
        configuration.peer_answered(&message.from.name, message.from.config);
        let rollouts = self.context.part::<Rollouts>();
        let now = self.context.timer().now();
        let differs = message.payload != rollouts.payload() && self.next_pull.get() <= now;
        if (differs || !rollouts.is_learned()) && !self.is_pulling.replace(true) {
            let live = u32::try_from(self.others().len()).unwrap_or(u32::MAX);
            self.next_pull.set(now + PULL_PAUSE * live);
            let (members, address) = (Rc::clone(self), message.from.peer_address);
            tokio::task::spawn_local(async move {
                if members.pull_from(address, Vec::new(), Vec::new()).await.is_some() {
                    members.context.part::<Rollouts>().set_learned();
                }
                members.is_pulling.set(false);
            });
        }
    }

    fn carry_out(self: &Rc<Self>, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Changed(member) => changed(&member),
                command => {
                    tokio::task::spawn_local(Rc::clone(self).call_out(command));
                }
            }
        }
    }

    async fn call_out(self: Rc<Self>, command: Command) {
        let client = self.context.part::<peer::Client>();
        match command {
            Command::Ping {
                probe,
                address,
                message,
            } => match client.call::<Message>(address, "member_ping", &message).await {
                Ok(answer) => self.answered(probe, answer),
                Err(error) => log::debug!("{error}"),
            },
            Command::PingVia {
                probe,
                relay,
                target,
                message,
            } => {
                let body = Relay { target, message };
                match client.call::<Relayed>(relay, "member_ping_req", &body).await {
                    Ok(relayed) if relayed.reached => self.answered(probe, relayed.message),
                    Ok(_) => {}
                    Err(error) => log::debug!("{error}"),
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
        self.carry_out(commands);
    }

    /// Probes a member for a peer.
    async fn relay(self: Rc<Self>, relay: Relay) -> Relayed {
        let message = self.receive(&relay.message);
        let probe = self.table.borrow_mut().relay(&relay.target);
        let Some((address, ping)) = probe else {
            return Relayed {
                reached: false,
                message,
            };
        };
        let client = self.context.part::<peer::Client>();
        let answer = client.call::<Message>(address, "member_ping", &ping).await;
        if let Ok(answer) = &answer {
            self.heard(answer);
            let commands = self.table.borrow_mut().absorb(self.context.timer().now(), answer);
            self.carry_out(commands);
        }
        Relayed {
            reached: answer.is_ok(),
            message,
        }
    }

    /// Answers a peer that wants what it lacks.
    fn state(self: &Rc<Self>, pull: &Pull) -> Pulled {
        let rollouts = self.context.part::<Rollouts>();
        rollouts.learn(&pull.verdicts);
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
                .part::<Configuration>()
                .held()
                .map(|held| held.head.clone()),
            delta: rollouts.delta(&pull.known, EVIDENCE_BYTES),
        }
    }
}

/// Asks a peer what it reaches and has.
///
/// # Errors
///
/// Fails when the peer does not answer.
pub async fn ask_reach(context: &Context, address: SocketAddr) -> Result<PeerReach> {
    let client = context.part::<peer::Client>();
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

fn changed(member: &membership::Member) {
    let (entry, address) = (&member.name, &member.caller_address);
    match member.state {
        State::Alive => Event::MemberFound { entry, address }.log(),
        State::Suspect => log::debug!("entry {entry} is suspected"),
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
    stage: Stage::Fleet,
    start,
};

#[distributed_slice(METHODS)]
static PING: Method = Method {
    name: "member_ping",
    handle: |context, body| {
        Box::pin(async move {
            let message = peer::decode::<Message>(body)?;
            peer::encode(&context.part::<Members>().receive(&message))
        })
    },
};

#[distributed_slice(METHODS)]
static PING_REQ: Method = Method {
    name: "member_ping_req",
    handle: |context, body| {
        Box::pin(async move {
            let relay = peer::decode::<Relay>(body)?;
            peer::encode(&context.part::<Members>().relay(relay).await)
        })
    },
};

#[distributed_slice(METHODS)]
static STATE_PULL: Method = Method {
    name: "state_pull",
    handle: |context, body| {
        Box::pin(async move {
            let pull = peer::decode::<Pull>(body)?;
            peer::encode(&context.part::<Members>().state(&pull))
        })
    },
};

#[expect(clippy::unnecessary_wraps, reason = "the signature of all plug-ins")]
fn start(context: &Rc<Context>) -> Result<()> {
    let settings = context.settings();
    // Wall-clock time is higher than in every earlier life of the entry host.
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
        next_pull: Cell::default(),
    });
    context.provide(Rc::clone(&members));
    let dumped = Rc::clone(&members);
    context.on_dump("members", move || json!(dumped.known()));
    tokio::task::spawn_local(probe(members));
    Ok(())
}

async fn probe(members: Rc<Members>) {
    let context = Rc::clone(&members.context);
    loop {
        members.refresh();
        let now = context.timer().now();
        let commands = members.table.borrow_mut().handle(now, membership::Event::Wake);
        members.carry_out(commands);
        let deadline = members.table.borrow().deadline();
        context.timer().sleep_until(deadline.unwrap_or(now)).await;
    }
}
