//! A world of entries, engines and callers around `generation::Machine` and `replica::Store`.
//!
//! Every computed token is unique, and the oracle knows which token it follows. An answer is right if and only if each
//! of its tokens follows the one before.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hawthornpost_core::backlog::{Ledger, Limits};
use hawthornpost_core::clock::Instant;
use hawthornpost_core::generation::{Command, Event, Machine, Outcome, Request, Settings};
use hawthornpost_core::id::{self, Account, Attempt, Branch, Entry, Target};
use hawthornpost_core::replica::{Append, Reply, Store, Take};
use hawthornpost_core::wire::{Completion, Finish, Frame, Token};

pub const ENTRIES: usize = 3;
pub const ENGINES: usize = 3;
pub const REQUESTS: usize = 2;
const LENGTH: u32 = 14;
const SILENCE: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
enum Message {
    Frame(usize, usize, Frame),
    Event(usize, usize, Event),
    ToEngine(usize, usize, usize, Call),
    Append(usize, usize, usize, u64, Box<Append>),
    DropCopy(usize, usize, u32),
}

#[derive(Clone, Debug)]
enum Call {
    Open(id::Request, Attempt, Vec<u32>),
    Attach(id::Request, Attempt, u32),
    Cancel(id::Request, Attempt),
}

#[derive(Debug)]
struct EntrySim {
    store: Store,
    ledger: Ledger,
    /// The epoch of the latest takeover from this store, by request.
    granted: BTreeMap<usize, u32>,
    machines: BTreeMap<usize, Machine>,
    up: bool,
    paused: bool,
}

#[derive(Debug)]
struct Stream {
    attempt: Attempt,
    tokens: Vec<u32>,
    entry: usize,
    request: usize,
}

#[derive(Debug, Default)]
struct EngineSim {
    streams: BTreeMap<id::Request, Stream>,
    highest: BTreeMap<id::Request, Attempt>,
    up: bool,
    frozen: bool,
}

#[derive(Debug)]
pub struct Reader {
    pub tokens: Vec<u32>,
    pub done: bool,
    /// The system said that the answer cannot be continued.
    pub refused: bool,
    entry: Option<usize>,
    branch: Branch,
}

/// What is checked after each step, and what the run covered.
#[derive(Debug, Default)]
pub struct Counters {
    pub takeovers: u32,
    pub refusals: u32,
    pub fenced: u32,
    pub completed: u32,
}

