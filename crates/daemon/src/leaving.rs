//! Targets that are leaving and get no new work.
//!
//! A target is marked as leaving because of the platform's hosts list, its own status 503, or a notice from another
//! entry host that observed one of these. The hosts list lags, so entry hosts notify each other immediately.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::{Entry, Target};
use hawthornpost_core::inventory::Item;
use hawthornpost_core::platform::Resource;
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

/// How long a notice of another entry host is valid. By then the hosts list or the target itself reports that it
/// leaves.
const NOTICE_TTL: Duration = Duration::from_secs(60);
/// The shortest interval between two reads of the hosts list.
const MIN_LIST_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// The read interval per listed host, so that reading a long list stays far below the network limit of an entry host.
/// The first entry host that reads a change notifies the others.
const LIST_POLL_INTERVAL_PER_HOST: Duration = Duration::from_millis(25);
/// How often the members are checked for entry hosts that have not been notified yet.
const RESEND_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The number of attempts to send a notice to an entry host that does not respond.
const MAX_NOTICE_ATTEMPTS: u32 = 4;

/// The source of the information that a target is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's hosts list.
    List,
    /// The target itself.
    Target,
}

/// The targets that are marked as leaving.
#[derive(Debug)]
pub struct Leaving {
    context: Rc<Context>,
    marks: RefCell<BTreeMap<Target, Mark>>,
}

/// The sources that report one target as leaving.
#[derive(Clone, Copy, Debug, Default)]
struct Mark {
    by_list: bool,
    by_target: bool,
    notice_expiry: Option<Instant>,
}

/// The body of `target_leaving`.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Notice {
    target: Target,
    leaving: bool,
}

/// An entry of the platform's hosts list.
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
    /// Returns whether a target is leaving and gets no new work.
    pub fn is_marked(&self, target: &Target) -> bool {
        let now = self.context.timer().now();
        self.marks.borrow().get(target).is_some_and(|mark| mark.is_active(now))
    }

    /// Records whether a source reports a target as leaving, and notifies the other entry hosts of changes.
    pub fn record(&self, target: &Target, source: Source, leaving: bool) {
        let now = self.context.timer().now();
        let mut marks = self.marks.borrow_mut();
        if !leaving && !marks.contains_key(target) {
            return;
        }
        let mark = marks.entry(target.clone()).or_default();
        let was_observed = mark.is_observed();
        match source {
            Source::List => mark.by_list = leaving,
            Source::Target => mark.by_target = leaving,
        }
        let was_notified = mark.notice_expiry.is_some_and(|until| until > now);
        if mark.is_observed() == was_observed {
            return;
        }
        if !mark.is_observed() {
            mark.notice_expiry = None;
            marks.remove(target);
            Event::TargetBack { target }.log();
        } else if !was_notified {
            let by = match source {
                Source::List => "the hosts list",
                Source::Target => "its own answer",
            };
            Event::TargetLeaving { target, source: &by }.log();
        }
        drop(marks);
        self.broadcast(&Notice {
            target: target.clone(),
            leaving,
        });
    }

    fn receive(&self, notice: &Notice) {
        let until = notice.leaving.then(|| self.context.timer().now() + NOTICE_TTL);
        let mut marks = self.marks.borrow_mut();
        let is_new = notice.leaving && !marks.contains_key(&notice.target);
        marks.entry(notice.target.clone()).or_default().notice_expiry = until;
        drop(marks);
        if is_new {
            let (target, source) = (&notice.target, &"another entry host");
            Event::TargetLeaving { target, source }.log();
        }
    }

    fn broadcast(&self, notice: &Notice) {
        for peer in self.context.component::<Members>().others() {
            self.send_notice(peer.peers, notice.clone());
        }
    }

    fn send_notice(&self, peer: SocketAddr, notice: Notice) {
        let context = Rc::clone(&self.context);
        tokio::task::spawn_local(async move {
            let client = context.component::<peer::Client>();
            for _ in 0..MAX_NOTICE_ATTEMPTS {
                match client.call::<Value>(peer, "target_leaving", &notice).await {
                    Ok(_) => return,
                    Err(error) => log::debug!("cannot notify {peer} of the state of target {}: {error}", notice.target),
                }
            }
        });
    }

    /// Sends all marks that this entry host observed itself to the members that it has not notified yet.
    fn notify_new_members(&self, notified: &mut BTreeSet<Entry>) {
        let members = self.context.component::<Members>().others();
        let marks = self.marks.borrow();
        let observed = marks.iter().filter(|(_, mark)| mark.is_observed());
        let observed = observed.map(|(target, _)| target.clone()).collect::<Vec<_>>();
        for member in members.iter().filter(|member| !notified.contains(&member.entry)) {
            for target in &observed {
                let (target, leaving) = (target.clone(), true);
                self.send_notice(member.peers, Notice { target, leaving });
            }
        }
        *notified = members.into_iter().map(|member| member.entry).collect();
    }

    fn apply_list(&self, list: Vec<Value>) {
        // Hosts in an unknown format are skipped.
        let hosts = list
            .into_iter()
            .filter_map(|host| serde_json::from_value::<Host>(host).ok())
            .collect::<Vec<_>>();
        let document = self.context.component::<Current>().document();
        for (target, item) in document.inventory.iter() {
            let listed = hosts.iter().find(|host| host.address.matches(item));
            let leaving = listed.is_some_and(|host| host.state == State::Leaving);
            self.record(target, Source::List, leaving);
        }
    }
}

