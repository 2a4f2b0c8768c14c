//! Orders to engines, issued by one entry at a time.
//!
//! The version of the lease object is the fencing number. Engines that check it refuse the orders of an earlier holder.
//! For the others every order has an end time, the lease object says when the last one ends, and a new holder waits for
//! that before its first order.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::clock::Instant;
use crate::id::{self, Entry, Model, Target, Version};
use crate::inventory::Fencing;
use crate::lease::{Holder, Lease, Observer};
use crate::platform::{self, Failure};

/// How often an order is sent before it counts as failed.
const MAX_TRIES: u32 = 3;

/// Time limits and rates of orders.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The term of the lease.
    pub term: Duration,
    /// How long after its arrival an engine may begin to execute an order.
    pub life: Duration,
    /// How long an order may travel: the connection is closed after this time. The rule for engines that ignore fencing
    /// numbers assumes that nothing arrives later.
    pub delivery: Duration,
    /// The rate at which the weight store hands out weights, in bytes a second.
    pub store_rate: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(15),
            life: Duration::from_secs(5),
            delivery: Duration::from_secs(2),
            store_rate: 1_000_000_000,
        }
    }
}

impl Limits {
    // An order goes out while the lease is held, that is within the term after the write; it ends this long after it.
    fn orders_end(&self) -> Duration {
        self.term + self.delivery + self.life
    }
}

/// An order that an entry wants to issue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The id; an engine executes each id once.
    pub id: id::Order,
    /// The engine.
    pub target: Target,
    /// What the engine does with the fencing number.
    pub fencing: Fencing,
    /// What the engine has to do.
    pub kind: Kind,
    /// The model.
    pub model: Model,
    /// The version of the model.
    pub version: Version,
    /// The adapter, if the order is about one.
    pub adapter: Option<String>,
    /// The new role, if the order is about one.
    pub role: Option<String>,
    /// How much the engine fetches from the weight store, in bytes.
    pub weight_bytes: u64,
}

/// What an engine has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Load a version or an adapter.
    Load,
    /// Unload it.
    Unload,
    /// Change the role.
    Role,
}

/// The body of an order as engines receive it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// The id; an engine executes each id once.
    pub order_id: id::Order,
    /// The fencing number.
    pub fencing: u64,
    /// What the engine has to do.
    pub kind: Kind,
    /// The model.
    pub model: Model,
    /// The version of the model.
    pub version: Version,
    /// The adapter, if the order is about one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The new role, if the order is about one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// How long after its arrival the engine may begin to execute the order.
    #[serde(rename = "expires_in_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub expires_in: Duration,
}

/// What an issuer is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An order is wanted.
    Want(Order),
    /// The lease object was read; `None` when it does not exist.
    Read(Result<Option<(platform::Version, Lease)>, Failure>),
    /// The lease object was written.
    Written(Result<platform::Version, Failure>),
    /// An engine answered an order, or did not.
    Sent(id::Order, Reply),
    /// The clock jumped or the loop stood still.
    Jumped,
    /// A deadline passed.
    Tick,
}

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It executed the order.
    Executed,
    /// It has seen a higher fencing number.
    Fenced,
    /// There was no answer.
    Lost,
}

/// What an issuer asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Read the lease object.
    Read,
    /// Write the lease object over the given version, or create it.
    Write(Option<platform::Version>, Lease),
    /// Send an order to an engine.
    Send(Target, Body),
    /// Say how an order ended: `true` when it was executed.
    Report(id::Order, bool),
}

/// Issues orders while it holds the lease. It takes the lease when an order is wanted and releases it when none is.
#[derive(Debug)]
pub struct Issuer {
    entry: Entry,
    limits: Limits,
    holder: Holder,
    observer: Observer,
    // Orders to engines that ignore fencing numbers wait for this.
    earlier_end: Instant,
    waiting: VecDeque<Wanted>,
    sent: BTreeMap<id::Order, Wanted>,
    // When the last order that was sent ends.
    last_end: Instant,
    next_load: Instant,
    call: Option<Call>,
    retry_at: Instant,
}

#[derive(Clone, Debug)]
struct Wanted {
    order: Order,
    tries: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Read,
    Take,
    Renew,
    Release,
}

impl Issuer {
    /// Creates the issuer of an entry.
    pub fn new(entry: Entry, limits: Limits) -> Self {
        Self {
            entry,
            limits,
            holder: Holder::new(limits.term),
            observer: Observer::default(),
            earlier_end: Instant::ZERO,
            waiting: VecDeque::new(),
            sent: BTreeMap::new(),
            last_end: Instant::ZERO,
            next_load: Instant::ZERO,
            call: None,
            retry_at: Instant::ZERO,
        }
    }