#[derive(Debug)]
pub struct World {
    now: Instant,
    entries: Vec<EntrySim>,
    engines: Vec<EngineSim>,
    messages: Vec<Message>,
    blocked: BTreeSet<(usize, usize)>,
    pub readers: Vec<Reader>,
    /// The token before each token; `None` for the first of an answer.
    parents: Vec<Option<u32>>,
    fresh: u8,
    pub counters: Counters,
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            now: Instant::ZERO,
            entries: (0..ENTRIES).map(|_| new_entry()).collect(),
            engines: (0..ENGINES).map(|_| new_engine()).collect(),
            messages: Vec::new(),
            blocked: BTreeSet::new(),
            readers: Vec::new(),
            parents: Vec::new(),
            fresh: 100,
            counters: Counters::default(),
        };
        for request in 0..REQUESTS {
            world.start(request);
        }
        world
    }

    fn start(&mut self, request: usize) {
        let entry = &mut self.entries[request];
        let stream = entry.ledger.open(account(), self.now);
        let machine = Machine::new(self.now, Settings::default(), new_request(request), stream);
        self.readers.push(Reader {
            tokens: Vec::new(),
            done: false,
            refused: false,
            entry: Some(request),
            branch: machine.branch().expect("a first branch"),
        });
        self.entries[request].machines.insert(request, machine);
        self.feed(request, request, Event::Begin);
    }

    /// Delivers one message, or drops or repeats it.
    pub fn deliver(&mut self, pick: usize, repeat: bool) {
        let ready = (0..self.messages.len()).filter(|index| self.is_deliverable(&self.messages[*index]));
        let ready = ready.collect::<Vec<_>>();
        let Some(index) = ready.get(pick % ready.len().max(1)) else {
            return;
        };
        let message = if repeat {
            self.messages[*index].clone()
        } else {
            self.messages.remove(*index)
        };
        self.handle_message(message);
    }

    /// A frame of one request arrives on the connection of the other, which waits for a frame with this index.
    pub fn cross(&mut self, pick: usize) {
        let frames = self.messages.iter().filter_map(|message| match message {
            Message::Frame(entry, request, frame) => Some((*entry, (request + 1) % REQUESTS, frame)),
            _ => None,
        });
        let fitting = frames.flat_map(|(_, request, frame)| (0..ENTRIES).map(move |entry| (entry, request, frame)));
        let fitting = fitting.filter(|(entry, request, frame)| {
            let machine = self.entries[*entry].machines.get(request);
            machine.is_some_and(|machine| machine.tape().len() == frame.first)
        });
        let fitting = fitting.map(|(entry, request, frame)| (entry, request, frame.clone()));
        let fitting = fitting.collect::<Vec<_>>();
        if let Some((entry, request, frame)) = fitting.get(pick % fitting.len().max(1)) {
            self.feed(*entry, *request, Event::Frame(frame.clone()));
        }
    }

    pub fn lose(&mut self, pick: usize) {
        if !self.messages.is_empty() {
            let index = pick % self.messages.len();
            self.messages.remove(index);
        }
    }

    /// An engine computes the next token of all its streams.
    pub fn compute(&mut self, engine: usize) {
        if !self.engines[engine].up || self.engines[engine].frozen {
            return;
        }
        let Self {
            engines,
            parents,
            messages,
            ..
        } = self;
        for (id, stream) in &mut engines[engine].streams {
            if stream.tokens.len() < LENGTH as usize {
                parents.push(stream.tokens.last().copied());
                stream
                    .tokens
                    .push(u32::try_from(parents.len() - 1).expect("few tokens"));
            }
            let from = stream.tokens.len() - 1;
            messages.push(Message::Frame(stream.entry, stream.request, frame(*id, stream, from)));
        }
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        for entry in 0..ENTRIES {
            self.wake(entry);
        }
    }

    fn wake(&mut self, entry: usize) {
        if !self.entries[entry].is_running() {
            return;
        }
        for request in 0..REQUESTS {
            let machine = self.entries[entry].machines.get(&request);
            let due = machine
                .and_then(Machine::deadline)
                .is_some_and(|deadline| deadline <= self.now);
            if due {
                self.feed(entry, request, Event::Tick);
            }
        }
        self.entries[entry].store.expire(self.now);
    }

    /// With `silent`, the connections to the engine's callers do not report the loss.
    pub fn kill_engine(&mut self, engine: usize, silent: bool) {
        let streams = std::mem::take(&mut self.engines[engine].streams);
        self.engines[engine] = EngineSim::default();
        for stream in streams.into_values().filter(|_| !silent) {
            self.close(&stream, false);
        }
    }

    pub fn start_engine(&mut self, engine: usize) {
        self.engines[engine].up = true;
        self.engines[engine].frozen = false;
    }

    pub fn freeze_engine(&mut self, engine: usize) {
        self.engines[engine].frozen = true;
    }

    pub fn kill_entry(&mut self, entry: usize) {
        self.entries[entry] = new_entry();
        self.messages.retain(|message| message.receiver() != Some(entry));
        self.disconnect(entry);
    }

    pub fn pause_entry(&mut self, entry: usize) {
        self.entries[entry].paused = true;
    }

    pub fn wake_entry(&mut self, entry: usize) {
        if !self.entries[entry].paused {
            return;
        }
        self.entries[entry].paused = false;
        for request in 0..REQUESTS {
            self.feed(entry, request, Event::ClockJump);
        }
        self.wake(entry);
    }

    pub fn set_blocked(&mut self, left: usize, right: usize, blocked: bool) {
        let pair = (left.min(right), left.max(right));
        if blocked {
            self.blocked.insert(pair);
        } else {
            self.blocked.remove(&pair);
        }
    }

    pub fn lose_peer(&mut self, entry: usize, request: usize) {
        let machine = self.entries[entry].machines.get(&request);
        if let Some(peer) = machine.and_then(Machine::peer).cloned() {
            self.feed(entry, request, Event::PeerLost { peer });
        }
    }

    pub fn suspend(&mut self, entry: usize, request: usize) {
        if self.entries[entry].is_running() {
            self.feed(entry, request, Event::Suspend);
        }
    }

    /// The caller reads what was released to it.
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
        let ids = machine.tape().ids()[from as usize..upto.max(from) as usize].to_vec();
        let done = machine.is_finished() && upto == machine.tape().len();
        self.readers[request].tokens.extend(ids);
        self.readers[request].done |= done;
        self.counters.completed += u32::from(done);
        self.feed(entry, request, Event::Read { next: upto });
    }

    /// The caller leaves its connection and resumes at another entry. With `lost`, the first answer to the take is lost.
    pub fn reconnect(&mut self, request: usize, entry: usize, lost: bool) {
        let reader = &self.readers[request];
        if reader.done || reader.refused || !self.entries[entry].is_running() {
            return;
        }
        if let Some(old) = self.readers[request].entry.take() {
            self.messages.push(Message::Event(old, request, Event::CallerGone));
        }
        if self.return_locally(request, entry) {
            return;
        }
        if let Some(branch) = self.take(request, entry, lost) {
            self.readers[request].branch = branch;
            self.readers[request].entry = Some(entry);
            return;
        }
        self.counters.refusals += 1;
        // With everything reachable, a refusal is final; otherwise the caller tries again later.
        self.readers[request].refused = self.blocked.is_empty() && self.entries.iter().all(EntrySim::is_running);
    }

    /// A second connection of the caller resumes at another entry, and the caller keeps reading the first one.
    pub fn reconnect_twice(&mut self, request: usize, entry: usize) {
        let reader = &self.readers[request];
        if !reader.done && reader.entry != Some(entry) && self.entries[entry].is_running() {
            self.take(request, entry, false);
        }
    }

    fn return_locally(&mut self, request: usize, entry: usize) -> bool {
        let (branch, next) = self.position(request);
        let now = self.now;
        let Some(machine) = self.entries[entry].machines.get_mut(&request) else {
            return false;
        };
        if machine.outcome().is_some() || machine.return_caller(now, branch, next).is_err() {
            return false;
        }
        self.readers[request].branch = machine.branch().expect("a branch");
        self.readers[request].entry = Some(entry);
        true
    }

    fn take(&mut self, request: usize, entry: usize, lost: bool) -> Option<Branch> {
        let (branch, next) = self.position(request);
        self.fresh += 1;
        let take = Take {
            request: request_id(request),
            account: account(),
            branch,
            next,
            new_branch: Branch::from_random([self.fresh; 16]),
        };
        for peer in 0..ENTRIES {
            if !self.entries[peer].is_running() || self.is_blocked(entry, peer) {
                continue;
            }
            if lost {
                let _ = self.entries[peer].store.take(self.now, &take);
            }
            let Ok(grant) = self.entries[peer].store.take(self.now, &take) else {
                continue;
            };
            self.counters.takeovers += 1;
            self.entries[peer].granted.insert(request, grant.epoch);
            self.feed(entry, request, Event::Cancel);
            let stream = self.entries[entry].ledger.open(account(), self.now);
            let id = request_id(request);
            let machine = Machine::take_over(self.now, Settings::default(), id, grant, LENGTH, next, stream);
            let machine = machine.expect("room in the backlog");
            self.entries[entry].machines.insert(request, machine);
            self.feed(entry, request, Event::Begin);
            return Some(take.new_branch);
        }
        None
    }

    fn position(&self, request: usize) -> (Branch, u32) {
        let reader = &self.readers[request];
        (reader.branch, u32::try_from(reader.tokens.len()).expect("few tokens"))
    }

    /// Ends all failures and lets the world run until each caller has its answer or was refused.
    pub fn settle(&mut self) {
        self.blocked.clear();
        for engine in 0..ENGINES {
            self.start_engine(engine);
        }
        for entry in 0..ENTRIES {
            self.entries[entry].up = true;
            self.wake_entry(entry);
        }
        for round in 0..2000 {
            if self.readers.iter().all(|reader| reader.done || reader.refused) {
                return;
            }
            self.settle_round(round);
        }
        panic!("a caller got neither its answer nor a refusal: {:?}", self.readers);
    }

    fn settle_round(&mut self, round: usize) {
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
        (0..ENGINES).for_each(|engine| self.compute(engine));
        self.advance(60);
    }

    /// Checks each answer against the oracle.
    pub fn check(&self) {
        let mut seen = BTreeSet::new();
        for reader in &self.readers {
            let mut before = None;
            for token in &reader.tokens {
                assert_eq!(
                    self.parents[*token as usize], before,
                    "a token is missing, repeated or of another generation: {:?}",
                    reader.tokens
                );
                assert!(seen.insert(*token), "two answers share token {token}");
                before = Some(*token);
            }
            let whole = reader.tokens.len() == LENGTH as usize;
            assert!(
                !reader.done || whole,
                "an answer ended after {} tokens",
                reader.tokens.len()
            );
        }
    }

    fn feed(&mut self, entry: usize, request: usize, event: Event) {
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
                self.feed(
                    entry,
                    request,
                    Event::Chosen {
                        target,
                        silence: SILENCE,
                    },
                );
            }
            Command::ChoosePeer { failed } => {
                let others = (1..ENTRIES).map(|step| (entry + step) % ENTRIES).map(entry_name);
                let peer = others.into_iter().find(|peer| !failed.contains(peer));
                let event = peer.map_or(Event::NoPeer, |peer| Event::Peer { peer });
                self.feed(entry, request, event);
            }
            Command::Open { target, attempt } => {
                let machine = &self.entries[entry].machines[&request];
                let call = Call::Open(engine_id(machine), attempt, machine.tape().ids().to_vec());
                self.messages
                    .push(Message::ToEngine(number(target.as_str()), entry, request, call));
            }
            Command::Attach { target, attempt, from } => {
                let call = Call::Attach(engine_id(&self.entries[entry].machines[&request]), attempt, from);
                self.messages
                    .push(Message::ToEngine(number(target.as_str()), entry, request, call));
            }
            Command::CancelAttempt {
                target,
                branch,
                attempt,
            } => {
                let call = Call::Cancel(id::Request::from_random(*branch.as_bytes()), attempt);
                self.messages
                    .push(Message::ToEngine(number(target.as_str()), entry, request, call));
            }
            Command::Append { peer, ticket, append } => {
                let peer = number(peer.as_str());
                self.messages
                    .push(Message::Append(entry, peer, request, ticket, append));
            }
            Command::DropCopy { peer, epoch } => {
                self.messages
                    .push(Message::DropCopy(number(peer.as_str()), request, epoch));
            }
            Command::End(outcome) => {
                self.counters.fenced += u32::from(outcome == Outcome::Fenced);
                if self.readers[request].entry == Some(entry) {
                    self.readers[request].entry = None;
                }
            }
            Command::Pause { .. } | Command::Unpause { .. } | Command::Release { .. } | Command::Observe { .. } => {}
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Frame(entry, request, frame) => self.feed(entry, request, Event::Frame(frame)),
            Message::Event(entry, request, event) => self.feed(entry, request, event),
            Message::ToEngine(engine, entry, request, call) => self.call(engine, entry, request, call),
            Message::Append(from, to, request, ticket, append) => {
                let event = if self.entries[to].up && !self.is_blocked(from, to) {
                    let reply = self.entries[to].store.append(self.now, &append);
                    let granted = self.entries[to].granted.get(&request).copied().unwrap_or(0);
                    let stored = matches!(reply, Reply::Stored { .. });
                    assert!(
                        !stored || append.epoch >= granted,
                        "the owner of epoch {} wrote after the takeover of epoch {granted}",
                        append.epoch
                    );
                    Event::Replied { ticket, reply }
                } else {
                    Event::ReplyLost { ticket }
                };
                let silent = self.is_blocked(from, to);
                if !silent {
                    self.messages.push(Message::Event(from, request, event));
                }
            }
            Message::DropCopy(to, request, epoch) => {
                self.entries[to].store.drop_copy(&request_id(request), epoch);
            }
        }
    }

    fn call(&mut self, engine: usize, entry: usize, request: usize, call: Call) {
        let sim = &mut self.engines[engine];
        let (id, attempt) = match &call {
            Call::Open(id, attempt, _) | Call::Attach(id, attempt, _) | Call::Cancel(id, attempt) => (*id, *attempt),
        };
        let old = sim.highest.get(&id).is_some_and(|highest| attempt < *highest);
        let known = sim.streams.contains_key(&id);
        let refused = !sim.up || old || (matches!(call, Call::Attach(..)) && !known);
        if refused {
            let refused = sim.up;
            self.messages
                .push(Message::Event(entry, request, Event::Closed { attempt, refused }));
            return;
        }
        sim.highest.insert(id, attempt);
        let (tokens, from) = match call {
            Call::Cancel(..) => {
                sim.streams.remove(&id);
                return;
            }
            Call::Open(_, _, tokens) => (tokens, usize::MAX),
            Call::Attach(_, _, from) => (sim.streams.remove(&id).expect("a running stream").tokens, from as usize),
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

    fn is_blocked(&self, left: usize, right: usize) -> bool {
        self.blocked.contains(&(left.min(right), left.max(right)))
    }

    fn is_deliverable(&self, message: &Message) -> bool {
        match message {
            Message::ToEngine(engine, ..) => !self.engines[*engine].frozen,
            _ => message.receiver().is_none_or(|entry| !self.entries[entry].paused),
        }
    }
}

impl Message {
    fn receiver(&self) -> Option<usize> {
        match self {
            Self::Frame(entry, ..)
            | Self::Event(entry, ..)
            | Self::Append(_, entry, ..)
            | Self::DropCopy(entry, ..) => Some(*entry),
            Self::ToEngine(..) => None,
        }
    }
}

impl EntrySim {
    fn is_running(&self) -> bool {
        self.up && !self.paused
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
        finish: (stream.tokens.len() == LENGTH as usize).then_some(Finish::Stop),
    }
}

fn new_entry() -> EntrySim {
    EntrySim {
        store: Store::new(hawthornpost_core::replica::Limits::default()),
        ledger: Ledger::new(Limits::default()),
        granted: BTreeMap::new(),
        machines: BTreeMap::new(),
        up: true,
        paused: false,
    }
}

fn new_engine() -> EngineSim {
    EngineSim {
        up: true,
        ..EngineSim::default()
    }
}

fn new_request(request: usize) -> Request {
    let completion = Completion {
        model: "letters".parse().expect("a model"),
        prompt: "dear".to_owned(),
        max_tokens: Some(LENGTH),
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
        max_tokens: LENGTH,
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

fn number(name: &str) -> usize {
    name.rsplit_once('-')
        .and_then(|(_, digits)| digits.parse().ok())
        .expect("a numbered name")
}
