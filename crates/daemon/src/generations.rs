//! Running generations: passes events to their state machines and executes the resulting commands.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::backlog::{self, Budget};
use hawthornpost_core::clock::Instant;
use hawthornpost_core::generation::{self, Event, Gaps, Machine, Outcome, Settings};
use hawthornpost_core::handle::{Handle, Key};
use hawthornpost_core::id::{Account, Branch, Request, Target};
use hawthornpost_core::replica::{Grant, Refusal, Takeover};
use linkme::distributed_slice;
use serde_json::{Value, json};

use crate::error::{Error, Result};
use crate::generations_attempt::Connection;
use crate::generations_replica::{self, Replicas};
use crate::generations_running::Running;
use crate::kernel::{Context, Phase};
use crate::limits::Limits;
use crate::plugin::{PLUGINS, Plugin, Stage};
use crate::routing::{Choice, Query, Routing};

/// The time after which an incomplete generation fails.
const GENERATION_TIMEOUT: Duration = Duration::from_secs(3600);
/// The largest number of peers that a handle names; up to twice as many are queried for a replica.
const MAX_REPLICA_PEERS: usize = 4;
/// The retry delay for callers when no replica could be reached.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// All generations that this entry host serves.
pub struct Generations {
    pub(crate) context: Rc<Context>,
    pub(crate) budget: Budget,
    pub(crate) replicas: Rc<Replicas>,
    settings: Settings,
    key: Key,
    running: RefCell<HashMap<Request, Rc<Running>>>,
    by_backlog: RefCell<HashMap<backlog::Key, Request>>,
    gaps: RefCell<HashMap<Target, Gaps>>,
    all_gaps: RefCell<Gaps>,
    /// The last pause of the process that the state machines were notified of.
    handled_pause: Cell<Option<Instant>>,
    ended: RefCell<HashMap<Outcome, u64>>,
    without_replica: Cell<Duration>,
}

impl Generations {
    /// Returns the current time.
    pub(crate) fn now(&self) -> Instant {
        self.context.timer().now()
    }

    /// Returns how long a target may be silent, if enough gaps have been measured. While there are few for the target
    /// itself, the gaps of all targets are used; a false alarm costs one attach request.
    pub(crate) fn silence_timeout(&self, target: &Target) -> Option<Duration> {
        let own = self.gaps.borrow().get(target).and_then(measured_silence);
        own.or_else(|| measured_silence(&self.all_gaps.borrow()))
    }

    /// Records a gap between two frames of a target.
    pub(crate) fn observe(&self, target: &Target, gap: Duration) {
        self.all_gaps.borrow_mut().record(gap);
        let mut gaps = self.gaps.borrow_mut();
        match gaps.get_mut(target) {
            Some(gaps) => gaps.record(gap),
            None => gaps.entry(target.clone()).or_default().record(gap),
        }
    }

    /// Starts a generation if an engine has capacity for it.
    ///
    /// # Errors
    ///
    /// Fails with a retry delay when no engine has capacity or the account's share is used up.
    pub(crate) fn start(self: &Rc<Self>, request: generation::Request) -> Result<Rc<Running>> {
        let admitted = self.admit(&request)?;
        let request = generation::Request {
            remaining: GENERATION_TIMEOUT,
            ..request
        };
        let (id, account, now) = (request.id, request.account.clone(), self.now());
        let backlog = self.budget.open(account.clone(), now);
        let machine = Machine::new(now, self.settings, request, backlog);
        Ok(self.register(Running::new(id, account, machine, Some(admitted))))
    }

    /// Selects the engine of the first attempt before the response begins, so that a refusal has its own status code.
    fn admit(&self, request: &generation::Request) -> Result<Choice> {
        let completion = &request.completion;
        self.context.component::<Routing>().engine(&Query {
            account: &request.account,
            model: &completion.model,
            version: &request.version,
            prompt: &completion.prompt,
            resumed_tokens: 0,
            max_tokens: request.max_tokens,
            priority: completion.priority.unwrap_or(0),
            tried: &[],
            failed: None,
        })
    }

