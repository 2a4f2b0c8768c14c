//! Two rollouts of one service in a row: a good version, then a bad one. `TROUBLE=0` orders only the bad one.

#[path = "../standins/mod.rs"]
mod standins;

use std::thread;
use std::time::Duration;

use standins::deployment::Gateway;
use standins::sleep_until;
use standins::world::{self, Exposure, ROLLED_BACK_STAY, World};

/// The duration in the page's example of an order.
const GOOD_ORDER: Duration = Duration::from_secs(12);
const BAD_ORDER: Duration = Duration::from_secs(8);
const PAUSE: Duration = Duration::from_secs(6);
/// The portion of the bad version's responses that are failures.
const FAILURES_IN_TEN: u64 = 4;

fn main() {
    let world = World::start();
    let record = &world.record;
    let (old, mut good) = if world::has_trouble() {
        (world.start_version(1, 0), Vec::new())
    } else {
        (Vec::new(), world.start_version(2, 0))
    };
    let mut gateways = world.start_gateways();
    let traffic = world.start_traffic(&gateways, world::RATE);
    if world::has_trouble() {
        thread::sleep(Duration::from_secs(2));
        good = world.start_version(2, 0);
        world.order("v2", GOOD_ORDER);
        if world.wait_for_verdict("v2", GOOD_ORDER + Duration::from_secs(5)) != Some("completed") {
            world::give_up(record, "the good version is not completed");
        }
        // "At `completed`, the old servers stop immediately, without draining."
        old.iter().for_each(|server| server.stop(&world.store));
    }
    thread::sleep(PAUSE);

    let bad = world.start_version(3, FAILURES_IN_TEN);
    let ordered = world.order("v3", BAD_ORDER);
    if world.wait_for_verdict("v3", BAD_ORDER + Duration::from_secs(5)) == Some("rolled_back") {
        thread::sleep(ROLLED_BACK_STAY);
        bad.iter().for_each(|server| server.register(&world.store, "draining"));
        record.say("the servers of v3 drain");
        thread::sleep(Duration::from_secs(2));
    }
    sleep_until(record, ordered + BAD_ORDER);
    let _answers = traffic.stop(record);
    if gateways.iter_mut().any(Gateway::has_ended) {
        world::give_up(record, "a gateway ended by itself");
    }
    let exposure = Exposure {
        ordered,
        deadline: ordered + BAD_ORDER,
        of_bad: world::arrivals(&bad),
        of_service: world::arrivals(old.iter().chain(&good).chain(&bad)),
    };
    // No gateway was disturbed, so all are in touch.
    let is_broken = exposure.is_broken(record, |_arrival| true);
    drop(gateways);
    std::process::exit(i32::from(is_broken));
}
