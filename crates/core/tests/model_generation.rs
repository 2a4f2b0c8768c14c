//! A specification of attempts, indexes, release and takeover, explored exhaustively.
//!
//! It guards against a design in which some order of events gives a caller a missing, repeated or mixed token (H1, H2),
//! or in which a caller whose entry died cannot continue although every copy survived. Each rule can be left out; the
//! search then has to find the shortest counterexample.

use std::cell::Cell;
use std::hash::{Hash, Hasher};

use pathfinding::directed::bfs::bfs;
use test_case::test_case;

/// The tokens of an answer.
const LENGTH: usize = 3;
const OWNERS: usize = 2;
const COPIES: usize = 2;
const ATTEMPTS: u8 = 3;
const BRANCHES: u8 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    ReleaseAfterAcknowledgement,
    EpochFence,
    Lineage,
    AttemptCheck,
}

/// What else the run may do, and which rule is left out.
#[derive(Clone, Copy, Debug)]
struct Run {
    without: Option<Rule>,
    /// The caller may resume on a second connection while it reads the first. Both may then be cut off explicitly, so
    /// that only the order of the tokens is checked.
    second_connection: bool,
}

/// A token: the attempt that computed it and its index.
type Token = (u8, u8);

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Line {
    epoch: u8,
    /// Branch and the length at which it began.
    lineage: Vec<(u8, u8)>,
    tape: Vec<Token>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Owner {
    line: Line,
    attempt: u8,
    copy: usize,
    acked: usize,
    released: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Append {
    owner: usize,
    copy: usize,
    line: Line,
    first: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    owners: Vec<Option<Owner>>,
    copies: Vec<Option<Line>>,
    /// At most one append is in flight per owner.
    appends: Vec<Append>,
    /// For each attempt, its owner and the tokens it continued. All its further tokens count as computed, and their
    /// frames stay in flight, so that each can arrive at any time, in any order and repeatedly.
    attempts: Vec<(usize, Vec<Token>)>,
    moved: bool,
    branches: u8,
    read: Vec<Token>,
    branch: u8,
    serving: Option<usize>,
    refused: bool,
}

/// A state and the step that led to it. Two nodes with the same state are equal, whichever step led there.
#[derive(Clone, Debug)]
struct Node {
    state: State,
    step: Option<Step>,
}

impl PartialEq for Node {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl Eq for Node {}

impl Hash for Node {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.state.hash(state);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Frame { attempt: usize, index: usize },
    NextAttempt { owner: usize },
    Send { owner: usize },
    Deliver { owner: usize, copy: usize },
    LoseAppend { owner: usize },
    Move { owner: usize },
    Read { owner: usize },
    Die { owner: usize },
    Return { owner: usize },
    Take { copy: usize, owner: usize },
    TakeOnSecondConnection { copy: usize, owner: usize },
    TakeWithLostAnswer { copy: usize },
    Refused,
}

impl Line {
    fn branch(&self) -> u8 {
        self.lineage.last().map_or(0, |link| link.0)
    }

    /// Whether a caller that has `next` tokens of `branch` may continue with this line, of which `length` are known.
    fn continues(&self, run: Run, branch: u8, next: usize, length: usize) -> bool {
        if run.without == Some(Rule::Lineage) {
            return next <= length;
        }
        let Some(position) = self.lineage.iter().position(|link| link.0 == branch) else {
            return false;
        };
        let shared = self.lineage.get(position + 1).map_or(length, |link| link.1 as usize);
        next <= shared
    }
}

impl State {
    fn start() -> Self {
        let line = Line {
            epoch: 0,
            lineage: vec![(0, 0)],
            tape: Vec::new(),
        };
        let mut state = Self {
            owners: vec![None; OWNERS],
            copies: vec![Some(line.clone()), None],
            appends: Vec::new(),
            attempts: Vec::new(),
            moved: false,
            branches: 1,
            read: Vec::new(),
            branch: 0,
            serving: Some(0),
            refused: false,
        };
        state.own(0, line, 0);
        state
    }

    fn own(&mut self, owner: usize, line: Line, copy: usize) {
        let length = line.tape.len();
        self.owners[owner] = Some(Owner {
            line,
            attempt: 0,
            copy,
            acked: length,
            released: length,
        });
        self.open(owner);
    }

    fn open(&mut self, owner: usize) {
        let number = u8::try_from(self.attempts.len()).expect("few attempts");
        if let Some(state) = &mut self.owners[owner] {
            state.attempt = number;
            self.attempts.push((owner, state.line.tape.clone()));
        }
    }

    fn steps(&self, run: Run) -> Vec<Node> {
        let mut next = Vec::new();
        self.engine_steps(run, &mut next);
        for (owner, state) in self.owners.iter().enumerate() {
            if let Some(state) = state {
                self.owner_steps(run, owner, state, &mut next);
            }
        }
        self.append_steps(run, &mut next);
        self.caller_steps(run, &mut next);
        next
    }

    fn with(&self, step: Step, change: impl FnOnce(&mut State)) -> Node {
        let mut state = self.clone();
        change(&mut state);
        Node {
            state,
            step: Some(step),
        }
    }

    fn engine_steps(&self, run: Run, next: &mut Vec<Node>) {
        for (attempt, (owner, base)) in self.attempts.iter().enumerate() {
            let Some(state) = &self.owners[*owner] else {
                continue;
            };
            let number = u8::try_from(attempt).expect("few attempts");
            let current = number == state.attempt || run.without == Some(Rule::AttemptCheck);
            let index = state.line.tape.len();
            if current && (base.len()..LENGTH).contains(&index) {
                let token = (number, u8::try_from(index).expect("few tokens"));
                next.push(self.with(Step::Frame { attempt, index }, |state| {
                    if let Some(owner) = &mut state.owners[*owner] {
                        owner.line.tape.push(token);
                    }
                }));
            }
        }
    }

    fn owner_steps(&self, run: Run, owner: usize, state: &Owner, next: &mut Vec<Node>) {
        if self.attempts.len() < usize::from(ATTEMPTS) {
            next.push(self.with(Step::NextAttempt { owner }, |state| state.open(owner)));
        }
        let sending = self.appends.iter().any(|append| append.owner == owner);
        if !sending && state.acked < state.line.tape.len() {
            next.push(self.with(Step::Send { owner }, |next| {
                next.send(owner, state, state.copy, state.acked);
            }));
        }
        if !self.moved {
            next.push(self.with(Step::Move { owner }, |next| {
                let copy = (state.copy + 1) % COPIES;
                next.moved = true;
                // The append to the old peer may still arrive, but its acknowledgement no longer counts.
                next.send(owner, state, copy, 0);
                if let Some(state) = &mut next.owners[owner] {
                    state.copy = copy;
                    state.acked = 0;
                }
            }));
        }
        let releasable = match run.without {
            Some(Rule::ReleaseAfterAcknowledgement) => state.line.tape.len(),
            _ => state.released.max(state.acked),
        };
        if self.serving == Some(owner) && self.read.len() < releasable {
            next.push(self.with(Step::Read { owner }, |next| {
                next.read.push(state.line.tape[next.read.len()]);
                if let Some(state) = &mut next.owners[owner] {
                    state.released = state.released.max(next.read.len());
                }
            }));
        }
        next.push(self.with(Step::Die { owner }, |next| next.end(owner)));
    }

    fn send(&mut self, owner: usize, state: &Owner, copy: usize, first: usize) {
        let line = state.line.clone();
        self.appends.push(Append {
            owner,
            copy,
            line,
            first,
        });
    }

    fn end(&mut self, owner: usize) {
        self.owners[owner] = None;
        if self.serving == Some(owner) {
            self.serving = None;
        }
    }

    fn append_steps(&self, run: Run, next: &mut Vec<Node>) {
        for (index, append) in self.appends.iter().enumerate() {
            let (owner, copy) = (append.owner, append.copy);
            next.push(self.with(Step::LoseAppend { owner }, |state| {
                state.appends.remove(index);
            }));
            next.push(self.with(Step::Deliver { owner, copy }, |state| {
                let append = state.appends.remove(index);
                state.deliver(run, &append);
            }));
        }
    }

    fn deliver(&mut self, run: Run, append: &Append) {
        let owner = append.owner;
        let fences = run.without != Some(Rule::EpochFence);
        match &mut self.copies[append.copy] {
            Some(copy) if fences && append.line.epoch < copy.epoch => return self.end(owner),
            Some(copy) if fences && append.line.epoch == copy.epoch && append.line.branch() != copy.branch() => return,
            Some(copy) if append.first <= copy.tape.len() && append.line.epoch <= copy.epoch => {
                let known = copy.tape.len().min(append.line.tape.len());
                copy.tape.extend_from_slice(&append.line.tape[known..]);
            }
            copy if append.first == 0 => *copy = Some(append.line.clone()),
            _ => return,
        }
        if let Some(state) = &mut self.owners[owner]
            && state.copy == append.copy
            && state.line.branch() == append.line.branch()
        {
            state.acked = state.acked.max(append.line.tape.len());
        }
    }

    fn caller_steps(&self, run: Run, next: &mut Vec<Node>) {
        let position = self.read.len();
        let reading = self.serving.is_some();
        for (owner, state) in self.owners.iter().enumerate() {
            let serves = state.as_ref().is_some_and(|state| {
                let known = state.released.max(state.acked);
                state.line.continues(run, self.branch, position, known)
            });
            if let (true, Some(state), false) = (serves, state, self.serving == Some(owner)) {
                next.push(self.with(Step::Return { owner }, |next| {
                    next.serving = Some(owner);
                    next.branch = state.line.branch();
                }));
            }
        }
        let free = (0..OWNERS).find(|owner| self.owners[*owner].is_none() && !self.is_sending(*owner));
        let free = free.filter(|_| self.attempts.len() < usize::from(ATTEMPTS));
        let mut granted = false;
        for copy in 0..COPIES {
            let line = self.copies[copy].as_ref();
            let line = line.filter(|line| line.continues(run, self.branch, position, line.tape.len()));
            granted |= line.is_some();
            let (Some(owner), Some(_)) = (free, line) else {
                continue;
            };
            next.push(self.with(Step::Take { copy, owner }, |next| {
                next.take(copy, Some(owner));
                next.serving = Some(owner);
                next.branch = next.branches - 1;
            }));
            next.push(self.with(Step::TakeWithLostAnswer { copy }, |next| next.take(copy, None)));
            if run.second_connection && reading {
                let step = Step::TakeOnSecondConnection { copy, owner };
                next.push(self.with(step, |next| next.take(copy, Some(owner))));
            }
        }
        // A moved copy that is still on its way reaches the peer or fails before the owner's tokens are released.
        let waits = !self.appends.is_empty() || self.owners.iter().any(Option::is_some);
        if !granted && !reading && !waits && !run.second_connection {
            next.push(self.with(Step::Refused, |next| next.refused = true));
        }
    }

    fn is_sending(&self, owner: usize) -> bool {
        self.appends.iter().any(|append| append.owner == owner)
    }

    fn take(&mut self, copy: usize, owner: Option<usize>) {
        let branch = self.branches;
        let Some(line) = &mut self.copies[copy] else {
            return;
        };
        self.branches += 1;
        line.epoch += 1;
        line.lineage
            .push((branch, u8::try_from(line.tape.len()).expect("few tokens")));
        let line = line.clone();
        if let Some(owner) = owner {
            self.own(owner, line, copy);
        }
    }

    /// Whether the caller got a wrong answer, or a refusal although all copies survived.
    fn is_wrong(&self) -> bool {
        let follows = |index: usize| {
            let (attempt, number) = self.read[index];
            let base = &self.attempts[attempt as usize].1;
            let before = match index.checked_sub(1) {
                None => return number == 0,
                Some(before) => self.read[before],
            };
            let expected = if index == base.len() {
                base.last().copied()
            } else {
                Some((attempt, number - 1))
            };
            usize::from(number) == index && expected == Some(before)
        };
        self.refused || !(0..self.read.len()).all(follows)
    }

    /// Branches are numbered in the order of takeovers, which bounds the search.
    fn is_within_bounds(&self) -> bool {
        self.branches <= BRANCHES && self.appends.len() <= 2
    }
}

/// Returns the number of states and the steps to the nearest wrong state.
fn explore(run: Run) -> (usize, Option<Vec<Step>>) {
    let states = Cell::new(0);
    let start = Node {
        state: State::start(),
        step: None,
    };
    let path = bfs(
        &start,
        |node| {
            states.set(states.get() + 1);
            let mut next = node.state.steps(run);
            next.retain(|node| node.state.is_within_bounds());
            next
        },
        |node| node.state.is_wrong(),
    );
    let steps = path.map(|path| path.iter().filter_map(|node| node.step).collect());
    (states.get(), steps)
}

#[test_case(false; "one connection")]
#[test_case(true; "two connections")]
fn no_order_of_events_gives_a_wrong_answer(second_connection: bool) {
    let run = Run {
        without: None,
        second_connection,
    };
    let (states, counterexample) = explore(run);
    println!("{states} states");
    assert_eq!(counterexample, None);
    assert!(states > 10_000, "only {states} states were reached");
}

#[test_case(Rule::ReleaseAfterAcknowledgement, false)]
#[test_case(Rule::EpochFence, false)]
#[test_case(Rule::Lineage, false)]
#[test_case(Rule::AttemptCheck, false)]
#[test_case(Rule::Lineage, true)]
fn each_rule_is_needed(rule: Rule, second_connection: bool) {
    let run = Run {
        without: Some(rule),
        second_connection,
    };
    let (states, counterexample) = explore(run);
    let steps = counterexample.expect("a counterexample");
    println!("without {rule:?}, after {states} states: {steps:?}");
}