    /// Takes an event and returns what has to be done.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        match event {
            Event::Want(order) => self.waiting.push_back(Wanted { order, tries: 0 }),
            Event::Read(result) => self.read(now, result),
            Event::Written(result) => self.written(now, result),
            Event::Sent(id, reply) => commands.extend(self.replied(id, reply)),
            // What was seen before the jump may be longer or shorter ago than the clock says.
            Event::Jumped => self.forget(),
            Event::Tick => {}
        }
        commands.extend(self.send_due(now));
        commands.extend(self.next_call(now));
        commands
    }

    /// Returns when [`Event::Tick`] is due.
    pub fn deadline(&self) -> Option<Instant> {
        let renewal = self.holder.renewal_due();
        if self.is_idle() && renewal.is_none() {
            return None;
        }
        let call = self.retry_at.max(renewal.unwrap_or_default());
        let orders = self.waiting.iter().map(|wanted| self.ready_at(wanted)).min();
        let orders = orders.filter(|_| renewal.is_some());
        self.call.is_none().then_some(call).into_iter().chain(orders).min()
    }

    /// Returns whether no order is wanted or on its way.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.sent.is_empty()
    }

    fn read(&mut self, now: Instant, result: Result<Option<(platform::Version, Lease)>, Failure>) {
        self.call = None;
        let Ok(found) = result else {
            self.retry_at = now + self.limits.term / 10;
            return;
        };
        self.observer.see(now, found);
        let poll = now + self.limits.term / 3;
        self.retry_at = self.observer.lapse().map_or(now, |lapse| lapse.clamp(now, poll));
    }

    fn written(&mut self, now: Instant, result: Result<platform::Version, Failure>) {
        let Some(call) = self.call.take() else {
            return;
        };
        match (result, call) {
            (Ok(version), Call::Take | Call::Renew) => self.holder.renewed(version),
            (Ok(_), _) => self.forget(),
            // A renewal whose answer was lost may have taken effect. The lease is read and taken again like a foreign
            // one: its version is not known, and the number must be the version.
            (Err(_), _) => {
                self.forget();
                self.retry_at = now + self.limits.term / 10;
            }
        }
    }

    fn forget(&mut self) {
        self.holder.lapse();
        self.observer = Observer::default();
    }

    fn replied(&mut self, id: id::Order, reply: Reply) -> Option<Command> {
        let wanted = self.sent.remove(&id)?;
        match reply {
            Reply::Executed => Some(Command::Report(id, true)),
            Reply::Fenced | Reply::Lost if wanted.tries >= MAX_TRIES => Some(Command::Report(id, false)),
            // A renewal of our own raises the number as well, so a fenced order is sent again while the lease is held.
            Reply::Fenced | Reply::Lost => {
                self.waiting.push_back(wanted);
                None
            }
        }
    }

    fn ready_at(&self, wanted: &Wanted) -> Instant {
        let earlier = match wanted.order.fencing {
            Fencing::Checked => Instant::ZERO,
            Fencing::Ignored => self.earlier_end,
        };
        let load = if wanted.order.weight_bytes > 0 {
            self.next_load
        } else {
            Instant::ZERO
        };
        earlier.max(load)
    }

    fn send_due(&mut self, now: Instant) -> Vec<Command> {
        let mut commands = Vec::new();
        let Some(fencing) = self.holder.fencing(now) else {
            return commands;
        };
        while let Some(position) = self.waiting.iter().position(|wanted| now >= self.ready_at(wanted)) {
            commands.extend(
                self.waiting
                    .remove(position)
                    .map(|wanted| self.send(now, wanted, fencing)),
            );
        }
        commands
    }

    fn send(&mut self, now: Instant, mut wanted: Wanted, fencing: platform::Version) -> Command {
        wanted.tries += 1;
        self.last_end = now + self.limits.delivery + self.limits.life;
        if wanted.order.weight_bytes > 0 {
            let seconds = wanted.order.weight_bytes as f64 / self.limits.store_rate.max(1) as f64;
            self.next_load = self.next_load.max(now) + Duration::from_secs_f64(seconds);
        }
        let body = wanted.order.body(fencing, self.limits.life);
        let target = wanted.order.target.clone();
        self.sent.insert(wanted.order.id, wanted);
        Command::Send(target, body)
    }

    fn next_call(&mut self, now: Instant) -> Option<Command> {
        if self.call.is_some() || now < self.retry_at {
            return None;
        }
        let held = self.holder.fencing(now);
        match (held, self.is_idle()) {
            (Some(version), true) => Some(self.release(now, version)),
            (Some(version), false) if self.holder.renewal_due().is_some_and(|due| now >= due) => {
                Some(self.write(now, Call::Renew, Some(version)))
            }
            (Some(_), false) => None,
            (None, true) => {
                self.holder.lapse();
                None
            }
            (None, false) => Some(self.campaign(now)),
        }
    }

    fn campaign(&mut self, now: Instant) -> Command {
        self.holder.lapse();
        if let Some(base) = self.observer.takeable(now) {
            self.earlier_end = self.earlier_end.max(self.observer.orders_end());
            return self.write(now, Call::Take, base);
        }
        self.call = Some(Call::Read);
        Command::Read
    }

    fn write(&mut self, now: Instant, call: Call, base: Option<platform::Version>) -> Command {
        self.holder.sending(now);
        self.call = Some(call);
        let lease = Lease {
            holder: Some(self.entry.clone()),
            term: self.limits.term,
            orders_end: self.limits.orders_end().max(self.earlier_end.since(now)),
        };
        Command::Write(base, lease)
    }

    fn release(&mut self, now: Instant, version: platform::Version) -> Command {
        self.holder.lapse();
        self.call = Some(Call::Release);
        let lease = Lease {
            holder: None,
            term: self.limits.term,
            orders_end: self.last_end.max(self.earlier_end).since(now),
        };
        Command::Write(Some(version), lease)
    }
}

impl Order {
    fn body(&self, fencing: platform::Version, life: Duration) -> Body {
        Body {
            order_id: self.id,
            fencing: fencing.as_u64(),
            kind: self.kind,
            model: self.model.clone(),
            version: self.version.clone(),
            adapter: self.adapter.clone(),
            role: self.role.clone(),
            expires_in: life,
        }
    }
}