    /// Connects a caller to its generation. A generation that does not run here is taken over from a replica.
    ///
    /// # Errors
    ///
    /// Fails when the handle is invalid, when no replica can continue the answer, and with a retry delay when a peer
    /// that may hold a replica cannot be reached.
    pub(crate) async fn resume(self: &Rc<Self>, account: &Account, handle: &str, next: u32) -> Result<Rc<Running>> {
        let handle = self.key.check(handle, account)?;
        if let Some(running) = self.find(&handle.request, account) {
            let returned = running.reconnect_caller(self.now(), handle.branch, next);
            if returned.is_ok() {
                self.dispatch(&running, Event::Tick);
                return Ok(running);
            }
        }
        if !self.context.component::<Limits>().is_ready() {
            // After a takeover here, the caller would wait for capacity, while another entry host can continue at once.
            return Err(Error::not_ready(RETRY_AFTER));
        }
        let grant = self.take_over(&handle, next).await?;
        let backlog = self.budget.open(account.clone(), self.now());
        let max_tokens = grant.origin.completion.max_tokens.unwrap_or(u32::MAX);
        let (now, id) = (self.now(), handle.request);
        let machine = Machine::take_over(now, self.settings, id, grant, max_tokens, next, backlog)?;
        if let Some(replaced) = self.find(&handle.request, account) {
            self.dispatch(&replaced, Event::Cancel);
        }
        Ok(self.register(Running::new(id, account.clone(), machine, None)))
    }

    /// Returns a generation of the account, if it runs here.
    pub(crate) fn find(&self, request: &Request, account: &Account) -> Option<Rc<Running>> {
        let running = self.running.borrow();
        let found = running.get(request).filter(|running| running.account == *account);
        found.map(Rc::clone)
    }

    /// Builds the handle with which a caller can resume a generation at another entry host.
    pub(crate) fn handle(&self, running: &Running) -> Option<String> {
        let branch = running.machine().branch()?;
        let peers = self.replicas.ranked(&running.request);
        let handle = Handle {
            request: running.request,
            account: running.account.clone(),
            branch,
            peers: peers
                .into_iter()
                .take(MAX_REPLICA_PEERS)
                .map(|peer| peer.entry)
                .collect(),
        };
        Some(self.key.sign(&handle))
    }

    /// Passes an event to a state machine and executes its commands.
    pub(crate) fn dispatch(self: &Rc<Self>, running: &Rc<Running>, event: Event) {
        self.handle_pause();
        running.dispatch(self, event);
    }

    /// Suspends the stream that has been stalled longest when the process is close to its memory limit.
    pub(crate) fn suspend_stalled(self: &Rc<Self>) {
        let key = self.budget.next_to_suspend();
        let request = key.and_then(|key| self.by_backlog.borrow().get(&key).copied());
        let running = request.and_then(|request| self.running.borrow().get(&request).map(Rc::clone));
        if let Some(running) = running {
            running.dispatch(self, Event::Suspend);
        }
    }

    /// Removes a generation that has ended.
    pub(crate) fn remove(&self, running: &Running, outcome: Outcome) {
        let machine = running.machine();
        self.by_backlog.borrow_mut().remove(&machine.backlog().key());
        *self.ended.borrow_mut().entry(outcome).or_default() += 1;
        let without = self.without_replica.get() + machine.time_without_replica(self.now());
        self.without_replica.set(without);
        let mut all = self.running.borrow_mut();
        let is_current = all
            .get(&running.request)
            .is_some_and(|current| std::ptr::eq(&raw const **current, running));
        if is_current {
            all.remove(&running.request);
        }
    }

    fn register(self: &Rc<Self>, running: Running) -> Rc<Running> {
        let (request, key) = (running.request, running.machine().backlog().key());
        let running = Rc::new(running);
        self.by_backlog.borrow_mut().insert(key, request);
        self.running.borrow_mut().insert(request, Rc::clone(&running));
        tokio::task::spawn_local(Rc::clone(&running).run_timer(Rc::clone(self)));
        self.dispatch(&running, Event::Begin);
        running
    }

