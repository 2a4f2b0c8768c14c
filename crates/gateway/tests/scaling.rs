//! When targets are ordered, and when not.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_gateway::config::Scaling;
use hawthornpost_gateway::load::Load;
use hawthornpost_gateway::scaling::bounds::Error;
use hawthornpost_gateway::scaling::occupancy::Condition;
use hawthornpost_gateway::scaling::{Bounds, Hold, Occupancy, Planner, Proposal, Reason, Sample, View};
use test_case::test_case;

const STARTUP: Duration = Duration::from_secs(8);
const SCALING: Scaling = Scaling {
    min: 4,
    max: 40,
    startup: STARTUP,
};

/// A planner with the time and the state of its service.
struct Fixture {
    planner: Planner,
    now: Instant,
    sample: Sample,
}

impl Fixture {
    /// A service in three data centres of 30 targets each, of which some read a prompt.
    fn new(busy: usize) -> Self {
        let mut fixture = Self {
            planner: Planner::new(Bounds::new(SCALING).expect("valid bounds")),
            now: Instant::from_millis(100_000),
            sample: sample(30),
        };
        fixture.load(busy);
        fixture
    }

    fn load(&mut self, busy: usize) {
        for (index, target) in self.sample.targets.iter_mut().enumerate() {
            target.load = Load::stream(if index < busy { 5000 } else { 0 }, 0);
        }
    }

    /// Lets time pass; returns what is proposed then, without confirming it.
    fn pass(&mut self, seconds: u64) -> Vec<Proposal> {
        for _ in 0..seconds * 2 {
            self.now = self.now + Duration::from_millis(500);
            self.planner.record(self.now, &self.sample);
        }
        self.planner.propose(self.now, "pool")
    }

    fn confirm(&mut self, proposals: &[Proposal]) {
        for proposal in proposals {
            self.planner.confirm(self.now, &proposal.order);
        }
    }
}

fn sample(targets: usize) -> Sample {
    let targets = (0..3 * targets).map(|index| Occupancy {
        data_centre: ["a", "b", "c"][index % 3].to_owned(),
        load: Load::default(),
        slots: 12,
        condition: Condition::Ready,
    });
    Sample {
        targets: targets.collect(),
        memory_tokens: Some(55_000),
        ..Sample::default()
    }
}

fn has_reason(proposals: &[Proposal], reason: Reason) -> bool {
    proposals.len() == 3 && proposals.iter().all(|proposal| proposal.reason == reason)
}

/// Guards against bounds that make the holder order nonsense or panic, and against errors without a remedy.
#[test_case(Scaling { max: 0, ..SCALING }, Error::NoMaximum)]
#[test_case(Scaling { min: 41, ..SCALING }, Error::MinimumAboveMaximum { max: 40 })]
#[test_case(Scaling { startup: Duration::ZERO, ..SCALING }, Error::NoStartup)]
#[test_case(Scaling { startup: Duration::MAX, ..SCALING }, Error::NoStartup)]
fn invalid_bounds_are_refused(scaling: Scaling, expected: Error) {
    let error = Bounds::new(scaling).expect_err("invalid bounds");
    assert_eq!(error, expected);
    assert!(error.to_string().contains("; "), "{error} names a remedy");
}

/// Guards against targets that are removed before the first requests come, when no demand is known.
#[test]
fn a_service_without_requests_keeps_its_targets() {
    let mut fixture = Fixture::new(0);
    for target in &mut fixture.sample.targets {
        target.load = Load::default();
    }
    assert_eq!(fixture.pass(60), []);
}

/// Demand more than doubles. Guards against a number that follows it slowly while callers wait.
#[test]
fn more_targets_are_ordered_at_once() {
    let mut fixture = Fixture::new(30);
    assert_eq!(fixture.pass(10), []);
    fixture.load(80);
    let proposals = fixture.pass(3);
    assert!(has_reason(&proposals, Reason::Demand), "{proposals:?}");
    assert!(proposals.iter().all(|proposal| proposal.order.targets > 30));
}

/// Guards against a number that falls faster than streams find room elsewhere, or below what the loss of the largest
/// data centre leaves.
#[test]
fn fewer_targets_are_ordered_in_steps() {
    let mut fixture = Fixture::new(18);
    assert_eq!(fixture.pass(10), []);
    let proposals = fixture.pass(10);
    assert!(has_reason(&proposals, Reason::Surplus), "{proposals:?}");
    assert!(proposals.iter().all(|proposal| proposal.order.targets == 24));
    fixture.confirm(&proposals);
    fixture.sample = sample(24);
    fixture.load(18);
    assert_eq!(fixture.pass(2), [], "right after a change");
    for _ in 0..20 {
        let proposals = fixture.pass(5);
        fixture.confirm(&proposals);
        if let Some(proposal) = proposals.first() {
            assert!(2 * proposal.order.targets >= 18, "two data centres bear the demand");
            fixture.sample = sample(proposal.order.targets as usize);
            fixture.load(18);
        }
    }
}

