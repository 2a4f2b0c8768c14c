//! Simulation of entries, engines and callers around `generation::Machine` and `replica::Store`.
//!
//! Every generated token is unique, and the oracle records its predecessor. An answer is correct if and only if each of
//! its tokens follows its predecessor.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hawthornpost_core::backlog::{Budget, Limits};
use hawthornpost_core::clock::Instant;
use hawthornpost_core::generation::{Command, Event, Machine, Outcome, Request, Settings};
use hawthornpost_core::id::{self, Account, Attempt, Branch, Entry, Target};
use hawthornpost_core::replica::{Append, Reply, Store, Takeover};
use hawthornpost_core::wire::{Completion, Finish, Frame, Token};

pub const ENTRIES: usize = 3;
pub const ENGINES: usize = 3;
pub const REQUESTS: usize = 2;
const ANSWER_TOKENS: u32 = 14;
const SILENCE: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
enum Message {
    Frame(usize, usize, Frame),
    Event(usize, usize, Event),
    ToEngine(usize, usize, usize, Call),
    Append(usize, usize, usize, u64, Box<Append>),
    DropReplica(usize, usize, u32),
}

#[derive(Clone, Debug)]
enum Call {
    Open(id::Request, Attempt, Vec<u32>),
    Attach(id::Request, Attempt, u32),
    Cancel(id::Request, Attempt),
}

#[derive(Debug)]
struct EntryState {
    store: Store,
    budget: Budget,
    /// The epoch of the latest takeover from this store, by request.
    granted: BTreeMap<usize, u32>,
    machines: BTreeMap<usize, Machine>,
    is_up: bool,
    is_paused: bool,
}

#[derive(Debug)]
struct Stream {
    attempt: Attempt,
    tokens: Vec<u32>,
    entry: usize,
    request: usize,
}

#[derive(Debug, Default)]
struct EngineState {
    streams: BTreeMap<id::Request, Stream>,
    highest: BTreeMap<id::Request, Attempt>,
    is_up: bool,
    is_frozen: bool,
}

#[derive(Debug)]
pub struct Reader {
    pub tokens: Vec<u32>,
    pub done: bool,
    /// Whether the caller was told that the answer cannot be continued.
    pub refused: bool,
    entry: Option<usize>,
    branch: Branch,
}

/// Coverage counters of a run.
#[derive(Debug, Default)]
pub struct Counters {
    pub takeovers: u32,
    pub refusals: u32,
    pub fenced: u32,
    pub completed: u32,
}

#[derive(Debug)]
pub struct Simulation {
    now: Instant,
    entries: Vec<EntryState>,
    engines: Vec<EngineState>,
    messages: Vec<Message>,
    partitions: BTreeSet<(usize, usize)>,
    pub readers: Vec<Reader>,
    /// The predecessor of each token; `None` for the first token of an answer.
    predecessors: Vec<Option<u32>>,
    last_branch: u8,
    pub counters: Counters,
}

impl Simulation {
    pub fn new() -> Self {
        let mut world = Self {
            now: Instant::ZERO,
            entries: (0..ENTRIES).map(|_| new_entry()).collect(),
            engines: (0..ENGINES).map(|_| new_engine()).collect(),
            messages: Vec::new(),
            partitions: BTreeSet::new(),
            readers: Vec::new(),
            predecessors: Vec::new(),
            last_branch: 100,
            counters: Counters::default(),
        };
        for request in 0..REQUESTS {
            world.start(request);
        }
        world
    }

    fn start(&mut self, request: usize) {
        let entry = &mut self.entries[request];
        let stream = entry.budget.open(account(), self.now);
        let machine = Machine::new(self.now, Settings::default(), new_request(request), stream);
        self.readers.push(Reader {
            tokens: Vec::new(),
            done: false,
            refused: false,
            entry: Some(request),
            branch: machine.branch().expect("a first branch"),
        });
        self.entries[request].machines.insert(request, machine);
        self.handle_event(request, request, Event::Begin);
    }

