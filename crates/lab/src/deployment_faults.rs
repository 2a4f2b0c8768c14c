//! The seeded schedule of faults.
//!
//! Each kind of component has its own tasks. A task repeatedly waits and injects a fault into a random component of
//! its kind. A crash, a freeze or an outage lasts for a random duration, and the task waits for its end; the number of
//! tasks therefore bounds the concurrent faults of this sort. A fault that drops, swaps or duplicates responses ends
//! after a number of responses, and stalled connections stay stalled until they are closed; a task does not wait for
//! these. With [`Scope::EntryOnce`] there is a single fault, whose time and duration are fixed fractions of the run.

use std::sync::Arc;
use std::time::Duration;

use hawthornpost_standins::Handle;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::deployment_fleet::Fleet;
use crate::deployment_plan::{Plan, Scope};

/// Number of tasks that inject faults into engines, and so the maximum of concurrent engine crashes and freezes.
const ENGINE_TASKS: u64 = 2;
/// Delay of an engine task before each fault.
const ENGINE_DELAY_MS: std::ops::Range<u64> = 300..2500;
/// Delay before each fault of an entry host.
const ENTRY_DELAY_MS: std::ops::Range<u64> = 1000..4000;
/// Delay before each fault of the platform.
const PLATFORM_DELAY_MS: std::ops::Range<u64> = 1500..6000;
/// Delay before each fault of a service.
const SERVICE_DELAY_MS: std::ops::Range<u64> = 300..2500;
/// Duration of a crash, a freeze or an outage.
const FAULT_DURATION_MS: std::ops::Range<u64> = 400..5000;
/// Number of responses that one fault drops, swaps or duplicates.
const AFFECTED_RESPONSES: std::ops::Range<u32> = 1..4;

/// A task that injects faults into one kind of component.
struct Task {
    fleet: Arc<Fleet>,
    random: SmallRng,
    end: Instant,
}

/// Runs the schedule to its end and waits for the end of every crash, freeze and outage.
pub(crate) async fn run(fleet: &Arc<Fleet>, plan: &Plan) {
    let end = Instant::now() + plan.time;
    let mut tasks = JoinSet::new();
    let task = |stream: u64| Task {
        fleet: Arc::clone(fleet),
        random: SmallRng::seed_from_u64(plan.seed << 8 | stream),
        end,
    };
    if plan.faults.covers(Scope::Engines) {
        for number in 0..ENGINE_TASKS {
            tasks.spawn(task(number).engines());
        }
    }
    if plan.faults.covers(Scope::Entries) {
        tasks.spawn(task(10).entries());
    }
    if plan.faults.covers(Scope::Platform) {
        tasks.spawn(task(20).platform());
    }
    if plan.faults.covers(Scope::Services) {
        tasks.spawn(task(30).services());
    }
    if plan.faults == Scope::EntryOnce {
        tasks.spawn(task(40).entry_once(plan.time));
    }
    while tasks.join_next().await.is_some() {}
}

impl Task {
    /// Waits for the next fault; returns false when the schedule is over.
    async fn wait_next(&mut self, range: std::ops::Range<u64>) -> bool {
        let interval = Duration::from_millis(self.random.random_range(range));
        tokio::time::sleep(interval).await;
        Instant::now() < self.end
    }

    fn random_duration(&mut self) -> Duration {
        Duration::from_millis(self.random.random_range(FAULT_DURATION_MS))
    }

    async fn engines(mut self) {
        while self.wait_next(ENGINE_DELAY_MS).await {
            let fleet = Arc::clone(&self.fleet);
            let index = self.random.random_range(0..fleet.engines.len());
            let kind = self.random.random_range(0..3);
            let duration = self.random_duration();
            let (name, handle) = &fleet.engines[index];
            match kind {
                0 => self.kill(name, handle, duration).await,
                1 => self.freeze(name, handle, duration).await,
                _ => {
                    fleet.record_fault(&format!("{name}: open connections stall"));
                    set(handle, &json!({ "silence": true }));
                }
            }
        }
    }

