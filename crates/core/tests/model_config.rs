//! Exhaustive model check of configuration versions: concurrent operators, lost responses, a platform restored to older
//! contents and an entry that restarts, explored breadth first on the production code.
//!
//! Each rule has a mutation that removes it and has to yield a counterexample.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use hawthornpost_core::clock::Instant;
use hawthornpost_core::config::{
    Command, Digest, Event, Head, Outcome, Proposal, PutAnswer, Reply, Snapshot, Step, Stored, Tracker, Writer,
};
use jiff::Timestamp;
use pathfinding::prelude::bfs;
use test_case::test_case;

/// The rule that a check removes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Mutation {
    None,
    /// The platform stores a head without checking the version that it replaces.
    UnconditionalWrite,
    /// An entry accepts every head that it reads, also lower ones.
    TakesLowerVersions,
    /// A lost response is reported as a conflict without reading the head.
    LostMeansConflict,
    /// A lost response is reported as success without reading the head.
    LostMeansAccepted,
    /// No entry restores the highest version to a platform with older contents.
    NoRestore,
    /// A restore does not list the version that it displaces.
    RestoreHidesDisplaced,
    /// An entry does not report that its version was displaced.
    SilentReplacement,
}

const ENTRIES: usize = 2;
/// The entry that each operator talks to.
const OPERATORS: [usize; 3] = [0, 1, 1];

/// The bounds of an exploration, small enough that each scope is explored completely.
#[derive(Clone, Copy, Debug)]
struct Scope {
    operators: usize,
    losses: u8,
}

/// Two concurrent changes and one lost response.
const LOST_RESPONSE: Scope = Scope {
    operators: 2,
    losses: 1,
};
/// Three changes, so that a restored platform can advance beyond the entries that hold the newest version.
const THREE_CHANGES: Scope = Scope {
    operators: 3,
    losses: 0,
};

#[derive(Clone, Debug)]
struct State {
    mutation: Mutation,
    max_losses: u8,
    label: String,
    platform: Option<Stored>,
    backup: Option<Head>,
    resource_version: u32,
    restored: bool,
    restarts: u8,
    losses: u8,
    entries: [Tracker; ENTRIES],
    operators: [Operator; OPERATORS.len()],
    writes: Vec<Write>,
    accepted: BTreeSet<Digest>,
    reported: BTreeSet<Digest>,
    exempt: BTreeSet<Digest>,
    violation: Option<&'static str>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Operator {
    Idle,
    Writing(Box<Writer>, Step),
    Done(Option<Digest>, Outcome),
}

/// A write of a head on its way to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Write {
    head: Head,
    resource_version: Option<String>,
    operator: Option<usize>,
    /// Whether the writer still waits for the response.
    awaited: bool,
}

impl State {
    fn new(mutation: Mutation, scope: Scope) -> Self {
        let absent = Operator::Done(None, Outcome::Unavailable);
        Self {
            mutation,
            max_losses: scope.losses,
            label: "start".to_owned(),
            // The model starts with a first version. Its creation is not conditional on an earlier version, so a
            // creation delayed beyond a restore to an empty platform cannot be distinguished from a new installation.
            platform: Some(Stored {
                head: Head::following(None, proposal(0)),
                resource_version: "1".to_owned(),
            }),
            backup: None,
            resource_version: 1,
            restored: false,
            restarts: 0,
            losses: 0,
            entries: [Tracker::new(), Tracker::new()],
            operators: [0, 1, 2].map(|index| {
                if index < scope.operators {
                    Operator::Idle
                } else {
                    absent.clone()
                }
            }),
            writes: Vec::new(),
            accepted: BTreeSet::new(),
            reported: BTreeSet::new(),
            exempt: BTreeSet::new(),
            violation: None,
        }
    }

