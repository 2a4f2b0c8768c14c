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
    /// The mean time from the first event of a stream to its end; zero for calls and before any stream has ended.
    pub remaining: Duration,
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
        let stream = speed.stream_ms();
        let room = stream * excess_part(member, queue, need);
        let millis = |millis: f64| Duration::from_secs_f64(member.pace.factor() * millis / 1000.0);
        Some(Forecast {
            expected: millis(speed.first_event_ms(queue) + room),
            unloaded: millis(speed.reading_ms(need.prompt_tokens)),
            remaining: millis(stream),
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

    /// Learns from the time between the first event of a stream and its end.
    pub fn record_stream(&mut self, service: &str, took: Duration) {
        if !self.speeds.contains_key(service) {
            self.speeds.insert(service.to_owned(), Speed::default());
        }
        if let Some(speed) = self.speeds.get_mut(service) {
            speed.record_stream(took);
        }
    }

    pub(super) fn speed(&self, service: &str) -> Speed {
        self.speeds.get(service).copied().unwrap_or_default()
    }
}

/// Returns the part of the running streams that has to end before another one has a slot and memory.
fn excess_part(member: &Member, queue: Queue, need: Need) -> f64 {
    let load = member.load();
    let slots = member.target.slots.max(1);
    let streams = queue.streams.saturating_add(1).saturating_sub(slots);
    let memory = load.memory_tokens.saturating_add(need.memory_tokens);
    let memory = memory.saturating_sub(need.capacity);
    let by_slots = f64::from(streams) / f64::from(slots);
    let by_memory = memory as f64 / need.capacity.max(1) as f64;
    by_slots.max(by_memory)
}
