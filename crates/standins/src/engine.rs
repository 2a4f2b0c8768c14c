//! A stand-in for a model engine.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hawthornpost_core::id::{Attempt, Model, Request, Version};
use hawthornpost_core::wire::{Finish, Generate, Load, Token};
use rand::RngExt;
use serde_json::{Value, json};
use tokio::sync::{Notify, watch};

use crate::engine_cache::Cache;
pub use crate::engine_cache::block_hashes;
use crate::fault::{Exit, Injector};
use crate::server::{self, Handle};
use crate::text::Position;

/// Bytes of prompt text that count as one token.
const BYTES_PER_TOKEN: usize = 4;
/// The number of requests whose highest attempt number is kept.
const MAX_REMEMBERED_REQUESTS: usize = 100_000;
/// The maximum interval between two load reports, and the maximum time that a late generation catches up.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// The settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The model that the engine serves.
    pub model: Model,
    /// The version that the engine serves.
    pub version: Version,
    /// The time between two generated tokens.
    pub gap: Duration,
    /// The number of prompt tokens processed per second; cached tokens take no time.
    pub prompt_speed: u32,
    /// The number of tokens that fit into memory; the engine crashes when it holds more.
    pub capacity: u64,
    /// The number of requests that run concurrently; others are queued by priority, highest first.
    pub max_running: usize,
    /// The minimum length of an answer in tokens; the actual length is derived from the prompt.
    pub min_answer: u32,
    /// The maximum length of an answer in tokens.
    pub max_answer: u32,
    /// The maximum number of tokens in one event.
    pub max_batch: usize,
    /// The time for which a generation continues without a reader.
    pub linger: Duration,
    /// The delay after which load reports are published.
    pub load_lag: Duration,
    /// The delay after which cache events are published.
    pub cache_lag: Duration,
    /// The fraction of generations whose newest cache event is lost.
    pub cache_loss: f64,
    /// The capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Whether orders with an old fencing number are rejected.
    pub checks_fencing: bool,
    /// The time to carry out an order.
    pub order_time: Duration,
    /// The random seed for the choice of tokens and for faults.
    pub seed: u64,
}

impl Settings {
    /// Returns settings with defaults for fast tests.
    pub fn new(model: Model, version: Version) -> Self {
        Self {
            model,
            version,
            gap: Duration::from_millis(20),
            prompt_speed: 20_000,
            capacity: 1_000_000,
            max_running: 256,
            min_answer: 50,
            max_answer: 50,
            max_batch: 64,
            linger: Duration::from_secs(5),
            load_lag: Duration::from_millis(200),
            cache_lag: Duration::from_millis(200),
            cache_loss: 0.0,
            cache_blocks: 10_000,
            checks_fencing: true,
            order_time: Duration::from_millis(200),
            seed: 0,
        }
    }
}

pub(crate) struct Engine {
    pub(crate) settings: Settings,
    pub(crate) injector: Arc<Injector>,
    state: Mutex<State>,
}

pub(crate) struct State {
    pub(crate) jobs: HashMap<Request, Job>,
    attempts: HashMap<Request, Record>,
    attempts_order: VecDeque<Request>,
    /// The sum over all jobs, updated incrementally because summing for every token is too slow with thousands of jobs.
    tokens_held: u64,
    running: usize,
    waiting: BTreeMap<(u8, u64), Arc<Notify>>,
    next_serial: u64,
    pub(crate) served: BTreeSet<(Model, Version)>,
    pub(crate) role: String,
    pub(crate) fencing: u64,
    pub(crate) orders: Vec<Value>,
    pub(crate) cache: Cache,
    reports: VecDeque<(Instant, Load)>,
    pub(crate) counters: Counters,
}

/// Counters since the first start; restarts do not reset them.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub(crate) struct Counters {
    pub(crate) started: u64,
    pub(crate) resumed: u64,
    pub(crate) attached: u64,
    pub(crate) finished: u64,
    pub(crate) cancelled: u64,
    pub(crate) abandoned: u64,
    pub(crate) refused_attempts: u64,
    pub(crate) resume_mismatches: u64,
    pub(crate) tokens: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_prompt_tokens: u64,
    pub(crate) refused_orders: u64,
    pub(crate) overflows: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    highest: Attempt,
    is_cancelled: bool,
}

