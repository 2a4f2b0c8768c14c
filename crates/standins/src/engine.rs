//! A model engine.

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
use crate::fault::{End, Gate};
use crate::server::{self, Handle};
use crate::text::Place;

/// Bytes of text per token of a prompt.
const BYTES_PER_TOKEN: usize = 4;
/// Requests whose highest attempt number is remembered.
const REMEMBERED_REQUESTS: usize = 100_000;
/// The longest interval between two published load reports.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// The settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The model that the engine serves.
    pub model: Model,
    /// The version that the engine serves.
    pub version: Version,
    /// The time between two tokens.
    pub gap: Duration,
    /// The tokens of a prompt that are read per second; cached ones take no time.
    pub prompt_speed: u32,
    /// The tokens that fit into memory; the engine dies when it holds more.
    pub capacity: u64,
    /// The requests that run at once; others wait, those of a high priority first.
    pub max_running: usize,
    /// The shortest answer in tokens; the length follows from the prompt.
    pub min_answer: u32,
    /// The longest answer in tokens.
    pub max_answer: u32,
    /// The largest number of tokens in one event.
    pub max_batch: usize,
    /// The time for which a generation without a reader goes on.
    pub linger: Duration,
    /// The age of load reports.
    pub load_lag: Duration,
    /// The age of cache events.
    pub cache_lag: Duration,
    /// The share of cache events that are lost.
    pub cache_loss: f64,
    /// The blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// The time that an order takes.
    pub order_time: Duration,
    /// The seed of the choice of tokens and of the faults.
    pub seed: u64,
}

impl Settings {
    /// Returns settings with small, quick defaults.
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
    pub(crate) gate: Arc<Gate>,
    state: Mutex<State>,
}

pub(crate) struct State {
    pub(crate) jobs: HashMap<Request, Job>,
    seen: HashMap<Request, Seen>,
    seen_order: VecDeque<Request>,
    /// The sum over all jobs, kept because adding it up for every token is too slow with thousands of jobs.
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

/// What the engine did since its start, restarts included.
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
struct Seen {
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
    place: Place,
    length: u32,
    max_tokens: u32,
}

/// Why an attempt is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    NotServed,
    OldAttempt,
    NotRunning,
}

/// Starts an engine.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn start(address: SocketAddr, settings: Settings) -> io::Result<Handle> {
    let gate = Arc::new(Gate::new(settings.seed));
    let state = Mutex::new(State::new(&settings, Counters::default()));
    let engine = Arc::new(Engine {
        settings,
        gate: Arc::clone(&gate),
        state,
    });
    server::start(address, &engine, &gate)
}

