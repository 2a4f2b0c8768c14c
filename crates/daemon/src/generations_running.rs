//! A running generation: its state machine, its engine connection and its timer.

use std::cell::{Cell, Ref, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::generation::{Command, Event, Gaps, Machine, Outcome};
use hawthornpost_core::id::{Account, Attempt, Branch, Request, Target};
use hawthornpost_core::wire::{Frame, Generate};
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::configuration::Current;
use crate::engine;
use crate::error::{Error, Result};
use crate::event;
use crate::generations::{Generations, Slot};
use crate::generations_attempt::{Connection, Start};
use crate::rollouts::{Observation, Origin, Rollouts};
use crate::routing::{Choice, Query, Routing};

/// The interval between two searches for a target.
const TARGET_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// The time after which a generation without a target fails. After the loss of an engine, output has to continue within
/// 5 s.
const TARGET_TIMEOUT: Duration = Duration::from_secs(5);
/// The timeout of a cancellation request to an engine.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// A generation state machine with its engine connection, its caller and its timer.
pub(crate) struct Running {
    pub(crate) request: Request,
    pub(crate) account: Account,
    /// Wakes the caller's stream when tokens have been released or the generation has ended.
    pub(crate) released: Notify,
    /// The number of the caller's latest connection, which replaces earlier ones.
    pub(crate) latest_reader: Cell<u64>,
    machine: RefCell<Machine>,
    connection: Slot,
    /// The engine that was selected when the generation was admitted.
    admitted: Cell<Option<Choice>>,
    choice: RefCell<Option<Choice>>,
    /// Whether the silence timeout of the current attempt was derived from measured gaps.
    has_measured_silence: Cell<bool>,
    /// Since when no target has been available.
    no_target_since: Cell<Option<Instant>>,
    /// When engines that had failed were last tried again.
    last_retry: Cell<Option<Instant>>,
    /// When the current attempt was opened, until its first token.
    opened_at: Cell<Option<Instant>>,
    /// Whether a failure of the current attempt has been reported.
    failure_reported: Cell<bool>,
    /// Whether a failure of this request has been recorded as a rollout sample. Repeated failures of one request are
    /// not independent: a request that no engine can serve must not count as many.
    failure_counted: Cell<bool>,
    /// The deadline that the timer task waits for.
    timer_deadline: Cell<Option<Instant>>,
    reschedule: Notify,
}

impl Running {
    pub(crate) fn new(request: Request, account: Account, machine: Machine, admitted: Option<Choice>) -> Self {
        Self {
            request,
            account,
            released: Notify::new(),
            latest_reader: Cell::new(0),
            machine: RefCell::new(machine),
            connection: RefCell::default(),
            admitted: Cell::new(admitted),
            choice: RefCell::default(),
            has_measured_silence: Cell::new(false),
            no_target_since: Cell::new(None),
            last_retry: Cell::new(None),
            opened_at: Cell::new(None),
            failure_reported: Cell::new(false),
            failure_counted: Cell::new(false),
            timer_deadline: Cell::new(None),
            reschedule: Notify::new(),
        }
    }

    pub(crate) fn machine(&self) -> Ref<'_, Machine> {
        self.machine.borrow()
    }

    pub(crate) fn reconnect_caller(&self, now: Instant, branch: Branch, next: u32) -> Result<()> {
        Ok(self.machine.borrow_mut().reconnect_caller(now, branch, next)?)
    }

    /// Triggers the deadlines of the state machine until it ends.
    pub(crate) async fn run_timer(self: Rc<Self>, generations: Rc<Generations>) {
        while self.machine().outcome().is_none() {
            let deadline = self.machine().deadline();
            self.timer_deadline.set(deadline);
            tokio::select! {
                () = wait(&generations, deadline) => {}
                () = self.reschedule.notified() => {}
            }
            let due = self.machine().deadline();
            if due.is_some_and(|due| due <= generations.now()) {
                generations.dispatch(&self, Event::Tick);
            }
        }
    }

    pub(crate) fn dispatch(self: &Rc<Self>, generations: &Rc<Generations>, event: Event) {
        let now = generations.now();
        let commands = self.machine.borrow_mut().handle(now, event);
        for command in commands {
            self.execute(generations, command);
        }
        // Most deadlines move back with each token; the timer task is only notified of earlier ones.
        let next = self.machine().deadline();
        if next.is_some_and(|next| {
            self.timer_deadline
                .get()
                .is_none_or(|timer_deadline| next < timer_deadline)
        }) {
            self.reschedule.notify_one();
        }
    }

    fn execute(self: &Rc<Self>, generations: &Rc<Generations>, command: Command) {
        match command {
            Command::ChooseTarget { failed } => self.choose_target(generations, &failed),
            Command::Open { target, attempt } => self.open(generations, &target, attempt),
            Command::Attach { attempt, from, .. } => self.attach(generations, attempt, from),
            Command::CancelAttempt {
                target,
                branch,
                attempt,
            } => self.cancel(generations, &target, branch, attempt),
            Command::Pause { attempt } => self.set_paused(attempt, true),
            Command::Unpause { attempt } => self.set_paused(attempt, false),
            Command::ChoosePeer { failed } => {
                let ranked = generations.replicas.ranked(&self.request);
                let peer = ranked.into_iter().find(|peer| !failed.contains(&peer.entry));
                let event = peer.map_or(Event::NoPeer, |peer| Event::PeerChosen { peer: peer.entry });
                self.dispatch(generations, event);
            }
            Command::Append { peer, sequence, append } => {
                generations.replicas.append(generations, self, peer, sequence, *append);
            }
            Command::DropReplica { peer, epoch } => generations.replicas.drop_replica(peer, self.request, epoch),
            Command::Release { finish, .. } => {
                self.no_target_since.set(None);
                if finish.is_some() {
                    self.record_completion(generations);
                }
                self.released.notify_one();
            }
            Command::RecordGap { target, gap } => {
                generations.observe(&target, gap);
                self.observe(generations, Observation::Gap(gap));
                self.update_silence_timeout(generations, &target);
            }
            Command::End(outcome) => self.end(generations, outcome),
        }
    }

    fn choose_target(self: &Rc<Self>, generations: &Rc<Generations>, failed: &[Target]) {
        let now = generations.now();
        let last = failed.last();
        let choice = self.admitted.take().or_else(|| self.query(generations, failed, last));
        let choice = choice.or_else(|| self.retry_failed_engines(generations, last));
        let event = if let Some(choice) = choice {
            let target = choice.target.clone();
            let silence = generations.silence_timeout(&target);
            self.has_measured_silence.set(silence.is_some());
            let silence = silence.unwrap_or_else(|| Gaps::new().silence_timeout());
            *self.choice.borrow_mut() = Some(choice);
            Event::TargetChosen {
                target,
                silence_timeout: silence,
            }
        } else {
            *self.choice.borrow_mut() = None;
            let since = self.no_target_since.get().unwrap_or(now);
            self.no_target_since.set(Some(since));
            let retry = self.has_targets(generations) && now - since < TARGET_TIMEOUT;
            Event::NoTarget {
                retry: retry.then_some(TARGET_RETRY_INTERVAL),
            }
        };
        self.dispatch(generations, event);
    }

    /// Replaces the conservative silence timeout of an attempt that was opened before enough gaps had been measured.
    fn update_silence_timeout(self: &Rc<Self>, generations: &Rc<Generations>, target: &Target) {
        if self.has_measured_silence.get() {
            return;
        }
        if let Some(silence) = generations.silence_timeout(target) {
            self.has_measured_silence.set(true);
            self.dispatch(generations, Event::SilenceTimeout(silence));
        }
    }

    fn query(&self, generations: &Generations, tried: &[Target], failed: Option<&Target>) -> Option<Choice> {
        let machine = self.machine();
        let completion = machine.completion();
        let query = Query {
            account: &self.account,
            model: &completion.model,
            version: &machine.origin().version,
            prompt: &completion.prompt,
            resumed_tokens: machine.transcript().len(),
            max_tokens: completion.max_tokens.unwrap_or(u32::MAX),
            priority: completion.priority.unwrap_or(0),
            tried,
            failed,
        };
        generations.context.component::<Routing>().engine(&query).ok()
    }

    /// Selects among the engines that failed before, because they may have recovered. At most one selection is made per
    /// [`TARGET_RETRY_INTERVAL`], because engines that return errors immediately would cause a tight loop.
    fn retry_failed_engines(&self, generations: &Generations, failed: Option<&Target>) -> Option<Choice> {
        let now = generations.now();
        let since = self.no_target_since.get()?;
        let last = self.last_retry.get().unwrap_or(since);
        if now - last < TARGET_RETRY_INTERVAL {
            return None;
        }
        self.last_retry.set(Some(now));
        self.query(generations, &[], failed)
    }

    fn has_targets(&self, generations: &Generations) -> bool {
        let document = generations.context.component::<Current>().document();
        let machine = self.machine();
        let (model, version) = (&machine.completion().model, &machine.origin().version);
        document.inventory.engines(model, version).next().is_some()
    }

    fn open(self: &Rc<Self>, generations: &Rc<Generations>, target: &Target, attempt: Attempt) {
        let Some(address) = self.choice.borrow().as_ref().map(|choice| choice.address) else {
            return;
        };
        self.opened_at.set(Some(generations.now()));
        self.failure_reported.set(false);
        self.observe(generations, Observation::Started);
        log::debug!("request {}: starting attempt {attempt} at {target}", self.request);
        let start = Start::Open(Box::new(self.generate(attempt)));
        self.connect(generations, attempt, address, start);
    }

    fn attach(self: &Rc<Self>, generations: &Rc<Generations>, attempt: Attempt, from: u32) {
        let Some(address) = self.choice.borrow().as_ref().map(|choice| choice.address) else {
            return;
        };
        let start = Start::Attach {
            request: self.engine_request_id(),
            from,
        };
        self.connect(generations, attempt, address, start);
    }

    fn connect(
        self: &Rc<Self>,
        generations: &Rc<Generations>,
        attempt: Attempt,
        address: std::net::SocketAddr,
        start: Start,
    ) {
        let connection = Connection::start(generations, self, attempt, address, start);
        *self.connection.borrow_mut() = Some(connection);
    }

    fn generate(&self, attempt: Attempt) -> Generate {
        let machine = self.machine();
        let completion = machine.completion();
        Generate {
            model: completion.model.clone(),
            version: machine.origin().version.clone(),
            prompt: completion.prompt.clone(),
            max_tokens: completion.max_tokens.unwrap_or(u32::MAX),
            stream: true,
            request_id: self.engine_request_id(),
            attempt,
            priority: completion.priority.unwrap_or(0),
            temperature: completion.temperature,
            resume_tokens: machine.transcript().ids().to_vec(),
        }
    }

    /// Returns the request id at engines, which is the id of the branch.
    fn engine_request_id(&self) -> Request {
        let branch = self.machine().branch();
        branch.map_or(self.request, |branch| Request::from_random(*branch.as_bytes()))
    }

    fn cancel(&self, generations: &Rc<Generations>, target: &Target, branch: Branch, attempt: Attempt) {
        let is_own = self.machine().branch() == Some(branch);
        if is_own {
            *self.connection.borrow_mut() = None;
            let is_failure = self.machine().outcome().is_none() && !self.machine().is_suspended();
            if is_failure {
                self.record_failure(
                    generations,
                    target,
                    &"the stream stopped or is corrupt",
                    Observation::Lost,
                );
            }
        }
        let document = generations.context.component::<Current>().document();
        let Some(address) = document.inventory.get(target).map(|item| item.address) else {
            return;
        };
        let id = Request::from_random(*branch.as_bytes());
        let generations = Rc::clone(generations);
        tokio::task::spawn_local(async move {
            let cancel = engine::cancel(address, id, attempt);
            let result = generations.context.timer().timeout(CANCEL_TIMEOUT, cancel).await;
            if let Some(Err(error)) = result {
                log::debug!("cannot cancel request {id} at {address}: {error}");
            }
        });
    }

    fn set_paused(&self, attempt: Attempt, paused: bool) {
        let connection = self.connection.borrow();
        if let Some(connection) = connection.as_ref().filter(|current| current.attempt() == attempt) {
            connection.set_paused(paused);
        }
    }

    /// Records tokens of an attempt.
    pub(crate) fn record_frame(&self, generations: &Generations, frame: &Frame) {
        let tokens = u32::try_from(frame.tokens.len()).unwrap_or(u32::MAX);
        if let Some(choice) = self.choice.borrow_mut().as_mut()
            && !choice.record_tokens(tokens)
        {
            log::debug!(
                "request {}: {} has no capacity for the rest of the answer",
                self.request,
                choice.target
            );
        }
        if let Some(opened) = self.opened_at.take() {
            self.observe(generations, Observation::FirstToken(generations.now() - opened));
        }
    }

    fn record_completion(&self, generations: &Generations) {
        self.observe(generations, Observation::Finished);
        if let Some(choice) = self.choice.borrow().as_ref() {
            choice.record_completion();
        }
    }

    /// Reports a failed connection of an attempt to the event log, routing and rollouts.
    pub(crate) fn record_closed(&self, generations: &Generations, error: &Error, observation: Observation) {
        if let Some(choice) = self.choice.borrow().as_ref().filter(|_| error.is_leaving()) {
            choice.mark_leaving();
        }
        let target = self.machine().target().cloned();
        if let Some(target) = target {
            self.record_failure(generations, &target, error, observation);
        }
    }

    fn record_failure(
        &self,
        generations: &Generations,
        target: &Target,
        error: &dyn fmt::Display,
        observation: Observation,
    ) {
        if self.failure_reported.replace(true) {
            return;
        }
        self.observe_at(generations, target, observation);
        event::Event::AttemptFailed {
            request: &self.request,
            target: &target,
            error,
        }
        .log();
    }

    fn observe(&self, generations: &Generations, observation: Observation) {
        let target = self.machine().target().cloned();
        if let Some(target) = target {
            self.observe_at(generations, &target, observation);
        }
    }

    fn observe_at(&self, generations: &Generations, target: &Target, observation: Observation) {
        if observation == Observation::Failed && self.failure_counted.replace(true) {
            return;
        }
        let machine = self.machine();
        let origin = Origin {
            account: &self.account,
            model: &machine.completion().model,
            version: &machine.origin().version,
            target,
        };
        generations.context.component::<Rollouts>().observe(origin, observation);
    }

    fn end(&self, generations: &Generations, outcome: Outcome) {
        *self.connection.borrow_mut() = None;
        *self.choice.borrow_mut() = None;
        generations.remove(self, outcome);
        log::debug!("request {}: ended with {outcome:?}", self.request);
        self.released.notify_one();
        self.reschedule.notify_one();
    }

    pub(crate) fn dump(&self, now: Instant) -> Value {
        let machine = self.machine();
        let millis = machine.time_without_replica(now).as_millis();
        json!({
            "request": self.request,
            "account": self.account,
            "epoch": machine.epoch(),
            "attempt": machine.attempt(),
            "target": machine.target(),
            "replica": machine.peer(),
            "tokens": machine.transcript().len(),
            "released": machine.released(),
            "read": machine.read(),
            "backlog_bytes": machine.backlog().bytes(),
            "suspended": machine.is_suspended(),
            "without_replica_ms": u64::try_from(millis).unwrap_or(u64::MAX),
        })
    }
}

async fn wait(generations: &Generations, deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => generations.context.timer().sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