/// One generation.
pub(crate) struct Job {
    pub(crate) serial: u64,
    pub(crate) attempt: Attempt,
    pub(crate) version: Version,
    /// The index of the first token in `tokens`.
    pub(crate) first: u32,
    pub(crate) tokens: Vec<Token>,
    pub(crate) finish: Option<Finish>,
    pub(crate) changed: watch::Sender<()>,
    pub(crate) readers: usize,
    abandoned_at: Option<Instant>,
    prompt_tokens: u64,
    position: Position,
    length: u32,
    max_tokens: u32,
}

/// The reason why an attempt is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rejection {
    NotServed,
    StaleAttempt,
    NotRunning,
}

/// Starts an engine.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn start(address: SocketAddr, settings: Settings) -> io::Result<Handle> {
    let injector = Arc::new(Injector::new(settings.seed));
    let state = Mutex::new(State::new(&settings, Counters::default()));
    let engine = Arc::new(Engine {
        settings,
        injector: Arc::clone(&injector),
        state,
    });
    server::start(address, &engine, &injector)
}

impl State {
    fn new(settings: &Settings, counters: Counters) -> Self {
        Self {
            jobs: HashMap::new(),
            attempts: HashMap::new(),
            attempts_order: VecDeque::new(),
            tokens_held: 0,
            running: 0,
            waiting: BTreeMap::new(),
            next_serial: 0,
            served: BTreeSet::from([(settings.model.clone(), settings.version.clone())]),
            role: "mixed".to_owned(),
            fencing: 0,
            orders: Vec::new(),
            cache: Cache::new(settings.cache_blocks),
            reports: VecDeque::new(),
            counters,
        }
    }

    fn insert_job(&mut self, request: Request, job: Job) {
        self.remove_job(request);
        self.tokens_held += job.tokens_held();
        self.jobs.insert(request, job);
    }

    fn remove_job(&mut self, request: Request) -> bool {
        let removed = self.jobs.remove(&request);
        self.tokens_held -= removed.as_ref().map_or(0, Job::tokens_held);
        removed.is_some()
    }

    /// Returns the newest load report that is at least as old as the load lag, or the first one before that.
    pub(crate) fn published_load(&self) -> Option<&Load> {
        self.reports.front().map(|(_, load)| load)
    }

    /// Accepts an attempt number unless it is lower than the highest one of the request, or equal to it and cancelled.
    fn accept_attempt(&mut self, request: Request, attempt: Attempt) -> Result<(), Rejection> {
        let known = self.attempts.get(&request).copied();
        let is_stale =
            known.is_some_and(|record| attempt < record.highest || (attempt == record.highest && record.is_cancelled));
        if is_stale {
            self.counters.refused_attempts += 1;
            return Err(Rejection::StaleAttempt);
        }
        self.record_attempt(request, attempt, false);
        Ok(())
    }

    fn record_attempt(&mut self, request: Request, highest: Attempt, is_cancelled: bool) {
        let record = Record { highest, is_cancelled };
        if self.attempts.insert(request, record).is_none() {
            self.attempts_order.push_back(request);
        }
        if self.attempts_order.len() > MAX_REMEMBERED_REQUESTS
            && let Some(oldest) = self.attempts_order.pop_front()
        {
            self.attempts.remove(&oldest);
        }
    }

    fn is_current(&self, request: Request, serial: u64) -> bool {
        self.jobs.get(&request).is_some_and(|job| job.serial == serial)
    }

    fn remove_if_current(&mut self, request: Request, serial: u64) {
        if self.is_current(request, serial) {
            self.remove_job(request);
        }
    }

    fn release_slot(&mut self) {
        self.running -= 1;
        if let Some((_, waiter)) = self.waiting.pop_first() {
            self.running += 1;
            waiter.notify_one();
        }
    }
}

impl Job {
    fn tokens_held(&self) -> u64 {
        self.prompt_tokens + u64::from(self.first) + self.tokens.len() as u64
    }

    /// Returns the index of the next token.
    pub(crate) fn next_index(&self) -> u32 {
        self.first + u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    fn push(&mut self, choice: usize) {
        let next = self.next_index() + 1;
        let token = if next >= self.length {
            Position::end()
        } else {
            self.position.candidate(choice)
        };
        self.position.advance(token.id);
        self.tokens.push(token);
        if next >= self.length {
            self.finish = Some(Finish::Stop);
        } else if next >= self.max_tokens {
            self.finish = Some(Finish::Length);
        }
        self.changed.send_replace(());
    }
}

impl Engine {
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Resets all state except the counters, as a restarted process does.
    pub(crate) fn reset(&self) {
        let mut state = self.state();
        let counters = state.counters.clone();
        *state = State::new(&self.settings, counters);
    }

