//! One running generation.

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

/// The time after which a target is looked for again.
const TARGET_RETRY: Duration = Duration::from_millis(200);
/// The time after which a generation fails that finds no target; after a loss the output has to go on within 5 s.
const TARGET_LIMIT: Duration = Duration::from_secs(5);
/// The time limit of a cancellation at an engine.
const CANCEL_LIMIT: Duration = Duration::from_secs(2);

/// A machine with what it needs of the outside: connections, its caller and a timer.
pub(crate) struct Running {
    pub(crate) request: Request,
    pub(crate) account: Account,
    /// Wakes the caller's stream when tokens were released or the generation ended.
    pub(crate) released: Notify,
    /// The number of the caller's latest connection; earlier ones stop.
    pub(crate) reader: Cell<u64>,
    machine: RefCell<Machine>,
    connection: Slot,
    /// The engine that was chosen before the generation began.
    admitted: Cell<Option<Choice>>,
    choice: RefCell<Option<Choice>>,
    /// Whether the silence limit of the current attempt is from known gaps.
    silence_is_known: Cell<bool>,
    /// Since when no target is found.
    lacking: Cell<Option<Instant>>,
    /// When engines that had failed were last asked again.
    asked_again: Cell<Option<Instant>>,
    /// When the current attempt was opened, until its first token.
    opened: Cell<Option<Instant>>,
    /// Whether the failure of the current attempt was reported.
    reported: Cell<bool>,
    /// Whether a failure of this request was counted as evidence. Repeated failures of one request are not independent:
    /// a request that no engine can serve must not look like many.
    counted: Cell<bool>,
    /// The deadline that the timer waits for.
    armed: Cell<Option<Instant>>,
    rearm: Notify,
}

impl Running {
    pub(crate) fn new(request: Request, account: Account, machine: Machine, admitted: Option<Choice>) -> Self {
        Self {
            request,
            account,
            released: Notify::new(),
            reader: Cell::new(0),
            machine: RefCell::new(machine),
            connection: RefCell::default(),
            admitted: Cell::new(admitted),
            choice: RefCell::default(),
            silence_is_known: Cell::new(false),
            lacking: Cell::new(None),
            asked_again: Cell::new(None),
            opened: Cell::new(None),
            reported: Cell::new(false),
            counted: Cell::new(false),
            armed: Cell::new(None),
            rearm: Notify::new(),
        }
    }

