//! An attempt of a stream at an engine.

use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderMap;

use crate::backup::Backup;
use crate::body::Body;
use crate::dialect::{Dispatch, Source};
use crate::event_stream::Splitter;
use crate::exchange::implies_not_run;
use crate::gateway::{Gateway, Reservation};
use crate::headers;
use crate::load::Load;
use crate::outbound::{self, Connection};
use crate::reply::{self, Verdict};
use crate::stall::{Stall, Watchdog};
use crate::stream_progress::Progress;
use crate::target::Target;
use crate::trial;

/// The connect timeout for an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// The maximum size of an event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// How an attempt ended.
pub(crate) enum Outcome {
    /// The stream is complete.
    Completed,
    /// The engine did not run the request.
    NotRun(String),
    /// The engine failed; the stream can be resumed at another engine from its last event.
    Broken {
        reason: String,
        stalled_for: Duration,
        /// Whether the engine's host is unreachable, so that the run does not count towards the attempt limit of the route.
        is_unreachable: bool,
    },
    /// A response of the engine that is not a stream.
    Other(Response<Body>),
}

/// The target of an attempt.
pub(crate) struct Attempt {
    /// The engine.
    pub target: Rc<Target>,
    /// The copy from which the stream is resumed.
    pub backup: Option<Backup>,
}

impl Attempt {
    /// Sends the request and forwards the events of the engine.
    pub(crate) async fn run(&self, stream: &mut Progress) -> Outcome {
        let target = &self.target;
        let need = stream.need();
        let prefill = if self.backup.is_some() { 0 } else { need.prompt_tokens };
        let mut reservation = stream
            .gateway
            .reserve(&target.id, Load::stream(prefill, need.memory_tokens));
        let id = stream.job.metadata.id.clone();
        let backup = stream.choose_backup(target, need);
        let backup = backup.map(|backup| Backup::incremental(&stream.gateway, backup, &id, need));
        let connected = Connection::open(target.address, CONNECT_TIMEOUT).await;
        let mut connection = match connected {
            Ok(connection) => connection,
            Err(error) => {
                stream.gateway.suspect(target, "cannot connect");
                return Outcome::NotRun(error.to_string());
            }
        };
        let dispatch = Dispatch {
            instance: &target.id,
            time_left: stream.job.time_left(&stream.gateway),
            account: stream.job.account.as_ref().map(|account| account.name.as_str()),
            priority: Some(stream.job.priority()),
            backup: backup.as_ref().map(|backup| backup.target.address),
            source: self.backup.as_ref().map(|backup| Source {
                address: backup.address,
                id: &backup.id,
            }),
            last_event: stream.last_event,
        };
        let request = stream.job.request(&stream.gateway, &dispatch);
        let watchdog = Watchdog::for_first_event(stream.gateway.fleet().borrow().prefill_tokens(&target.id));
        let sent = stream.gateway.now();
        if !stream.output.has_begun() {
            stream.start_wait(target, trial::Latency::Response);
        }
        let response = match watchdog
            .watch(
                &stream.gateway,
                target,
                stream.job.time_left(&stream.gateway),
                connection.send(request),
            )
            .await
        {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                stream.gateway.suspect(target, "the connection failed");
                return broken(stream, error.to_string(), sent);
            }
            Err(stall) => {
                record_stall(&stream.gateway, target, stall);
                return stalled(stream, stall, sent);
            }
        };
        let (head, body) = response.into_parts();
        match reply::check(&stream.gateway, target, &id, &head) {
            Verdict::Valid => {}
            Verdict::NotRun(reason) => return Outcome::NotRun(reason),
            Verdict::Invalid => {
                return broken(
                    stream,
                    "the response does not belong to this request, or is unsigned or encoded".to_owned(),
                    sent,
                );
            }
        }
        if !head.status.is_success() {
            return handle_other(stream, head, body).await;
        }
        self.forward(stream, &mut reservation, head.headers, body, sent, backup)
            .await
    }

    /// Forwards the events of the engine to the caller.
    async fn forward(
        &self,
        stream: &mut Progress,
        reservation: &mut Reservation,
        mut headers: HeaderMap,
        mut body: Incoming,
        sent: Instant,
        mut backup: Option<Backup>,
    ) -> Outcome {
        let target = &self.target;
        headers::strip_hop_by_hop(&mut headers);
        let mut splitter = Splitter::default();
        let mut has_event = false;
        let first_watchdog = Watchdog::for_first_event(stream.gateway.fleet().borrow().prefill_tokens(&target.id));
        let need = stream.need();
        loop {
            let watchdog = if has_event {
                Watchdog::between_events(stream.backup.is_some())
            } else {
                first_watchdog
            };
            let frame = match watchdog
                .watch(
                    &stream.gateway,
                    target,
                    stream.job.time_left(&stream.gateway),
                    body.frame(),
                )
                .await
            {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) if !splitter.has_incomplete_event() && has_event => return Outcome::Completed,
                Ok(None) => {
                    return broken(
                        stream,
                        "the stream ended before its first event or within an event".to_owned(),
                        sent,
                    );
                }
                Ok(Some(Err(error))) => {
                    stream
                        .gateway
                        .suspect(target, "the connection failed during the stream");
                    return broken(stream, outbound::format_chain(&error), sent);
                }
                Err(stall) => {
                    record_stall(&stream.gateway, target, stall);
                    return stalled(stream, stall, sent);
                }
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            splitter.push(&bytes);
            if splitter.len() > MAX_EVENT_BYTES {
                return broken(stream, "an event is too large".to_owned(), sent);
            }
            let events = splitter.by_ref().collect::<Vec<_>>();
            for event in events {
                if !has_event {
                    has_event = true;
                    // Before the first event an engine has no run that it could replicate.
                    stream.backup = backup.take();
                    self.record_first_event(stream, sent);
                    reservation.change(Load::stream(0, need.memory_tokens));
                    stream.gateway.fleet().borrow_mut().clear_suspicion(&target.id);
                }
                let is_duplicate = event
                    .id
                    .is_some_and(|id| stream.last_event.is_some_and(|last| id <= last));
                if is_duplicate {
                    continue;
                }
                stream.last_event = event.id.or(stream.last_event);
                stream.maintain_backup(target);
                let now = stream.gateway.now();
                if !stream.output.forward(now, &mut headers, event.bytes).await {
                    return Outcome::Completed;
                }
                if stream.output.events > u64::from(trial::SAMPLED_INTERVALS) {
                    stream.record_event_interval(target);
                }
            }
        }
    }

    /// Records the time to the first event for the trial of a version. Resumed streams are excluded, as their time is not
    /// comparable.
    fn record_first_event(&self, stream: &mut Progress, sent: Instant) {
        if !stream.output.has_begun() {
            let took = stream.gateway.now().since(sent);
            stream.record_trial(&self.target, trial::Outcome::Responded(took));
            stream.start_wait(&self.target, trial::Latency::EventInterval);
        }
    }
}