    /// Delivers one message. With `repeat`, the message stays in flight and can be delivered again.
    pub fn deliver(&mut self, pick: usize, repeat: bool) {
        let deliverable = (0..self.messages.len()).filter(|index| self.is_deliverable(&self.messages[*index]));
        let deliverable = deliverable.collect::<Vec<_>>();
        let Some(index) = deliverable.get(pick % deliverable.len().max(1)) else {
            return;
        };
        let message = if repeat {
            self.messages[*index].clone()
        } else {
            self.messages.remove(*index)
        };
        self.handle_message(message);
    }

    /// Delivers a frame of one request on a connection of the other, if that expects a frame with this index.
    pub fn misdeliver(&mut self, pick: usize) {
        let frames = self.messages.iter().filter_map(|message| match message {
            Message::Frame(entry, request, frame) => Some((*entry, (request + 1) % REQUESTS, frame)),
            _ => None,
        });
        let matching = frames.flat_map(|(_, request, frame)| (0..ENTRIES).map(move |entry| (entry, request, frame)));
        let matching = matching.filter(|(entry, request, frame)| {
            let machine = self.entries[*entry].machines.get(request);
            machine.is_some_and(|machine| machine.transcript().len() == frame.first)
        });
        let matching = matching.map(|(entry, request, frame)| (entry, request, frame.clone()));
        let matching = matching.collect::<Vec<_>>();
        if let Some((entry, request, frame)) = matching.get(pick % matching.len().max(1)) {
            self.handle_event(*entry, *request, Event::Frame(frame.clone()));
        }
    }

    pub fn drop_message(&mut self, pick: usize) {
        if !self.messages.is_empty() {
            let index = pick % self.messages.len();
            self.messages.remove(index);
        }
    }

    /// Generates the next token of all streams of an engine.
    pub fn generate(&mut self, engine: usize) {
        if !self.engines[engine].is_up || self.engines[engine].is_frozen {
            return;
        }
        let Self {
            engines,
            predecessors,
            messages,
            ..
        } = self;
        for (id, stream) in &mut engines[engine].streams {
            if stream.tokens.len() < ANSWER_TOKENS as usize {
                predecessors.push(stream.tokens.last().copied());
                stream
                    .tokens
                    .push(u32::try_from(predecessors.len() - 1).expect("few tokens"));
            }
            let from = stream.tokens.len() - 1;
            messages.push(Message::Frame(stream.entry, stream.request, frame(*id, stream, from)));
        }
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        for entry in 0..ENTRIES {
            self.tick(entry);
        }
    }

    fn tick(&mut self, entry: usize) {
        if !self.entries[entry].is_running() {
            return;
        }
        for request in 0..REQUESTS {
            let machine = self.entries[entry].machines.get(&request);
            let due = machine
                .and_then(Machine::deadline)
                .is_some_and(|deadline| deadline <= self.now);
            if due {
                self.handle_event(entry, request, Event::Tick);
            }
        }
        self.entries[entry].store.expire(self.now);
    }

    /// Kills an engine. With `silent`, its connections stay open without an error.
    pub fn kill_engine(&mut self, engine: usize, silent: bool) {
        let streams = std::mem::take(&mut self.engines[engine].streams);
        self.engines[engine] = EngineState::default();
        for stream in streams.into_values().filter(|_| !silent) {
            self.close(&stream, false);
        }
    }

    pub fn start_engine(&mut self, engine: usize) {
        self.engines[engine].is_up = true;
        self.engines[engine].is_frozen = false;
    }

    pub fn freeze_engine(&mut self, engine: usize) {
        self.engines[engine].is_frozen = true;
    }

    pub fn kill_entry(&mut self, entry: usize) {
        self.entries[entry] = new_entry();
        self.messages.retain(|message| message.receiver() != Some(entry));
        self.disconnect(entry);
    }