    pub(crate) fn machine(&self) -> Ref<'_, Machine> {
        self.machine.borrow()
    }

    pub(crate) fn return_caller(&self, now: Instant, branch: Branch, next: u32) -> Result<()> {
        Ok(self.machine.borrow_mut().return_caller(now, branch, next)?)
    }

    /// Wakes the machine at its deadlines until it ends.
    pub(crate) async fn keep_time(self: Rc<Self>, generations: Rc<Generations>) {
        while self.machine().outcome().is_none() {
            let deadline = self.machine().deadline();
            self.armed.set(deadline);
            tokio::select! {
                () = wait(&generations, deadline) => {}
                () = self.rearm.notified() => {}
            }
            let due = self.machine().deadline();
            if due.is_some_and(|due| due <= generations.now()) {
                generations.feed(&self, Event::Tick);
            }
        }
    }

    pub(crate) fn feed(self: &Rc<Self>, generations: &Rc<Generations>, event: Event) {
        let now = generations.now();
        let commands = self.machine.borrow_mut().handle(now, event);
        for command in commands {
            self.execute(generations, command);
        }
        // Most deadlines move away with each token; the timer is only told of nearer ones.
        let next = self.machine().deadline();
        if next.is_some_and(|next| self.armed.get().is_none_or(|armed| next < armed)) {
            self.rearm.notify_one();
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
                let event = peer.map_or(Event::NoPeer, |peer| Event::Peer { peer: peer.entry });
                self.feed(generations, event);
            }
            Command::Append { peer, ticket, append } => {
                generations.replicas.append(generations, self, peer, ticket, *append);
            }
            Command::DropCopy { peer, epoch } => generations.replicas.drop_copy(peer, self.request, epoch),
            Command::Release { finish, .. } => {
                self.lacking.set(None);
                if finish.is_some() {
                    self.note_finished(generations);
                }
                self.released.notify_one();
            }
            Command::Observe { target, gap } => {
                generations.observe(&target, gap);
                self.observe(generations, Observation::Gap(gap));
                self.learn_silence(generations, &target);
            }
            Command::End(outcome) => self.end(generations, outcome),
        }
    }

    fn choose_target(self: &Rc<Self>, generations: &Rc<Generations>, failed: &[Target]) {
        let now = generations.now();
        let last = failed.last();
        let choice = self.admitted.take().or_else(|| self.query(generations, failed, last));
        let choice = choice.or_else(|| self.query_again(generations, last));
        let event = if let Some(choice) = choice {
            let target = choice.target.clone();
            let silence = generations.silence(&target);
            self.silence_is_known.set(silence.is_some());
            let silence = silence.unwrap_or_else(|| Gaps::new().silence());
            *self.choice.borrow_mut() = Some(choice);
            Event::Chosen { target, silence }
        } else {
            *self.choice.borrow_mut() = None;
            let since = self.lacking.get().unwrap_or(now);
            self.lacking.set(Some(since));
            let retry = self.has_targets(generations) && now - since < TARGET_LIMIT;
            Event::NoTarget {
                retry: retry.then_some(TARGET_RETRY),
            }
        };
        self.feed(generations, event);
    }

    /// Replaces the cautious silence limit of an attempt that was opened before enough gaps were known.
    fn learn_silence(self: &Rc<Self>, generations: &Rc<Generations>, target: &Target) {
        if self.silence_is_known.get() {
            return;
        }
        if let Some(silence) = generations.silence(target) {
            self.silence_is_known.set(true);
            self.feed(generations, Event::Silence(silence));
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
            resumed_tokens: machine.tape().len(),
            max_tokens: completion.max_tokens.unwrap_or(u32::MAX),
            priority: completion.priority.unwrap_or(0),
            tried,
            failed,
        };
        generations.context.part::<Routing>().engine(&query).ok()
    }

    /// Chooses among the engines that failed already, because they may be back. Engines that answer with errors at once
    /// would be asked in a tight loop, so that this happens once in [`TARGET_RETRY`].
    fn query_again(&self, generations: &Generations, failed: Option<&Target>) -> Option<Choice> {
        let now = generations.now();
        let since = self.lacking.get()?;
        let last = self.asked_again.get().unwrap_or(since);
        if now - last < TARGET_RETRY {
            return None;
        }
        self.asked_again.set(Some(now));
        self.query(generations, &[], failed)
    }

    fn has_targets(&self, generations: &Generations) -> bool {
        let document = generations.context.part::<Current>().document();
        let machine = self.machine();
        let (model, version) = (&machine.completion().model, &machine.origin().version);
        document.inventory.engines(model, version).next().is_some()
    }

    fn open(self: &Rc<Self>, generations: &Rc<Generations>, target: &Target, attempt: Attempt) {
        let Some(address) = self.choice.borrow().as_ref().map(|choice| choice.address) else {
            return;
        };
        self.opened.set(Some(generations.now()));
        self.reported.set(false);
        self.observe(generations, Observation::Started);
        log::debug!("request {}: attempt {attempt} at {target}", self.request);
        let start = Start::Open(Box::new(self.generate(attempt)));
        self.connect(generations, attempt, address, start);
    }

    fn attach(self: &Rc<Self>, generations: &Rc<Generations>, attempt: Attempt, from: u32) {
        let Some(address) = self.choice.borrow().as_ref().map(|choice| choice.address) else {
            return;
        };
        let start = Start::Attach {
            request: self.engine_id(),
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
            request_id: self.engine_id(),
            attempt,
            priority: completion.priority.unwrap_or(0),
            temperature: completion.temperature,
            resume_tokens: machine.tape().ids().to_vec(),
        }
    }

    /// Engines know the generation by the id of its branch.
    fn engine_id(&self) -> Request {
        let branch = self.machine().branch();
        branch.map_or(self.request, |branch| Request::from_random(*branch.as_bytes()))
    }

    fn cancel(&self, generations: &Rc<Generations>, target: &Target, branch: Branch, attempt: Attempt) {
        let is_own = self.machine().branch() == Some(branch);
        if is_own {
            *self.connection.borrow_mut() = None;
            let wanted = self.machine().outcome().is_none() && !self.machine().is_suspended();
            if wanted {
                self.note_failure(
                    generations,
                    target,
                    &"it is silent or its stream is faulty",
                    Observation::Lost,
                );
            }
        }
        let document = generations.context.part::<Current>().document();
        let Some(address) = document.inventory.get(target).map(|item| item.address) else {
            return;
        };
        let id = Request::from_random(*branch.as_bytes());
        let generations = Rc::clone(generations);
        tokio::task::spawn_local(async move {
            let cancel = engine::cancel(address, id, attempt);
            let result = generations.context.timer().limit(CANCEL_LIMIT, cancel).await;
            if let Some(Err(error)) = result {
                log::debug!("cannot cancel request {id}: {error}");
            }
        });
    }

    fn set_paused(&self, attempt: Attempt, paused: bool) {
        let connection = self.connection.borrow();
        if let Some(connection) = connection.as_ref().filter(|current| current.attempt() == attempt) {
            connection.set_paused(paused);
        }
    }

    /// Notes tokens of an attempt.
    pub(crate) fn note_frame(&self, generations: &Generations, frame: &Frame) {
        let tokens = u32::try_from(frame.tokens.len()).unwrap_or(u32::MAX);
        if let Some(choice) = self.choice.borrow_mut().as_mut()
            && !choice.produced(tokens)
        {
            log::debug!("{} has no room for the rest of an answer", choice.target);
        }
        if let Some(opened) = self.opened.take() {
            self.observe(generations, Observation::FirstToken(generations.now() - opened));
        }
    }

    fn note_finished(&self, generations: &Generations) {
        self.observe(generations, Observation::Finished);
        if let Some(choice) = self.choice.borrow().as_ref() {
            choice.finished();
        }
    }

    /// Tells operators, routing and rollouts that the connection of an attempt failed.
    pub(crate) fn note_closed(&self, generations: &Generations, error: &Error, observation: Observation) {
        if let Some(choice) = self.choice.borrow().as_ref().filter(|_| error.is_leaving()) {
            choice.refused_as_leaving();
        }
        let target = self.machine().target().cloned();
        if let Some(target) = target {
            self.note_failure(generations, &target, error, observation);
        }
    }

    fn note_failure(
        &self,
        generations: &Generations,
        target: &Target,
        error: &dyn fmt::Display,
        observation: Observation,
    ) {
        if self.reported.replace(true) {
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
        if observation == Observation::Failed && self.counted.replace(true) {
            return;
        }
        let machine = self.machine();
        let origin = Origin {
            account: &self.account,
            model: &machine.completion().model,
            version: &machine.origin().version,
            target,
        };
        generations.context.part::<Rollouts>().observe(origin, observation);
    }

    fn end(&self, generations: &Generations, outcome: Outcome) {
        *self.connection.borrow_mut() = None;
        *self.choice.borrow_mut() = None;
        generations.remove(self, outcome);
        log::debug!("request {}: {outcome:?}", self.request);
        self.released.notify_one();
        self.rearm.notify_one();
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
            "tokens": machine.tape().len(),
            "released": machine.released(),
            "read": machine.read(),
            "backlog_bytes": machine.backlog().held(),
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
