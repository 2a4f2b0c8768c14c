//! Stateful fuzzing of generations against an oracle that knows every token of every branch.
//!
//! Guards against a token that is missing, repeated or of another generation (H1, H2, H4) under kills, pauses,
//! partitions, late, repeated and crossed frames, takeovers and moves of the copy.

#![expect(missing_docs, reason = "the trait of the library makes the steps public")]

mod support;

use std::cell::RefCell;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use support::{Counters, ENGINES, ENTRIES, REQUESTS, World};

thread_local! {
    /// What all cases together covered, so that the test cannot pass without takeovers and fences.
    static COVERED: RefCell<Counters> = RefCell::default();
}

#[derive(Clone, Debug)]
pub enum Step {
    Deliver(usize, bool),
    DeliverAll,
    Cross(usize),
    Lose(usize),
    Compute(usize),
    Advance(u64),
    KillEngine(usize, bool),
    StartEngine(usize),
    FreezeEngine(usize),
    KillEntry(usize),
    PauseEntry(usize),
    WakeEntry(usize),
    Block(usize, usize, bool),
    LosePeer(usize, usize),
    Suspend(usize, usize),
    Read(usize, u32),
    Reconnect(usize, usize, bool),
    ReconnectTwice(usize, usize),
}

#[derive(Debug)]
pub struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let entry = || 0..ENTRIES;
        let engine = || 0..ENGINES;
        let request = || 0..REQUESTS;
        prop_oneof![
            12 => (any::<usize>(), prop::bool::weighted(0.1)).prop_map(|(pick, again)| Step::Deliver(pick, again)),
            6 => Just(Step::DeliverAll),
            2 => any::<usize>().prop_map(Step::Cross),
            1 => any::<usize>().prop_map(Step::Lose),
            8 => engine().prop_map(Step::Compute),
            4 => prop_oneof![Just(60), Just(260), Just(600), Just(1600)].prop_map(Step::Advance),
            1 => (engine(), any::<bool>()).prop_map(|(engine, silent)| Step::KillEngine(engine, silent)),
            2 => engine().prop_map(Step::StartEngine),
            1 => engine().prop_map(Step::FreezeEngine),
            1 => entry().prop_map(Step::KillEntry),
            2 => entry().prop_map(Step::PauseEntry),
            3 => entry().prop_map(Step::WakeEntry),
            2 => (entry(), entry(), any::<bool>()).prop_map(|(left, right, on)| Step::Block(left, right, on)),
            1 => (entry(), request()).prop_map(|(entry, request)| Step::LosePeer(entry, request)),
            1 => (entry(), request()).prop_map(|(entry, request)| Step::Suspend(entry, request)),
            8 => (request(), 1..6_u32).prop_map(|(request, count)| Step::Read(request, count)),
            3 => (request(), entry()).prop_map(|(request, entry)| Step::ReconnectTwice(request, entry)),
            4 => (request(), entry(), any::<bool>()).prop_map(|(request, entry, lost)| {
                Step::Reconnect(request, entry, lost)
            }),
        ]
        .boxed()
    }

    fn apply((): (), _transition: &Step) {}
}

impl StateMachineTest for World {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(state: World, (): &(), transition: Step) -> World {
        let mut world = state;
        match transition {
            Step::Deliver(pick, again) => world.deliver(pick, again),
            Step::DeliverAll => (0..20).for_each(|_| world.deliver(0, false)),
            Step::Cross(pick) => world.cross(pick),
            Step::Lose(pick) => world.lose(pick),
            Step::Compute(engine) => world.compute(engine),
            Step::Advance(millis) => world.advance(millis),
            Step::KillEngine(engine, silent) => world.kill_engine(engine, silent),
            Step::StartEngine(engine) => world.start_engine(engine),
            Step::FreezeEngine(engine) => world.freeze_engine(engine),
            Step::KillEntry(entry) => world.kill_entry(entry),
            Step::PauseEntry(entry) => world.pause_entry(entry),
            Step::WakeEntry(entry) => world.wake_entry(entry),
            Step::Block(left, right, blocked) => world.set_blocked(left, right, blocked),
            Step::LosePeer(entry, request) => world.lose_peer(entry, request),
            Step::Suspend(entry, request) => world.suspend(entry, request),
            Step::Read(request, count) => world.read(request, count),
            Step::Reconnect(request, entry, lost) => world.reconnect(request, entry, lost),
            Step::ReconnectTwice(request, entry) => world.reconnect_twice(request, entry),
        }
        world
    }

    fn check_invariants(state: &World, (): &()) {
        state.check();
    }

    fn teardown(state: World, (): ()) {
        let mut world = state;
        world.settle();
        world.check();
        COVERED.with_borrow_mut(|covered| {
            covered.takeovers += world.counters.takeovers;
            covered.refusals += world.counters.refusals;
            covered.fenced += world.counters.fenced;
            covered.completed += world.counters.completed;
        });
    }
}

#[test]
fn answers_are_whole_and_unmixed() {
    let config = Config {
        cases: 1000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_251_204),
        max_shrink_iters: 20_000,
        ..Config::default()
    };
    proptest!(config, |((state, steps, seen) in Reference::sequential_strategy(1..120))| {
        World::test_sequential(config.clone(), state, steps, seen);
    });
    COVERED.with_borrow(|covered| {
        println!("covered: {covered:?}");
        assert!(
            covered.takeovers > 500 && covered.fenced > 50,
            "too few takeovers: {covered:?}"
        );
        assert!(covered.completed > 500, "too few whole answers: {covered:?}");
    });
}
