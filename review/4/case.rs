//! The store is silent for some seconds and back. Well after that, a server is taken away without having reported that it
//! drains. Repeated, with a new server for each one that left. `TROUBLE=0`: the store stays up.
//!
//! Whether the rule breaks depends on the time in the second at which the server is taken away: the gateways that watch the
//! store tell the others something about every second, and a fault shows if they say nothing for 0.6 s at the wrong time.
//! So that it is seen in most runs, the server is taken away at a time that the calls to the store suggest, and several
//! deployments that know nothing of each other run at once.

#[path = "../standins/mod.rs"]
mod standins;

use std::fs;
use std::thread;
use std::time::Duration;

use standins::deployment::Gateway;
use standins::sleep_until;
use standins::world::{self, GATEWAYS, World};

const DEPLOYMENTS: usize = 5;
const ROUNDS: u8 = 5;
const OUTAGE: Duration = Duration::from_millis(4500);
/// From the end of the outage to the removal: three times `contact-ms`, so the store is stable again. For some seconds
/// after the outage more gateways than usual read the store and tell the others, which hides the fault.
const CALM: Duration = Duration::from_secs(9);
const DRAIN: Duration = Duration::from_secs(2);
/// How long a server goes on serving after the store has accepted its removal: `drain-ms` "and a little longer".
const STAY: Duration = Duration::from_millis(2500);
/// The time for a new server to get work before the next outage.
const JOINING: Duration = Duration::from_millis(500);
/// The interval of the calls for changes of the configuration of one gateway.
const INTERVAL: Duration = Duration::from_secs(1);
/// How long a gateway keeps a server whose entry may have lapsed, by what is seen.
const KEPT: Duration = Duration::from_millis(1400);
/// A margin for the time until a gateway has learned of the removal.
const MARGIN: Duration = Duration::from_millis(25);

fn main() {
    let (folder, record) = World::arguments();
    let deployments = (0..DEPLOYMENTS).map(|number| {
        let folder = folder.join(number.to_string());
        fs::create_dir(&folder).expect("a folder");
        let world = World::start_in(&folder, &record);
        thread::spawn(move || run(number, &world))
    });
    let deployments = deployments.collect::<Vec<_>>();
    let late = deployments
        .into_iter()
        .map(|deployment| deployment.join().unwrap_or(None));
    let late = late.collect::<Option<Vec<_>>>();
    let late = late.unwrap_or_else(|| world::give_up(&record, "a gateway ended by itself, or did not start"));
    let late = late.into_iter().sum::<usize>();
    record.say(&format!(
        "requests that reached a removed server later than {DRAIN:?}: {late}"
    ));
    record.say(if late > 0 { "DRAIN is broken" } else { "DRAIN holds" });
    std::process::exit(i32::from(late > 0));
}

/// Returns a time in the next seconds for the removal: that of a call for changes of the configuration after which none
/// follows for long, less the time for which gateways keep the server.
fn removal_time(world: &World) -> Duration {
    let now = world.record.now();
    let mut calls = world.store.config_watches(now.saturating_sub(INTERVAL));
    let Some(first) = calls.first().copied() else {
        return now;
    };
    calls.push(first + INTERVAL);
    let gaps = calls.windows(2).map(|pair| (pair[1] - pair[0], pair[0]));
    let (gap, start) = gaps.max().unwrap_or_default();
    world.record.line(&format!(
        "no call for changes of the configuration for {gap:.3?} of each second"
    ));
    let mut at = start + MARGIN;
    while at < now + KEPT {
        at += INTERVAL;
    }
    at - KEPT
}

/// Runs a deployment and returns the number of late requests; `None` if a gateway ended by itself.
fn run(deployment: usize, world: &World) -> Option<usize> {
    let record = &world.record;
    let mut servers = world.start_version(1, 0);
    let mut gateways = world.start_gateways();
    let traffic = world.start_traffic(&gateways, world::RATE);
    let mut late_in_all = 0;
    for round in 0..ROUNDS {
        let say = |text: &str| record.line(&format!("deployment {deployment}, round {round}: {text}"));
        if world::has_trouble() {
            world.store.set_silent(true);
            say("the store is silent");
        }
        sleep_until(record, record.now() + OUTAGE);
        if world::has_trouble() {
            world.store.set_silent(false);
            say("the store is back");
        }
        sleep_until(record, record.now() + CALM);
        sleep_until(record, removal_time(world));
        let leaving = servers.remove(0);
        world.store.delete("servers", &leaving.id);
        let removed = record.now();
        say(&format!("the entry of {} is removed", leaving.id));
        sleep_until(record, removed + STAY);
        for number in 0..GATEWAYS {
            let prefix = format!("g{number}-");
            let arrivals = leaving.arrivals();
            let of_gateway = arrivals.iter().filter(|arrival| arrival.id.starts_with(&prefix));
            let late = of_gateway
                .clone()
                .filter(|arrival| arrival.at > removed + DRAIN)
                .count();
            let last = of_gateway
                .map(|arrival| arrival.at)
                .max()
                .and_then(|last| last.checked_sub(removed));
            if let Some(last) = last {
                say(&format!(
                    "gateway {number} sent to it until {last:.3?} later, {late} requests over {DRAIN:?} later"
                ));
            }
            if late > 0 {
                let last = last.unwrap_or_default();
                println!(
                    "deployment {deployment}, round {round}, gateway {number}: {late} late, the last after {last:.3?}"
                );
            }
            late_in_all += late;
        }
        leaving.stop(&world.store);
        servers.push(world.start_server(&format!("i-new-{round}"), 140 + round, "v1", 0));
        thread::sleep(JOINING);
    }
    let _answers = traffic.stop(record);
    let has_ended = gateways.iter_mut().any(Gateway::has_ended);
    drop(gateways);
    (!has_ended).then_some(late_in_all)
}
