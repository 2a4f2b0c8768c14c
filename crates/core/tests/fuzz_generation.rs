//! Stateful fuzzing of generations against an oracle that records every token of every branch.
//!
//! Guards against a token that is missing, repeated or from another generation (H1, H2, H4) under crashes, pauses,
//! partitions, late, repeated and misdelivered frames, takeovers and changes of the replica's peer.

#![expect(
    missing_docs,
    reason = "the steps are public because a trait of the fuzzing library requires it"
)]

mod support;

use std::cell::RefCell;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use support::{Counters, ENGINES, ENTRIES, REQUESTS, Simulation};

thread_local! {
    /// The sum of the coverage counters of all cases, so that the test cannot pass without takeovers and fencing.
    static COVERAGE: RefCell<Counters> = RefCell::default();
}

#[derive(Clone, Debug)]
pub enum Step {
    Deliver(usize, bool),
    DeliverAll,
    Misdeliver(usize),
    DropMessage(usize),
    Generate(usize),
    Advance(u64),
    KillEngine(usize, bool),
    StartEngine(usize),
    FreezeEngine(usize),
    KillEntry(usize),
    PauseEntry(usize),
    ResumeEntry(usize),
    Partition(usize, usize, bool),
    ReportPeerLost(usize, usize),
    Suspend(usize, usize),
    Read(usize, u32),
    Reconnect(usize, usize, bool),
    OpenSecondConnection(usize, usize),
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
            12 => (any::<usize>(), prop::bool::weighted(0.1)).prop_map(|(pick, repeat)| Step::Deliver(pick, repeat)),
            6 => Just(Step::DeliverAll),
            2 => any::<usize>().prop_map(Step::Misdeliver),
            1 => any::<usize>().prop_map(Step::DropMessage),
            8 => engine().prop_map(Step::Generate),
            4 => prop_oneof![Just(60), Just(260), Just(600), Just(1600)].prop_map(Step::Advance),
            1 => (engine(), any::<bool>()).prop_map(|(engine, silent)| Step::KillEngine(engine, silent)),
            2 => engine().prop_map(Step::StartEngine),
            1 => engine().prop_map(Step::FreezeEngine),
            1 => entry().prop_map(Step::KillEntry),
            2 => entry().prop_map(Step::PauseEntry),
            3 => entry().prop_map(Step::ResumeEntry),
            2 => (entry(), entry(), any::<bool>()).prop_map(|(left, right, is_partitioned)| {
                Step::Partition(left, right, is_partitioned)
            }),
            1 => (entry(), request()).prop_map(|(entry, request)| Step::ReportPeerLost(entry, request)),
            1 => (entry(), request()).prop_map(|(entry, request)| Step::Suspend(entry, request)),
            8 => (request(), 1..6_u32).prop_map(|(request, count)| Step::Read(request, count)),
            3 => (request(), entry()).prop_map(|(request, entry)| Step::OpenSecondConnection(request, entry)),
            4 => (request(), entry(), any::<bool>()).prop_map(|(request, entry, lost)| {
                Step::Reconnect(request, entry, lost)
            }),
        ]
        .boxed()
    }

    fn apply((): (), _transition: &Step) {}
}

impl StateMachineTest for Simulation {
    type SystemUnderTest = Simulation;
    type Reference = Reference;

    fn init_test((): &()) -> Simulation {
        Simulation::new()
    }

    fn apply(state: Simulation, (): &(), transition: Step) -> Simulation {
        let mut simulation = state;
        match transition {
            Step::Deliver(pick, repeat) => simulation.deliver(pick, repeat),
            Step::DeliverAll => (0..20).for_each(|_| simulation.deliver(0, false)),
            Step::Misdeliver(pick) => simulation.misdeliver(pick),
            Step::DropMessage(pick) => simulation.drop_message(pick),
            Step::Generate(engine) => simulation.generate(engine),
            Step::Advance(millis) => simulation.advance(millis),
            Step::KillEngine(engine, silent) => simulation.kill_engine(engine, silent),
            Step::StartEngine(engine) => simulation.start_engine(engine),
            Step::FreezeEngine(engine) => simulation.freeze_engine(engine),
            Step::KillEntry(entry) => simulation.kill_entry(entry),
            Step::PauseEntry(entry) => simulation.pause_entry(entry),
            Step::ResumeEntry(entry) => simulation.resume_entry(entry),
            Step::Partition(left, right, is_partitioned) => simulation.set_partitioned(left, right, is_partitioned),
            Step::ReportPeerLost(entry, request) => simulation.report_peer_lost(entry, request),
            Step::Suspend(entry, request) => simulation.suspend(entry, request),
            Step::Read(request, count) => simulation.read(request, count),
            Step::Reconnect(request, entry, lost) => simulation.reconnect(request, entry, lost),
            Step::OpenSecondConnection(request, entry) => simulation.open_second_connection(request, entry),
        }
        simulation
    }

    fn check_invariants(state: &Simulation, (): &()) {
        state.check();
    }

    fn teardown(state: Simulation, (): ()) {
        let mut simulation = state;
        simulation.recover();
        simulation.check();
        COVERAGE.with_borrow_mut(|coverage| {
            coverage.takeovers += simulation.counters.takeovers;
            coverage.refusals += simulation.counters.refusals;
            coverage.fenced += simulation.counters.fenced;
            coverage.completed += simulation.counters.completed;
        });
    }
}

#[test]
fn answers_are_complete_and_not_mixed() {
    let config = Config {
        cases: 1000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_251_204),
        max_shrink_iters: 20_000,
        ..Config::default()
    };
    proptest!(config, |((state, steps, seen) in Reference::sequential_strategy(1..120))| {
        Simulation::test_sequential(config.clone(), state, steps, seen);
    });
    COVERAGE.with_borrow(|coverage| {
        println!("coverage: {coverage:?}");
        assert!(
            coverage.takeovers > 500 && coverage.fenced > 50,
            "too few takeovers or fenced owners: {coverage:?}"
        );
        assert!(coverage.completed > 500, "too few complete answers: {coverage:?}");
    });
}
