use std::collections::BTreeMap;
use std::time::Duration;

use super::{Index, Policy, Put, SealedSegment, Segment, Shard, Verdict};
use crate::clock::Instant;
use crate::platform::{Budget, Failure, Version};

/// The writes of one shard in a second, and how many may follow each other at once. Claims and outcomes that arrive while
/// a write has to wait travel in the next one.
const WRITES_PER_SECOND: u32 = 4;
const BURST: u32 = 4;

/// How long an outcome waits for a claim to travel with, at most half of the time within which it has to be answered.
const LINGER: Duration = Duration::from_millis(500);

/// The time after which a read or a write that failed is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Names a change within one batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// What a batch is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A claimant wants a change.
    Put {
        /// Names the change in the reply.
        ticket: Ticket,
        /// The change.
        put: Put,
        /// When the claimant has to be answered.
        until: Instant,
        /// The time of day in milliseconds of Unix time.
        wall_ms: u64,
    },
    /// The shard object was read; `None` when it does not exist.
    Read(Result<Option<(Version, Shard)>, Failure>),
    /// A segment was read.
    Fetched(String, Result<Segment, Failure>),
    /// A segment was created.
    Created(Result<(), Failure>),
    /// The shard object was written.
    Written(Result<Version, Failure>),
    /// A deadline passed.
    Tick,
}

/// What a batch asks for. At most one call to the platform is outstanding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Read the shard object.
    Read,
    /// Read the segment with this name.
    Fetch(String),
    /// Create a segment.
    Create(String, Segment),
    /// Write the shard object over the given version, or create it.
    Write(Option<Version>, Shard),
    /// Delete segments that are no longer listed.
    Delete(Vec<String>),
    /// Answer a claimant.
    Reply(Ticket, Verdict),
}

/// Groups the changes of one shard into few writes.
///
/// Any number of entries may run a batch for the same shard: the conditional write keeps them from overwriting each
/// other, and having one writer only saves calls.
#[derive(Debug)]
pub struct Batch {
    number: u8,
    policy: Policy,
    wall_ms: u64,
    view: Option<View>,
    index: Index,
    pending: BTreeMap<Ticket, Pending>,
    reads: u64,
    call: Option<Call>,
    next_call: Instant,
    writes: Budget,
}

#[derive(Debug)]
struct View {
    version: Option<Version>,
    shard: Shard,
}

#[derive(Debug)]
struct Pending {
    put: Put,
    due: Instant,
    until: Instant,
    in_flight: bool,
    // The base version of a write with the change whose answer was lost; zero for an object that was to be created.
    lost: Option<Version>,
    // The number of reads when the change arrived.
    reads: u64,
}

#[derive(Debug)]
enum Call {
    Read,
    Fetch,
    Create(SealedSegment, Segment),
    Write {
        base: Option<Version>,
        shard: Shard,
        expired: Vec<String>,
    },
}

impl Ticket {
    /// Creates the name of a change; each number is used once.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

impl Batch {
    /// Creates the writer of a shard.
    pub fn new(number: u8, policy: Policy) -> Self {
        Self {
            number,
            policy,
            wall_ms: 0,
            view: None,
            index: Index::default(),
            pending: BTreeMap::new(),
            reads: 0,
            call: None,
            next_call: Instant::ZERO,
            writes: Budget::new(WRITES_PER_SECOND, BURST),
        }
    }

