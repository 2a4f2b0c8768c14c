use std::collections::BTreeMap;
use std::time::Duration;

use super::{Index, Policy, Put, SealedSegment, Segment, Shard, Verdict};
use crate::clock::Instant;
use crate::platform::{Budget, Failure, Version};

/// The write rate of one shard and its burst. Claims and outcomes that arrive while a write is delayed are combined
/// into the next one.
const MAX_WRITES_PER_SECOND: u32 = 4;
const MAX_WRITE_BURST: u32 = 4;

/// How long an outcome waits to share a write with a claim; at most half of the time until its deadline.
const MAX_OUTCOME_DELAY: Duration = Duration::from_millis(500);

/// The delay before a failed read or write is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Identifies a change within one batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// Input of a [`Batch`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A claimant requests a change.
    Put {
        /// Identifies the change in the reply.
        ticket: Ticket,
        /// The change.
        put: Put,
        /// The deadline of the reply to the claimant.
        until: Instant,
        /// The wall-clock time in milliseconds since the Unix epoch.
        wall_ms: u64,
    },
    /// The shard object was read; `None` when it does not exist.
    Read(Result<Option<(Version, Shard)>, Failure>),
    /// A segment was read.
    SegmentRead(String, Result<Segment, Failure>),
    /// A segment was created.
    SegmentCreated(Result<(), Failure>),
    /// The shard object was written.
    Written(Result<Version, Failure>),
    /// A deadline passed.
    Tick,
}

/// Output of a [`Batch`]. At most one call to the platform is outstanding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Read the shard object.
    Read,
    /// Read the segment with this name.
    ReadSegment(String),
    /// Create a segment.
    CreateSegment(String, Segment),
    /// Write the shard object on condition that it has the given version, or create it.
    Write(Option<Version>, Shard),
    /// Delete segments that are no longer listed.
    DeleteSegments(Vec<String>),
    /// Reply to a claimant.
    Reply(Ticket, Verdict),
}

/// Combines the changes of one shard into few writes.
///
/// Any number of entries may run a batch for the same shard. The conditional write prevents them from overwriting each
/// other; a single writer only saves calls.
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
    ready_at: Instant,
    until: Instant,
    in_flight: bool,
    // The base version of a write that contained the change and whose result was lost; zero if it created the object.
    lost_base: Option<Version>,
    // The number of completed reads when the change arrived.
    reads: u64,
}

#[derive(Debug)]
enum Call {
    Read,
    ReadSegment,
    CreateSegment(SealedSegment, Segment),
    Write {
        base: Option<Version>,
        shard: Shard,
        expired: Vec<String>,
    },
}

