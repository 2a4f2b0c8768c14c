//! Stateful fuzzing of admission control.
//!
//! Guards against a target that is overfilled while entries join, leave, fail and pause, and receive views and load
//! reports late or not at all.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::{Account, Model, Target};
use hawthornpost_core::limit::{Demand, Limiter, Parameters, Reservation, Sharer};
use hawthornpost_core::wire::Load;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const CAPACITY: u64 = 10_000;
const ENTRIES: usize = 6;
const STEP_DURATION: Duration = Duration::from_millis(500);
/// The maximum number of steps until a view or report reaches an entry.
const MAX_DELAY_STEPS: u64 = 3;

/// Short time constants, so that a run of a few hundred steps covers several changes of shares.
const PARAMETERS: Parameters = Parameters {
    propagation_delay: Duration::from_secs(2),
    settling_time: Duration::from_secs(5),
    growth_delay: Duration::from_secs(8),
    max_lifetime: Duration::from_secs(20),
    pause_threshold: Duration::from_secs(1),
    max_report_age: Duration::from_secs(3),
    min_sharers: 2,
    headroom_permille: 0,
    overbooking_permille: 1500,
};

#[derive(Clone, Debug)]
enum Step {
    /// Time passes; messages sent meanwhile arrive after `delay` steps.
    Wait { steps: u64, delay: u64 },
    /// An entry requests admission of `size` thousandths of the capacity for some seconds.
    Request { entry: usize, size: u64, seconds: u64 },
    /// An entry starts.
    Start { entry: usize },
    /// An entry stops if its requests have ended.
    Stop { entry: usize },
    /// An entry fails; the target drops its requests later.
    Fail { entry: usize },
    /// An entry is paused for some steps.
    Pause { entry: usize, steps: u64 },
    /// The target sends a load report to some of the entries.
    Report { delay: u64, to: u8 },
    /// The reservations of an entry's first requests grow.
    Grow { entry: usize, tokens: u64 },
    /// A request of an entry ends early.
    Finish { entry: usize },
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let entry = 0..ENTRIES;
        prop_oneof![
            6 => (1..6_u64, 0..=MAX_DELAY_STEPS).prop_map(|(steps, delay)| Step::Wait { steps, delay }),
            1 => (10..60_u64, 0..=MAX_DELAY_STEPS).prop_map(|(steps, delay)| Step::Wait { steps, delay }),
            14 => (entry.clone(), 10..500_u64, 1..=20_u64)
                .prop_map(|(entry, size, seconds)| Step::Request { entry, size, seconds }),
            3 => entry.clone().prop_map(|entry| Step::Start { entry }),
            1 => entry.clone().prop_map(|entry| Step::Stop { entry }),
            1 => entry.clone().prop_map(|entry| Step::Fail { entry }),
            1 => (entry.clone(), 1..60_u64).prop_map(|(entry, steps)| Step::Pause { entry, steps }),
            4 => (0..=MAX_DELAY_STEPS, any::<u8>()).prop_map(|(delay, to)| Step::Report { delay, to }),
            10 => (entry.clone(), 1..1000_u64).prop_map(|(entry, tokens)| Step::Grow { entry, tokens }),
            2 => entry.prop_map(|entry| Step::Finish { entry }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// A process of an entry.
struct Process {
    started: Instant,
    limiter: Limiter,
    reservations: Vec<(Reservation, u64)>,
    paused_until: Option<Instant>,
    views: Vec<(Instant, Vec<Sharer>)>,
    reports: Vec<(Instant, Load)>,
}

/// A request in the memory of the target, which the oracle sums up.
struct Held {
    id: u64,
    entry: usize,
    tokens: u64,
    end: Instant,
}

struct Simulation<T> {
    now: Instant,
    parameters: Parameters,
    processes: Vec<Option<Process>>,
    /// Since when each entry has been counted without interruption, and until when it still counts.
    counted: Vec<Option<(Instant, Option<Instant>)>>,
    held: Vec<Held>,
    next_id: u64,
    variant: std::marker::PhantomData<T>,
}

/// The settings of a run; implementations disable one rule.
trait Variant {
    fn parameters() -> Parameters;
}

fn names() -> (Account, Model, Target) {
    (
        "crews".parse().unwrap(),
        "letters".parse().unwrap(),
        "engine".parse().unwrap(),
    )
}

impl<T: Variant> Simulation<T> {
    fn new() -> Self {
        Self {
            now: Instant::ZERO,
            parameters: T::parameters(),
            processes: (0..ENTRIES).map(|_| None).collect(),
            counted: vec![None; ENTRIES],
            held: Vec::new(),
            next_id: 0,
            variant: std::marker::PhantomData,
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Wait { steps, delay } => (0..steps).for_each(|_| self.advance(delay)),
            Step::Request { entry, size, seconds } => self.request(entry, CAPACITY * size / 1000, seconds),
            Step::Start { entry } => self.start(entry),
            Step::Stop { entry } => self.stop(entry),
            Step::Fail { entry } => self.fail(entry),
            Step::Pause { entry, steps } => self.pause(entry, steps),
            Step::Report { delay, to } => self.report(delay, to),
            Step::Grow { entry, tokens } => self.grow(entry, tokens),
            Step::Finish { entry } => self.finish(entry),
        }
    }

    fn advance(&mut self, delay: u64) {
        self.now = self.now + STEP_DURATION;
        let now = self.now;
        self.held.retain(|held| held.end > now);
        for counted in &mut self.counted {
            if counted.is_some_and(|(_, until)| until.is_some_and(|until| until <= now)) {
                *counted = None;
            }
        }
        for entry in 0..ENTRIES {
            self.send_view(entry, delay);
            self.tick(entry);
        }
    }

    /// Sends the current view to an entry, which receives it after the delay, like a message of the membership
    /// protocol.
    fn send_view(&mut self, entry: usize, delay: u64) {
        let (now, others) = (self.now, self.others(entry));
        if let Some(process) = &mut self.processes[entry] {
            let arrival = now + STEP_DURATION * u32::try_from(delay).unwrap();
            process.views.push((arrival, others));
        }
    }

    /// Returns the other entries in the view of an entry. A running process drops a failed entry from its view at once,
    /// while a process that started after the failure still receives it.
    fn others(&self, entry: usize) -> Vec<Sharer> {
        let started = self.processes[entry]
            .as_ref()
            .map_or(self.now, |process| process.started);
        let others = self.counted.iter().enumerate().filter(|(other, _)| *other != entry);
        let counted = others.filter_map(|(other, counted)| counted.map(|(since, until)| (other, since, until)));
        let visible =
            counted.filter(|(_, _, until)| until.is_none_or(|until| until <= started + PARAMETERS.growth_delay));
        let sharer = |(other, since, _)| Sharer {
            entry: format!("e{other}").parse().unwrap(),
            age: self.now - since,
        };
        visible.map(sharer).collect()
    }

    fn tick(&mut self, entry: usize) {
        let now = self.now;
        let Some(process) = &mut self.processes[entry] else {
            return;
        };
        if process.paused_until.is_some_and(|until| until > now) {
            return;
        }
        if process.paused_until.take().is_some() {
            self.resume(entry);
        }
        let (_, _, target) = names();
        let held = &self.held;
        let Some(process) = &mut self.processes[entry] else {
            return;
        };
        process.limiter.tick(now);
        process
            .reservations
            .retain(|(_, id)| held.iter().any(|held| held.id == *id));
        let arrived = |at: &Instant| *at <= now;
        for (_, view) in process.views.extract_if(.., |(at, _)| arrived(at)) {
            process.limiter.observe(now, &target, &view);
        }
        for (_, load) in process.reports.extract_if(.., |(at, _)| arrived(at)) {
            process.limiter.report(now, &target, &load);
        }
    }

    fn resume(&mut self, entry: usize) {
        match &mut self.counted[entry] {
            Some((_, until)) => *until = None,
            absent => *absent = Some((self.now, None)),
        }
    }

    fn start(&mut self, entry: usize) {
        if self.processes[entry].is_some() {
            return;
        }
        let (_, model, target) = names();
        let mut limiter = Limiter::new(self.now, self.parameters);
        limiter.add(self.now, &target, &model, CAPACITY);
        self.processes[entry] = Some(Process {
            started: self.now,
            limiter,
            reservations: Vec::new(),
            paused_until: None,
            views: Vec::new(),
            reports: Vec::new(),
        });
        match &mut self.counted[entry] {
            Some((_, until)) => *until = None,
            absent => *absent = Some((self.now, None)),
        }
    }

    fn stop(&mut self, entry: usize) {
        let idle = |process: &Process| process.reservations.is_empty() && process.paused_until.is_none();
        if self.processes[entry].as_ref().is_some_and(idle) && !self.held.iter().any(|held| held.entry == entry) {
            self.processes[entry] = None;
            self.counted[entry] = None;
        }
    }

    fn fail(&mut self, entry: usize) {
        if self.processes[entry].take().is_some() {
            self.schedule_loss(entry, self.now);
        }
    }

    fn pause(&mut self, entry: usize, steps: u64) {
        let until = self.now + STEP_DURATION * u32::try_from(steps).unwrap();
        let Some(process) = &mut self.processes[entry] else {
            return;
        };
        if process.paused_until.is_some() {
            return;
        }
        process.paused_until = Some(until);
        if until - self.now > self.parameters.growth_delay {
            self.schedule_loss(entry, self.now);
        }
    }

    /// Schedules the loss of an entry that does not respond: the target drops its requests after a delay, and the other
    /// entries count it until then.
    fn schedule_loss(&mut self, entry: usize, since: Instant) {
        let lost_at = since + PARAMETERS.growth_delay;
        let own = self.held.iter_mut().filter(|held| held.entry == entry);
        own.for_each(|held| held.end = held.end.min(lost_at));
        if let Some((_, until)) = &mut self.counted[entry] {
            *until = Some(lost_at);
        }
    }

    fn request(&mut self, entry: usize, tokens: u64, seconds: u64) {
        let (account, _, target) = names();
        let Some(process) = &mut self.processes[entry] else {
            return;
        };
        if process.paused_until.is_some() {
            return;
        }
        let demand = Demand {
            account: &account,
            priority: 9,
            share: 10,
            prompt: tokens / 2,
            expected: tokens - tokens / 2,
        };
        if let Ok(reservation) = process.limiter.admit(self.now, &target, &demand) {
            process.reservations.push((reservation, self.next_id));
            self.held.push(Held {
                id: self.next_id,
                entry,
                tokens: demand.reserved(),
                end: self.now + Duration::from_secs(seconds),
            });
            self.next_id += 1;
        }
    }

    fn grow(&mut self, entry: usize, tokens: u64) {
        let now = self.now;
        let Some(process) = &mut self.processes[entry] else {
            return;
        };
        if process.paused_until.is_some() {
            return;
        }
        for (reservation, id) in process.reservations.iter_mut().take(3) {
            let held = self.held.iter_mut().find(|held| held.id == *id);
            if let Some(held) = held
                && reservation.grow(now, tokens).is_ok()
            {
                held.tokens += tokens;
            }
        }
    }

    fn report(&mut self, delay: u64, to: u8) {
        let (_, model, _) = names();
        let load = Load {
            model,
            version: "v1".parse().unwrap(),
            tokens_held: self.memory() / 2,
            tokens_capacity: CAPACITY,
            running: 0,
            waiting: 0,
            sequence: self.next_id,
        };
        self.next_id += 1;
        let arrival = self.now + STEP_DURATION * u32::try_from(delay).unwrap();
        for (entry, process) in self.processes.iter_mut().enumerate() {
            if let Some(process) = process.as_mut().filter(|_| to & (1 << entry) != 0) {
                process.reports.push((arrival, load.clone()));
            }
        }
    }

    fn finish(&mut self, entry: usize) {
        let own = self.held.iter().position(|held| held.entry == entry);
        if let Some(index) = own {
            self.held.swap_remove(index);
        }
    }

    fn memory(&self) -> u64 {
        self.held.iter().map(|held| held.tokens).sum()
    }

    fn check(&self) {
        assert!(
            self.memory() <= CAPACITY,
            "the target holds {} of {CAPACITY} tokens",
            self.memory()
        );
        let (_, _, target) = names();
        for process in self.processes.iter().flatten() {
            let charged = process.reservations.iter().map(|(_, id)| self.tokens(*id)).sum::<u64>();
            // Reservations of ended requests are released at the entry's next tick.
            assert!(
                process.limiter.reserved(&target) >= charged,
                "a reservation was released twice"
            );
        }
    }

    fn tokens(&self, id: u64) -> u64 {
        self.held
            .iter()
            .find(|held| held.id == id)
            .map_or(0, |held| held.tokens)
    }

    /// Ends all requests and checks that no reservation remains.
    fn finish_all(mut self) {
        let (account, model, target) = names();
        for process in self.processes.iter_mut().flatten() {
            process.reservations.clear();
            assert_eq!(
                process.limiter.charged(&target),
                0,
                "a reservation at the target was leaked"
            );
            assert_eq!(
                process.limiter.charged_to(&account, &model),
                0,
                "a reservation of the account was leaked"
            );
        }
    }
}

struct Fuzz<T>(std::marker::PhantomData<T>);

impl<T: Variant> StateMachineTest for Fuzz<T> {
    type SystemUnderTest = Simulation<T>;
    type Reference = Reference;

    fn init_test(_ref_state: &()) -> Simulation<T> {
        Simulation::new()
    }

    fn apply(mut state: Simulation<T>, _ref_state: &(), transition: Step) -> Simulation<T> {
        state.step(&transition);
        state
    }

    fn check_invariants(state: &Simulation<T>, _ref_state: &()) {
        state.check();
    }

    fn teardown(state: Simulation<T>, _ref_state: ()) {
        state.finish_all();
    }
}

/// Runs this many cases and returns the panic message of the first failure.
fn run<T: Variant>(seed: u64, cases: u32) -> Result<(), String> {
    let config = Config {
        rng_seed: RngSeed::Fixed(seed),
        ..Config::default()
    };
    let mut runner = TestRunner::new(config.clone());
    let strategy = Reference::sequential_strategy(40..300);
    for _ in 0..cases {
        let ((), steps, _) = strategy.new_tree(&mut runner).unwrap().current();
        let case = || Fuzz::<T>::test_sequential(config.clone(), (), steps, None);
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(case)).map_err(panic_message)?;
    }
    Ok(())
}

fn panic_message(panic: Box<dyn std::any::Any + Send>) -> String {
    panic
        .downcast::<String>()
        .map_or_else(|_| "panicked".to_owned(), |text| *text)
}

struct Unmodified;

impl Variant for Unmodified {
    fn parameters() -> Parameters {
        PARAMETERS
    }
}

/// Guards against a target that receives more requests than fit into its memory while the views of the entries differ.
#[test]
fn target_is_never_overfilled_and_no_reservation_is_leaked() {
    let cases = std::env::var("FUZZ_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(500);
    assert_eq!(run::<Unmodified>(11, cases), Ok(()));
}

macro_rules! fails_without {
    ($rule:ident, $test:ident, $($field:ident: $value:expr),+) => {
        struct $rule;

        impl Variant for $rule {
            fn parameters() -> Parameters {
                Parameters { $($field: $value,)+ ..PARAMETERS }
            }
        }

        /// Checks that the fuzzer finds a failure when this rule is disabled.
        #[test]
        fn $test() {
            let failure = run::<$rule>(11, 4000).unwrap_err();
            assert!(failure.contains("the target holds"), "{failure}");
        }
    };
}

fails_without!(NoGrowthDelay, shares_that_grow_at_once_overfill_the_target, growth_delay: Duration::ZERO);
fails_without!(NoPauseDetection, undetected_pauses_overfill_the_target, pause_threshold: Duration::MAX);