    /// Starts a generation and returns its serial number. It replaces the generation of an earlier attempt.
    pub(crate) fn generate(self: &Arc<Self>, body: &Generate) -> Result<u64, Rejection> {
        let mut state = self.state();
        if !state.served.contains(&(body.model.clone(), body.version.clone())) {
            return Err(Rejection::NotServed);
        }
        if state
            .jobs
            .get(&body.request_id)
            .is_some_and(|job| job.attempt == body.attempt)
        {
            state.counters.refused_attempts += 1;
            return Err(Rejection::StaleAttempt);
        }
        state.accept_attempt(body.request_id, body.attempt)?;
        let serial = state.next_serial;
        state.next_serial += 1;
        let job = self.new_job(body, serial, &mut state.counters);
        let cached = state.cache.cached_prefix_bytes(&body.prompt);
        state.cache.store(&body.prompt, Instant::now());
        if self
            .injector
            .random()
            .random_bool(self.settings.cache_loss.clamp(0.0, 1.0))
        {
            state.cache.discard_newest_event();
        }
        let uncached_tokens = body.prompt.len().saturating_sub(cached) / BYTES_PER_TOKEN + body.resume_tokens.len();
        state.counters.prompt_tokens += job.prompt_tokens + u64::from(job.first);
        state.counters.cached_prompt_tokens += (cached / BYTES_PER_TOKEN) as u64;
        state.insert_job(body.request_id, job);
        let engine = Arc::clone(self);
        let (request, priority) = (body.request_id, body.priority);
        tokio::spawn(async move { engine.run_job(request, serial, priority, uncached_tokens).await });
        Ok(serial)
    }

    /// Assigns a new attempt number to a running generation and returns its serial number.
    pub(crate) fn attach(&self, request: Request, attempt: Attempt, from: u32) -> Result<u64, Rejection> {
        let mut state = self.state();
        let known = state.jobs.get(&request).map(|job| (job.serial, job.first));
        let Some((serial, _)) = known.filter(|(_, first)| from >= *first) else {
            return Err(Rejection::NotRunning);
        };
        state.accept_attempt(request, attempt)?;
        state.counters.attached += 1;
        if let Some(job) = state.jobs.get_mut(&request) {
            job.attempt = attempt;
            job.changed.send_replace(());
        }
        Ok(serial)
    }

    /// Cancels the generation and rejects all attempts up to this one from now on.
    pub(crate) fn cancel(&self, request: Request, attempt: Attempt) -> Result<(), Rejection> {
        let mut state = self.state();
        state.accept_attempt(request, attempt)?;
        state.record_attempt(request, attempt, true);
        if state.remove_job(request) {
            state.counters.cancelled += 1;
        }
        Ok(())
    }

    /// Updates the number of readers of a generation when one is added or removed.
    pub(crate) fn update_readers(&self, request: Request, serial: u64, is_added: bool) {
        let mut state = self.state();
        if let Some(job) = state.jobs.get_mut(&request).filter(|job| job.serial == serial) {
            job.readers = if is_added { job.readers + 1 } else { job.readers - 1 };
            job.abandoned_at = (job.readers == 0).then(Instant::now);
        }
    }

    pub(crate) async fn publish_load(self: Arc<Self>) {
        let interval = (self.settings.load_lag / 2).clamp(Duration::from_millis(5), MAX_REPORT_INTERVAL);
        for sequence in 1.. {
            self.record_load(sequence);
            tokio::time::sleep(interval).await;
            self.injector.wait_while_frozen().await;
        }
    }

    fn record_load(&self, sequence: u64) {
        let now = Instant::now();
        let mut state = self.state();
        let load = self.current_load(&state, sequence);
        state.reports.push_back((now, load));
        let is_old = |(at, _): &(Instant, Load)| now.duration_since(*at) >= self.settings.load_lag;
        while state.reports.get(1).is_some_and(is_old) {
            state.reports.pop_front();
        }
    }

    fn current_load(&self, state: &State, sequence: u64) -> Load {
        let served = state.served.last().cloned();
        let (model, version) = served.unwrap_or((self.settings.model.clone(), self.settings.version.clone()));
        Load {
            model,
            version,
            tokens_held: state.tokens_held,
            tokens_capacity: self.settings.capacity,
            running: u32::try_from(state.running).unwrap_or(u32::MAX),
            waiting: u32::try_from(state.waiting.len()).unwrap_or(u32::MAX),
            sequence,
        }
    }

