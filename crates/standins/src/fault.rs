//! The faults that a stand-in is told to show.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::watch;

/// All faults of a stand-in. A request to set faults names only the fields that change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each field is a fault that is set independently of the others"
)]
pub struct Faults {
    /// Ends the stand-in and closes all its connections.
    pub die: bool,
    /// Starts it again this long after it died; a platform and a service keep their objects and counters.
    pub restart_ms: Option<u64>,
    /// Sends and reads nothing more on the connections that are open now; new connections work.
    pub silence: bool,
    /// Does nothing until the field is set to false again; connections are accepted.
    pub frozen: bool,
    /// Refuses all requests with 503 because the stand-in is leaving.
    pub leaving: bool,
    /// Closes the connection of every request without an effect, and all watches.
    pub outage: bool,
    /// Answers 500 without an effect.
    pub fail: Rate,
    /// Closes the connection after the effect instead of answering.
    pub lose: Rate,
    /// Closes the connection at once; the effect happens `late_ms` later.
    pub late: Rate,
    /// The delay of late effects.
    pub late_ms: u64,
    /// Sends a frame, a watch event or an earlier answer a second time.
    pub duplicate: Rate,
    /// Sends a frame or an answer of another request.
    pub cross: Rate,
    /// Leaves out a frame of a stream.
    pub drop: Rate,
    /// Ends a stream without its last frame.
    pub cut: Rate,
    /// Waits this long before every answer.
    pub delay_ms: u64,
    /// Multiplies all working times.
    pub slow_factor: f64,
    /// Applies `slow_factor` only when more requests than this run.
    pub slow_above: u32,
    /// Remembers the objects of a platform for `restore`.
    pub snapshot: bool,
    /// Puts back the remembered objects of a platform, with their old versions.
    pub restore: bool,
}

/// How often a fault occurs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rate {
    /// The share of the requests or frames, from 0 to 1.
    pub share: f64,
    /// The number of times after which the fault ends.
    pub count: Option<u32>,
    /// The only method that is affected.
    pub method: Option<String>,
    /// A part of the path that affected requests have.
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

/// Selects one of the rates.
pub(crate) type Select = fn(&mut Faults) -> &mut Rate;

/// How a stand-in ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// Its handle was dropped.
    Stopped,
    /// It died and starts again after this time, or not at all.
    Died(Option<Duration>),
}

/// The faults in force, shared by all tasks of a stand-in.
pub(crate) struct Gate {
    faults: Mutex<Faults>,
    random: Mutex<SmallRng>,
    frozen: watch::Sender<bool>,
    end: watch::Sender<Option<End>>,
    next_connection: AtomicU64,
    silent_below: AtomicU64,
}

/// The one-shot commands among the changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Commands {
    pub(crate) snapshot: bool,
    pub(crate) restore: bool,
}

impl Gate {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            faults: Mutex::default(),
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
            frozen: watch::Sender::new(false),
            end: watch::Sender::new(None),
            next_connection: AtomicU64::new(0),
            silent_below: AtomicU64::new(0),
        }
    }

    /// Overlays the fields of `change` and carries out its commands.
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
            self.end(End::Died(faults.restart_ms.map(Duration::from_millis)));
        }
        Ok(commands)
    }

    pub(crate) fn current(&self) -> Faults {
        self.lock().clone()
    }

    pub(crate) fn hits(&self, select: Select, method: &str, path: &str) -> bool {
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

    /// Returns a working time under the present load.
    pub(crate) fn slowed(&self, time: Duration, running: usize) -> Duration {
        let faults = self.lock();
        if running > faults.slow_above as usize {
            time.mul_f64(faults.slow_factor.max(0.0))
        } else {
            time
        }
    }

    /// Waits while the stand-in is frozen.
    pub(crate) async fn thawed(&self) {
        if *self.frozen.borrow() {
            // The sender lives as long as `self`, so waiting cannot fail.
            let _ = self.frozen.subscribe().wait_for(|frozen| !frozen).await;
        }
    }

    pub(crate) fn end(&self, end: End) {
        self.end.send_if_modified(|known| {
            let stopped = *known == Some(End::Stopped);
            if !stopped {
                *known = Some(end);
            }
            !stopped
        });
    }

    pub(crate) async fn ended(&self) -> End {
        let mut end = self.end.subscribe();
        match end.wait_for(Option::is_some).await {
            Ok(end) => end.unwrap_or(End::Stopped),
            Err(_) => End::Stopped,
        }
    }

    /// Clears the end after a death; returns false when the handle was dropped meanwhile.
    pub(crate) fn restart(&self) -> bool {
        self.end.send_if_modified(|end| {
            let died = matches!(end, Some(End::Died(_)));
            if died {
                *end = None;
            }
            died
        })
    }

    pub(crate) fn is_stopped(&self) -> bool {
        *self.end.borrow() == Some(End::Stopped)
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
