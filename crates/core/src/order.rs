//! Fenced orders to engines, issued by one entry at a time.
//!
//! The version of the lease object is the fencing number. Engines that check it refuse orders of a previous holder. For
//! engines that do not, every order expires, the lease object contains the expiry of the last order, and a new holder
//! waits for that time before its first order.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::clock::Instant;
use crate::id::{self, Entry, Model, Target, Version};
use crate::inventory::Fencing;
use crate::lease::{Holder, Lease, Observer};
use crate::platform::{self, Failure};

/// The number of times an order is sent before it counts as failed.
const MAX_ATTEMPTS: u32 = 3;

/// Time limits and the load rate of orders.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The term of the lease.
    pub term: Duration,
    /// How long after its arrival an engine may begin to execute an order.
    pub lifetime: Duration,
    /// The delivery timeout, after which the connection is closed. The rule for engines that ignore fencing numbers
    /// assumes that no order arrives later.
    pub delivery: Duration,
    /// The transfer rate of the weight store, in bytes per second.
    pub store_rate: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(15),
            lifetime: Duration::from_secs(5),
            delivery: Duration::from_secs(2),
            store_rate: 1_000_000_000,
        }
    }
}

impl Limits {
    // Returns when the last order expires, measured from the write of the lease: orders are sent within the term.
    fn orders_end(&self) -> Duration {
        self.term + self.delivery + self.lifetime
    }
}

/// An order that an entry wants to issue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The id; an engine executes each id once.
    pub id: id::Order,
    /// The engine.
    pub target: Target,
    /// How the engine treats the fencing number.
    pub fencing: Fencing,
    /// The operation.
    pub kind: Kind,
    /// The model.
    pub model: Model,
    /// The version of the model.
    pub version: Version,
    /// The adapter, if the order concerns one.
    pub adapter: Option<String>,
    /// The new role, for [`Kind::Role`].
    pub role: Option<String>,
    /// The number of bytes that the engine fetches from the weight store.
    pub weight_bytes: u64,
}

/// The operation that an engine has to perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Load a version or an adapter.
    Load,
    /// Unload it.
    Unload,
    /// Change the role of the engine.
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
    /// The operation.
    pub kind: Kind,
    /// The model.
    pub model: Model,
    /// The version of the model.
    pub version: Version,
    /// The adapter, if the order concerns one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The new role, for [`Kind::Role`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// How long after its arrival the engine may begin to execute the order.
    #[serde(rename = "expires_in_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub expires_in: Duration,
}

/// Input of an [`Issuer`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A caller requests an order.
    Requested(Order),
    /// The lease object was read; `None` when it does not exist.
    Read(Result<Option<(platform::Version, Lease)>, Failure>),
    /// The lease object was written.
    Written(Result<platform::Version, Failure>),
    /// The result of sending an order to an engine.
    Sent(id::Order, Reply),
    /// The clock jumped or the process was paused.
    ClockJumped,
    /// A deadline passed.
    Tick,
}

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It executed the order.
    Executed,
    /// It refused the order because it has seen a higher fencing number.
    Fenced,
    /// It did not answer.
    Lost,
}

/// Output of an [`Issuer`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Read the lease object.
    Read,
    /// Write the lease object on condition that it has the given version, or create it.
    Write(Option<platform::Version>, Lease),
    /// Send an order to an engine.
    Send(Target, Body),
    /// Report the result of an order: `true` if it was executed.
    Report(id::Order, bool),
}

/// Issues orders while it holds the lease. It acquires the lease when an order is requested and releases it when idle.
#[derive(Debug)]
pub struct Issuer {
    entry: Entry,
    limits: Limits,
    holder: Holder,
    observer: Observer,
    // When the orders of previous holders have expired; orders to engines that ignore fencing numbers wait for this.
    previous_orders_end: Instant,
    waiting: VecDeque<Pending>,
    sent: BTreeMap<id::Order, Pending>,
    // When the last order sent by this entry expires.
    own_orders_end: Instant,
    next_load: Instant,
    call: Option<Call>,
    retry_at: Instant,
}

