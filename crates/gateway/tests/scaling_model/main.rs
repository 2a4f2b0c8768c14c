//! Model of a service under periodic demand with bursts and losses: the planner against other rules, in virtual time.
#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "all numbers of the model are small and not negative"
)]

mod service;

use hawthornpost_gateway::scaling::Bounds;
use hawthornpost_gateway::{config::Scaling, scaling::Planner};
use std::time::Duration;
use test_case::test_case;

use service::{Day, Policy, Result, Service};

const SEEDS: u64 = 5;

fn bounds() -> Bounds {
    let startup = Duration::from_secs(8);
    Bounds::new(Scaling {
        min: 15,
        max: 38,
        startup,
    })
    .expect("valid bounds")
}

/// Runs a day with several seeds.
fn play(day: Day, policy: impl Fn() -> Policy) -> Result {
    let results = (0..SEEDS).map(|seed| Service::new(seed, day, policy()).play());
    results.fold(Result::default(), Result::sum)
}

/// Guards against orders that let callers wait longer than without any, and against ones that save nothing.
#[test_case(Day { name: "wave and bursts", ..Day::default() })]
#[test_case(Day { name: "a data centre is away for 1.2 s each 6 s", spell: Some((240.0, 300.0)), ..Day::default() })]
#[test_case(Day { name: "a fifth of the targets is lost for good", loss: Some((200.0, 0.2)), ..Day::default() })]
#[test_case(Day { name: "both", spell: Some((240.0, 300.0)), loss: Some((200.0, 0.2)) })]
fn orders_save_targets_and_callers_do_not_wait(day: Day) {
    let none = play(day, || Policy::None);
    let fixed = play(day, || Policy::Fixed(25));
    let proportional = play(day, || Policy::Proportional);
    let planned = play(day, || Policy::Planned(Box::new(Planner::new(bounds()))));
    println!("{}, {} requests", day.name, none.requests);
    for (name, result) in [
        ("none", none),
        ("fixed", fixed),
        ("proportional", proportional),
        ("planner", planned),
    ] {
        let Result {
            late, target_seconds, ..
        } = result;
        println!("| {} | {name} | {target_seconds:.0} | {late} |", day.name);
    }
    assert!(planned.late <= none.late + none.requests / 100, "callers wait");
    assert!(planned.target_seconds < none.target_seconds, "nothing is saved");
}