impl Ticket {
    /// Creates the ticket of a change; each number is used once.
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
            writes: Budget::new(MAX_WRITES_PER_SECOND, MAX_WRITE_BURST),
        }
    }

    /// Handles an event and returns the commands to execute.
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
            Event::SegmentRead(name, result) => self.segment_read(now, &name, result),
            Event::SegmentCreated(result) => self.segment_created(now, result),
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
            answer.min(self.next_call.max(self.ready_at()))
        } else {
            answer
        })
    }

    /// Returns the number of pending changes.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns the index of the sealed segments that this writer has read.
    pub const fn index(&self) -> &Index {
        &self.index
    }

    fn read(&mut self, now: Instant, result: Result<Option<(Version, Shard)>, Failure>) {
        self.call = None;
        match result {
            Ok(found) => {
                let (version, shard) = found.unzip();
                self.reads += 1;
                self.resolve_lost_writes(version);
                self.set_view(version, shard.unwrap_or_default());
            }
            Err(_) => self.next_call = now + RETRY_INTERVAL,
        }
    }

    fn segment_read(&mut self, now: Instant, name: &str, result: Result<Segment, Failure>) {
        self.call = None;
        match result {
            Ok(segment) => self.index.add(name, &segment),
            // The segment was deleted after the shard was read, because it had expired.
            Err(Failure::Missing) => self.view = None,
            Err(_) => self.next_call = now + RETRY_INTERVAL,
        }
    }

    fn segment_created(&mut self, now: Instant, result: Result<(), Failure>) {
        let Some(Call::CreateSegment(sealed, segment)) = self.call.take() else {
            return;
        };
        match result {
            // Name and contents depend only on the version, so an existing segment is identical.
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
        let lost_base = matches!(result, Err(Failure::Lost)).then_some(base.unwrap_or_default());
        for pending in self.pending.values_mut().filter(|pending| pending.in_flight) {
            pending.in_flight = false;
            pending.lost_base = lost_base.or(pending.lost_base);
        }
        match result {
            Ok(version) => {
                // `answer_from_view` finds the changes of this write in the view and replies to them.
                self.set_view(Some(version), shard);
                if !expired.is_empty() {
                    commands.push(Command::DeleteSegments(expired));
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

    fn set_view(&mut self, version: Option<Version>, shard: Shard) {
        self.index.retain(&shard.segments);
        self.view = Some(View { version, shard });
    }

    // A write whose result was lost can take effect only over its base version. Once the object has another version, it
    // contains the change or never will.
    fn resolve_lost_writes(&mut self, version: Option<Version>) {
        let version = version.unwrap_or_default();
        for pending in self.pending.values_mut() {
            pending.lost_base = pending.lost_base.filter(|base| *base == version);
        }
    }

    fn expire(&mut self, now: Instant, commands: &mut Vec<Command>) {
        self.pending.retain(|ticket, pending| {
            let waits = now < pending.until;
            if !waits {
                commands.push(Command::Reply(*ticket, pending.verdict_at_deadline()));
            }
            waits
        });
    }

    fn advance(&mut self, now: Instant, commands: &mut Vec<Command>) {
        if self.call.is_some() {
            return;
        }
        self.answer_from_view(commands);
        if self.pending.is_empty() || now < self.next_call.max(self.ready_at()) {
            return;
        }
        if let Some((call, command)) = self.next_platform_call(now) {
            self.call = Some(call);
            commands.push(command);
        }
    }

    /// Returns when the first change stops waiting for others to share its write.
    fn ready_at(&self) -> Instant {
        self.pending
            .values()
            .map(|pending| pending.ready_at)
            .min()
            .unwrap_or_default()
    }

    fn answer_from_view(&mut self, commands: &mut Vec<Command>) {
        let Some(view) = self.view.take() else {
            return;
        };
        let mut stale = false;
        if self.missing_segment(&view.shard).is_none() {
            let (index, reads) = (&self.index, self.reads);
            self.pending
                .retain(|ticket, pending| match view.shard.check(&pending.put, index) {
                    None => true,
                    // Another entry may have added or settled the record since the view was read.
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

    fn missing_segment(&self, shard: &Shard) -> Option<String> {
        let missing = shard
            .segments
            .iter()
            .find(|sealed| !self.index.contains_segment(&sealed.name));
        missing.map(|sealed| sealed.name.clone())
    }

    fn next_platform_call(&mut self, now: Instant) -> Option<(Call, Command)> {
        let Some(view) = &self.view else {
            return Some((Call::Read, Command::Read));
        };
        if let Some(name) = self.missing_segment(&view.shard) {
            return Some((Call::ReadSegment, Command::ReadSegment(name)));
        }
        let full = view
            .version
            .and_then(|version| view.shard.seal(self.number, version, self.policy));
        if let Some((sealed, segment)) = full {
            let command = Command::CreateSegment(sealed.name.clone(), segment.clone());
            return Some((Call::CreateSegment(sealed, segment), command));
        }
        if !self.writes.take(now) {
            self.next_call = self.writes.ready_at(now);
            return None;
        }
        let (base, shard, expired) = self.build_write()?;
        let command = Command::Write(base, shard.clone());
        Some((Call::Write { base, shard, expired }, command))
    }

    /// Applies all allowed changes to a copy of the view.
    fn build_write(&mut self) -> Option<(Option<Version>, Shard, Vec<String>)> {
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
        let delay = match put {
            Put::Outcome { .. } => MAX_OUTCOME_DELAY.min(until.since(now) / 2),
            Put::Claim(_) | Put::Tombstone(_) | Put::Find(_) => Duration::ZERO,
        };
        Self {
            put,
            ready_at: now + delay,
            until,
            in_flight: false,
            lost_base: None,
            reads,
        }
    }

    const fn verdict_at_deadline(&self) -> Verdict {
        if self.in_flight || self.lost_base.is_some() {
            Verdict::Unknown
        } else {
            Verdict::Refused
        }
    }
}
