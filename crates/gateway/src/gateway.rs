//! Shared state of a gateway process.

mod admission;
mod body_bytes;
mod configuration;
mod connections_share;
mod duties;
mod reservation;
mod rollouts;
mod targets;
mod usage;
mod watcher;

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_daemon::timer::Timer;
use tokio::sync::{Notify, watch};

use crate::budget::Budget;
use crate::config::{Config, Limits};
use crate::connections;
use crate::deputies::Deputies;
use crate::dialect::Dialect;
use crate::duty;
use crate::fleet::Fleet;
use crate::idle_timer;
use crate::load::Load;
use crate::overload::Overload;
use crate::peers::Peers;
use crate::quarantine_shared;
use crate::response_memory::Pool;
use crate::response_times::Times;
use crate::rollouts::Rollouts;
use crate::route::Table;
use crate::settings::{LimitSettings, Settings};
use crate::state_sender::Sender;
use crate::successor::Replacement;
use crate::usage::Shared;

pub use admission::Admission;
pub use body_bytes::BodyBytes;
pub use reservation::Reservation;

/// The shared state of a process; all tasks run on one single-threaded event loop.
pub struct Gateway {
    settings: Settings,
    limits: Cell<LimitSettings>,
    timer: Timer,
    idle_timer: idle_timer::Timer,
    dialect: Box<dyn Dialect>,
    config: RefCell<Option<Rc<Config>>>,
    state_sender: Sender,
    table: RefCell<Rc<Table>>,
    fleet: RefCell<Fleet>,
    connections: connections::Shared,
    fleet_revision: Cell<u64>,
    is_fleet_known: Cell<bool>,
    is_store_unreachable: Cell<bool>,
    /// When this host was last among the watchers.
    last_watcher_at: Cell<Option<Instant>>,
    /// Until when this host watches in place of watchers that send no updates.
    deputy_until: Cell<Instant>,
    /// The hosts that watch in place of silent watchers.
    deputies: RefCell<Deputies>,
    replaced: RefCell<Vec<Replacement>>,
    budget: RefCell<Budget>,
    rollouts: RefCell<Rollouts>,
    /// The end of the last pause of the process for which the trials were made to wait.
    handled_pause: Cell<Option<Instant>>,
    /// Wakes the task that reads rollout orders from the store.
    orders_outdated: Notify,
    quarantine: quarantine_shared::Shared,
    /// The lease of the duties; `None` if this deployment has none.
    duties: Option<duty::State>,
    peers: Peers,
    phase: watch::Sender<Phase>,
    /// The deadline of the open requests of a stopping process.
    shutdown_deadline: Cell<Option<Instant>>,
    open_connections: Cell<usize>,
    open_requests: Cell<usize>,
    body_bytes: Cell<usize>,
    response_memory: Arc<Pool>,
    response_times: RefCell<Times>,
    overload: RefCell<Overload>,
    usage: Option<Shared>,
}

/// The lifecycle phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The process accepts new requests.
    Running,
    /// The process drains: callers are directed to other hosts. Requests that still arrive are served, new streams are
    /// refused.
    Leaving,
    /// New requests are refused, and streams that cannot complete in time are aborted.
    Ending,
    /// No connections are accepted any more.
    Closed,
}

impl Gateway {
    /// Creates the state of a process that has no configuration and no targets yet.
    pub fn new(settings: Settings, dialect: impl Dialect + 'static) -> Rc<Self> {
        let idle_timer = idle_timer::Timer::default();
        idle_timer.set_idle_timeout(Limits::default().idle_timeout);
        Rc::new(Self {
            timer: Timer::new(),
            idle_timer,
            dialect: Box::new(dialect),
            config: RefCell::default(),
            state_sender: Sender::default(),
            table: RefCell::default(),
            fleet: RefCell::new(Fleet::new(rand::random())),
            connections: connections::Shared::default(),
            fleet_revision: Cell::default(),
            is_fleet_known: Cell::default(),
            is_store_unreachable: Cell::default(),
            last_watcher_at: Cell::default(),
            deputy_until: Cell::default(),
            deputies: RefCell::default(),
            replaced: RefCell::default(),
            budget: RefCell::new(Budget::new(settings.limits.retries)),
            rollouts: RefCell::new(Rollouts::new(settings.rollouts, rand::random())),
            handled_pause: Cell::default(),
            orders_outdated: Notify::new(),
            quarantine: quarantine_shared::Shared::new(),
            duties: settings
                .duties
                .as_ref()
                .map(|duties| duty::State::new(&settings.entry.name, duties)),
            peers: Peers::new(&settings),
            phase: watch::Sender::new(Phase::Running),
            shutdown_deadline: Cell::default(),
            open_connections: Cell::default(),
            open_requests: Cell::default(),
            body_bytes: Cell::default(),
            response_memory: Arc::default(),
            response_times: RefCell::default(),
            overload: RefCell::default(),
            usage: Shared::new(&settings),
            limits: Cell::new(settings.limits),
            settings,
        })
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the current limits, which a reload may change.
    pub fn limits(&self) -> LimitSettings {
        self.limits.get()
    }

    /// Replaces the limits.
    pub(crate) fn set_limits(&self, limits: LimitSettings) {
        self.limits.set(limits);
        self.budget.borrow_mut().set_allowance(limits.retries);
    }

    /// Returns the timer service.
    pub fn timer(&self) -> &Timer {
        &self.timer
    }

    /// Returns the timer of idle connections.
    pub(crate) fn idle_timer(&self) -> &idle_timer::Timer {
        &self.idle_timer
    }

    /// Returns the current time on the monotonic clock of the process.
    pub fn now(&self) -> Instant {
        self.timer.now()
    }

    /// Returns the adapter for the platform's header names and formats.
    pub fn dialect(&self) -> &dyn Dialect {
        &*self.dialect
    }

    /// Returns the sender of state to peers.
    pub(crate) fn state_sender(&self) -> &Sender {
        &self.state_sender
    }

    /// Returns the targets.
    pub fn fleet(&self) -> &RefCell<Fleet> {
        &self.fleet
    }

    /// Returns the store revision of the known targets.
    pub fn fleet_revision(&self) -> u64 {
        self.fleet_revision.get()
    }

    /// Records the store revision up to which the targets are known.
    pub fn set_fleet_revision(&self, revision: u64) {
        self.fleet_revision.set(self.fleet_revision.get().max(revision));
        self.is_fleet_known.set(true);
        self.peers.set_revision(self.fleet_revision.get());
        self.publish_readiness();
    }

    /// Returns the overload of services.
    pub(crate) fn overload(&self) -> &RefCell<Overload> {
        &self.overload
    }

    /// Returns the retry budget.
    pub fn budget(&self) -> &RefCell<Budget> {
        &self.budget
    }

    /// Returns the rollouts, which move services to other versions.
    pub fn rollouts(&self) -> &RefCell<Rollouts> {
        &self.rollouts
    }

    /// Returns the parts of prompts that crash engines.
    pub(crate) fn quarantine(&self) -> &quarantine_shared::Shared {
        &self.quarantine
    }

    /// Counts a request for a service, which adds to its retry budget.
    pub(crate) fn record_request(&self, service: &str) {
        self.budget.borrow_mut().record_request(self.now(), service);
        self.update_connection_shares();
    }

    /// Takes a retry from the budget of a service; returns whether there was one.
    #[must_use = "a request must not be retried without budget"]
    pub(crate) fn try_retry(&self, service: &str) -> bool {
        let hosts = self.peers.live_hosts();
        self.budget.borrow_mut().try_retry(self.now(), service, hosts)
    }

    /// Returns the other entry hosts.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Returns whether this host accepts new requests: it has a configuration and targets and is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Running && self.config_version() > 0 && self.is_fleet_known.get()
    }