impl State {
    fn new(settings: &Settings, counters: Counters) -> Self {
        Self {
            jobs: HashMap::new(),
            seen: HashMap::new(),
            seen_order: VecDeque::new(),
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

    /// Returns the newest report that is old enough to be published.
    pub(crate) fn published(&self) -> Option<&Load> {
        self.reports.front().map(|(_, load)| load)
    }

    /// Accepts an attempt number that is not lower than the highest one of the request.
    fn adopt(&mut self, request: Request, attempt: Attempt) -> Result<(), Refusal> {
        let known = self.seen.get(&request).copied();
        let refused =
            known.is_some_and(|seen| attempt < seen.highest || (attempt == seen.highest && seen.is_cancelled));
        if refused {
            self.counters.refused_attempts += 1;
            return Err(Refusal::OldAttempt);
        }
        self.remember(request, attempt, false);
        Ok(())
    }

    fn remember(&mut self, request: Request, highest: Attempt, is_cancelled: bool) {
        let seen = Seen { highest, is_cancelled };
        if self.seen.insert(request, seen).is_none() {
            self.seen_order.push_back(request);
        }
        if self.seen_order.len() > REMEMBERED_REQUESTS
            && let Some(oldest) = self.seen_order.pop_front()
        {
            self.seen.remove(&oldest);
        }
    }

    fn is_current(&self, request: Request, serial: u64) -> bool {
        self.jobs.get(&request).is_some_and(|job| job.serial == serial)
    }

    fn remove(&mut self, request: Request, serial: u64) {
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
            Place::end()
        } else {
            self.place.candidate(choice)
        };
        self.place.advance(token.id);
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

    /// Forgets everything but the counters, as a process that starts again does.
    pub(crate) fn reset(&self) {
        let mut state = self.state();
        let counters = state.counters.clone();
        *state = State::new(&self.settings, counters);
    }

    /// Starts a generation, which replaces one of an earlier attempt.
    pub(crate) fn generate(self: &Arc<Self>, body: &Generate) -> Result<u64, Refusal> {
        let mut state = self.state();
        if !state.served.contains(&(body.model.clone(), body.version.clone())) {
            return Err(Refusal::NotServed);
        }
        if state
            .jobs
            .get(&body.request_id)
            .is_some_and(|job| job.attempt == body.attempt)
        {
            state.counters.refused_attempts += 1;
            return Err(Refusal::OldAttempt);
        }
        state.adopt(body.request_id, body.attempt)?;
        let serial = state.next_serial;
        state.next_serial += 1;
        let job = self.job(body, serial, &mut state.counters);
        let cached = state.cache.cached_bytes(&body.prompt);
        state.cache.store(&body.prompt, Instant::now());
        if self.gate.random().random_bool(self.settings.cache_loss.clamp(0.0, 1.0)) {
            state.cache.lose_newest();
        }
        let to_read = body.prompt.len().saturating_sub(cached) / BYTES_PER_TOKEN + body.resume_tokens.len();
        state.counters.prompt_tokens += job.prompt_tokens + u64::from(job.first);
        state.counters.cached_prompt_tokens += (cached / BYTES_PER_TOKEN) as u64;
        state.insert_job(body.request_id, job);
        let engine = Arc::clone(self);
        let (request, priority) = (body.request_id, body.priority);
        tokio::spawn(async move { engine.run(request, serial, priority, to_read).await });
        Ok(serial)
    }

    /// Gives a running generation a new attempt number; returns its serial number.
    pub(crate) fn attach(&self, request: Request, attempt: Attempt, from: u32) -> Result<u64, Refusal> {
        let mut state = self.state();
        let known = state.jobs.get(&request).map(|job| (job.serial, job.first));
        let Some((serial, _)) = known.filter(|(_, first)| from >= *first) else {
            return Err(Refusal::NotRunning);
        };
        state.adopt(request, attempt)?;
        state.counters.attached += 1;
        if let Some(job) = state.jobs.get_mut(&request) {
            job.attempt = attempt;
            job.changed.send_replace(());
        }
        Ok(serial)
    }

    /// Ends the attempts up to this one.
    pub(crate) fn cancel(&self, request: Request, attempt: Attempt) -> Result<(), Refusal> {
        let mut state = self.state();
        state.adopt(request, attempt)?;
        state.remember(request, attempt, true);
        if state.remove_job(request) {
            state.counters.cancelled += 1;
        }
        Ok(())
    }

    /// Counts a reader of a generation in or out.
    pub(crate) fn count_reader(&self, request: Request, serial: u64, entered: bool) {
        let mut state = self.state();
        if let Some(job) = state.jobs.get_mut(&request).filter(|job| job.serial == serial) {
            job.readers = if entered { job.readers + 1 } else { job.readers - 1 };
            job.abandoned_at = (job.readers == 0).then(Instant::now);
        }
    }

    pub(crate) async fn publish_load(self: Arc<Self>) {
        let interval = (self.settings.load_lag / 2).clamp(Duration::from_millis(5), MAX_REPORT_INTERVAL);
        for sequence in 1.. {
            self.report(sequence);
            tokio::time::sleep(interval).await;
            self.gate.thawed().await;
        }
    }

    fn report(&self, sequence: u64) {
        let now = Instant::now();
        let mut state = self.state();
        let load = self.load(&state, sequence);
        state.reports.push_back((now, load));
        let is_old = |(at, _): &(Instant, Load)| now.duration_since(*at) >= self.settings.load_lag;
        while state.reports.get(1).is_some_and(is_old) {
            state.reports.pop_front();
        }
    }

    fn load(&self, state: &State, sequence: u64) -> Load {
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

    fn job(&self, body: &Generate, serial: u64, counters: &mut Counters) -> Job {
        counters.started += 1;
        counters.resumed += u64::from(!body.resume_tokens.is_empty());
        let mut place = Place::start(&body.prompt);
        for id in &body.resume_tokens {
            counters.resume_mismatches += u64::from(!place.allows(*id));
            place.advance(*id);
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
            place,
            length: self.length(&body.prompt),
            max_tokens: body.max_tokens,
        }
    }

    /// Returns the length of the answer, which follows from the prompt so that all engines agree on it.
    fn length(&self, prompt: &str) -> u32 {
        let bytes = *blake3::hash(prompt.as_bytes()).as_bytes();
        let number = u32::from_le_bytes([bytes[28], bytes[29], bytes[30], bytes[31]]);
        let spread = self.settings.max_answer.saturating_sub(self.settings.min_answer) + 1;
        self.settings.min_answer + number % spread
    }

    async fn run(self: Arc<Self>, request: Request, serial: u64, priority: u8, to_read: usize) {
        self.take_slot(priority, serial).await;
        let reading = Duration::from_secs_f64(to_read as f64 / f64::from(self.settings.prompt_speed.max(1)));
        tokio::time::sleep(self.slowed(reading)).await;
        let mut due = tokio::time::Instant::now();
        loop {
            due += self.slowed(self.settings.gap);
            if self.settings.gap.is_zero() {
                tokio::task::yield_now().await;
            } else {
                tokio::time::sleep_until(due).await;
            }
            self.gate.thawed().await;
            // A thawed engine does not catch up on the tokens of the time in which it was frozen.
            due = due.max(tokio::time::Instant::now() - MAX_REPORT_INTERVAL);
            if !self.step(request, serial) {
                break;
            }
        }
        self.state().release_slot();
        tokio::time::sleep(self.settings.linger).await;
        self.state().remove(request, serial);
    }

    /// Generates one token; returns false when the generation has ended.
    fn step(&self, request: Request, serial: u64) -> bool {
        let choice = self.gate.random().random_range(0..usize::MAX);
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
            let restart = self.gate.current().restart_ms.map(Duration::from_millis);
            self.gate.end(End::Died(restart));
        }
        !is_finished
    }

    fn slowed(&self, time: Duration) -> Duration {
        let running = self.state().running;
        self.gate.slowed(time, running)
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

    /// Returns the counters and the present state.
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