    /// Returns the state that the successors depend on. Times are omitted because every poll happens when a deadline is
    /// due.
    fn key(&self) -> impl Hash + Eq + '_ {
        let snapshot = self
            .entries
            .each_ref()
            .map(|entry| entry.current().map(|snapshot| &snapshot.head));
        (
            (
                &self.platform,
                &self.backup,
                self.resource_version,
                self.restored,
                self.restarts,
                self.losses,
            ),
            (snapshot, &self.operators, &self.writes),
            (&self.accepted, &self.reported, &self.exempt, self.violation),
        )
    }

    fn successors(&self) -> Vec<Self> {
        if self.violation.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        for index in 0..ENTRIES {
            next.push(self.step(format!("entry {index} reads the platform"), |state| state.poll(index)));
            next.push(self.step(format!("entry {index} reads the head of its peer"), |state| {
                state.read_peer(index);
            }));
        }
        for index in 0..OPERATORS.len() {
            next.extend(self.operator_steps(index));
        }
        for index in 0..self.writes.len() {
            next.push(self.step(format!("write {index} arrives"), |state| state.arrive(index)));
            if self.writes[index].awaited && self.losses < self.max_losses {
                next.push(self.step(format!("answer to write {index} is lost"), |state| state.lose(index)));
            }
            if !self.writes[index].awaited {
                next.push(self.step(format!("write {index} is lost"), |state| {
                    drop(state.writes.remove(index));
                }));
            }
        }
        if self.restarts == 0 {
            next.push(self.step("entry 1 restarts".to_owned(), Self::restart));
        }
        match (&self.backup, &self.platform) {
            (None, Some(stored)) => next.push(self.step("the platform is backed up".to_owned(), |state| {
                state.backup = Some(stored.head.clone());
            })),
            (Some(_), _) if !self.restored => {
                next.push(self.step("the platform is restored".to_owned(), Self::restore));
            }
            _ => {}
        }
        next
    }

    fn step(&self, label: String, act: impl FnOnce(&mut Self)) -> Self {
        let mut state = Self { label, ..self.clone() };
        act(&mut state);
        state.check_settled();
        state
    }

    fn poll(&mut self, index: usize) {
        let now = self.entries[index].deadline().unwrap_or(Instant::ZERO);
        let stored = self.platform.clone();
        if self.mutation == Mutation::TakesLowerVersions && stored.is_some() {
            self.entries[index] = Tracker::new();
        }
        self.feed(index, now, Event::PlatformHead(stored));
    }

    fn read_peer(&mut self, index: usize) {
        let peer = 1 - index;
        if let Some(snapshot) = self.entries[peer].current() {
            let head = snapshot.head.clone();
            let name = "peer".parse().expect("a valid name");
            self.feed(index, Instant::ZERO, Event::PeerHead(name, head));
        }
    }

    fn feed(&mut self, index: usize, now: Instant, event: Event) {
        for command in self.entries[index].handle(now, event) {
            match command {
                Command::Restore { head, resource_version } if self.mutation != Mutation::NoRestore => {
                    self.send_restore(index, head, resource_version);
                }
                Command::Displaced(past) if self.mutation != Mutation::SilentReplacement => {
                    self.reported.insert(past.digest);
                }
                _ => {}
            }
        }
    }

    fn send_restore(&mut self, index: usize, mut head: Head, resource_version: Option<String>) {
        if self.mutation == Mutation::RestoreHidesDisplaced {
            head.displaced.clear();
        }
        let write = Write {
            head,
            resource_version,
            operator: None,
            awaited: false,
        };
        assert!(self.entries[index].current().is_some());
        // An entry may repeat the same write while the first is in flight; one copy represents all of them.
        if !self.writes.contains(&write) {
            self.writes.push(write);
        }
    }

    fn operator_steps(&self, index: usize) -> Vec<Self> {
        match &self.operators[index] {
            Operator::Idle => vec![self.step(format!("operator {index} applies a change"), |state| {
                let snapshot = state.entries[OPERATORS[index]].current();
                let version = snapshot.map_or(0, |snapshot| snapshot.head.version);
                let writer = Writer::new(
                    version,
                    snapshot.map(|snapshot| snapshot.head.digest),
                    proposal(index as u64 + 1),
                );
                state.operators[index] = Operator::Writing(Box::new(writer), Step::ReadHead);
            })],
            Operator::Writing(_, Step::ReadHead) => vec![
                self.step(format!("operator {index} reads the head"), |state| {
                    state.reply(index, Reply::Head(state.platform.clone()));
                }),
                self.step(format!("operator {index} gives up"), |state| {
                    state.reply(index, Reply::GivenUp);
                }),
            ],
            _ => Vec::new(),
        }
    }

    fn reply(&mut self, index: usize, reply: Reply) {
        let Operator::Writing(writer, _) = &mut self.operators[index] else {
            return;
        };
        let step = match (self.mutation, &reply) {
            (Mutation::LostMeansConflict, Reply::Put(PutAnswer::Lost)) => match &self.platform {
                Some(stored) => Step::Finish(Outcome::Conflict(stored.head.clone())),
                None => Step::Finish(Outcome::Unavailable),
            },
            (Mutation::LostMeansAccepted, Reply::Put(PutAnswer::Lost)) => {
                let sent = self.writes.iter().find(|write| write.operator == Some(index));
                Step::Finish(Outcome::Accepted(sent.expect("the write is on its way").head.clone()))
            }
            _ => writer.handle(reply),
        };
        match step {
            Step::ReadHead => self.operators[index] = Operator::Writing(writer.clone(), Step::ReadHead),
            Step::PutChunks => self.reply(index, Reply::ChunksStored),
            Step::PutHead { head, resource_version } => {
                let write = Write {
                    head: head.clone(),
                    resource_version: resource_version.clone(),
                    operator: Some(index),
                    awaited: true,
                };
                self.writes.push(write);
                self.operators[index] = Operator::Writing(writer.clone(), Step::PutHead { head, resource_version });
            }
            Step::Finish(outcome) => self.finish(index, outcome),
        }
    }

    fn finish(&mut self, index: usize, outcome: Outcome) {
        if let Outcome::Accepted(head) = &outcome {
            let snapshot = Snapshot::new(head.clone(), Vec::new()).expect("an empty document");
            self.feed(OPERATORS[index], Instant::ZERO, Event::Written(snapshot));
        }
        let sent = self.proposed(index);
        self.operators[index] = Operator::Done(sent, outcome);
    }

    /// Returns the digest of the head that an operator has in flight.
    fn proposed(&self, index: usize) -> Option<Digest> {
        let in_flight = self.writes.iter().find(|write| write.operator == Some(index));
        in_flight.map(|write| write.head.digest)
    }

    fn arrive(&mut self, index: usize) {
        let write = self.writes.remove(index);
        let current = self.platform.as_ref().map(|stored| stored.resource_version.clone());
        let fits = current == write.resource_version || self.mutation == Mutation::UnconditionalWrite;
        if fits {
            if let (Some(old), Some(_)) = (&self.platform, write.operator) {
                self.check_replaced(&old.head.clone(), &write.head);
            }
            self.resource_version += 1;
            self.platform = Some(Stored {
                head: write.head.clone(),
                resource_version: self.resource_version.to_string(),
            });
            if write.operator.is_some() {
                self.accepted.insert(write.head.digest);
            }
        }
        if let (Some(operator), true) = (write.operator, write.awaited) {
            let answer = if fits { PutAnswer::Stored } else { PutAnswer::Conflict };
            self.reply(operator, Reply::Put(answer));
        }
    }

    /// Checks that an operator's write replaces only the version that it is based on.
    fn check_replaced(&mut self, old: &Head, new: &Head) {
        if !new.covers(&old.digest) {
            self.violation = Some("an accepted version was overwritten by one that does not follow it");
        }
    }

    fn lose(&mut self, index: usize) {
        self.losses += 1;
        self.writes[index].awaited = false;
        if let Some(operator) = self.writes[index].operator {
            self.reply(operator, Reply::Put(PutAnswer::Lost));
        }
    }

    fn restart(&mut self) {
        self.restarts += 1;
        self.entries[1] = Tracker::new();
        self.exempt_unreportable();
        for (index, entry) in OPERATORS.into_iter().enumerate() {
            if entry == 1 && matches!(self.operators[index], Operator::Writing(..)) {
                self.operators[index] = Operator::Done(None, Outcome::Unknown);
                for write in &mut self.writes {
                    write.awaited &= write.operator != Some(index);
                }
            }
        }
    }

    fn restore(&mut self) {
        self.restored = true;
        self.resource_version += 1;
        self.platform = self.backup.clone().map(|head| Stored {
            head,
            resource_version: self.resource_version.to_string(),
        });
        self.exempt_unreportable();
    }

    /// Exempts versions that only a restarted entry and the platform before its restore had; nobody can report them.
    fn exempt_unreportable(&mut self) {
        let snapshot = self
            .entries
            .iter()
            .filter_map(Tracker::current)
            .map(|snapshot| &snapshot.head);
        let heads = snapshot
            .chain(self.platform.iter().map(|stored| &stored.head))
            .collect::<Vec<_>>();
        let is_gone = |digest: &&Digest| !heads.iter().any(|head| head.covers(digest));
        self.exempt.extend(self.accepted.iter().filter(is_gone));
    }

    /// Checks the invariants that hold when nothing is in flight and both entries have read the platform.
    fn check_settled(&mut self) {
        let is_writing = self
            .operators
            .iter()
            .any(|operator| matches!(operator, Operator::Writing(..)));
        if is_writing || !self.writes.is_empty() || self.violation.is_some() {
            return;
        }
        self.violation = self.check_outcomes();
        let Some(stored) = self.platform.clone() else {
            return;
        };
        let is_settled = |entry: &Tracker| {
            entry
                .current()
                .is_some_and(|snapshot| snapshot.head.version >= stored.head.version)
        };
        if self.violation.is_some() || !self.entries.iter().all(is_settled) {
            return;
        }
        let mut read = self.clone();
        for index in 0..ENTRIES {
            read.poll(index);
        }
        let is_equal = |entry: &Tracker| {
            entry
                .current()
                .is_some_and(|snapshot| snapshot.head.digest == stored.head.digest)
        };
        if read.writes.is_empty() && !self.entries.iter().all(is_equal) {
            self.violation = Some("the platform keeps other contents than the entries");
        } else if self.entries.iter().all(is_equal) {
            let is_accounted_for = |digest: &Digest| {
                stored.head.covers(digest) || self.reported.contains(digest) || self.exempt.contains(digest)
            };
            if !self.accepted.iter().all(is_accounted_for) {
                self.violation = Some("an accepted version was replaced silently");
            }
        }
    }

    fn check_outcomes(&self) -> Option<&'static str> {
        for operator in &self.operators {
            match operator {
                Operator::Done(_, Outcome::Accepted(head)) if !self.accepted.contains(&head.digest) => {
                    return Some("an operator was told `accepted` and the version was not");
                }
                Operator::Done(Some(digest), Outcome::Conflict(_) | Outcome::Unavailable | Outcome::Unsettled)
                    if self.accepted.contains(digest) =>
                {
                    return Some("an operator was told `not accepted` and the version was");
                }
                _ => {}
            }
        }
        None
    }
}