    /// Returns the lifecycle phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns a receiver of the lifecycle phase.
    pub fn watch_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Moves to a later phase.
    pub fn advance(&self, phase: Phase) {
        self.phase.send_replace(phase);
        self.publish_readiness();
    }

    fn publish_readiness(&self) {
        self.peers.set_draining(!self.is_ready());
    }

    /// Records the time from a request for a service to its response.
    pub(crate) fn record_response_time(&self, service: &str, took: Duration) {
        self.response_times.borrow_mut().record(service, took);
    }

    /// Returns the time within which a request for a service is expected to be answered, by the responses to this host.
    pub(crate) fn expected_response_time(&self, service: &str) -> Option<Duration> {
        self.response_times.borrow().expected(service)
    }

    /// Returns the mean time from a request for a service to its response; `None` before the first response.
    pub(crate) fn usual_response_time(&self, service: &str) -> Option<Duration> {
        self.response_times.borrow().mean(service)
    }

    /// Returns whether this process stops before a request for a service is expected to be answered. `objective` is
    /// expected before the first response.
    pub(crate) fn stops_before_response(&self, service: &str, objective: Duration) -> bool {
        let expected = self.response_times.borrow().expected(service).unwrap_or(objective);
        let deadline = self.shutdown_deadline.get();
        deadline.is_some_and(|deadline| deadline.since(self.now()) < expected)
    }

    /// Sets the deadline of the open requests of a stopping process.
    pub(crate) fn set_shutdown_deadline(&self, deadline: Instant) {
        self.shutdown_deadline.set(Some(deadline));
    }

    /// Returns the deadline of the open requests of a stopping process; `None` while it is not stopping.
    pub(crate) fn shutdown_deadline(&self) -> Option<Instant> {
        self.shutdown_deadline.get()
    }

    pub(crate) fn count_connection(&self, change: isize) {
        self.open_connections
            .set(self.open_connections.get().saturating_add_signed(change));
    }

    /// Returns the number of open connections of callers.
    pub(crate) fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Counts an open request until the returned guard is dropped.
    pub fn admit(self: &Rc<Self>) -> Admission {
        self.open_requests.set(self.open_requests.get() + 1);
        Admission {
            gateway: Rc::clone(self),
        }
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Adds load to a target until the returned guard is dropped.
    pub fn reserve(self: &Rc<Self>, target: &str, load: Load) -> Reservation {
        self.fleet.borrow_mut().add_load(target, load);
        self.report_load(load);
        Reservation {
            gateway: Rc::clone(self),
            target: target.to_owned(),
            load,
        }
    }

    /// Reserves memory for a request body; returns `None` if the process would buffer too many bytes.
    pub fn reserve_body(self: &Rc<Self>, bytes: usize) -> Option<BodyBytes> {
        let mut reserved = BodyBytes {
            gateway: Rc::clone(self),
            bytes: 0,
        };
        reserved.grow_to(bytes).then_some(reserved)
    }

    /// Returns the memory of buffered responses.
    pub fn response_memory(&self) -> &Arc<Pool> {
        &self.response_memory
    }

    /// Wakes the load reporter for streams: a single host serves too few of them to balance them well without the load of
    /// its peers.
    fn report_load(&self, load: Load) {
        if load.streams > 0 || load.memory_tokens > 0 {
            self.peers.wake_loads();
        }
    }
}

impl fmt::Debug for Gateway {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gateway")
            .field("entry", &self.settings.entry.name)
            .field("phase", &self.phase())
            .finish_non_exhaustive()
    }
}
