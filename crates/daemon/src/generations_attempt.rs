//! The connection of one attempt to its engine.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use hawthornpost_core::generation::Event;
use hawthornpost_core::id::{Attempt, Request};
use hawthornpost_core::wire::Generate;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use crate::engine::{self, Stream};
use crate::error::{Error, Kind, Result};
use crate::generations::Generations;
use crate::generations_running::Running;
use crate::rollouts::Observation;

/// The request that opens a connection.
pub(crate) enum Start {
    /// Starts a new attempt.
    Open(Box<Generate>),
    /// Attaches to the running attempt.
    Attach { request: Request, from: u32 },
}

/// The task that reads an engine's stream; dropping it closes the connection.
pub(crate) struct Connection {
    attempt: Attempt,
    task: AbortHandle,
    backpressure: Rc<Backpressure>,
}

/// Pauses reading of a stream while its caller is slow, which applies backpressure to the engine.
#[derive(Default)]
struct Backpressure {
    paused: Cell<bool>,
    resumed: Notify,
}

struct Reader {
    generations: Rc<Generations>,
    running: Rc<Running>,
    attempt: Attempt,
    backpressure: Rc<Backpressure>,
}

impl Connection {
    pub(crate) fn start(
        generations: &Rc<Generations>,
        running: &Rc<Running>,
        attempt: Attempt,
        address: SocketAddr,
        start: Start,
    ) -> Self {
        let backpressure = Rc::<Backpressure>::default();
        let reader = Reader {
            generations: Rc::clone(generations),
            running: Rc::clone(running),
            attempt,
            backpressure: Rc::clone(&backpressure),
        };
        let task = tokio::task::spawn_local(reader.run(address, start)).abort_handle();
        Self {
            attempt,
            task,
            backpressure,
        }
    }

    pub(crate) fn attempt(&self) -> Attempt {
        self.attempt
    }

    pub(crate) fn set_paused(&self, paused: bool) {
        self.backpressure.paused.set(paused);
        self.backpressure.resumed.notify_one();
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Reader {
    async fn run(self, address: SocketAddr, start: Start) {
        let attempt = self.attempt;
        let ended = match self.open(address, start).await {
            Ok(stream) => {
                self.dispatch(Event::Accepted { attempt });
                self.read(stream).await
            }
            Err(error) => Err(error),
        };
        let refused = ended.as_ref().is_err_and(is_refusal);
        if let Err(error) = ended {
            let observation = if refused {
                Observation::Failed
            } else {
                Observation::Lost
            };
            self.running.record_closed(&self.generations, &error, observation);
        }
        self.dispatch(Event::Closed { attempt, refused });
    }

    async fn open(&self, address: SocketAddr, start: Start) -> Result<Stream> {
        match start {
            Start::Open(generate) => Stream::start(address, &generate).await,
            Start::Attach { request, from } => Stream::attach(address, request, self.attempt, from).await,
        }
    }

    async fn read(&self, mut stream: Stream) -> Result<()> {
        loop {
            while self.backpressure.paused.get() {
                self.backpressure.resumed.notified().await;
            }
            match stream.next().await? {
                Some(engine::Event::Frame(frame)) => {
                    self.running.record_frame(&self.generations, &frame);
                    self.dispatch(Event::Frame(frame));
                    self.generations.suspend_stalled();
                }
                Some(engine::Event::Done) => return Ok(()),
                None => {
                    return Err(Error::failed(
                        "the engine's stream ended before its last event",
                        "the generation is resumed automatically",
                    ));
                }
            }
        }
    }

    fn dispatch(&self, event: Event) {
        self.generations.dispatch(&self.running, event);
    }
}

/// Returns whether the engine returned an error status, which means that the generation does not run there.
fn is_refusal(error: &Error) -> bool {
    matches!(error.kind(), Kind::Status { .. })
}