fn proposal(nonce: u64) -> Proposal {
    Proposal {
        chunks: Vec::new(),
        author: "operator".to_owned(),
        at: Timestamp::UNIX_EPOCH,
        nonce,
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key().hash(state);
    }
}

/// Returns whether an entry reverted to a lower version without a restart.
fn version_decreased(before: &State, after: &State) -> bool {
    let restarted = after.restarts > before.restarts;
    let lower = |index: usize| before.entries[index].version() > after.entries[index].version();
    lower(0) || (lower(1) && !restarted)
}

fn explore(mutation: Mutation, scope: Scope) -> (usize, Option<Vec<State>>) {
    let expanded = Cell::new(0);
    let successors = |state: &State| {
        expanded.set(expanded.get() + 1);
        let mut next = state.successors();
        for after in &mut next {
            if version_decreased(state, after) {
                after.violation = Some("an entry reverted to a lower version");
            }
        }
        next
    };
    let path = bfs(&State::new(mutation, scope), successors, |state| {
        state.violation.is_some()
    });
    (expanded.get(), path)
}

fn describe(path: &[State]) -> String {
    let steps = path
        .iter()
        .map(|state| state.label.clone())
        .collect::<Vec<_>>()
        .join("\n  ");
    let violation = path.last().and_then(|state| state.violation).unwrap_or_default();
    format!("{violation}, after:\n  {steps}")
}