fn broken(stream: &Progress, reason: String, since: Instant) -> Outcome {
    Outcome::Broken {
        reason,
        stalled_for: stream.gateway.now().since(since.max(stream.output.last_at)),
        is_unreachable: false,
    }
}

fn stalled(stream: &Progress, stall: Stall, since: Instant) -> Outcome {
    Outcome::Broken {
        reason: stall.reason().to_owned(),
        stalled_for: stream.gateway.now().since(since.max(stream.output.last_at)),
        is_unreachable: stall == Stall::Unreachable,
    }
}

/// Handles a response without a stream: errors of the engine are retried, anything else is passed on to the caller.
async fn handle_other(stream: &Progress, mut head: hyper::http::response::Parts, body: Incoming) -> Outcome {
    let sent = stream.gateway.now();
    let collected = stream
        .gateway
        .timer()
        .timeout(stream.job.time_left(&stream.gateway), body.collect())
        .await;
    let Some(Ok(body)) = collected else {
        return broken(
            stream,
            "the error response of the engine is incomplete".to_owned(),
            sent,
        );
    };
    if head.status.is_server_error() || implies_not_run(head.status) {
        return broken(
            stream,
            format!("the engine responded with status {}", head.status.as_u16()),
            sent,
        );
    }
    headers::strip_hop_by_hop(&mut head.headers);
    let mut response = Response::new(Body::full(body.to_bytes()));
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    Outcome::Other(response)
}

/// Records a stall. An engine whose host responds may only be slow, which says nothing about other engines, so only its
/// own outcome is recorded.
fn record_stall(gateway: &Gateway, target: &Target, stall: Stall) {
    match stall {
        Stall::Unreachable => gateway.suspect(target, stall.reason()),
        Stall::Slow => gateway.fleet().borrow_mut().record_outcome(&target.id, true),
    }
}