    pub fn pause_entry(&mut self, entry: usize) {
        self.entries[entry].is_paused = true;
    }

    pub fn resume_entry(&mut self, entry: usize) {
        if !self.entries[entry].is_paused {
            return;
        }
        self.entries[entry].is_paused = false;
        for request in 0..REQUESTS {
            self.handle_event(entry, request, Event::ClockJump);
        }
        self.tick(entry);
    }

    pub fn set_partitioned(&mut self, left: usize, right: usize, is_partitioned: bool) {
        let pair = (left.min(right), left.max(right));
        if is_partitioned {
            self.partitions.insert(pair);
        } else {
            self.partitions.remove(&pair);
        }
    }

    pub fn report_peer_lost(&mut self, entry: usize, request: usize) {
        let machine = self.entries[entry].machines.get(&request);
        if let Some(peer) = machine.and_then(Machine::peer).cloned() {
            self.handle_event(entry, request, Event::PeerLost { peer });
        }
    }

    pub fn suspend(&mut self, entry: usize, request: usize) {
        if self.entries[entry].is_running() {
            self.handle_event(entry, request, Event::Suspend);
        }
    }

    /// Reads up to `count` released tokens as the caller.
    pub fn read(&mut self, request: usize, count: u32) {
        let reader = &self.readers[request];
        let Some(entry) = reader.entry.filter(|entry| self.entries[*entry].is_running()) else {
            return;
        };
        let Some(machine) = self.entries[entry].machines.get(&request) else {
            return;
        };
        let from = u32::try_from(reader.tokens.len()).expect("few tokens");
        let upto = machine.released().min(from + count);
        let ids = machine.transcript().ids()[from as usize..upto.max(from) as usize].to_vec();
        let done = machine.is_finished() && upto == machine.transcript().len();
        self.readers[request].tokens.extend(ids);
        self.readers[request].done |= done;
        self.counters.completed += u32::from(done);
        self.handle_event(entry, request, Event::Read { next: upto });
    }

    /// Closes the caller's connection and resumes at `entry`. With `lost`, the first reply to the takeover is lost.
    pub fn reconnect(&mut self, request: usize, entry: usize, lost: bool) {
        let reader = &self.readers[request];
        if reader.done || reader.refused || !self.entries[entry].is_running() {
            return;
        }
        if let Some(old) = self.readers[request].entry.take() {
            self.messages.push(Message::Event(old, request, Event::CallerGone));
        }
        if self.reconnect_locally(request, entry) {
            return;
        }
        if let Some(branch) = self.take_over(request, entry, lost) {
            self.readers[request].branch = branch;
            self.readers[request].entry = Some(entry);
            return;
        }
        self.counters.refusals += 1;
        // A refusal is final if everything is reachable; otherwise the caller retries later.
        self.readers[request].refused = self.partitions.is_empty() && self.entries.iter().all(EntryState::is_running);
    }

    /// Resumes at `entry` on a second connection while the caller keeps reading from the first.
    pub fn open_second_connection(&mut self, request: usize, entry: usize) {
        let reader = &self.readers[request];
        if !reader.done && reader.entry != Some(entry) && self.entries[entry].is_running() {
            self.take_over(request, entry, false);
        }
    }

    fn reconnect_locally(&mut self, request: usize, entry: usize) -> bool {
        let (branch, next) = self.position(request);
        let now = self.now;
        let Some(machine) = self.entries[entry].machines.get_mut(&request) else {
            return false;
        };
        if machine.outcome().is_some() || machine.reconnect_caller(now, branch, next).is_err() {
            return false;
        }
        self.readers[request].branch = machine.branch().expect("a branch");
        self.readers[request].entry = Some(entry);
        true
    }