impl Mark {
    /// Returns whether this entry host observed itself that the target is leaving.
    fn is_observed(&self) -> bool {
        self.by_list || self.by_target
    }

    fn is_active(&self, now: Instant) -> bool {
        self.is_observed() || self.notice_expiry.is_some_and(|until| until > now)
    }
}

impl Address {
    fn matches(self, item: &Item) -> bool {
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
            let notice = client::decode::<Notice>(address, body.to_string().as_bytes())?;
            context.component::<Leaving>().receive(&notice);
            Ok(Value::Null)
        })
    },
};

#[distributed_slice(PLUGINS)]
static LEAVING: Plugin = Plugin {
    name: "leaving",
    stage: Stage::Processing,
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
    context.register_dump("leaving", move || {
        let now = dumped.context.timer().now();
        let marks = dumped.marks.borrow();
        let marked = marks.iter().filter(|(_, mark)| mark.is_active(now));
        json!(marked.map(|(target, _)| target).collect::<Vec<_>>())
    });
    tokio::task::spawn_local(poll_hosts_list(Rc::clone(&leaving)));
    tokio::task::spawn_local(resend_notices(leaving));
    Ok(())
}

/// Sends the marks to new members, and again to all members before the earlier notices expire.
async fn resend_notices(leaving: Rc<Leaving>) {
    let mut notified = BTreeSet::new();
    let mut next_resend = Instant::ZERO;
    loop {
        let now = leaving.context.timer().now();
        if now >= next_resend {
            next_resend = now + NOTICE_TTL / 2;
            notified.clear();
        }
        leaving.notify_new_members(&mut notified);
        leaving.context.timer().sleep(RESEND_CHECK_INTERVAL).await;
    }
}

/// Polls the hosts list. While the platform does not respond, the marks stay unchanged.
async fn poll_hosts_list(leaving: Rc<Leaving>) {
    let context = Rc::clone(&leaving.context);
    let platform = context.component::<platform::Client>();
    let mut interval = MIN_LIST_POLL_INTERVAL;
    loop {
        match platform.list::<Value>(Resource::Hosts).await {
            Ok(list) => {
                interval = LIST_POLL_INTERVAL_PER_HOST * u32::try_from(list.len()).unwrap_or(u32::MAX);
                leaving.apply_list(list);
            }
            Err(error) => log::debug!("cannot read the hosts list: {error}"),
        }
        context.timer().sleep(interval.max(MIN_LIST_POLL_INTERVAL)).await;
    }
}
