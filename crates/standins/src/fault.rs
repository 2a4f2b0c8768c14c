//! Fault injection.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::watch;

/// All faults of a stand-in. A request that sets faults contains only the fields that change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each field is a fault that is set independently of the others"
)]
pub struct Faults {
    /// Crashes the stand-in: it stops and closes all its connections.
    pub die: bool,
    /// Restarts the stand-in this long after a crash; a platform and a service keep their objects and counters.
    pub restart_ms: Option<u64>,
    /// Stops reading and writing on the connections that are open now; new connections work.
    pub silence: bool,
    /// Suspends all work until the field is set to false; connections are still accepted.
    pub frozen: bool,
    /// Rejects all requests with status 503, as a server that shuts down does.
    pub leaving: bool,
    /// Closes the connection of every request before it takes effect, and all watches.
    pub outage: bool,
    /// Responds with status 500 before the request takes effect.
    pub fail: Rate,
    /// Closes the connection after the request took effect, without a response.
    pub lose: Rate,
    /// Closes the connection immediately; the request takes effect `late_ms` later.
    pub late: Rate,
    /// The delay of requests selected by `late`.
    pub late_ms: u64,
    /// Sends a frame or a watch event twice, or the previous response again.
    pub duplicate: Rate,
    /// Sends a frame or a response with the id of another request.
    pub cross: Rate,
    /// Omits a frame of a stream.
    pub drop: Rate,
    /// Ends a stream before its last frame.
    pub cut: Rate,
    /// Delays every response.
    pub delay_ms: u64,
    /// Multiplies all processing times.
    pub slow_factor: f64,
    /// Applies `slow_factor` only while more requests than this are running.
    pub slow_above: u32,
    /// Takes a snapshot of the objects of a platform for `restore`.
    pub snapshot: bool,
    /// Restores the objects of a platform from the snapshot, with their old versions.
    pub restore: bool,
}

/// How often a fault occurs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rate {
    /// The fraction of requests or frames that are affected, from 0 to 1.
    pub share: f64,
    /// The number of times that the fault still occurs; unlimited if absent.
    pub count: Option<u32>,
    /// Limits the fault to this method.
    pub method: Option<String>,
    /// Limits the fault to paths that contain this text.
    pub path: Option<String>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            die: false,
            restart_ms: None,
            silence: false,
            frozen: false,
            leaving: false,
            outage: false,
            fail: Rate::default(),
            lose: Rate::default(),
            late: Rate::default(),
            late_ms: 500,
            duplicate: Rate::default(),
            cross: Rate::default(),
            drop: Rate::default(),
            cut: Rate::default(),
            delay_ms: 0,
            slow_factor: 1.0,
            slow_above: 0,
            snapshot: false,
            restore: false,
        }
    }
}

impl Rate {
    fn matches(&self, method: &str, path: &str) -> bool {
        self.share > 0.0
            && self.count != Some(0)
            && self.method.as_deref().is_none_or(|only| only == method)
            && self.path.as_deref().is_none_or(|part| path.contains(part))
    }
}

/// Selects the rate of one fault.
pub(crate) type Selector = fn(&mut Faults) -> &mut Rate;

/// Why a stand-in stops running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// Its handle was dropped.
    Stopped,
    /// It crashed and restarts after this time, or never if absent.
    Crashed(Option<Duration>),
}

/// The active faults, shared by all tasks of a stand-in.
pub(crate) struct Injector {
    faults: Mutex<Faults>,
    random: Mutex<SmallRng>,
    frozen: watch::Sender<bool>,
    exit: watch::Sender<Option<Exit>>,
    next_connection: AtomicU64,
    silent_below: AtomicU64,
}

/// The one-shot commands among the changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Commands {
    pub(crate) snapshot: bool,
    pub(crate) restore: bool,
}

impl Injector {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            faults: Mutex::default(),
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
            frozen: watch::Sender::new(false),
            exit: watch::Sender::new(None),
            next_connection: AtomicU64::new(0),
            silent_below: AtomicU64::new(0),
        }
    }

    /// Updates the faults with the fields of `change` and returns the commands among them.
    pub(crate) fn change(&self, change: &Value) -> Result<Commands, serde_json::Error> {
        let mut faults = self.lock();
        let mut merged = serde_json::to_value(&*faults)?;
        let (Value::Object(merged_fields), Value::Object(fields)) = (&mut merged, change) else {
            return Err(serde::de::Error::custom("the body is not a JSON object"));
        };
        merged_fields.extend(fields.clone());
        *faults = serde_json::from_value(merged)?;
        let commands = Commands {
            snapshot: std::mem::take(&mut faults.snapshot),
            restore: std::mem::take(&mut faults.restore),
        };
        if std::mem::take(&mut faults.silence) {
            let open = self.next_connection.load(Ordering::Relaxed);
            self.silent_below.store(open, Ordering::Relaxed);
        }
        self.frozen.send_replace(faults.frozen);
        if std::mem::take(&mut faults.die) {
            self.exit(Exit::Crashed(faults.restart_ms.map(Duration::from_millis)));
        }
        Ok(commands)
    }

    pub(crate) fn current(&self) -> Faults {
        self.lock().clone()
    }

    /// Decides at random whether a fault occurs, and counts it down.
    pub(crate) fn triggers(&self, select: Selector, method: &str, path: &str) -> bool {
        let mut faults = self.lock();
        let rate = select(&mut faults);
        if !rate.matches(method, path) || !self.random().random_bool(rate.share.clamp(0.0, 1.0)) {
            return false;
        }
        if let Some(count) = &mut rate.count {
            *count -= 1;
        }
        true
    }

    pub(crate) fn random(&self) -> MutexGuard<'_, SmallRng> {
        self.random.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the slow-down fault to a processing time.
    pub(crate) fn scaled_delay(&self, time: Duration, running: usize) -> Duration {
        let faults = self.lock();
        if running > faults.slow_above as usize {
            time.mul_f64(faults.slow_factor.max(0.0))
        } else {
            time
        }
    }

    /// Waits while the stand-in is frozen.
    pub(crate) async fn wait_while_frozen(&self) {
        if *self.frozen.borrow() {
            // The sender lives as long as `self`, so waiting cannot fail.
            let _ = self.frozen.subscribe().wait_for(|frozen| !frozen).await;
        }
    }

    pub(crate) fn exit(&self, exit: Exit) {
        self.exit.send_if_modified(|current| {
            let stopped = *current == Some(Exit::Stopped);
            if !stopped {
                *current = Some(exit);
            }
            !stopped
        });
    }

    pub(crate) async fn exited(&self) -> Exit {
        let mut exit = self.exit.subscribe();
        match exit.wait_for(Option::is_some).await {
            Ok(exit) => exit.unwrap_or(Exit::Stopped),
            Err(_) => Exit::Stopped,
        }
    }

    /// Clears the exit reason after a crash; returns false if the handle was dropped in the meantime.
    pub(crate) fn restart(&self) -> bool {
        self.exit.send_if_modified(|exit| {
            let crashed = matches!(exit, Some(Exit::Crashed(_)));
            if crashed {
                *exit = None;
            }
            crashed
        })
    }

    pub(crate) fn is_stopped(&self) -> bool {
        *self.exit.borrow() == Some(Exit::Stopped)
    }

    pub(crate) fn open_connection(&self) -> u64 {
        self.next_connection.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn is_silent(&self, connection: u64) -> bool {
        connection < self.silent_below.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