    async fn services(mut self) {
        while self.wait_next(SERVICE_DELAY_MS).await {
            let fleet = Arc::clone(&self.fleet);
            let index = self.random.random_range(0..fleet.services.len());
            let kind = self.random.random_range(0..4);
            let duration = self.random_duration();
            let count = self.random.random_range(AFFECTED_RESPONSES);
            let (name, handle) = &fleet.services[index];
            match kind {
                0 => self.kill(name, handle, duration).await,
                1 => self.freeze(name, handle, duration).await,
                2 => {
                    fleet.record_fault(&format!("{name}: drops {count} responses after executing the requests"));
                    let lose = json!({ "share": 1.0, "count": count, "method": "POST" });
                    set(handle, &json!({ "lose": lose }));
                }
                _ => {
                    fleet.record_fault(&format!("{name}: swaps or duplicates {count} responses"));
                    let kind = ["cross", "duplicate"][self.random.random_range(0..2)];
                    set(handle, &json!({ kind: { "share": 1.0, "count": count } }));
                }
            }
        }
    }

    async fn platform(mut self) {
        while self.wait_next(PLATFORM_DELAY_MS).await {
            let fleet = Arc::clone(&self.fleet);
            let kind = self.random.random_range(0..2);
            let duration = self.random_duration();
            let count = self.random.random_range(AFFECTED_RESPONSES);
            if kind == 0 {
                fleet.record_fault(&format!("platform: outage of {duration:?}"));
                set(&fleet.platform, &json!({ "outage": true }));
                tokio::time::sleep(duration).await;
                set(&fleet.platform, &json!({ "outage": false }));
            } else {
                let method = ["PUT", "POST"][self.random.random_range(0..2)];
                fleet.record_fault(&format!(
                    "platform: drops {count} responses to {method} after executing the requests"
                ));
                let lose = json!({ "share": 1.0, "count": count, "method": method });
                set(&fleet.platform, &json!({ "lose": lose }));
            }
        }
    }

    async fn entries(mut self) {
        while self.wait_next(ENTRY_DELAY_MS).await {
            let count = self.fleet.entries().len();
            let index = self.random.random_range(0..count);
            let kind = self.random.random_range(0..2);
            let duration = self.random_duration();
            if kind == 0 {
                self.restart(index, duration).await;
            } else {
                self.fleet
                    .record_fault(&format!("{}: frozen for {duration:?}", self.name(index)));
                self.fleet.entries()[index].freeze();
                tokio::time::sleep(duration).await;
                self.fleet.entries()[index].thaw();
            }
        }
    }

    async fn entry_once(mut self, time: Duration) {
        tokio::time::sleep(time / 3).await;
        let count = self.fleet.entries().len();
        let index = self.random.random_range(0..count);
        self.restart(index, time / 6).await;
    }

    async fn restart(&self, index: usize, duration: Duration) {
        self.fleet
            .record_fault(&format!("{}: killed, restarts after {duration:?}", self.name(index)));
        self.fleet.entries()[index].kill();
        tokio::time::sleep(duration).await;
        let started = self.fleet.entries()[index].start();
        let address = self.fleet.entries()[index].address;
        let ready = match started {
            Ok(()) => self.fleet.wait_ready(address).await,
            Err(error) => Err(error.to_string()),
        };
        let state = ready.err().unwrap_or_else(|| "ready after the restart".to_owned());
        self.fleet.record_fault(&format!("{}: {state}", self.name(index)));
    }

    async fn kill(&self, name: &str, handle: &Handle, duration: Duration) {
        self.fleet
            .record_fault(&format!("{name}: killed, restarts after {duration:?}"));
        let restart_ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        set(handle, &json!({ "restart_ms": restart_ms, "die": true }));
        tokio::time::sleep(duration).await;
    }

    async fn freeze(&self, name: &str, handle: &Handle, duration: Duration) {
        self.fleet.record_fault(&format!("{name}: frozen for {duration:?}"));
        set(handle, &json!({ "frozen": true }));
        tokio::time::sleep(duration).await;
        set(handle, &json!({ "frozen": false }));
    }

    fn name(&self, index: usize) -> String {
        self.fleet.entries()[index].name.clone()
    }
}

fn set(handle: &Handle, change: &serde_json::Value) {
    handle
        .set_faults(change)
        .expect("the stand-in accepts these fault fields");
}
