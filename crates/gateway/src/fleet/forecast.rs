//! The expected time to the first event of a stream, and what it is learned from.

use std::time::Duration;

use crate::member::Member;
use crate::speed::{Queue, Speed};

use super::{Fleet, Need};

/// The expected time to serve a request at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Forecast {
    /// The expected time.
    pub expected: Duration,
    /// The expected time if the target were idle.
    pub unloaded: Duration,
}

impl Forecast {
    /// Returns whether the request spends most of the time waiting for others.
    pub fn is_queueing(&self) -> bool {
        self.expected > self.unloaded.saturating_mul(2)
    }
}

impl Fleet {
    /// Returns the work at an engine that delays the first event of another stream; `None` if it is unknown.
    pub fn queue(&self, id: &str) -> Option<Queue> {
        self.members.get(id).map(Member::queue)
    }

    /// Returns the expected time to the first event of a stream at an engine; `None` if it is unknown.
    pub fn stream_forecast(&self, id: &str, need: Need) -> Option<Forecast> {
        let member = self.members.get(id)?;
        let speed = self.speed(&member.target.service);
        let mut queue = member.queue();
        queue.prefill_tokens = queue.prefill_tokens.saturating_add(need.prompt_tokens);
        let millis = |millis: f64| Duration::from_secs_f64(member.pace.factor() * millis / 1000.0);
        Some(Forecast {
            expected: millis(speed.first_event_ms(queue)),
            unloaded: millis(speed.reading_ms(need.prompt_tokens)),
        })
    }

    /// Learns from the time to the first event of a stream with this queue before it, its own prompt included.
    pub fn record_first_event(&mut self, id: &str, queue: Queue, took: Duration) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        let speed = self.speeds.entry(member.target.service.clone()).or_default();
        member.pace.record(took, speed.first_event_ms(queue));
        speed.record(queue, took);
    }

    pub(super) fn speed(&self, service: &str) -> Speed {
        self.speeds.get(service).copied().unwrap_or_default()
    }
}