    /// Takes an event and returns what has to be done.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        match event {
            Event::Put {
                ticket,
                put,
                until,
                wall_ms,
            } => {
                self.wall_ms = wall_ms;
                self.pending.insert(ticket, Pending::new(put, now, until, self.reads));
            }
            Event::Read(result) => self.read(now, result),
            Event::Fetched(name, result) => self.fetched(now, &name, result),
            Event::Created(result) => self.created(now, result),
            Event::Written(result) => self.written(now, result, &mut commands),
            Event::Tick => {}
        }
        self.expire(now, &mut commands);
        self.advance(now, &mut commands);
        commands
    }

    /// Returns when [`Event::Tick`] is due.
    pub fn deadline(&self) -> Option<Instant> {
        let answer = self.pending.values().map(|pending| pending.until).min()?;
        Some(if self.call.is_none() {
            answer.min(self.next_call.max(self.due()))
        } else {
            answer
        })
    }

    /// Returns the number of changes that wait for a write.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns the keys in the sealed segments that this writer knows.
    pub const fn index(&self) -> &Index {
        &self.index
    }

    fn read(&mut self, now: Instant, result: Result<Option<(Version, Shard)>, Failure>) {
        self.call = None;
        match result {
            Ok(found) => {
                let (version, shard) = found.unzip();
                self.reads += 1;
                self.settle_lost(version);
                self.show(version, shard.unwrap_or_default());
            }
            Err(_) => self.next_call = now + RETRY_INTERVAL,
        }
    }

    fn fetched(&mut self, now: Instant, name: &str, result: Result<Segment, Failure>) {
        self.call = None;
        match result {
            Ok(segment) => self.index.add(name, &segment),
            // The segment expired after the shard was read.
            Err(Failure::Missing) => self.view = None,
            Err(_) => self.next_call = now + RETRY_INTERVAL,
        }
    }

    fn created(&mut self, now: Instant, result: Result<(), Failure>) {
        let Some(Call::Create(sealed, segment)) = self.call.take() else {
            return;
        };
        match result {
            // Name and contents follow from the version, so an existing segment is the same one.
            Ok(()) | Err(Failure::Conflict) => {
                self.index.add(&sealed.name, &segment);
                if let Some(view) = &mut self.view {
                    view.shard.sealed(sealed);
                }
            }
            Err(_) => self.next_call = now + RETRY_INTERVAL,
        }
    }

    fn written(&mut self, now: Instant, result: Result<Version, Failure>, commands: &mut Vec<Command>) {
        let Some(Call::Write { base, shard, expired }) = self.call.take() else {
            return;
        };
        let lost = matches!(result, Err(Failure::Lost)).then_some(base.unwrap_or_default());
        for pending in self.pending.values_mut().filter(|pending| pending.in_flight) {
            pending.in_flight = false;
            pending.lost = lost.or(pending.lost);
        }
        match result {
            Ok(version) => {
                // The next pass finds the changes of this write in the view and answers them.
                self.show(Some(version), shard);
                if !expired.is_empty() {
                    commands.push(Command::Delete(expired));
                }
            }
            Err(Failure::Conflict | Failure::Missing) => {
                self.view = None;
                self.next_call = now;
            }
            Err(Failure::Refused) => {
                self.view = None;
                self.next_call = now + RETRY_INTERVAL;
            }
            Err(Failure::Lost) => self.view = None,
        }
    }

    fn show(&mut self, version: Option<Version>, shard: Shard) {
        self.index.retain(&shard.segments);
        self.view = Some(View { version, shard });
    }

    // A lost write can take effect only over its base version. Once the object has another version, the change is in it
    // or never will be.
    fn settle_lost(&mut self, version: Option<Version>) {
        let version = version.unwrap_or_default();
        for pending in self.pending.values_mut() {
            pending.lost = pending.lost.filter(|base| *base == version);
        }
    }

    fn expire(&mut self, now: Instant, commands: &mut Vec<Command>) {
        self.pending.retain(|ticket, pending| {
            let waits = now < pending.until;
            if !waits {
                commands.push(Command::Reply(*ticket, pending.verdict_at_limit()));
            }
            waits
        });
    }

    fn advance(&mut self, now: Instant, commands: &mut Vec<Command>) {
        if self.call.is_some() {
            return;
        }
        self.answer_from_view(commands);
        if self.pending.is_empty() || now < self.next_call.max(self.due()) {
            return;
        }
        if let Some((call, command)) = self.next_step(now) {
            self.call = Some(call);
            commands.push(command);
        }
    }

    /// Returns when the first change does not wait for others any more.
    fn due(&self) -> Instant {
        self.pending
            .values()
            .map(|pending| pending.due)
            .min()
            .unwrap_or_default()
    }

    fn answer_from_view(&mut self, commands: &mut Vec<Command>) {
        let Some(view) = self.view.take() else {
            return;
        };
        let mut stale = false;
        if self.uncovered(&view.shard).is_none() {
            let (index, reads) = (&self.index, self.reads);
            self.pending
                .retain(|ticket, pending| match view.shard.check(&pending.put, index) {
                    None => true,
                    // Another entry may have added or settled the record after the view was read.
                    Some(verdict) if verdict.may_be_stale() && pending.reads == reads => {
                        stale = true;
                        true
                    }
                    Some(verdict) => {
                        commands.push(Command::Reply(*ticket, verdict));
                        false
                    }
                });
        }
        self.view = (!stale).then_some(view);
    }

    fn uncovered(&self, shard: &Shard) -> Option<String> {
        let missing = shard.segments.iter().find(|sealed| !self.index.covers(&sealed.name));
        missing.map(|sealed| sealed.name.clone())
    }

    fn next_step(&mut self, now: Instant) -> Option<(Call, Command)> {
        let Some(view) = &self.view else {
            return Some((Call::Read, Command::Read));
        };
        if let Some(name) = self.uncovered(&view.shard) {
            return Some((Call::Fetch, Command::Fetch(name)));
        }
        let full = view
            .version
            .and_then(|version| view.shard.seal(self.number, version, self.policy));
        if let Some((sealed, segment)) = full {
            let command = Command::Create(sealed.name.clone(), segment.clone());
            return Some((Call::Create(sealed, segment), command));
        }
        if !self.writes.take(now) {
            self.next_call = self.writes.ready_at(now);
            return None;
        }
        let (base, shard, expired) = self.draft()?;
        let command = Command::Write(base, shard.clone());
        Some((Call::Write { base, shard, expired }, command))
    }

    /// Makes all changes that the view allows in a copy of it.
    fn draft(&mut self) -> Option<(Option<Version>, Shard, Vec<String>)> {
        let view = self.view.as_ref()?;
        let mut shard = view.shard.clone();
        let expired = shard.expire(self.wall_ms, self.policy);
        for pending in self.pending.values_mut() {
            if shard.apply(&pending.put, &self.index).is_none() {
                pending.in_flight = true;
            }
        }
        Some((view.version, shard, expired))
    }
}

impl Verdict {
    const fn may_be_stale(&self) -> bool {
        match self {
            Self::Refused => true,
            Self::Held(record) => !record.is_settled(),
            Self::Stored | Self::Sealed(_) | Self::Unknown => false,
        }
    }
}

impl Pending {
    fn new(put: Put, now: Instant, until: Instant, reads: u64) -> Self {
        let linger = match put {
            Put::Outcome { .. } => LINGER.min(until.since(now) / 2),
            Put::Claim(_) | Put::Tombstone(_) | Put::Find(_) => Duration::ZERO,
        };
        Self {
            put,
            due: now + linger,
            until,
            in_flight: false,
            lost: None,
            reads,
        }
    }

    const fn verdict_at_limit(&self) -> Verdict {
        if self.in_flight || self.lost.is_some() {
            Verdict::Unknown
        } else {
            Verdict::Refused
        }
    }
}
