//! The event stream of one attempt.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use hawthornpost_core::id::{Attempt, Request};
use hawthornpost_core::wire::{Finish, Frame};
use tokio::sync::watch;

use crate::engine::{Engine, Job, State};

/// Reads the tokens of a generation for one attempt.
pub(crate) struct Reader {
    engine: Arc<Engine>,
    request: Request,
    serial: u64,
    attempt: Attempt,
    next_index: u32,
    changed: watch::Receiver<()>,
    ready: VecDeque<Bytes>,
    ended: bool,
}

impl Reader {
    /// Returns a reader that starts at token `next_index`, or `None` if the generation does not exist.
    pub(crate) fn new(
        engine: &Arc<Engine>,
        request: Request,
        serial: u64,
        attempt: Attempt,
        next_index: u32,
    ) -> Option<Self> {
        let changed = engine.state().jobs.get(&request)?.changed.subscribe();
        engine.update_readers(request, serial, true);
        Some(Self {
            engine: Arc::clone(engine),
            request,
            serial,
            attempt,
            next_index,
            changed,
            ready: VecDeque::new(),
            ended: false,
        })
    }

    /// Returns the next event, or `None` at the end of the stream.
    pub(crate) async fn next(&mut self) -> Option<Bytes> {
        loop {
            self.engine.injector.wait_while_frozen().await;
            if let Some(event) = self.ready.pop_front() {
                return Some(event);
            }
            if self.ended || self.engine.injector.current().outage {
                return None;
            }
            self.changed.mark_unchanged();
            let engine = Arc::clone(&self.engine);
            self.read_available(&engine.state());
            // The sender was dropped if the generation was cancelled.
            if self.ready.is_empty() && !self.ended && self.changed.changed().await.is_err() {
                return None;
            }
        }
    }

    fn read_available(&mut self, state: &State) {
        let job = state.jobs.get(&self.request);
        let Some(job) = job.filter(|job| job.serial == self.serial && job.attempt == self.attempt) else {
            self.ended = true;
            return;
        };
        let Some(frame) = self.frame(job) else {
            return;
        };
        self.next_index = frame.first + u32::try_from(frame.tokens.len()).unwrap_or(u32::MAX);
        let finish = frame.finish;
        self.queue(&frame, state);
        if finish.is_some() && !self.ended {
            self.ready.push_back(Bytes::from_static(b"data: [DONE]\n\n"));
            self.ended = true;
        }
    }

    fn frame(&self, job: &Job) -> Option<Frame> {
        let start = (self.next_index - job.first) as usize;
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
            first: self.next_index,
            tokens: tokens.to_vec(),
            finish,
        })
    }

    /// Queues a frame and applies the active stream faults.
    fn queue(&mut self, frame: &Frame, state: &State) {
        let injector = Arc::clone(&self.engine.injector);
        let (method, path) = ("STREAM", "/v1/completions");
        if injector.triggers(|faults| &mut faults.cut, method, path) {
            self.ended = true;
            return;
        }
        if injector.triggers(|faults| &mut faults.cross, method, path) {
            self.ready.push_back(encode(&self.other_frame(frame, state)));
        }
        if injector.triggers(|faults| &mut faults.duplicate, method, path) {
            self.ready.push_back(encode(frame));
        }
        if !injector.triggers(|faults| &mut faults.drop, method, path) {
            self.ready.push_back(encode(frame));
        }
    }

    /// Returns a frame of another running request, or this frame with the id of another request if there is none.
    fn other_frame(&self, frame: &Frame, state: &State) -> Frame {
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
        self.engine.update_readers(self.request, self.serial, false);
    }
}

fn encode(frame: &Frame) -> Bytes {
    let data = serde_json::to_string(frame).unwrap_or_default();
    Bytes::from(format!("id: {}\ndata: {data}\n\n", frame.first))
}
