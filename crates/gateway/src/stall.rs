//! Detection of engines that send no data, and the timeouts for it.

use std::time::Duration;

use crate::gateway::Gateway;
use crate::reachability::{self, Finding};
use crate::silence::Silence;
use crate::target::Target;

/// The time without data after which a new connection is opened to check whether the engine's host is reachable.
const PROBE_INTERVAL: Duration = Duration::from_millis(180);
/// The same for an engine that is suspect already.
const SUSPECT_PROBE_INTERVAL: Duration = Duration::from_millis(60);
/// The time without data after which a stream is resumed from its backup although the engine accepts connections. The
/// connection of the stream itself may be broken without notice.
const TIMEOUT_WITH_BACKUP: Duration = Duration::from_millis(560);
/// The same for a stream without a backup, whose prompt has to be prefilled again.
const TIMEOUT_WITHOUT_BACKUP: Duration = Duration::from_millis(1500);
/// The timeout of the first event, in addition to the time for the prompt.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1500);
/// The interval of probes before the first event.
const FIRST_EVENT_PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// The factor by which a prompt may exceed its expected prefill time, since the engine prefills other prompts at the
/// same time.
const MAX_PREFILL_SLOWDOWN: u32 = 3;
/// An engine's prefill throughput in tokens per millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 8;

/// The reason to give up waiting for an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stall {
    /// The engine's host accepts no connection.
    Unreachable,
    /// The host accepts connections, but the request makes no progress: its connection may be broken without notice.
    Slow,
}

impl Stall {
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::Unreachable => "no data from the engine, and its host accepts no connection",
            Self::Slow => "no data from the engine, although its host accepts connections",
        }
    }
}

/// The timeouts for an engine that sends no data.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Watchdog {
    probe_interval: Duration,
    timeout: Duration,
}

impl Watchdog {
    /// Returns the timeouts before the first event of an attempt.
    pub(crate) fn for_first_event(prefill_tokens: u64) -> Self {
        let prompt = Duration::from_millis(prefill_tokens / PREFILL_TOKENS_PER_MS);
        Self {
            probe_interval: FIRST_EVENT_PROBE_INTERVAL,
            timeout: FIRST_EVENT_TIMEOUT + prompt * MAX_PREFILL_SLOWDOWN,
        }
    }

    /// Returns the timeouts between events.
    pub(crate) fn between_events(has_backup: bool) -> Self {
        Self {
            probe_interval: PROBE_INTERVAL,
            timeout: if has_backup {
                TIMEOUT_WITH_BACKUP
            } else {
                TIMEOUT_WITHOUT_BACKUP
            },
        }
    }

    /// Returns the maximum time without data.
    pub(crate) fn timeout(self) -> Duration {
        self.timeout
    }

    /// Waits for the next data of an engine, at most for the remaining time of the request.
    pub(crate) async fn watch<T>(
        self,
        gateway: &Gateway,
        target: &Target,
        remaining: Duration,
        future: impl Future<Output = T>,
    ) -> Result<T, Stall> {
        let mut future = std::pin::pin!(future);
        let deadline = gateway.now() + remaining;
        let mut silence = Silence::start(gateway.now(), self.timeout);
        loop {
            let now = gateway.now();
            let limit = silence.remaining(now).min(deadline.since(now));
            if limit.is_zero() {
                return Err(Stall::Slow);
            }
            let is_suspect = gateway.fleet().borrow().is_suspect(gateway.now(), &target.id);
            let interval = if is_suspect {
                SUSPECT_PROBE_INTERVAL
            } else {
                self.probe_interval
            };
            let wait = silence.next_probe(now, interval);
            if let Some(output) = gateway.timer().timeout(wait.min(limit), future.as_mut()).await {
                return Ok(output);
            }
            tokio::select! {
                biased;
                output = future.as_mut() => return Ok(output),
                finding = reachability::probe(gateway, target) => {
                    if let Some(stall) = silence.record(gateway.now(), finding) {
                        return Err(stall);
                    }
                    if finding == Finding::Inconclusive {
                        reachability::log_suspected_link(target);
                    }
                }
            }
        }
    }
}
