//! The live entry hosts, as this daemon sees them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::id::{DataCentre, Entry, Region};
use linkme::distributed_slice;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::configuration::Current;
use crate::error::Result;
use crate::event::Event;
use crate::kernel::{Context, Phase};
use crate::peer::{self, METHODS, Method};
use crate::plugin::{PLUGINS, Plugin, Stage};

/// How often every seed is asked for its state.
const PING_INTERVAL: Duration = Duration::from_secs(1);

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
    others: RefCell<BTreeMap<Entry, Member>>,
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
        self.others.borrow().values().cloned().collect()
    }

    /// Returns all live entry hosts with this one, ordered by name.
    pub fn all(&self) -> Vec<Member> {
        let mut all = self.others();
        all.push(self.own());
        all.sort_by(|left, right| left.entry.cmp(&right.entry));
        all
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
    handle: |context, _| Box::pin(async move { peer::encode(&context.part::<Members>().own()) }),
};

#[expect(clippy::unnecessary_wraps, reason = "the signature of all plug-ins")]
fn start(context: &Rc<Context>) -> Result<()> {
    let members = Rc::new(Members {
        context: Rc::clone(context),
        others: RefCell::default(),
    });
    context.provide(Rc::clone(&members));
    let dumped = Rc::clone(&members);
    context.on_dump("members", move || json!(dumped.all()));
    for seed in context.settings().peers.seeds.clone() {
        tokio::task::spawn_local(ping(Rc::clone(&members), seed));
    }
    Ok(())
}

async fn ping(members: Rc<Members>, seed: SocketAddr) {
    let client = members.context.part::<peer::Client>();
    let mut known = None;
    loop {
        match client.call::<Member>(seed, "member_ping", &()).await {
            Ok(member) => {
                if known.is_none() {
                    let (entry, address) = (&member.entry, &member.callers);
                    Event::MemberFound { entry, address }.log();
                }
                known = Some(member.entry.clone());
                members.others.borrow_mut().insert(member.entry.clone(), member);
            }
            Err(error) => {
                log::debug!("{error}");
                if let Some(entry) = known.take() {
                    let (lost, error) = (&entry, &error);
                    Event::MemberLost { entry: lost, error }.log();
                    members.others.borrow_mut().remove(&entry);
                }
            }
        }
        members.context.timer().sleep(PING_INTERVAL).await;
    }
}
