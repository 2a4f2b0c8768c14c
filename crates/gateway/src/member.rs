//! The state that an entry host keeps for one target, and the cost estimates for load balancing.

use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;

use crate::availability::State;
use crate::connections::Count;
use crate::fleet::{Criteria, Need, Report};
use crate::load::Load;
use crate::speed::{Pace, Queue, Speed};
use crate::target::Target;

/// Reports older than this have no weight.
const MAX_REPORT_AGE: Duration = Duration::from_millis(600);
/// The share of an engine's memory above which other engines are preferred.
const MEMORY_HIGH_WATERMARK: f64 = 0.85;
/// What an idle connection saves of the cost of a call, as a multiple of a target's slots: less than the random addition
/// to the cost, so that all targets of the same load get calls and their state stays known.
const CONNECTION_GAIN: f64 = 0.015;
/// The cost of a target whose calls all fail, as a multiple of its slots.
const FAILURE_PENALTY: f64 = 4.0;
/// The cost of an engine above [`MEMORY_HIGH_WATERMARK`], in milliseconds of prefill: more than any prompt costs.
pub(crate) const FULL_MEMORY_PENALTY_MS: f64 = 20_000.0;

/// A target with its load and recent failures.
#[derive(Debug)]
pub(crate) struct Member {
    pub target: Rc<Target>,
    /// The load from this host.
    pub own_load: Load,
    /// The load from peers.
    pub peer_load: Load,
    /// The latest load report of the target, with its time and the open calls of this host at that time.
    pub report: Option<(Instant, Report, u32)>,
    /// The moving average of failed calls, from 0 to 1.
    pub failure_rate: f64,
    /// The time that it takes, compared with the other targets of its service.
    pub pace: Pace,
    /// What limits the work of the target.
    pub state: State,
    /// The connections of this host to the target.
    pub connections: Rc<Count>,
    /// When the target was added without being listed in the store; `None` once the store lists it.
    pub unlisted_since: Option<Instant>,
    /// The deadline for a lapsed store entry to come back.
    pub lapsed_until: Option<Instant>,
}

impl Member {
    /// Returns whether the target meets these criteria, apart from their versions.
    pub(crate) fn meets(&self, criteria: Criteria<'_>) -> bool {
        let target = &self.target;
        target.service == criteria.service && !criteria.excluded.contains(&target.id)
    }

    /// Returns the cost of a call at this target, as a multiple of its slots.
    pub(crate) fn call_cost(&self, now: Instant) -> f64 {
        let slots = f64::from(self.target.slots.max(1));
        let calls = f64::from(self.own_load.calls) + self.peer_calls(now);
        let gain = if self.connections.idle() > 0 {
            CONNECTION_GAIN
        } else {
            0.0
        };
        calls / slots + self.failure_rate * FAILURE_PENALTY - gain
    }

    /// Returns the open calls of peers according to the latest report, with a weight that decreases with its age.
    fn peer_calls(&self, now: Instant) -> f64 {
        let Some((at, report, own_calls)) = self.report else {
            return 0.0;
        };
        let age = now.since(at).as_secs_f64() / MAX_REPORT_AGE.as_secs_f64();
        let total = f64::from(report.running) + f64::from(report.waiting);
        (total - f64::from(own_calls)).max(0.0) * (1.0 - age).max(0.0)
    }

    /// Returns the work at this engine that delays the first event of another stream.
    pub(crate) fn queue(&self) -> Queue {
        let load = self.load();
        Queue {
            prefill_tokens: load.prefill_tokens,
            streams: load.streams,
        }
    }

    /// Returns the cost of a stream at this target: the expected time to its first event in milliseconds. The time for its
    /// own prompt counts only where the target is slower or faster than others.
    pub(crate) fn stream_cost(&self, speed: Speed, need: Need) -> f64 {
        let own = speed.reading_ms(need.prompt_tokens);
        let waiting = self.pace.factor() * speed.first_event_ms(self.queue());
        waiting + (self.pace.factor() - 1.0 + self.failure_rate) * own + memory_penalty(self.load(), need)
    }

    /// Returns the cost of a stream's backup at this target, in milliseconds of prefill.
    pub(crate) fn backup_cost(&self, speed: Speed, need: Need) -> f64 {
        let load = self.load();
        speed.reading_ms(load.memory_tokens) + memory_penalty(load, need)
    }

    /// Returns the load from all hosts.
    pub(crate) fn load(&self) -> Load {
        let mut load = self.own_load;
        load.add(self.peer_load);
        load
    }
}

fn memory_penalty(load: Load, need: Need) -> f64 {
    let fill = load.memory_tokens.saturating_add(need.memory_tokens) as f64 / need.capacity.max(1) as f64;
    if fill > MEMORY_HIGH_WATERMARK {
        FULL_MEMORY_PENALTY_MS * fill
    } else {
        0.0
    }
}
