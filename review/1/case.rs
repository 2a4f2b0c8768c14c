//! A rollout of a version that turns bad, while one gateway is frozen for four seconds around the order's deadline.
//! `TROUBLE=0` leaves the freeze out.

#[path = "../standins/mod.rs"]
mod standins;

use std::thread;
use std::time::Duration;

use standins::deployment::{Gateway, SIGCONT, SIGSTOP};
use standins::engine::Arrival;
use standins::sleep_until;
use standins::world::{self, CONTACT, Exposure, ROLLED_BACK_STAY, World};

/// The duration in the page's example of an order.
const ORDER: Duration = Duration::from_secs(12);
/// When the gateway freezes and for how long, after the order.
const FREEZE_AT: Duration = Duration::from_secs(8);
const FREEZE: Duration = Duration::from_secs(4);
/// When the new version turns bad, after the order.
const BAD_AT: Duration = Duration::from_millis(8500);
/// The portion of the bad version's responses that are failures.
const FAILURES_IN_TEN: u64 = 9;
/// The gateway that freezes: one of the three that watch the store for the others and write the state of an order.
const FROZEN: usize = 3;

fn main() {
    let world = World::start();
    let record = &world.record;
    let old = world.start_version(1, 0);
    let mut gateways = world.start_gateways();
    let traffic = world.start_traffic(&gateways, world::RATE);
    thread::sleep(Duration::from_secs(2));
    let new = world.start_version(2, 0);
    let ordered = world.order("v2", ORDER);

    sleep_until(record, ordered + FREEZE_AT);
    if world::has_trouble() {
        gateways[FROZEN].signal(SIGSTOP);
        record.say(&format!("gateway {FROZEN} freezes"));
    }
    sleep_until(record, ordered + BAD_AT);
    new.iter().for_each(|server| server.set_failures(FAILURES_IN_TEN));
    record.say("v2 turns bad");
    let thaw = ordered + FREEZE_AT + FREEZE;
    let is_rolled_back = world.wait_for_verdict("v2", thaw - record.now()) == Some("rolled_back");
    let rolled_back = record.now();
    sleep_until(record, thaw);
    if world::has_trouble() {
        gateways[FROZEN].signal(SIGCONT);
        record.say(&format!("gateway {FROZEN} wakes"));
    }
    if !is_rolled_back {
        world::give_up(
            record,
            "the gateways that run did not roll the version back before its deadline",
        );
    }
    let mut has_stopped_old = false;
    while record.now() < rolled_back + ROLLED_BACK_STAY {
        if !has_stopped_old && world.verdict("v2") == Some("completed") {
            // "At `completed`, the old servers stop immediately, without draining."
            old.iter().for_each(|server| server.stop(&world.store));
            record.say("the store says that v2 is completed after all; the servers of v1 stop");
            has_stopped_old = true;
        }
        thread::sleep(Duration::from_millis(1));
    }
    new.iter().for_each(|server| server.register(&world.store, "draining"));
    record.say("the servers of v2 drain");
    thread::sleep(Duration::from_secs(4));
    let _answers = traffic.stop(record);
    if gateways.iter_mut().any(Gateway::has_ended) {
        world::give_up(record, "a gateway ended by itself");
    }
    let exposure = Exposure {
        ordered,
        deadline: ordered + ORDER,
        of_bad: world::arrivals(&new),
        of_service: world::arrivals(old.iter().chain(&new)),
    };
    let frozen = format!("g{FROZEN}-");
    let out_of_touch = ordered + FREEZE_AT..thaw + CONTACT;
    let is_in_touch = |arrival: &Arrival| {
        !world::has_trouble() || !arrival.id.starts_with(&frozen) || !out_of_touch.contains(&arrival.at)
    };
    let is_broken = exposure.is_broken(record, is_in_touch);
    drop(gateways);
    std::process::exit(i32::from(is_broken));
}
