//! Exhaustively checked model of attempts, indexes, release and takeover.
//!
//! Guards against a protocol in which some order of events gives a caller a missing, repeated or mixed token (H1,
//! H2), or in which a caller whose entry failed cannot continue although every replica survived. Each rule of the
//! protocol can be disabled; the breadth-first search then has to find the shortest counterexample.

use std::cell::Cell;
use std::hash::{Hash, Hasher};

use pathfinding::directed::bfs::bfs;
use test_case::test_case;

const ANSWER_TOKENS: usize = 3;
const OWNERS: usize = 2;
const REPLICAS: usize = 2;
const MAX_ATTEMPTS: u8 = 3;
const MAX_BRANCHES: u8 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    ReleaseAfterAcknowledgement,
    EpochFence,
    Lineage,
    AttemptCheck,
}

/// The parameters of a search.
#[derive(Clone, Copy, Debug)]
struct Run {
    /// The rule that is disabled.
    disabled: Option<Rule>,
    /// Whether the caller may resume on a second connection while it reads from the first. Both connections may then be
    /// closed with an error, so only the order of the tokens is checked.
    second_connection: bool,
}

/// A token, identified by the attempt that generated it and its index.
type Token = (u8, u8);

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct History {
    epoch: u8,
    /// Each branch and the length at which it started.
    lineage: Vec<(u8, u8)>,
    transcript: Vec<Token>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Owner {
    history: History,
    attempt: u8,
    replica: usize,
    acked: usize,
    released: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Append {
    owner: usize,
    replica: usize,
    history: History,
    first: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    owners: Vec<Option<Owner>>,
    replicas: Vec<Option<History>>,
    /// The appends in flight; an owner has at most one per peer.
    appends: Vec<Append>,
    /// The owner of each attempt and the tokens that it continues. All further tokens of an attempt count as generated,
    /// and their frames stay in flight, so that each can arrive at any time, in any order and repeatedly.
    attempts: Vec<(usize, Vec<Token>)>,
    peer_changed: bool,
    branches: u8,
    read: Vec<Token>,
    branch: u8,
    serving: Option<usize>,
    refused: bool,
}

/// A state and the step that led to it. Nodes are compared by state only.
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
    OpenAttempt { owner: usize },
    Send { owner: usize },
    Deliver { owner: usize, replica: usize },
    LoseAppend { owner: usize },
    ChangePeer { owner: usize },
    Read { owner: usize },
    Crash { owner: usize },
    Reconnect { owner: usize },
    TakeOver { replica: usize, owner: usize },
    TakeOverOnSecondConnection { replica: usize, owner: usize },
    TakeOverWithLostReply { replica: usize },
    Refused,
}

impl History {
    fn branch(&self) -> u8 {
        self.lineage.last().map_or(0, |link| link.0)
    }

    /// Returns whether a caller that has `next` tokens of `branch` may continue with this history, of which `length`
    /// tokens are known.
    fn continues(&self, run: Run, branch: u8, next: usize, length: usize) -> bool {
        if run.disabled == Some(Rule::Lineage) {
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
        let history = History {
            epoch: 0,
            lineage: vec![(0, 0)],
            transcript: Vec::new(),
        };
        let mut state = Self {
            owners: vec![None; OWNERS],
            replicas: vec![Some(history.clone()), None],
            appends: Vec::new(),
            attempts: Vec::new(),
            peer_changed: false,
            branches: 1,
            read: Vec::new(),
            branch: 0,
            serving: Some(0),
            refused: false,
        };
        state.start_owner(0, history, 0);
        state
    }

    fn start_owner(&mut self, owner: usize, history: History, replica: usize) {
        let length = history.transcript.len();
        self.owners[owner] = Some(Owner {
            history,
            attempt: 0,
            replica,
            acked: length,
            released: length,
        });
        self.open_attempt(owner);
    }

    fn open_attempt(&mut self, owner: usize) {
        let number = u8::try_from(self.attempts.len()).expect("few attempts");
        if let Some(state) = &mut self.owners[owner] {
            state.attempt = number;
            self.attempts.push((owner, state.history.transcript.clone()));
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

    fn successor(&self, step: Step, change: impl FnOnce(&mut State)) -> Node {
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
            let current = number == state.attempt || run.disabled == Some(Rule::AttemptCheck);
            let index = state.history.transcript.len();
            if current && (base.len()..ANSWER_TOKENS).contains(&index) {
                let token = (number, u8::try_from(index).expect("few tokens"));
                next.push(self.successor(Step::Frame { attempt, index }, |state| {
                    if let Some(owner) = &mut state.owners[*owner] {
                        owner.history.transcript.push(token);
                    }
                }));
            }
        }
    }

    fn owner_steps(&self, run: Run, owner: usize, state: &Owner, next: &mut Vec<Node>) {
        if self.attempts.len() < usize::from(MAX_ATTEMPTS) {
            next.push(self.successor(Step::OpenAttempt { owner }, |state| state.open_attempt(owner)));
        }
        let sending = self.appends.iter().any(|append| append.owner == owner);
        if !sending && state.acked < state.history.transcript.len() {
            next.push(self.successor(Step::Send { owner }, |next| {
                next.send(owner, state, state.replica, state.acked);
            }));
        }
        if !self.peer_changed {
            next.push(self.successor(Step::ChangePeer { owner }, |next| {
                let replica = (state.replica + 1) % REPLICAS;
                next.peer_changed = true;
                // The append to the previous peer may still arrive, but its acknowledgement is ignored.
                next.send(owner, state, replica, 0);
                if let Some(state) = &mut next.owners[owner] {
                    state.replica = replica;
                    state.acked = 0;
                }
            }));
        }
        let releasable = match run.disabled {
            Some(Rule::ReleaseAfterAcknowledgement) => state.history.transcript.len(),
            _ => state.released.max(state.acked),
        };
        if self.serving == Some(owner) && self.read.len() < releasable {
            next.push(self.successor(Step::Read { owner }, |next| {
                next.read.push(state.history.transcript[next.read.len()]);
                if let Some(state) = &mut next.owners[owner] {
                    state.released = state.released.max(next.read.len());
                }
            }));
        }
        next.push(self.successor(Step::Crash { owner }, |next| next.stop_owner(owner)));
    }

    fn send(&mut self, owner: usize, state: &Owner, replica: usize, first: usize) {
        let history = state.history.clone();
        self.appends.push(Append {
            owner,
            replica,
            history,
            first,
        });
    }

    fn stop_owner(&mut self, owner: usize) {
        self.owners[owner] = None;
        if self.serving == Some(owner) {
            self.serving = None;
        }
    }

    fn append_steps(&self, run: Run, next: &mut Vec<Node>) {
        for (index, append) in self.appends.iter().enumerate() {
            let (owner, replica) = (append.owner, append.replica);
            next.push(self.successor(Step::LoseAppend { owner }, |state| {
                state.appends.remove(index);
            }));
            next.push(self.successor(Step::Deliver { owner, replica }, |state| {
                let append = state.appends.remove(index);
                state.deliver(run, &append);
            }));
        }
    }

    fn deliver(&mut self, run: Run, append: &Append) {
        let owner = append.owner;
        let checks_epoch = run.disabled != Some(Rule::EpochFence);
        match &mut self.replicas[append.replica] {
            Some(replica) if checks_epoch && append.history.epoch < replica.epoch => return self.stop_owner(owner),
            Some(replica)
                if checks_epoch
                    && append.history.epoch == replica.epoch
                    && append.history.branch() != replica.branch() =>
            {
                return;
            }
            Some(replica) if append.first <= replica.transcript.len() && append.history.epoch <= replica.epoch => {
                let known = replica.transcript.len().min(append.history.transcript.len());
                replica
                    .transcript
                    .extend_from_slice(&append.history.transcript[known..]);
            }
            replica if append.first == 0 => *replica = Some(append.history.clone()),
            _ => return,
        }
        if let Some(state) = &mut self.owners[owner]
            && state.replica == append.replica
            && state.history.branch() == append.history.branch()
        {
            state.acked = state.acked.max(append.history.transcript.len());
        }
    }

    fn caller_steps(&self, run: Run, next: &mut Vec<Node>) {
        let position = self.read.len();
        let reading = self.serving.is_some();
        for (owner, state) in self.owners.iter().enumerate() {
            let serves = state.as_ref().is_some_and(|state| {
                let known = state.released.max(state.acked);
                state.history.continues(run, self.branch, position, known)
            });
            if let (true, Some(state), false) = (serves, state, self.serving == Some(owner)) {
                next.push(self.successor(Step::Reconnect { owner }, |next| {
                    next.serving = Some(owner);
                    next.branch = state.history.branch();
                }));
            }
        }
        let free_owner = (0..OWNERS).find(|owner| self.owners[*owner].is_none() && !self.is_sending(*owner));
        let free_owner = free_owner.filter(|_| self.attempts.len() < usize::from(MAX_ATTEMPTS));
        let mut granted = false;
        for replica in 0..REPLICAS {
            let history = self.replicas[replica].as_ref();
            let history =
                history.filter(|history| history.continues(run, self.branch, position, history.transcript.len()));
            granted |= history.is_some();
            let (Some(owner), Some(_)) = (free_owner, history) else {
                continue;
            };
            next.push(self.successor(Step::TakeOver { replica, owner }, |next| {
                next.take_over(replica, Some(owner));
                next.serving = Some(owner);
                next.branch = next.branches - 1;
            }));
            next.push(self.successor(Step::TakeOverWithLostReply { replica }, |next| {
                next.take_over(replica, None);
            }));
            if run.second_connection && reading {
                let step = Step::TakeOverOnSecondConnection { replica, owner };
                next.push(self.successor(step, |next| next.take_over(replica, Some(owner))));
            }
        }
        // A replica that is still being sent to a new peer arrives or fails before the owner's tokens are released.
        let is_pending = !self.appends.is_empty() || self.owners.iter().any(Option::is_some);
        if !granted && !reading && !is_pending && !run.second_connection {
            next.push(self.successor(Step::Refused, |next| next.refused = true));
        }
    }

    fn is_sending(&self, owner: usize) -> bool {
        self.appends.iter().any(|append| append.owner == owner)
    }

    fn take_over(&mut self, replica: usize, owner: Option<usize>) {
        let branch = self.branches;
        let Some(history) = &mut self.replicas[replica] else {
            return;
        };
        self.branches += 1;
        history.epoch += 1;
        history
            .lineage
            .push((branch, u8::try_from(history.transcript.len()).expect("few tokens")));
        let history = history.clone();
        if let Some(owner) = owner {
            self.start_owner(owner, history, replica);
        }
    }

    /// Returns whether the caller received an incorrect answer, or a refusal although all replicas survived.
    fn is_incorrect(&self) -> bool {
        let follows = |index: usize| {
            let (attempt, number) = self.read[index];
            let base = &self.attempts[attempt as usize].1;
            let previous = match index.checked_sub(1) {
                None => return number == 0,
                Some(previous) => self.read[previous],
            };
            let expected = if index == base.len() {
                base.last().copied()
            } else {
                Some((attempt, number - 1))
            };
            usize::from(number) == index && expected == Some(previous)
        };
        self.refused || !(0..self.read.len()).all(follows)
    }

    /// Returns whether the state is within the bounds of the search. Branches are numbered in the order of takeovers.
    fn is_within_bounds(&self) -> bool {
        self.branches <= MAX_BRANCHES && self.appends.len() <= 2
    }
}

/// Returns the number of explored states and the shortest sequence of steps to an incorrect state.
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
        |node| node.state.is_incorrect(),
    );
    let steps = path.map(|path| path.iter().filter_map(|node| node.step).collect());
    (states.get(), steps)
}

#[test_case(false; "one connection")]
#[test_case(true; "two connections")]
fn no_order_of_events_gives_an_incorrect_answer(second_connection: bool) {
    let run = Run {
        disabled: None,
        second_connection,
    };
    let (states, counterexample) = explore(run);
    println!("{states} states");
    assert_eq!(counterexample, None);
    assert!(states > 10_000, "only {states} states were explored");
}

#[test_case(Rule::ReleaseAfterAcknowledgement, false)]
#[test_case(Rule::EpochFence, false)]
#[test_case(Rule::Lineage, false)]
#[test_case(Rule::AttemptCheck, false)]
#[test_case(Rule::Lineage, true)]
fn each_rule_is_required(rule: Rule, second_connection: bool) {
    let run = Run {
        disabled: Some(rule),
        second_connection,
    };
    let (states, counterexample) = explore(run);
    let steps = counterexample.expect("a counterexample");
    println!("{rule:?} disabled: counterexample after {states} states: {steps:?}");
}