    fn take_over(&mut self, request: usize, entry: usize, lost: bool) -> Option<Branch> {
        let (branch, next) = self.position(request);
        self.last_branch += 1;
        let takeover = Takeover {
            request: request_id(request),
            account: account(),
            branch,
            next,
            new_branch: Branch::from_random([self.last_branch; 16]),
        };
        for peer in 0..ENTRIES {
            if !self.entries[peer].is_running() || self.is_partitioned(entry, peer) {
                continue;
            }
            if lost {
                let _ = self.entries[peer].store.take_over(self.now, &takeover);
            }
            let Ok(grant) = self.entries[peer].store.take_over(self.now, &takeover) else {
                continue;
            };
            self.counters.takeovers += 1;
            self.entries[peer].granted.insert(request, grant.epoch);
            self.handle_event(entry, request, Event::Cancel);
            let stream = self.entries[entry].budget.open(account(), self.now);
            let id = request_id(request);
            let machine = Machine::take_over(self.now, Settings::default(), id, grant, ANSWER_TOKENS, next, stream);
            let machine = machine.expect("capacity in the backlog");
            self.entries[entry].machines.insert(request, machine);
            self.handle_event(entry, request, Event::Begin);
            return Some(takeover.new_branch);
        }
        None
    }

    fn position(&self, request: usize) -> (Branch, u32) {
        let reader = &self.readers[request];
        (reader.branch, u32::try_from(reader.tokens.len()).expect("few tokens"))
    }

    /// Repairs all failures and runs until each caller has its complete answer or a refusal.
    pub fn recover(&mut self) {
        self.partitions.clear();
        for engine in 0..ENGINES {
            self.start_engine(engine);
        }
        for entry in 0..ENTRIES {
            self.entries[entry].is_up = true;
            self.resume_entry(entry);
        }
        for round in 0..2000 {
            if self.readers.iter().all(|reader| reader.done || reader.refused) {
                return;
            }
            self.recover_round(round);
        }
        panic!(
            "a caller got neither a complete answer nor a refusal: {:?}",
            self.readers
        );
    }

    fn recover_round(&mut self, round: usize) {
        while !self.messages.is_empty() {
            let message = self.messages.remove(0);
            self.handle_message(message);
        }
        for request in 0..REQUESTS {
            self.read(request, u32::MAX / 2);
            let serving = self.readers[request].entry;
            let machine = serving.and_then(|entry| self.entries[entry].machines.get(&request));
            if machine.is_none_or(|machine| machine.outcome().is_some()) {
                self.reconnect(request, round % ENTRIES, false);
            }
        }
        (0..ENGINES).for_each(|engine| self.generate(engine));
        self.advance(60);
    }

    /// Compares each answer with the oracle.
    pub fn check(&self) {
        let mut seen = BTreeSet::new();
        for reader in &self.readers {
            let mut predecessor = None;
            for token in &reader.tokens {
                assert_eq!(
                    self.predecessors[*token as usize], predecessor,
                    "a token is missing, repeated or from another generation: {:?}",
                    reader.tokens
                );
                assert!(seen.insert(*token), "two answers contain token {token}");
                predecessor = Some(*token);
            }
            let complete = reader.tokens.len() == ANSWER_TOKENS as usize;
            assert!(
                !reader.done || complete,
                "an answer finished after {} tokens",
                reader.tokens.len()
            );
        }
    }

    fn handle_event(&mut self, entry: usize, request: usize, event: Event) {
        let now = self.now;
        let Some(machine) = self.entries[entry].machines.get_mut(&request) else {
            return;
        };
        let commands = machine.handle(now, event);
        for command in commands {
            self.execute(entry, request, command);
        }
    }

