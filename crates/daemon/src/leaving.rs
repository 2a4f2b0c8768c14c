//! Targets that are leaving and get no new work.
//!
//! A mark comes from the platform's hosts list, from the target's own status 503, or from another entry host that saw
//! one of these. The hosts list lags, so an entry host tells the others at once what it sees.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::{Entry, Target};
use hawthornpost_core::inventory::Item;
use hawthornpost_core::platform::Plural;
use linkme::distributed_slice;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::client;
use crate::configuration::Current;
use crate::error::Result;
use crate::event::Event;
use crate::kernel::Context;
use crate::members::Members;
use crate::peer::{self, METHODS, Method};
use crate::platform;
use crate::plugin::{PLUGINS, Plugin, Stage};

/// How long the word of another entry host counts; by then the hosts list names the target, or the target has said so.
const TOLD_FOR: Duration = Duration::from_secs(60);
/// The shortest time between two readings of the hosts list.
const LIST_POLL: Duration = Duration::from_secs(1);
/// The time between two readings for each host, so that reading a long list stays far below the network bound of an
/// entry host. The others then learn of a mark from the first one that reads it.
const LIST_POLL_PER_HOST: Duration = Duration::from_millis(25);
/// How often the members are looked at for entry hosts that have not been told the marks.
const REMIND: Duration = Duration::from_millis(500);
/// How often an entry host that does not answer is told a mark.
const TELL_TRIES: u32 = 4;

/// Who says that a target is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's hosts list.
    List,
    /// The target itself.
    Target,
}

/// The marks of targets.
#[derive(Debug)]
pub struct Leaving {
    context: Rc<Context>,
    marks: RefCell<BTreeMap<Target, Mark>>,
}

/// What is known of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Mark {
    by_list: bool,
    by_target: bool,
    told_until: Option<Instant>,
}

/// What an entry host tells the others.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Word {
    target: Target,
    leaving: bool,
}

/// A host of the platform's list.
#[derive(Deserialize)]
struct Host {
    address: Address,
    state: State,
}

/// The address of a host, with or without a port.
#[derive(Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(untagged)]
enum Address {
    Socket(SocketAddr),
    Host(IpAddr),
}

#[derive(Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Live,
    Leaving,
}

impl Leaving {
    /// Returns whether a target gets no new work.
    pub fn is_marked(&self, target: &Target) -> bool {
        let now = self.context.timer().now();
        self.marks.borrow().get(target).is_some_and(|mark| mark.holds(now))
    }

    /// Notes what a source says of a target, and tells the other entry hosts when it is news.
    pub fn note(&self, target: &Target, source: Source, leaving: bool) {
        let now = self.context.timer().now();
        let mut marks = self.marks.borrow_mut();
        if !leaving && !marks.contains_key(target) {
            return;
        }
        let mark = marks.entry(target.clone()).or_default();
        let seen = mark.seen();
        match source {
            Source::List => mark.by_list = leaving,
            Source::Target => mark.by_target = leaving,
        }
        let told = mark.told_until.is_some_and(|until| until > now);
        if mark.seen() == seen {
            return;
        }
        if !mark.seen() {
            mark.told_until = None;
            marks.remove(target);
            Event::TargetBack { target }.log();
        } else if !told {
            let by = match source {
                Source::List => "the hosts list",
                Source::Target => "its own answer",
            };
            Event::TargetLeaving { target, source: &by }.log();
        }
        drop(marks);
        self.tell(&Word {
            target: target.clone(),
            leaving,
        });
    }

    fn hear(&self, word: &Word) {
        let until = word.leaving.then(|| self.context.timer().now() + TOLD_FOR);
        let mut marks = self.marks.borrow_mut();
        let is_new = word.leaving && !marks.contains_key(&word.target);
        marks.entry(word.target.clone()).or_default().told_until = until;
        drop(marks);
        if is_new {
            let (target, source) = (&word.target, &"another entry host");
            Event::TargetLeaving { target, source }.log();
        }
    }

    fn tell(&self, word: &Word) {
        for peer in self.context.part::<Members>().others() {
            self.tell_one(peer.peers, word.clone());
        }
    }

    fn tell_one(&self, peer: SocketAddr, word: Word) {
        let context = Rc::clone(&self.context);
        tokio::task::spawn_local(async move {
            let client = context.part::<peer::Client>();
            for _ in 0..TELL_TRIES {
                match client.call::<Value>(peer, "target_leaving", &word).await {
                    Ok(_) => return,
                    Err(error) => log::debug!("{error}"),
                }
            }
        });
    }