/// Guards against targets that are removed while others fail, leave or change their version.
#[test_case(|sample: &mut Sample| sample.targets[0].condition = Condition::Troubled, Hold::Troubled)]
#[test_case(|sample: &mut Sample| sample.targets[0].condition = Condition::Leaving, Hold::Lost)]
#[test_case(|sample: &mut Sample| drop(sample.targets.pop()), Hold::Lost)]
#[test_case(|sample: &mut Sample| sample.is_rolling_out = true, Hold::Rollout)]
fn trouble_prevents_fewer_targets(spoil: fn(&mut Sample), expected: Hold) {
    let mut fixture = Fixture::new(18);
    fixture.pass(19);
    spoil(&mut fixture.sample);
    assert_eq!(fixture.pass(3), []);
    assert_eq!(fixture.planner.hold(fixture.now), Some(expected));
    fixture.sample = sample(30);
    fixture.load(18);
    assert_eq!(fixture.pass(1), [], "shortly after it");
    assert!(has_reason(&fixture.pass(8), Reason::Surplus));
}

/// Long prompts are read, and no request arrives, while a target is in trouble. Guards against orders that take targets away
/// from work in progress once the trouble is over.
#[test]
fn work_that_outlasts_trouble_keeps_its_targets() {
    let mut fixture = Fixture::new(45);
    fixture.sample.requests = [("a".to_owned(), 20.0)].into();
    assert_eq!(fixture.pass(20), []);
    fixture.sample.requests.clear();
    fixture.sample.targets[0].condition = Condition::Troubled;
    assert_eq!(fixture.pass(15), []);
    fixture.sample.targets[0].condition = Condition::Ready;
    for second in 1..=6 {
        assert_eq!(fixture.pass(1), [], "{second} s after the trouble");
    }
}

/// The platform accepts an order for more targets that then do not start. Guards against an order that is lost for good,
/// and against one that is repeated all the time.
#[test]
fn an_order_without_effect_is_repeated() {
    let mut fixture = Fixture::new(80);
    let proposals = fixture.pass(10);
    fixture.confirm(&proposals);
    assert_eq!(fixture.pass(7), [], "the targets are starting");
    let repeats = fixture.pass(4);
    assert!(has_reason(&repeats, Reason::Missing), "{repeats:?}");
    assert_eq!(repeats[0].order, proposals[0].order);
    fixture.confirm(&repeats);
    assert_eq!(fixture.pass(11), [], "the interval grows");
}

/// A data centre is away for a moment. Guards against orders that replace targets which restart by themselves.
#[test]
fn targets_that_restart_are_not_replaced() {
    let mut fixture = Fixture::new(40);
    fixture.pass(20);
    let whole = fixture.sample.clone();
    fixture.sample.targets.retain(|target| target.data_centre != "a");
    assert_eq!(fixture.pass(3), []);
    fixture.sample = whole;
    assert_eq!(fixture.pass(1), []);
}

/// A data centre is lost for good. Guards against a number that is left at what the others have.
#[test]
fn targets_that_are_lost_for_good_are_replaced() {
    let mut fixture = Fixture::new(40);
    fixture.pass(20);
    fixture.sample.targets.retain(|target| target.data_centre != "a");
    let proposals = fixture.pass(6);
    let [proposal] = proposals.as_slice() else {
        panic!("one order, for the data centre: {proposals:?}");
    };
    assert!(proposal.order.data_centre == "a" && proposal.order.targets > 20);
    fixture.confirm(&proposals);
    assert_eq!(fixture.pass(7), [], "none are removed elsewhere meanwhile");
}

/// Streams and their copies fill two thirds of the memory. Guards against targets that are ordered for the loss of a data centre
/// although the copies already occupy what its streams need then.
#[test_case(true, 0; "with copies")]
#[test_case(false, 3; "without copies")]
fn copies_bear_the_loss_of_a_data_centre(has_copies: bool, orders: usize) {
    let mut fixture = Fixture::new(0);
    fixture.sample.has_copies = has_copies;
    for target in &mut fixture.sample.targets {
        target.load = Load::stream(0, 36_000);
    }
    assert_eq!(fixture.pass(10).len(), orders);
}

/// An operator has added targets beyond the maximum. Guards against orders that remove many of them under load, or that
/// exceed the maximum, which the platform never fulfils.
#[test]
fn targets_beyond_the_maximum_are_left_to_the_operator() {
    let mut fixture = Fixture::new(18);
    fixture.sample = sample(50);
    fixture.load(18);
    assert_eq!(fixture.pass(30), []);
}

/// Guards against orders from a host that knows too little: a new holder, one that is cut off, one with an old list.
#[test]
fn a_host_that_knows_too_little_orders_nothing() {
    let at = |seconds: u64| Instant::from_millis(100_000 + 1000 * seconds);
    let mut view = View::new(at(0));
    view.record(at(1), 80, false);
    assert_eq!(view.hold(at(1)), Some(Hold::Settling));
    assert_eq!(view.hold(at(6)), None);
    view.record(at(7), 39, false);
    assert_eq!(view.hold(at(7)), Some(Hold::FewHosts));
    view.record(at(8), 80, true);
    assert_eq!(view.hold(at(8)), None);
    view.record(at(12), 80, true);
    assert_eq!(view.hold(at(12)), Some(Hold::OldTargets));
}