    fn execute(&mut self, entry: usize, request: usize, command: Command) {
        match command {
            Command::ChooseTarget { failed } => {
                let target = (0..ENGINES).map(target).find(|target| !failed.contains(target));
                let target = target.or_else(|| failed.first().cloned()).expect("a target");
                self.handle_event(
                    entry,
                    request,
                    Event::TargetChosen {
                        target,
                        silence_timeout: SILENCE,
                    },
                );
            }
            Command::ChoosePeer { failed } => {
                let others = (1..ENTRIES).map(|step| (entry + step) % ENTRIES).map(entry_name);
                let peer = others.into_iter().find(|peer| !failed.contains(peer));
                let event = peer.map_or(Event::NoPeer, |peer| Event::PeerChosen { peer });
                self.handle_event(entry, request, event);
            }
            Command::Open { target, attempt } => {
                let machine = &self.entries[entry].machines[&request];
                let call = Call::Open(engine_id(machine), attempt, machine.transcript().ids().to_vec());
                self.messages
                    .push(Message::ToEngine(index_of(target.as_str()), entry, request, call));
            }
            Command::Attach { target, attempt, from } => {
                let call = Call::Attach(engine_id(&self.entries[entry].machines[&request]), attempt, from);
                self.messages
                    .push(Message::ToEngine(index_of(target.as_str()), entry, request, call));
            }
            Command::CancelAttempt {
                target,
                branch,
                attempt,
            } => {
                let call = Call::Cancel(id::Request::from_random(*branch.as_bytes()), attempt);
                self.messages
                    .push(Message::ToEngine(index_of(target.as_str()), entry, request, call));
            }
            Command::Append { peer, sequence, append } => {
                let peer = index_of(peer.as_str());
                self.messages
                    .push(Message::Append(entry, peer, request, sequence, append));
            }
            Command::DropReplica { peer, epoch } => {
                self.messages
                    .push(Message::DropReplica(index_of(peer.as_str()), request, epoch));
            }
            Command::End(outcome) => {
                self.counters.fenced += u32::from(outcome == Outcome::Fenced);
                if self.readers[request].entry == Some(entry) {
                    self.readers[request].entry = None;
                }
            }
            Command::Pause { .. } | Command::Unpause { .. } | Command::Release { .. } | Command::RecordGap { .. } => {}
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Frame(entry, request, frame) => self.handle_event(entry, request, Event::Frame(frame)),
            Message::Event(entry, request, event) => self.handle_event(entry, request, event),
            Message::ToEngine(engine, entry, request, call) => self.call(engine, entry, request, call),
            Message::Append(from, to, request, sequence, append) => {
                let event = if self.entries[to].is_up && !self.is_partitioned(from, to) {
                    let reply = self.entries[to].store.append(self.now, &append);
                    let granted = self.entries[to].granted.get(&request).copied().unwrap_or(0);
                    let stored = matches!(reply, Reply::Stored { .. });
                    assert!(
                        !stored || append.epoch >= granted,
                        "the owner of epoch {} appended after the takeover by epoch {granted}",
                        append.epoch
                    );
                    Event::Replied { sequence, reply }
                } else {
                    Event::ReplyLost { sequence }
                };
                let silent = self.is_partitioned(from, to);
                if !silent {
                    self.messages.push(Message::Event(from, request, event));
                }
            }
            Message::DropReplica(to, request, epoch) => {
                self.entries[to].store.drop_replica(&request_id(request), epoch);
            }
        }
    }

    fn call(&mut self, engine: usize, entry: usize, request: usize, call: Call) {
        let state = &mut self.engines[engine];
        let (id, attempt) = match &call {
            Call::Open(id, attempt, _) | Call::Attach(id, attempt, _) | Call::Cancel(id, attempt) => (*id, *attempt),
        };
        let old = state.highest.get(&id).is_some_and(|highest| attempt < *highest);
        let known = state.streams.contains_key(&id);
        let refused = !state.is_up || old || (matches!(call, Call::Attach(..)) && !known);
        if refused {
            let refused = state.is_up;
            self.messages
                .push(Message::Event(entry, request, Event::Closed { attempt, refused }));
            return;
        }
        state.highest.insert(id, attempt);
        let (tokens, from) = match call {
            Call::Cancel(..) => {
                state.streams.remove(&id);
                return;
            }
            Call::Open(_, _, tokens) => (tokens, usize::MAX),
            Call::Attach(_, _, from) => (
                state.streams.remove(&id).expect("a running stream").tokens,
                from as usize,
            ),
        };
        let stream = Stream {
            attempt,
            tokens,
            entry,
            request,
        };
        self.messages
            .push(Message::Event(entry, request, Event::Accepted { attempt }));
        if from < stream.tokens.len() {
            self.messages
                .push(Message::Frame(entry, request, frame(id, &stream, from)));
        }
        self.engines[engine].streams.insert(id, stream);
    }

