//! How long an engine may be silent, and what its silence means.

use std::time::Duration;

use crate::gateway::Gateway;
use crate::outbound;
use crate::target::Target;

/// The silence after which a new connection tells whether the engine is there.
const PROBE_AFTER: Duration = Duration::from_millis(180);
/// The same for an engine that is suspected already.
const SUSPECT_PROBE_AFTER: Duration = Duration::from_millis(60);
/// The time for a probe's connection. Round trips take a few milliseconds; a lost packet is repeated after a second.
const PROBE_LIMIT: Duration = Duration::from_millis(60);
/// The silence within a stream after which it goes on from its backup, although the engine takes connections: the
/// connection itself may have gone silent.
const SILENCE_WITH_BACKUP: Duration = Duration::from_millis(560);
/// The same when the prompt would have to be read again.
const SILENCE_WITHOUT_BACKUP: Duration = Duration::from_millis(1500);
/// The silence before the first event, besides the time for the prompt.
const FIRST_SILENCE: Duration = Duration::from_millis(1500);
/// The pause between probes before the first event.
const FIRST_PROBE_AFTER: Duration = Duration::from_millis(300);
/// How many times its expected time a prompt may take, as other prompts are read beside it.
const PROMPT_PATIENCE: u32 = 3;
/// The tokens that an engine prefills in one millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 8;

/// Why an engine is no longer waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Silence {
    /// Its host takes no connection.
    Unreachable,
    /// Its host answers, but the request does not go on: the connection may have gone silent.
    Slow,
}

impl Silence {
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::Unreachable => "silent, and its host does not answer",
            Self::Slow => "silent, although its host answers",
        }
    }
}

/// How long to wait for an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Patience {
    probe_after: Duration,
    limit: Duration,
}

impl Patience {
    /// Before the first event of an attempt.
    pub(crate) fn first(prefill_tokens: u64) -> Self {
        let prompt = Duration::from_millis(prefill_tokens / PREFILL_TOKENS_PER_MS);
        Self {
            probe_after: FIRST_PROBE_AFTER,
            limit: FIRST_SILENCE + prompt * PROMPT_PATIENCE,
        }
    }

    /// Between events.
    pub(crate) fn between(has_backup: bool) -> Self {
        Self {
            probe_after: PROBE_AFTER,
            limit: if has_backup {
                SILENCE_WITH_BACKUP
            } else {
                SILENCE_WITHOUT_BACKUP
            },
        }
    }

    /// Waits for an engine's next sign, at most for the time that is left.
    pub(crate) async fn watch<T>(
        self,
        gateway: &Gateway,
        target: &Target,
        left: Duration,
        future: impl Future<Output = T>,
    ) -> Result<T, Silence> {
        let mut future = std::pin::pin!(future);
        let started = gateway.now();
        let limit = self.limit.min(left);
        loop {
            let waited = gateway.now().since(started);
            if waited >= limit {
                return Err(Silence::Slow);
            }
            let is_suspect = gateway.fleet().borrow().is_suspect(gateway.now(), &target.id);
            let pause = if is_suspect {
                SUSPECT_PROBE_AFTER
            } else {
                self.probe_after
            };
            let pause = pause.min(limit.saturating_sub(waited));
            if let Some(output) = gateway.timer().limit(pause, future.as_mut()).await {
                return Ok(output);
            }
            tokio::select! {
                biased;
                output = future.as_mut() => return Ok(output),
                is_reachable = outbound::is_reachable(target.address, PROBE_LIMIT) => if !is_reachable {
                    return Err(Silence::Unreachable);
                },
            }
        }
    }
}
