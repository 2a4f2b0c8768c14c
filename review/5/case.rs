//! A rollout to a version and, later, a rollout back to the version before. `TROUBLE=0` orders only the first.

#[path = "../standins/mod.rs"]
mod standins;

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use standins::deployment::Gateway;
use standins::sleep_until;
use standins::world::{self, LETTERS, LOOKUPS, World};

/// Two thirds of the machines of the deployment `cdp-hawthorn-grown`.
const GATEWAYS: u8 = 40;
/// Requests for streams a second at each gateway, and lookups, which are most of the requests on the sheets.
const LETTERS_RATE: u32 = 2;
const LOOKUPS_RATE: u32 = 12;
const ORDER: Duration = Duration::from_secs(4);
const PAUSE: Duration = Duration::from_secs(1);
/// The length of the day, from the start of traffic.
const DAY: Duration = Duration::from_secs(92);
/// The rule: a kind of request is served less than this share as often as all requests.
const STARVED: f64 = 0.25;

fn main() {
    let world = World::start();
    let record = &world.record;
    let old = world.start_version(1, 0);
    let _desk = world.start_desk();
    let mut gateways = world.start_more_gateways(GATEWAYS);
    let day = record.now();
    let letters = world.start_traffic_on(LETTERS, "g", &gateways, LETTERS_RATE);
    let lookups = world.start_traffic_on(LOOKUPS, "d", &gateways, LOOKUPS_RATE);
    thread::sleep(PAUSE);
    let new = world.start_version(2, 0);
    complete(&world, "v2");
    old.iter().for_each(|server| server.stop(&world.store));
    thread::sleep(PAUSE);
    let mut again = Vec::new();
    if world::has_trouble() {
        again = (0..3)
            .map(|index| world.start_server(&format!("i-again-{index}"), 150 + index, "v1", 0))
            .collect();
        complete(&world, "v1");
        new.iter().for_each(|server| server.stop(&world.store));
    }
    let settled = record.now() + PAUSE;
    sleep_until(record, day + DAY);
    let (letters, lookups) = (letters.stop(record), lookups.stop(record));
    if gateways.iter_mut().any(Gateway::has_ended) {
        world::give_up(record, "a gateway ended by itself");
    }
    let last = if world::has_trouble() { &again } else { &new };
    let arrivals = world::arrivals(last);
    let serves = |gateway: &u8| {
        let prefix = format!("g{gateway}-");
        let mut late = arrivals.iter().filter(|arrival| arrival.at > settled);
        late.any(|arrival| arrival.id.starts_with(&prefix))
    };
    let serving = (0..GATEWAYS).filter(serves).count();
    record.say(&format!(
        "{serving} of {GATEWAYS} gateways send streams to the servers that are left"
    ));
    let (served_letters, all_letters) = count(&letters);
    let (served_lookups, all_lookups) = count(&lookups);
    let of_letters = served_letters / all_letters;
    let of_all = (served_letters + served_lookups) / (all_letters + all_lookups);
    record.say(&format!(
        "served: {of_letters:.3} of the requests for streams, {of_all:.3} of all"
    ));
    let is_broken = of_letters < STARVED * of_all;
    record.say(if is_broken {
        "Starved: the rule is broken"
    } else {
        "Starved: the rule holds"
    });
    drop(gateways);
    std::process::exit(i32::from(is_broken));
}

/// Orders a rollout and waits until it is completed.
fn complete(world: &World, version: &str) {
    world.order(version, ORDER);
    if world.wait_for_verdict(version, ORDER + Duration::from_secs(5)) != Some("completed") {
        world::give_up(&world.record, "a good version is not completed");
    }
}

/// Returns the numbers of requests that were served and of all requests.
fn count(answers: &BTreeMap<String, u64>) -> (f64, f64) {
    let served = answers.get("200").copied().unwrap_or_default();
    (served as f64, answers.values().sum::<u64>() as f64)
}