    fn new_job(&self, body: &Generate, serial: u64, counters: &mut Counters) -> Job {
        counters.started += 1;
        counters.resumed += u64::from(!body.resume_tokens.is_empty());
        let mut position = Position::start(&body.prompt);
        for id in &body.resume_tokens {
            counters.resume_mismatches += u64::from(!position.allows(*id));
            position.advance(*id);
        }
        Job {
            serial,
            attempt: body.attempt,
            version: body.version.clone(),
            first: u32::try_from(body.resume_tokens.len()).unwrap_or(u32::MAX),
            tokens: Vec::new(),
            finish: None,
            changed: watch::Sender::new(()),
            readers: 0,
            abandoned_at: None,
            prompt_tokens: (body.prompt.len() / BYTES_PER_TOKEN + 1) as u64,
            position,
            length: self.length(&body.prompt),
            max_tokens: body.max_tokens,
        }
    }

    /// Returns the length of the answer. It is derived from the prompt so that all engines agree on it.
    fn length(&self, prompt: &str) -> u32 {
        let bytes = *blake3::hash(prompt.as_bytes()).as_bytes();
        let number = u32::from_le_bytes([bytes[28], bytes[29], bytes[30], bytes[31]]);
        let spread = self.settings.max_answer.saturating_sub(self.settings.min_answer) + 1;
        self.settings.min_answer + number % spread
    }

    async fn run_job(self: Arc<Self>, request: Request, serial: u64, priority: u8, uncached_tokens: usize) {
        self.take_slot(priority, serial).await;
        let prompt_time =
            Duration::from_secs_f64(uncached_tokens as f64 / f64::from(self.settings.prompt_speed.max(1)));
        tokio::time::sleep(self.scaled_delay(prompt_time)).await;
        let mut due = tokio::time::Instant::now();
        loop {
            due += self.scaled_delay(self.settings.gap);
            if self.settings.gap.is_zero() {
                tokio::task::yield_now().await;
            } else {
                tokio::time::sleep_until(due).await;
            }
            self.injector.wait_while_frozen().await;
            // An engine that was frozen does not generate the tokens of that time at once afterwards.
            due = due.max(tokio::time::Instant::now() - MAX_REPORT_INTERVAL);
            if !self.generate_token(request, serial) {
                break;
            }
        }
        self.state().release_slot();
        tokio::time::sleep(self.settings.linger).await;
        self.state().remove_if_current(request, serial);
    }

    /// Generates one token; returns false if the generation has ended.
    fn generate_token(&self, request: Request, serial: u64) -> bool {
        let choice = self.injector.random().random_range(0..usize::MAX);
        let mut state = self.state();
        let linger = self.settings.linger;
        let Some(job) = state.jobs.get_mut(&request).filter(|job| job.serial == serial) else {
            return false;
        };
        if job.finish.is_some() {
            return false;
        }
        if job.abandoned_at.is_some_and(|at| at.elapsed() > linger) {
            state.counters.abandoned += 1;
            state.remove_job(request);
            return false;
        }
        if job.next_index() >= job.max_tokens {
            job.finish = Some(Finish::Length);
            job.changed.send_replace(());
        } else {
            job.push(choice);
            state.tokens_held += 1;
            state.counters.tokens += 1;
        }
        let is_finished = state.jobs.get(&request).is_some_and(|job| job.finish.is_some());
        state.counters.finished += u64::from(is_finished);
        if state.tokens_held > self.settings.capacity {
            state.counters.overflows += 1;
            let restart = self.injector.current().restart_ms.map(Duration::from_millis);
            self.injector.exit(Exit::Crashed(restart));
        }
        !is_finished
    }

    fn scaled_delay(&self, time: Duration) -> Duration {
        let running = self.state().running;
        self.injector.scaled_delay(time, running)
    }

    async fn take_slot(&self, priority: u8, serial: u64) {
        let waiter = {
            let mut state = self.state();
            if state.running < self.settings.max_running {
                state.running += 1;
                return;
            }
            let waiter = Arc::new(Notify::new());
            state.waiting.insert((u8::MAX - priority, serial), Arc::clone(&waiter));
            waiter
        };
        waiter.notified().await;
    }

    /// Returns the counters and the current state.
    pub(crate) fn stats(&self) -> Value {
        let state = self.state();
        json!({
            "counters": state.counters,
            "running": state.running,
            "waiting": state.waiting.len(),
            "tokens_held": state.tokens_held,
            "role": state.role,
            "fencing": state.fencing,
        })
    }
}
