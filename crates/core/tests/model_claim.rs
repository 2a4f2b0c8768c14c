//! Exhaustive model check of claims: several entries receive the same key, the shard owner may write late and more than
//! once, conditional writes may lose their results or take effect late, and entries may crash or pause at any point.
//!
//! Guards against a call that is sent twice and against "not run" for an action that ran. Each rule has a mutation that
//! removes it and has to yield a counterexample.

use pathfinding::prelude::{bfs, bfs_reach};
use test_case::test_case;

const ENTRIES: usize = 3;
/// The number of times the owner may write the claim of one entry.
const MAX_OWNER_WRITES: u8 = 2;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Mutation {
    None,
    UnconditionalWrite,
    KeyNotChecked,
    SendBeforeConfirmation,
    NotRunWithoutTombstone,
    TombstoneIgnored,
    TakeOverFromDeadSender,
    LostAnswerIsNotRun,
    LookupClosesClaim,
    SendAfterNotRun,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
enum State {
    Claimed,
    Done,
    NotRun,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
struct Write {
    claim: usize,
    state: State,
    base: u8,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Phase {
    Idle,
    Claiming,
    Closing,
    Tombstone,
    Confirmed,
    Sent,
    Finished,
    Dead,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Reported {
    Nothing,
    Done,
    NotRunKey,
    NotRunRequest,
    Unknown,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct World {
    version: u8,
    record: Option<(usize, State)>,
    writes: Vec<Write>,
    puts: [u8; ENTRIES],
    phases: [Phase; ENTRIES],
    reported: [Reported; ENTRIES],
    sends: [u8; ENTRIES],
}

type Step = (String, World);

impl World {
    fn start() -> Self {
        Self {
            version: 0,
            record: None,
            writes: Vec::new(),
            puts: [0; ENTRIES],
            phases: [Phase::Idle; ENTRIES],
            reported: [Reported::Nothing; ENTRIES],
            sends: [0; ENTRIES],
        }
    }

    fn violates(&self) -> bool {
        let sends = self.sends.iter().sum::<u8>();
        let wrong = |entry: usize| match self.reported[entry] {
            Reported::NotRunKey => sends > 0,
            Reported::NotRunRequest => self.sends[entry] > 0,
            Reported::Done => sends == 0,
            Reported::Nothing | Reported::Unknown => false,
        };
        sends > 1 || (0..ENTRIES).any(wrong)
    }

    fn with(&self, label: impl Into<String>, change: impl FnOnce(&mut Self)) -> Step {
        let mut next = self.clone();
        change(&mut next);
        next.writes.sort_unstable();
        (label.into(), next)
    }

    fn report(&self, entry: usize, reported: Reported) -> Step {
        self.with(format!("entry {entry} answers {reported:?}"), |next| {
            next.phases[entry] = Phase::Finished;
            next.reported[entry] = reported;
        })
    }

    fn enter(&self, label: &str, entry: usize, phase: Phase) -> Step {
        self.with(format!("entry {entry} {label}"), |next| next.phases[entry] = phase)
    }

    fn send(&self, entry: usize) -> Step {
        self.with(format!("entry {entry} sends the call"), |next| {
            next.phases[entry] = Phase::Sent;
            next.sends[entry] += 1;
        })
    }

    fn write(&self, label: String, claim: usize, state: State, change: impl FnOnce(&mut Self)) -> Step {
        let base = self.version;
        self.with(label, |next| {
            next.writes.push(Write { claim, state, base });
            change(next);
        })
    }

    fn steps(&self, mutation: Mutation) -> Vec<Step> {
        let mut steps = self.platform(mutation);
        for entry in 0..ENTRIES {
            steps.extend(self.owner(entry, mutation));
            steps.extend(self.entry(entry, mutation));
            if !matches!(self.phases[entry], Phase::Idle | Phase::Finished | Phase::Dead) {
                steps.push(self.enter("dies", entry, Phase::Dead));
            }
        }
        steps
    }

    // A write may take effect at any time and in any order, or never.
    fn platform(&self, mutation: Mutation) -> Vec<Step> {
        let mut steps = Vec::new();
        for (index, write) in self.writes.iter().enumerate() {
            let applies = write.base == self.version || mutation == Mutation::UnconditionalWrite;
            steps.push(
                self.with(format!("platform handles {write:?}: applied {applies}"), |next| {
                    next.writes.remove(index);
                    if applies {
                        next.version += 1;
                        next.record = Some((write.claim, write.state));
                    }
                }),
            );
        }
        steps
    }

    fn owner(&self, entry: usize, mutation: Mutation) -> Option<Step> {
        let free = match self.record {
            None => true,
            Some((_, State::NotRun)) => mutation == Mutation::TombstoneIgnored,
            Some(_) => false,
        };
        (self.puts[entry] > 0 && (free || mutation == Mutation::KeyNotChecked)).then(|| {
            self.write(format!("owner writes claim {entry}"), entry, State::Claimed, |next| {
                next.puts[entry] -= 1;
            })
        })
    }

    fn entry(&self, entry: usize, mutation: Mutation) -> Vec<Step> {
        match self.phases[entry] {
            Phase::Idle => vec![
                self.report(entry, Reported::NotRunRequest),
                self.with(format!("entry {entry} puts its claim"), |next| {
                    next.phases[entry] = Phase::Claiming;
                    next.puts[entry] = MAX_OWNER_WRITES;
                }),
            ],
            Phase::Claiming => self.claiming(entry, mutation),
            Phase::Closing => self.closing(entry, mutation),
            Phase::Tombstone => self.tombstone(entry),
            Phase::Confirmed => self.confirmed(entry, mutation),
            Phase::Sent => self.sent(entry, mutation),
            Phase::Finished | Phase::Dead => Vec::new(),
        }
    }

    fn claiming(&self, entry: usize, mutation: Mutation) -> Vec<Step> {
        let mut steps = self.found(entry, mutation);
        steps.push(self.enter("has no answer and reads back", entry, Phase::Closing));
        if mutation == Mutation::SendBeforeConfirmation {
            steps.push(self.send(entry));
        }
        steps
    }

    // The steps after a reply that contains the current record. Records only progress, so an older reply allows fewer
    // conclusions.
    fn found(&self, entry: usize, mutation: Mutation) -> Vec<Step> {
        match self.record {
            None => Vec::new(),
            Some((claim, State::Claimed)) if claim == entry => {
                vec![self.enter("is confirmed", entry, Phase::Confirmed)]
            }
            Some((claim, State::Claimed)) => self.other_claim(entry, claim, mutation),
            Some((_, State::Done)) => vec![self.report(entry, Reported::Done)],
            Some((_, State::NotRun)) => vec![self.report(entry, Reported::NotRunKey)],
        }
    }

    fn other_claim(&self, entry: usize, claim: usize, mutation: Mutation) -> Vec<Step> {
        let ran = self.sends.iter().any(|sends| *sends > 0);
        let mut steps = vec![self.report(entry, Reported::Unknown)];
        if ran {
            let mut resolved = self.report(entry, Reported::Done);
            resolved.1.settle(claim, State::Done);
            steps.push(resolved);
        } else if mutation == Mutation::LookupClosesClaim {
            let mut resolved = self.report(entry, Reported::NotRunKey);
            resolved.1.settle(claim, State::NotRun);
            steps.push(resolved);
        }
        if mutation == Mutation::TakeOverFromDeadSender && self.phases[claim] == Phase::Dead {
            steps.push(self.send(entry));
        }
        steps
    }

    fn closing(&self, entry: usize, mutation: Mutation) -> Vec<Step> {
        let mut steps = self.found(entry, mutation);
        if self.record.is_none() {
            let label = format!("entry {entry} writes a tombstone");
            // Two attempts suffice to lose one reply; more only enlarge the state space.
            let tried = self
                .writes
                .iter()
                .any(|write| write.claim == entry && write.state == State::NotRun);
            if !tried {
                steps.push(self.write(label, entry, State::NotRun, |next| {
                    next.phases[entry] = Phase::Tombstone;
                }));
            }
            if mutation == Mutation::NotRunWithoutTombstone {
                steps.push(self.report(entry, Reported::NotRunKey));
            }
        }
        steps.push(self.report(entry, Reported::Unknown));
        steps
    }

    fn tombstone(&self, entry: usize) -> Vec<Step> {
        let mut steps = vec![self.enter("has no answer to its tombstone", entry, Phase::Closing)];
        if self.record == Some((entry, State::NotRun)) {
            steps.push(self.report(entry, Reported::NotRunKey));
        }
        steps
    }

    fn confirmed(&self, entry: usize, mutation: Mutation) -> Vec<Step> {
        let mut late = self.report(entry, Reported::NotRunKey);
        late.0.push_str(", too late to send or not connected");
        if mutation == Mutation::SendAfterNotRun {
            late.1.phases[entry] = Phase::Confirmed;
        }
        let mut recorded = late.clone();
        recorded.1.settle(entry, State::NotRun);
        vec![self.send(entry), late, recorded]
    }

    fn sent(&self, entry: usize, mutation: Mutation) -> Vec<Step> {
        let answered = self.report(entry, Reported::Done);
        let mut recorded = answered.clone();
        recorded.0.push_str(" and records it");
        recorded.1.settle(entry, State::Done);
        let lost = match mutation {
            Mutation::LostAnswerIsNotRun => Reported::NotRunKey,
            _ => Reported::Unknown,
        };
        vec![answered, recorded, self.report(entry, lost)]
    }

    fn settle(&mut self, claim: usize, state: State) {
        if self.record == Some((claim, State::Claimed)) {
            self.record = Some((claim, state));
            self.version += 1;
        }
    }
}

fn counterexample(mutation: Mutation) -> Option<Vec<String>> {
    let successors = |world: &World| {
        world
            .steps(mutation)
            .into_iter()
            .map(|(_, next)| next)
            .collect::<Vec<_>>()
    };
    let path = bfs(&World::start(), successors, World::violates)?;
    let label = |pair: &[World]| {
        let mut steps = pair[0].steps(mutation).into_iter();
        steps.find(|(_, next)| *next == pair[1]).map(|(label, _)| label)
    };
    Some(path.windows(2).filter_map(label).collect())
}

#[test]
fn all_states_keep_the_invariants() {
    let successors = |world: &World| {
        world
            .steps(Mutation::None)
            .into_iter()
            .map(|(_, next)| next)
            .collect::<Vec<_>>()
    };
    let mut states = 0_usize;
    for world in bfs_reach(World::start(), successors) {
        assert!(!world.violates(), "{world:?}");
        states += 1;
    }
    println!("{states} states");
    assert!(states > 10_000, "only {states} states were explored");
}

#[test_case(Mutation::UnconditionalWrite; "writes are not conditional")]
#[test_case(Mutation::KeyNotChecked; "the owner overwrites a record of the key")]
#[test_case(Mutation::SendBeforeConfirmation; "the call is sent before the claim is confirmed")]
#[test_case(Mutation::NotRunWithoutTombstone; "an absent claim counts as not run")]
#[test_case(Mutation::TombstoneIgnored; "a claim replaces a tombstone")]
#[test_case(Mutation::TakeOverFromDeadSender; "another entry sends for a dead one")]
#[test_case(Mutation::LostAnswerIsNotRun; "a lost answer of the target counts as not run")]
#[test_case(Mutation::LookupClosesClaim; "a status lookup without a result closes the claim")]
#[test_case(Mutation::SendAfterNotRun; "the call is sent after not run was answered")]
fn mutation_is_caught(mutation: Mutation) {
    let steps = counterexample(mutation).expect("the mutation must break an invariant");
    println!("{}", steps.join("\n"));
}