    async fn take_over(&self, handle: &Handle, next: u32) -> Result<Grant> {
        let takeover = Takeover {
            request: handle.request,
            account: handle.account.clone(),
            branch: handle.branch,
            next,
            new_branch: Branch::from_random(rand::random()),
        };
        let mut unreachable = None;
        for holder in self.replicas.holders(handle, MAX_REPLICA_PEERS) {
            match self.replicas.take_over(holder.as_ref(), &takeover).await {
                Ok(Ok(grant)) => return Ok(grant),
                Ok(Err(refusal)) => log::debug!(
                    "request {}: a replica refused the takeover: {refusal:?}",
                    handle.request
                ),
                Err(error) => unreachable = Some(error),
            }
        }
        Err(match unreachable {
            Some(error) => Error::unavailable(format!("a peer with the answer does not reply: {error}"), RETRY_AFTER),
            None => Error::conflict(
                format!("no copy of request {} continues at token {next}", handle.request),
                "start a new request; what was read so far cannot be continued",
            ),
        })
    }

    /// Notifies all state machines of a pause of the process before any of them handles another event.
    fn handle_pause(self: &Rc<Self>) {
        let pause = self.context.timer().last_pause();
        if pause == self.handled_pause.replace(pause) {
            return;
        }
        for running in self.all() {
            running.dispatch(self, Event::ClockJump);
        }
    }

    pub(crate) fn all(&self) -> Vec<Rc<Running>> {
        self.running.borrow().values().map(Rc::clone).collect()
    }

    fn dump(&self) -> Value {
        let now = self.now();
        let running = self.all();
        let list = running.iter().map(|running| running.dump(now)).collect::<Vec<_>>();
        let ended = self.ended.borrow();
        let ended = ended
            .iter()
            .map(|(outcome, count)| (format!("{outcome:?}"), json!(count)));
        let store = self.replicas.store();
        json!({
            "running": list,
            "ended": ended.collect::<serde_json::Map<_, _>>(),
            "backlog_bytes": self.budget.bytes(),
            "backlog_peak_bytes": self.budget.peak(),
            "replicas": store.len(),
            "replica_bytes": store.bytes(),
            "ended_without_replica_ms": u64::try_from(self.without_replica.get().as_millis()).unwrap_or(u64::MAX),
        })
    }
}

impl fmt::Debug for Generations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Generations")
            .field("running", &self.running.borrow().len())
            .finish_non_exhaustive()
    }
}

#[distributed_slice(PLUGINS)]
static GENERATIONS: Plugin = Plugin {
    name: "generations",
    stage: Stage::Processing,
    start,
};

#[expect(clippy::unnecessary_wraps, reason = "the signature of all plug-ins")]
fn start(context: &Rc<Context>) -> Result<()> {
    let limits = &context.settings().limits;
    let bounds = backlog::Limits {
        stream: limits.stream_bytes,
        account: limits.process_bytes / 2,
        process: limits.process_bytes,
    };
    let generations = Rc::new(Generations {
        context: Rc::clone(context),
        budget: Budget::new(bounds),
        replicas: generations_replica::start(context),
        settings: Settings {
            caller_grace: limits.caller_grace,
            ..Settings::default()
        },
        key: Key::new(context.settings().peers.key.expose().as_bytes()),
        running: RefCell::default(),
        by_backlog: RefCell::default(),
        gaps: RefCell::default(),
        all_gaps: RefCell::default(),
        handled_pause: Cell::new(None),
        ended: RefCell::default(),
        without_replica: Cell::default(),
    });
    context.provide(Rc::clone(&generations));
    let dumped = Rc::clone(&generations);
    context.register_dump("generations", move || dumped.dump());
    tokio::task::spawn_local(hand_over_on_shutdown(generations));
    Ok(())
}

fn measured_silence(gaps: &Gaps) -> Option<Duration> {
    gaps.p99().map(|_| gaps.silence_timeout())
}

/// Hands running streams over once the kernel reports that the drain limit has passed.
async fn hand_over_on_shutdown(generations: Rc<Generations>) {
    let mut phase = generations.context.watch_phase();
    if phase.wait_for(|phase| *phase >= Phase::HandingOver).await.is_err() {
        return;
    }
    for running in generations.all() {
        generations.dispatch(&running, Event::Leave);
    }
}

/// The result of a `replica_take` call.
pub(crate) type Taken = std::result::Result<Grant, Refusal>;

/// The connection of the current attempt, for [`Running`].
pub(crate) type Slot = RefCell<Option<Connection>>;