#[derive(Clone, Debug)]
struct Pending {
    order: Order,
    attempts: u32,
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
            previous_orders_end: Instant::ZERO,
            waiting: VecDeque::new(),
            sent: BTreeMap::new(),
            own_orders_end: Instant::ZERO,
            next_load: Instant::ZERO,
            call: None,
            retry_at: Instant::ZERO,
        }
    }

    /// Handles an event and returns the commands to execute.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        match event {
            Event::Requested(order) => self.waiting.push_back(Pending { order, attempts: 0 }),
            Event::Read(result) => self.read(now, result),
            Event::Written(result) => self.written(now, result),
            Event::Sent(id, reply) => commands.extend(self.handle_reply(id, reply)),
            // After a clock jump the age of earlier observations is unknown.
            Event::ClockJumped => self.clear_lease(),
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
        let orders = self.waiting.iter().map(|pending| self.ready_at(pending)).min();
        let orders = orders.filter(|_| renewal.is_some());
        self.call.is_none().then_some(call).into_iter().chain(orders).min()
    }

    /// Returns whether no order is waiting or in flight.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.sent.is_empty()
    }

    fn read(&mut self, now: Instant, result: Result<Option<(platform::Version, Lease)>, Failure>) {
        self.call = None;
        let Ok(found) = result else {
            self.retry_at = now + self.limits.term / 10;
            return;
        };
        self.observer.observe(now, found);
        let poll = now + self.limits.term / 3;
        self.retry_at = self
            .observer
            .expires_at()
            .map_or(now, |expires_at| expires_at.clamp(now, poll));
    }

    fn written(&mut self, now: Instant, result: Result<platform::Version, Failure>) {
        let Some(call) = self.call.take() else {
            return;
        };
        match (result, call) {
            (Ok(version), Call::Take | Call::Renew) => self.holder.renewed(version),
            (Ok(_), _) => self.clear_lease(),
            // A renewal whose result was lost may have taken effect. Its version, which is the fencing number, is then
            // unknown, so the lease has to be read and acquired again like that of another entry.
            (Err(_), _) => {
                self.clear_lease();
                self.retry_at = now + self.limits.term / 10;
            }
        }
    }

    fn clear_lease(&mut self) {
        self.holder.clear();
        self.observer = Observer::default();
    }

    fn handle_reply(&mut self, id: id::Order, reply: Reply) -> Option<Command> {
        let pending = self.sent.remove(&id)?;
        match reply {
            Reply::Executed => Some(Command::Report(id, true)),
            Reply::Fenced | Reply::Lost if pending.attempts >= MAX_ATTEMPTS => Some(Command::Report(id, false)),
            // This entry's own renewals increase the fencing number too, so a fenced order is sent again while the
            // lease is held.
            Reply::Fenced | Reply::Lost => {
                self.waiting.push_back(pending);
                None
            }
        }
    }

    fn ready_at(&self, pending: &Pending) -> Instant {
        let previous = match pending.order.fencing {
            Fencing::Checked => Instant::ZERO,
            Fencing::Ignored => self.previous_orders_end,
        };
        let load = if pending.order.weight_bytes > 0 {
            self.next_load
        } else {
            Instant::ZERO
        };
        previous.max(load)
    }

    fn send_due(&mut self, now: Instant) -> Vec<Command> {
        let mut commands = Vec::new();
        let Some(fencing) = self.holder.fencing(now) else {
            return commands;
        };
        while let Some(position) = self.waiting.iter().position(|pending| now >= self.ready_at(pending)) {
            commands.extend(
                self.waiting
                    .remove(position)
                    .map(|pending| self.send(now, pending, fencing)),
            );
        }
        commands
    }

    fn send(&mut self, now: Instant, mut pending: Pending, fencing: platform::Version) -> Command {
        pending.attempts += 1;
        self.own_orders_end = now + self.limits.delivery + self.limits.lifetime;
        if pending.order.weight_bytes > 0 {
            let seconds = pending.order.weight_bytes as f64 / self.limits.store_rate.max(1) as f64;
            self.next_load = self.next_load.max(now) + Duration::from_secs_f64(seconds);
        }
        let body = pending.order.body(fencing, self.limits.lifetime);
        let target = pending.order.target.clone();
        self.sent.insert(pending.order.id, pending);
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
                self.holder.clear();
                None
            }
            (None, false) => Some(self.acquire(now)),
        }
    }

    fn acquire(&mut self, now: Instant) -> Command {
        self.holder.clear();
        if let Some(base) = self.observer.acquirable(now) {
            self.previous_orders_end = self.previous_orders_end.max(self.observer.orders_end());
            return self.write(now, Call::Take, base);
        }
        self.call = Some(Call::Read);
        Command::Read
    }

    fn write(&mut self, now: Instant, call: Call, base: Option<platform::Version>) -> Command {
        self.holder.start_renewal(now);
        self.call = Some(call);
        let lease = Lease {
            holder: Some(self.entry.clone()),
            term: self.limits.term,
            orders_end: self.limits.orders_end().max(self.previous_orders_end.since(now)),
            tenure: None,
        };
        Command::Write(base, lease)
    }

    fn release(&mut self, now: Instant, version: platform::Version) -> Command {
        self.holder.clear();
        self.call = Some(Call::Release);
        let lease = Lease {
            holder: None,
            term: self.limits.term,
            orders_end: self.own_orders_end.max(self.previous_orders_end).since(now),
            tenure: None,
        };
        Command::Write(Some(version), lease)
    }
}

impl Order {
    fn body(&self, fencing: platform::Version, lifetime: Duration) -> Body {
        Body {
            order_id: self.id,
            fencing: fencing.as_u64(),
            kind: self.kind,
            model: self.model.clone(),
            version: self.version.clone(),
            adapter: self.adapter.clone(),
            role: self.role.clone(),
            expires_in: lifetime,
        }
    }
}
