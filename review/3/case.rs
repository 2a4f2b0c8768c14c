//! A rollout of a version that turns bad in the last quarter of the order's time. `TROUBLE=0`: it stays good.

#[path = "../standins/mod.rs"]
mod standins;

use std::thread;
use std::time::Duration;

use standins::deployment::Gateway;
use standins::sleep_until;
use standins::world::{self, Exposure, ROLLED_BACK_STAY, World};

/// The duration in the page's example of an order.
const ORDER: Duration = Duration::from_secs(12);
/// When the new version turns bad, after the order.
const BAD_AT: Duration = Duration::from_secs(9);
/// The portion of the bad version's responses that are failures.
const FAILURES_IN_TEN: u64 = 6;

fn main() {
    let world = World::start();
    let record = &world.record;
    let old = world.start_version(1, 0);
    let mut gateways = world.start_gateways();
    let traffic = world.start_traffic(&gateways, world::RATE);
    thread::sleep(Duration::from_secs(2));
    let new = world.start_version(2, 0);
    let ordered = world.order("v2", ORDER);
    sleep_until(record, ordered + BAD_AT);
    if world::has_trouble() {
        new.iter().for_each(|server| server.set_failures(FAILURES_IN_TEN));
        record.say("v2 turns bad");
    }
    let verdict = world.wait_for_verdict("v2", ordered + ORDER + Duration::from_secs(1) - record.now());
    let verdict_at = record.now();
    match verdict {
        Some("completed") => {
            // "At `completed`, the old servers stop immediately, without draining."
            old.iter().for_each(|server| server.stop(&world.store));
            record.say("the servers of v1 stop");
        }
        Some(_) => {
            sleep_until(record, verdict_at + ROLLED_BACK_STAY);
            new.iter().for_each(|server| server.register(&world.store, "draining"));
            record.say("the servers of v2 drain");
        }
        None => {}
    }
    sleep_until(record, ordered + ORDER + Duration::from_secs(12));
    let _answers = traffic.stop(record);
    if gateways.iter_mut().any(Gateway::has_ended) {
        world::give_up(record, "a gateway ended by itself");
    }
    let in_trial = world::arrivals(&new)
        .into_iter()
        .filter(|arrival| arrival.at < verdict_at);
    let in_trial = in_trial
        .filter(|arrival| arrival.at > ordered + BAD_AT)
        .collect::<Vec<_>>();
    let bad = in_trial.iter().filter(|arrival| arrival.is_bad).count();
    record.say(&format!(
        "after the change and before the verdict, v2 failed {bad} of {} requests",
        in_trial.len()
    ));
    let exposure = Exposure {
        ordered,
        deadline: ordered + ORDER,
        of_bad: world::arrivals(&new),
        of_service: world::arrivals(old.iter().chain(&new)),
    };
    // No gateway was disturbed, so all are in touch.
    let is_broken = exposure.is_broken(record, |_arrival| true);
    drop(gateways);
    std::process::exit(i32::from(is_broken));
}
