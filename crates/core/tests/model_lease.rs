//! Exhaustive model check of leases and orders: two entries with clocks of different rates, one of which may be
//! suspended; conditional writes that lose their results or take effect late; loss of an entry's state; and orders that
//! arrive late.
//!
//! Guards against an order that is executed after an order of a newer lease, both at an engine that checks fencing
//! numbers and at one that ignores them. Each rule has a mutation that removes it and has to yield a counterexample.

use pathfinding::prelude::{bfs, bfs_reach};
use test_case::test_case;

const ENTRIES: usize = 2;
/// All times are in ticks. Each of the two clocks may deviate by one tick within a run, which `CLOCK_DRIFT` covers.
const TERM: u8 = 3;
const CLOCK_DRIFT: u8 = 1;
const DELIVERY_TIME: u8 = 1;
const ORDERS_END: u8 = TERM + DELIVERY_TIME;
/// Ages are capped here, because all higher ages are equivalent.
const MAX_AGE: u8 = ORDERS_END + CLOCK_DRIFT;
/// The maximum number of writes of the lease object in a run.
const MAX_VERSIONS: u8 = 3;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Mutation {
    None,
    HolderCountsFromAnswer,
    HolderIgnoresDrift,
    ObserverIgnoresDrift,
    ObserverKeepsFirstRead,
    NoWait,
    WaitCoversTermOnly,
    ClockJumpIgnored,
    UnconditionalWrite,
    EngineIgnoresNumber,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
struct Write {
    entry: usize,
    base: u8,
    takes: bool,
    // The entry no longer waits for the result; the write may still take effect.
    lost: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
struct Order {
    number: u8,
    tenure: u8,
    remaining: u8,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Held {
    remaining: u8,
    number: u8,
    tenure: u8,
}

// Times are stored as ages and remaining times on the entry's own clock.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, Debug)]
struct Entry {
    seen: Option<(u8, u8)>,
    sent: Option<u8>,
    answer: Option<(u8, u8)>,
    held: Option<Held>,
    wait: u8,
    ordered: bool,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts of a small state")]
struct World {
    // Whether the engine checks fencing numbers.
    checks: bool,
    slow: bool,
    fast: bool,
    version: u8,
    tenure: u8,
    writes: Vec<Write>,
    entries: [Entry; ENTRIES],
    orders: Vec<Order>,
    highest_number: u8,
    executed: u8,
    violated: bool,
}

type Step = (String, World);

impl World {
    fn start(checks: bool) -> Self {
        Self {
            checks,
            slow: true,
            fast: true,
            version: 0,
            tenure: 0,
            writes: Vec::new(),
            entries: [Entry::default(); ENTRIES],
            orders: Vec::new(),
            highest_number: 0,
            executed: 0,
            violated: false,
        }
    }

    fn with(&self, label: impl Into<String>, change: impl FnOnce(&mut Self)) -> Step {
        let mut next = self.clone();
        change(&mut next);
        next.writes.sort_unstable();
        next.orders.sort_unstable();
        (label.into(), next)
    }

    fn steps(&self, mutation: Mutation) -> Vec<Step> {
        let mut steps = self.ticks(mutation);
        steps.extend(self.platform(mutation));
        steps.extend(self.engine(mutation));
        for index in 0..ENTRIES {
            steps.extend(self.entry(index, mutation));
        }
        steps
    }

    // The clock of entry 0 may be slow by one tick and that of entry 1 fast by one. Entry 0 may also be suspended,
    // which stops its clock; it detects that before it does anything else.
    fn ticks(&self, mutation: Mutation) -> Vec<Step> {
        let tick = |label: &str, zero: u8, one: u8, change: fn(&mut Self)| {
            self.with(format!("tick{label}"), |next| {
                next.entries[0].advance(zero);
                next.entries[1].advance(one);
                next.orders.retain(|order| order.remaining > 0);
                for order in &mut next.orders {
                    order.remaining -= 1;
                }
                change(next);
            })
        };
        let detect_suspension = |next: &mut Self| {
            next.entries[0].clear();
            next.lose_calls(0);
        };
        let jump = if mutation == Mutation::ClockJumpIgnored {
            |_: &mut Self| {}
        } else {
            detect_suspension
        };
        let mut steps = vec![tick("", 1, 1, |_| {}), tick(", entry 0 is suspended", 0, 1, jump)];
        if self.slow {
            steps.push(tick(", entry 0 is slow", 0, 1, |next| next.slow = false));
        }
        if self.fast {
            steps.push(tick(", entry 1 is fast", 1, 2, |next| next.fast = false));
        }
        steps
    }

    fn platform(&self, mutation: Mutation) -> Vec<Step> {
        let mut steps = Vec::new();
        for (index, write) in self.writes.iter().enumerate() {
            let applies = write.base == self.version || mutation == Mutation::UnconditionalWrite;
            steps.push(
                self.with(format!("platform handles {write:?}: applied {applies}"), |next| {
                    next.writes.remove(index);
                    if applies {
                        next.version += 1;
                        next.tenure += u8::from(write.takes);
                    }
                    let answer = applies.then_some((next.version, next.tenure));
                    let entry = &mut next.entries[write.entry];
                    match (write.lost, answer) {
                        (true, _) => {}
                        (false, Some(answer)) => entry.answer = Some(answer),
                        (false, None) => entry.clear(),
                    }
                }),
            );
        }
        steps
    }

    // An order may be executed at any time before its end.
    fn engine(&self, mutation: Mutation) -> Vec<Step> {
        let checks = self.checks && mutation != Mutation::EngineIgnoresNumber;
        let mut steps = Vec::new();
        for (index, order) in self.orders.iter().enumerate() {
            let refused = checks && order.number < self.highest_number;
            steps.push(
                self.with(format!("engine handles {order:?}: refused {refused}"), |next| {
                    next.orders.remove(index);
                    if !refused {
                        next.highest_number = order.number;
                        next.violated |= order.tenure < next.executed;
                        next.executed = order.tenure.max(next.executed);
                    }
                }),
            );
        }
        steps
    }

    fn entry(&self, index: usize, mutation: Mutation) -> Vec<Step> {
        let entry = &self.entries[index];
        let mut steps = Vec::new();
        if entry.sent.is_some() {
            steps.extend(self.awaiting_write(index, mutation));
        } else {
            steps.extend(self.idle(index, mutation));
        }
        let waited = self.checks || entry.wait == 0 || mutation == Mutation::NoWait;
        if let Some(held) = entry.held.filter(|_| waited && !entry.ordered) {
            steps.push(self.order(index, held));
        }
        steps
    }

    fn change(&self, index: usize, label: &str, change: impl FnOnce(&mut Entry)) -> Step {
        self.with(format!("entry {index} {label}"), |next| {
            change(&mut next.entries[index]);
        })
    }

    fn lose_calls(&mut self, index: usize) {
        for write in self.writes.iter_mut().filter(|write| write.entry == index) {
            write.lost = true;
        }
        self.writes.sort_unstable();
    }

    fn awaiting_write(&self, index: usize, mutation: Mutation) -> Vec<Step> {
        let mut lost = self.change(index, "treats its write as lost", Entry::clear);
        lost.1.lose_calls(index);
        let received = self.entries[index].answer.map(|(number, tenure)| {
            self.change(index, "gets the answer", |entry| {
                let age = match mutation {
                    Mutation::HolderCountsFromAnswer => 0,
                    _ => entry.sent.unwrap_or_default(),
                };
                let drift = if mutation == Mutation::HolderIgnoresDrift {
                    0
                } else {
                    CLOCK_DRIFT
                };
                let remaining = (TERM - drift).saturating_sub(age);
                let held = Held {
                    remaining,
                    number,
                    tenure,
                };
                entry.held = (remaining > 0).then_some(held);
                entry.sent = None;
                entry.answer = None;
            })
        });
        received.into_iter().chain([lost]).collect()
    }

    fn idle(&self, index: usize, mutation: Mutation) -> Vec<Step> {
        let entry = &self.entries[index];
        if usize::from(self.version) + self.writes.len() >= usize::from(MAX_VERSIONS) {
            return Vec::new();
        }
        if let Some(held) = entry.held {
            return vec![self.write(index, held.number, false, mutation)];
        }
        let mut steps = Vec::new();
        if entry.seen.is_none_or(|(version, _)| version != self.version) {
            steps.push(self.change(index, "reads", |entry| {
                let first = entry.seen.filter(|_| mutation == Mutation::ObserverKeepsFirstRead);
                entry.seen = Some((self.version, first.map_or(0, |(_, age)| age)));
            }));
        }
        if let Some((version, age)) = entry.seen {
            let drift = if mutation == Mutation::ObserverIgnoresDrift {
                0
            } else {
                CLOCK_DRIFT
            };
            if version == 0 || age >= TERM + drift {
                steps.push(self.write(index, version, true, mutation));
            }
        }
        steps
    }

    fn write(&self, entry: usize, base: u8, takes: bool, mutation: Mutation) -> Step {
        let label = if takes { "takes the lease" } else { "renews the lease" };
        let lost = false;
        let (version, age) = self.entries[entry].seen.unwrap_or_default();
        let orders_end = match mutation {
            _ if version == 0 => 0,
            Mutation::ObserverIgnoresDrift => ORDERS_END,
            Mutation::WaitCoversTermOnly => TERM + CLOCK_DRIFT,
            _ => ORDERS_END + CLOCK_DRIFT,
        };
        self.with(format!("entry {entry} {label}"), |next| {
            next.writes.push(Write {
                entry,
                base,
                takes,
                lost,
            });
            let entry = &mut next.entries[entry];
            entry.sent = Some(0);
            if takes {
                entry.wait = orders_end.saturating_sub(age);
            }
        })
    }

    fn order(&self, index: usize, held: Held) -> Step {
        self.with(format!("entry {index} sends an order"), |next| {
            next.entries[index].ordered = true;
            next.orders.push(Order {
                number: held.number,
                tenure: held.tenure,
                remaining: DELIVERY_TIME,
            });
        })
    }
}

impl Entry {
    fn advance(&mut self, ticks: u8) {
        let older = |age: u8| (age + ticks).min(MAX_AGE);
        self.seen = self.seen.map(|(version, age)| (version, older(age)));
        self.sent = self.sent.map(older);
        self.wait = self.wait.saturating_sub(ticks);
        let left = |held: Held| Held {
            remaining: held.remaining.saturating_sub(ticks),
            ..held
        };
        self.held = self.held.map(left).filter(|held| held.remaining > 0);
    }

    fn clear(&mut self) {
        self.sent = None;
        self.answer = None;
        self.held = None;
        self.seen = None;
    }
}

fn counterexample(checks: bool, mutation: Mutation) -> Option<Vec<String>> {
    let successors = |world: &World| {
        world
            .steps(mutation)
            .into_iter()
            .map(|(_, next)| next)
            .collect::<Vec<_>>()
    };
    let path = bfs(&World::start(checks), successors, |world| world.violated)?;
    let label = |pair: &[World]| {
        let mut steps = pair[0].steps(mutation).into_iter();
        steps.find(|(_, next)| *next == pair[1]).map(|(label, _)| label)
    };
    Some(path.windows(2).filter_map(label).collect())
}

#[test_case(true; "engine that checks numbers")]
#[test_case(false; "engine that ignores numbers")]
fn all_states_keep_the_invariant(checks: bool) {
    let successors = |world: &World| {
        world
            .steps(Mutation::None)
            .into_iter()
            .map(|(_, next)| next)
            .collect::<Vec<_>>()
    };
    let mut states = 0_usize;
    for world in bfs_reach(World::start(checks), successors) {
        assert!(!world.violated, "{world:?}");
        states += 1;
    }
    println!("{states} states");
    assert!(states > 10_000, "only {states} states were explored");
}

#[test_case(false, Mutation::HolderCountsFromAnswer; "the holder counts from the answer")]
#[test_case(false, Mutation::HolderIgnoresDrift; "the holder allows for no clock error")]
#[test_case(false, Mutation::ObserverIgnoresDrift; "the observer allows for no clock error")]
#[test_case(false, Mutation::ObserverKeepsFirstRead; "the observer does not restart its measurement after a renewal")]
#[test_case(false, Mutation::NoWait; "the new holder does not wait for earlier orders")]
#[test_case(false, Mutation::WaitCoversTermOnly; "the wait leaves out the delivery time and lifetime of orders")]
#[test_case(false, Mutation::ClockJumpIgnored; "a suspended holder does not detect the suspension")]
#[test_case(false, Mutation::UnconditionalWrite; "writes are not conditional")]
#[test_case(true, Mutation::EngineIgnoresNumber; "an engine that the issuer trusts to check numbers does not")]
fn mutation_is_caught(checks: bool, mutation: Mutation) {
    let steps = counterexample(checks, mutation).expect("the mutation must break the invariant");
    println!("{}", steps.join("\n"));
}