    /// Tells all marks that this entry host has seen to the entry hosts that have not heard them from it yet.
    fn tell_newcomers(&self, told: &mut BTreeSet<Entry>) {
        let members = self.context.part::<Members>().others();
        let marks = self.marks.borrow();
        let seen = marks.iter().filter(|(_, mark)| mark.seen());
        let seen = seen.map(|(target, _)| target.clone()).collect::<Vec<_>>();
        for member in members.iter().filter(|member| !told.contains(&member.entry)) {
            for target in &seen {
                let (target, leaving) = (target.clone(), true);
                self.tell_one(member.peers, Word { target, leaving });
            }
        }
        *told = members.into_iter().map(|member| member.entry).collect();
    }

    fn read_list(&self, list: Vec<Value>) {
        // A host of a form that is not known says nothing about targets.
        let hosts = list
            .into_iter()
            .filter_map(|host| serde_json::from_value::<Host>(host).ok())
            .collect::<Vec<_>>();
        let document = self.context.part::<Current>().document();
        for (target, item) in document.inventory.iter() {
            let listed = hosts.iter().find(|host| host.address.is_of(item));
            let leaving = listed.is_some_and(|host| host.state == State::Leaving);
            self.note(target, Source::List, leaving);
        }
    }
}

impl Mark {
    /// Returns whether this entry host itself has seen that the target is leaving.
    fn seen(&self) -> bool {
        self.by_list || self.by_target
    }

    fn holds(&self, now: Instant) -> bool {
        self.seen() || self.told_until.is_some_and(|until| until > now)
    }
}

impl Address {
    fn is_of(self, item: &Item) -> bool {
        match self {
            Self::Socket(address) => address == item.address,
            Self::Host(host) => host == item.address.ip(),
        }
    }
}

#[distributed_slice(METHODS)]
static TARGET_LEAVING: Method = Method {
    name: "target_leaving",
    handle: |context, body| {
        Box::pin(async move {
            let address = context.settings().peers.listen;
            let word = client::decode::<Word>(address, body.to_string().as_bytes())?;
            context.part::<Leaving>().hear(&word);
            Ok(Value::Null)
        })
    },
};

#[distributed_slice(PLUGINS)]
static LEAVING: Plugin = Plugin {
    name: "leaving",
    stage: Stage::Work,
    start,
};

#[expect(clippy::unnecessary_wraps, reason = "the signature of all plug-ins")]
fn start(context: &Rc<Context>) -> Result<()> {
    let leaving = Rc::new(Leaving {
        context: Rc::clone(context),
        marks: RefCell::default(),
    });
    context.provide(Rc::clone(&leaving));
    let dumped = Rc::clone(&leaving);
    context.on_dump("leaving", move || {
        let now = dumped.context.timer().now();
        let marks = dumped.marks.borrow();
        let marked = marks.iter().filter(|(_, mark)| mark.holds(now));
        json!(marked.map(|(target, _)| target).collect::<Vec<_>>())
    });
    tokio::task::spawn_local(poll(Rc::clone(&leaving)));
    tokio::task::spawn_local(remind(leaving));
    Ok(())
}

/// Tells the marks to entry hosts that appear, and again to all before their memory of them ends.
async fn remind(leaving: Rc<Leaving>) {
    let mut told = BTreeSet::new();
    let mut again = Instant::ZERO;
    loop {
        let now = leaving.context.timer().now();
        if now >= again {
            again = now + TOLD_FOR / 2;
            told.clear();
        }
        leaving.tell_newcomers(&mut told);
        leaving.context.timer().sleep(REMIND).await;
    }
}

/// Reads the hosts list. While the platform does not answer, the marks stay as they are.
async fn poll(leaving: Rc<Leaving>) {
    let context = Rc::clone(&leaving.context);
    let platform = context.part::<platform::Client>();
    let mut pause = LIST_POLL;
    loop {
        match platform.list::<Value>(Plural::Hosts).await {
            Ok(list) => {
                pause = LIST_POLL_PER_HOST * u32::try_from(list.len()).unwrap_or(u32::MAX);
                leaving.read_list(list);
            }
            Err(error) => log::debug!("cannot read the hosts list: {error}"),
        }
        context.timer().sleep(pause.max(LIST_POLL)).await;
    }
}