    fn close(&mut self, stream: &Stream, refused: bool) {
        let attempt = stream.attempt;
        let event = Event::Closed { attempt, refused };
        self.messages.push(Message::Event(stream.entry, stream.request, event));
    }

    fn disconnect(&mut self, entry: usize) {
        for reader in &mut self.readers {
            if reader.entry == Some(entry) {
                reader.entry = None;
            }
        }
    }

    fn is_partitioned(&self, left: usize, right: usize) -> bool {
        self.partitions.contains(&(left.min(right), left.max(right)))
    }

    fn is_deliverable(&self, message: &Message) -> bool {
        match message {
            Message::ToEngine(engine, ..) => !self.engines[*engine].is_frozen,
            _ => message.receiver().is_none_or(|entry| !self.entries[entry].is_paused),
        }
    }
}

impl Message {
    fn receiver(&self) -> Option<usize> {
        match self {
            Self::Frame(entry, ..)
            | Self::Event(entry, ..)
            | Self::Append(_, entry, ..)
            | Self::DropReplica(entry, ..) => Some(*entry),
            Self::ToEngine(..) => None,
        }
    }
}

impl EntryState {
    fn is_running(&self) -> bool {
        self.is_up && !self.is_paused
    }
}

fn frame(id: id::Request, stream: &Stream, from: usize) -> Frame {
    let tokens = stream.tokens[from..].iter().map(|id| Token {
        id: *id,
        text: format!("t{id} "),
    });
    Frame {
        id,
        attempt: stream.attempt,
        version: "v1".parse().expect("a version"),
        first: u32::try_from(from).expect("few tokens"),
        tokens: tokens.collect(),
        finish: (stream.tokens.len() == ANSWER_TOKENS as usize).then_some(Finish::Stop),
    }
}

fn new_entry() -> EntryState {
    EntryState {
        store: Store::new(hawthornpost_core::replica::Limits::default()),
        budget: Budget::new(Limits::default()),
        granted: BTreeMap::new(),
        machines: BTreeMap::new(),
        is_up: true,
        is_paused: false,
    }
}

fn new_engine() -> EngineState {
    EngineState {
        is_up: true,
        ..EngineState::default()
    }
}

fn new_request(request: usize) -> Request {
    let completion = Completion {
        model: "letters".parse().expect("a model"),
        prompt: "dear".to_owned(),
        max_tokens: Some(ANSWER_TOKENS),
        stream: true,
        temperature: None,
        priority: None,
        user: None,
    };
    Request {
        id: request_id(request),
        account: account(),
        completion: completion.into(),
        version: "v1".parse().expect("a version"),
        max_tokens: ANSWER_TOKENS,
        remaining: Duration::from_secs(3600),
    }
}

fn engine_id(machine: &Machine) -> id::Request {
    id::Request::from_random(*machine.branch().expect("a branch").as_bytes())
}

fn request_id(request: usize) -> id::Request {
    id::Request::from_random([u8::try_from(request).expect("few requests"); 16])
}

fn account() -> Account {
    "crews".parse().expect("an account")
}

fn entry_name(entry: usize) -> Entry {
    format!("entry-{entry}").parse().expect("an entry")
}

fn target(engine: usize) -> Target {
    format!("engine-{engine}").parse().expect("a target")
}

fn index_of(name: &str) -> usize {
    name.rsplit_once('-')
        .and_then(|(_, digits)| digits.parse().ok())
        .expect("a numbered name")
}
