//! The stream of one attempt.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use hawthornpost_core::id::{Attempt, Request};
use hawthornpost_core::wire::{Finish, Frame};
use tokio::sync::watch;

use crate::engine::{Engine, Job, State};

/// Reads a generation for one attempt.
pub(crate) struct Reader {
    engine: Arc<Engine>,
    request: Request,
    serial: u64,
    attempt: Attempt,
    next: u32,
    changed: watch::Receiver<()>,
    ready: VecDeque<Bytes>,
    ended: bool,
}

impl Reader {
    /// Returns a reader from the token `next` on, or nothing when the generation has gone.
    pub(crate) fn new(
        engine: &Arc<Engine>,
        request: Request,
        serial: u64,
        attempt: Attempt,
        next: u32,
    ) -> Option<Self> {
        let changed = engine.state().jobs.get(&request)?.changed.subscribe();
        engine.count_reader(request, serial, true);
        Some(Self {
            engine: Arc::clone(engine),
            request,
            serial,
            attempt,
            next,
            changed,
            ready: VecDeque::new(),
            ended: false,
        })
    }

    /// Returns the next event, or nothing at the end of the stream.
    pub(crate) async fn next(&mut self) -> Option<Bytes> {
        loop {
            self.engine.gate.thawed().await;
            if let Some(event) = self.ready.pop_front() {
                return Some(event);
            }
            if self.ended || self.engine.gate.current().outage {
                return None;
            }
            self.changed.mark_unchanged();
            let engine = Arc::clone(&self.engine);
            self.collect(&engine.state());
            // The sender is gone when the generation was cancelled.
            if self.ready.is_empty() && !self.ended && self.changed.changed().await.is_err() {
                return None;
            }
        }
    }

    fn collect(&mut self, state: &State) {
        let job = state.jobs.get(&self.request);
        let Some(job) = job.filter(|job| job.serial == self.serial && job.attempt == self.attempt) else {
            self.ended = true;
            return;
        };
        let Some(frame) = self.frame(job) else {
            return;
        };
        self.next = frame.first + u32::try_from(frame.tokens.len()).unwrap_or(u32::MAX);
        let finish = frame.finish;
        self.push(&frame, state);
        if finish.is_some() && !self.ended {
            self.ready.push_back(Bytes::from_static(b"data: [DONE]\n\n"));
            self.ended = true;
        }
    }

    fn frame(&self, job: &Job) -> Option<Frame> {
        let start = (self.next - job.first) as usize;
        let available = job.tokens.get(start..).unwrap_or_default();
        let tokens = &available[..available.len().min(self.engine.settings.max_batch)];
        let finish: Option<Finish> = job.finish.filter(|_| tokens.len() == available.len());
        if tokens.is_empty() && finish.is_none() {
            return None;
        }
        Some(Frame {
            id: self.request,
            attempt: self.attempt,
            version: job.version.clone(),
            first: self.next,
            tokens: tokens.to_vec(),
            finish,
        })
    }

    /// Queues a frame, changed by the faults in force.
    fn push(&mut self, frame: &Frame, state: &State) {
        let gate = Arc::clone(&self.engine.gate);
        let (method, path) = ("STREAM", "/v1/completions");
        if gate.hits(|faults| &mut faults.cut, method, path) {
            self.ended = true;
            return;
        }
        if gate.hits(|faults| &mut faults.cross, method, path) {
            self.ready.push_back(event(&self.foreign(frame, state)));
        }
        if gate.hits(|faults| &mut faults.duplicate, method, path) {
            self.ready.push_back(event(frame));
        }
        if !gate.hits(|faults| &mut faults.drop, method, path) {
            self.ready.push_back(event(frame));
        }
    }

    /// Returns a frame of another running request, or this frame under the id of another request.
    fn foreign(&self, frame: &Frame, state: &State) -> Frame {
        let other = state
            .jobs
            .iter()
            .find(|(id, job)| **id != self.request && !job.tokens.is_empty());
        match other {
            Some((id, job)) => Frame {
                id: *id,
                attempt: job.attempt,
                version: job.version.clone(),
                first: frame.first,
                tokens: job.tokens.last().cloned().into_iter().collect(),
                finish: None,
            },
            None => Frame {
                id: Request::from_random([7; 16]),
                ..frame.clone()
            },
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.engine.count_reader(self.request, self.serial, false);
    }
}

fn event(frame: &Frame) -> Bytes {
    let data = serde_json::to_string(frame).unwrap_or_default();
    Bytes::from(format!("id: {}\ndata: {data}\n\n", frame.first))
}