#[test_case(LOST_RESPONSE, 30_000; "two operators and a lost answer")]
#[test_case(THREE_CHANGES, 50_000; "three operators")]
fn no_order_of_events_breaks_a_rule(scope: Scope, min_states: usize) {
    let (states, path) = explore(Mutation::None, scope);
    println!("{scope:?}: {states} states");
    assert!(path.is_none(), "{}", describe(&path.unwrap_or_default()));
    assert!(
        states > min_states,
        "only {states} states: the model lost some of its events"
    );
}

#[test_case(Mutation::UnconditionalWrite, LOST_RESPONSE)]
#[test_case(Mutation::TakesLowerVersions, LOST_RESPONSE)]
#[test_case(Mutation::LostMeansConflict, LOST_RESPONSE)]
#[test_case(Mutation::LostMeansAccepted, LOST_RESPONSE)]
#[test_case(Mutation::NoRestore, LOST_RESPONSE)]
#[test_case(Mutation::RestoreHidesDisplaced, LOST_RESPONSE)]
#[test_case(Mutation::SilentReplacement, THREE_CHANGES)]
fn a_removed_rule_is_detected(mutation: Mutation, scope: Scope) {
    let (states, path) = explore(mutation, scope);
    let path = path.unwrap_or_else(|| panic!("no counterexample in {states} states"));
    println!("{mutation:?}, {states} states: {}", describe(&path));
}
