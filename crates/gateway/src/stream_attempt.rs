//! An attempt of a stream at an engine.

mod outcome;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hawthornpost_core::clock::Instant;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use hyper::{Request, Response};

use crate::backup::Backup;
use crate::body::Body;
use crate::connections::{self, Lease, Reuse};
use crate::dialect::{Dispatch, Source};
use crate::event_quota::{self, Quota};
use crate::event_stream::{Event, Splitter};
use crate::exchange::implies_not_run;
use crate::gateway::{Gateway, Reservation};
use crate::headers;
use crate::intake::{Excess, Limits};
use crate::load::Load;
use crate::outbound::{self, Connection, Failure};
use crate::reply::{self, Verdict};
use crate::stall::{Stall, Watchdog};
use crate::stream_progress::Progress;
use crate::target::Target;
use crate::trial;

pub(crate) use outcome::Outcome;
use outcome::{broken, disconnected, stalled, truncated};

/// The connect timeout for an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a stream that cannot be resumed waits for an unreachable engine.
const MAX_UNREACHABLE: Duration = Duration::from_millis(1500);
/// The maximum size of an event.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// The response of an engine with a stream.
struct Input {
    lease: Lease,
    /// Whether the response names the request.
    is_named: bool,
    idle_timeout: Option<Duration>,
    headers: HeaderMap,
    body: Incoming,
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
        stream.queue = None;
        if self.backup.is_none() {
            stream.record_queue(target, prefill);
        }
        let mut reservation = stream
            .gateway
            .reserve(&target.id, Load::stream(prefill, need.memory_tokens));
        let id = stream.job.metadata.id.clone();
        let backup = stream.choose_backup(target, need);
        let backup = backup.map(|backup| Backup::incremental(&stream.gateway, backup, &id, need));
        let reuse = if stream.job.route.resumable {
            Reuse::Any
        } else {
            Reuse::Recent
        };
        let mut lease = match Lease::acquire(&stream.gateway, target, reuse, CONNECT_TIMEOUT).await {
            Ok(lease) => lease,
            Err(failure) => return Outcome::unsent(failure.to_string()),
        };
        let request = self.request(stream, backup.as_ref());
        let connection = lease.connection_mut();
        connection.set_limits(Limits::stream(event_quota::max_tokens(&stream.job.metadata)));
        let sent = stream.gateway.now();
        let response = match self.send(stream, connection, request, sent).await {
            Ok(response) => response,
            Err(outcome) => return outcome,
        };
        let (head, body) = response.into_parts();
        let is_named = match reply::check(&stream.gateway, target, &id, &head) {
            Verdict::Valid { is_named } => is_named,
            Verdict::NotRun(reason) => {
                return Outcome::NotRun {
                    reason,
                    was_received: true,
                };
            }
            Verdict::Invalid => {
                return broken(
                    stream,
                    "the response does not belong to this request, or is unsigned or encoded".to_owned(),
                    sent,
                );
            }
        };
        if !head.status.is_success() || !headers::may_be_event_stream(&head.headers) {
            return self.handle_other(stream, lease.connection(), head, body).await;
        }
        let response = Input {
            idle_timeout: connections::idle_timeout(&head.headers),
            lease,
            is_named,
            headers: head.headers,
            body,
        };
        self.forward(stream, &mut reservation, response, sent, backup).await
    }

    /// Returns the request, which names the engine that keeps a copy of the run and the copy from which the run is resumed.
    fn request(&self, stream: &Progress, backup: Option<&Backup>) -> Request<Full<Bytes>> {
        let dispatch = Dispatch {
            instance: &self.target.id,
            time_left: stream.job.time_left(&stream.gateway),
            account: stream.job.account.as_ref().map(|account| account.name.as_str()),
            priority: Some(stream.job.priority()),
            backup: backup.map(|backup| backup.target.address),
            source: self.backup.as_ref().map(|backup| Source {
                address: backup.address,
                id: &backup.id,
            }),
            last_event: stream.last_event,
        };
        stream.job.request(&stream.gateway, &dispatch)
    }

    /// Sends the request at `sent` and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails with the end of the attempt when there is no response.
    async fn send(
        &self,
        stream: &mut Progress,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
        sent: Instant,
    ) -> Result<Response<Incoming>, Outcome> {
        let target = &self.target;
        let meter = Rc::clone(connection.meter());
        let watchdog = Watchdog::for_first_event(stream.gateway.fleet().borrow().prefill_tokens(&target.id));
        if !stream.output.has_begun() {
            stream.start_wait(target, trial::Latency::Response);
        }
        match self.wait(stream, watchdog, connection.send(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(Failure::Excess { excess, .. })) => Err(self.cut_off(stream, excess, sent)),
            Ok(Err(failure @ Failure::Unsent { .. })) => Err(Outcome::unsent(failure.to_string())),
            Err(_) if !meter.has_sent() => Err(Outcome::unsent("the request could not be sent in time".to_owned())),
            Ok(Err(error)) => {
                stream.gateway.suspect(target, "the connection failed");
                Err(disconnected(stream, error.to_string(), sent))
            }
            Err(stall) => {
                record_stall(&stream.gateway, target, stall);
                Err(stalled(stream, stall, sent))
            }
        }
    }

    /// Waits for data of the engine. A silent engine is given up only if the stream may be resumed at another one, or
    /// when it has been unreachable for [`MAX_UNREACHABLE`].
    async fn wait<T>(
        &self,
        stream: &mut Progress,
        watchdog: Watchdog,
        data: impl Future<Output = T>,
    ) -> Result<T, Stall> {
        let mut data = std::pin::pin!(data);
        let started = stream.gateway.now();
        loop {
            let remaining = stream.job.time_left(&stream.gateway);
            let result = watchdog
                .watch(&stream.gateway, &self.target, remaining, data.as_mut())
                .await;
            match result {
                Err(stall) if !stream.may_give_up(&self.target) => {
                    let silence = stream.gateway.now().since(started);
                    if stall == Stall::Unreachable && silence >= MAX_UNREACHABLE {
                        return Err(stall);
                    }
                }
                result => return result,
            }
        }
    }

    /// Forwards the events of the engine to the caller.
    async fn forward(
        &self,
        stream: &mut Progress,
        reservation: &mut Reservation,
        response: Input,
        sent: Instant,
        mut backup: Option<Backup>,
    ) -> Outcome {
        let target = &self.target;
        let Input {
            lease,
            is_named,
            idle_timeout,
            mut headers,
            mut body,
        } = response;
        headers::strip_hop_by_hop(&mut headers);
        let mut splitter = Splitter::default();
        let mut has_event = false;
        let first_watchdog = Watchdog::for_first_event(stream.gateway.fleet().borrow().prefill_tokens(&target.id));
        let need = stream.need();
        let (metadata, last_event) = (&stream.job.metadata, stream.last_event);
        let mut quota = Quota::new(metadata, last_event, first_watchdog.timeout());
        loop {
            let watchdog = if has_event {
                Watchdog::between_events(stream.backup.is_some())
            } else {
                first_watchdog
            };
            let (events, is_end) = match self.next_frame(stream, watchdog, &mut body, sent).await {
                Ok(Some(frame)) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    quota.record_bytes(stream.gateway.now());
                    splitter.push(&bytes);
                    if splitter.len() > MAX_EVENT_BYTES {
                        return self.cut_off(stream, Excess::Event, sent);
                    }
                    match quota.admit_all(splitter.by_ref()) {
                        Ok(events) => (events, false),
                        Err(excess) => return self.cut_off(stream, excess, sent),
                    }
                }
                Ok(None) if splitter.has_incomplete_event() => return truncated(stream, sent),
                Ok(None) => (quota.take_held(), true),
                Err(outcome) => return outcome,
            };
            let has_progress = events.iter().any(|event| event.id.is_some());
            for event in events {
                if !has_event {
                    has_event = true;
                    stream.screening.record_begun();
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
                let Ok(bytes) = hold(&stream.gateway, event) else {
                    return broken(stream, Excess::Memory.to_string(), sent);
                };
                if !stream.output.forward(now, &mut headers, bytes).await {
                    return Outcome::Completed;
                }
                if stream.output.events > u64::from(trial::SAMPLED_INTERVALS) {
                    stream.record_event_interval(target);
                }
            }
            if has_progress {
                quota.record_progress();
            } else if quota.is_overdue(stream.gateway.now()) {
                return self.cut_off(stream, Excess::Time, sent);
            }
            if is_end {
                if !has_event {
                    return truncated(stream, sent);
                }
                if is_named {
                    lease.keep(idle_timeout);
                }
                return Outcome::Completed;
            }
        }
    }

    /// Waits for the next frame of the engine; returns `None` at the end of the stream.
    async fn next_frame(
        &self,
        stream: &mut Progress,
        watchdog: Watchdog,
        body: &mut Incoming,
        sent: Instant,
    ) -> Result<Option<Frame<Bytes>>, Outcome> {
        let error = match self.wait(stream, watchdog, body.frame()).await {
            Ok(Some(Ok(frame))) => return Ok(Some(frame)),
            Ok(Some(Err(error))) => error,
            Ok(None) => return Ok(None),
            Err(stall) => {
                record_stall(&stream.gateway, &self.target, stall);
                return Err(stalled(stream, stall, sent));
            }
        };
        if let Some(excess) = Excess::of(&error) {
            return Err(self.cut_off(stream, excess, sent));
        }
        stream
            .gateway
            .suspect(&self.target, "the connection failed during the stream");
        Err(disconnected(stream, outbound::format_chain(&error), sent))
    }

    /// Ends an attempt whose response exceeds a limit.
    fn cut_off(&self, stream: &Progress, excess: Excess, sent: Instant) -> Outcome {
        excess.report(&stream.gateway, &self.target);
        broken(stream, excess.to_string(), sent)
    }

    /// Handles a response without a stream: errors of the engine are retried, anything else is passed on to the caller.
    async fn handle_other(
        &self,
        stream: &Progress,
        connection: &Connection,
        mut head: Parts,
        body: Incoming,
    ) -> Outcome {
        let sent = stream.gateway.now();
        // Once the caller has a part of the stream, any other response is a failure of this engine.
        let is_failure = head.status.is_server_error() || implies_not_run(head.status);
        if is_failure || stream.output.has_begun() {
            let reason = format!("the engine responded with status {}", head.status.as_u16());
            return broken(stream, reason, sent);
        }
        connection.set_limits(Limits::response(stream.gateway.limits().response_bytes));
        let mut share = stream.gateway.response_memory().share();
        let body = connection.read(body, |bytes| share.grow_to(bytes));
        let time_left = stream.job.time_left(&stream.gateway);
        match stream.gateway.timer().timeout(time_left, body).await {
            Some(Ok(body)) => {
                headers::strip_hop_by_hop(&mut head.headers);
                let mut response = Response::new(Body::full(share.hold(body)));
                *response.status_mut() = head.status;
                *response.headers_mut() = head.headers;
                Outcome::Other(response)
            }
            Some(Err(Failure::Excess { excess, .. })) => self.cut_off(stream, excess, sent),
            Some(Err(_)) | None => {
                let reason = "the error response of the engine is incomplete".to_owned();
                broken(stream, reason, sent)
            }
        }
    }

    /// Records the time to the first event for the trial of a version. Resumed streams are excluded, as their time is not
    /// comparable.
    fn record_first_event(&self, stream: &mut Progress, sent: Instant) {
        if !stream.output.has_begun() {
            stream.count_usage();
            let took = stream.gateway.now().since(sent);
            if let Some(queue) = stream.queue.take() {
                let mut fleet = stream.gateway.fleet().borrow_mut();
                fleet.record_first_event(&self.target.id, queue, took);
            }
            stream.record_trial(&self.target, trial::Outcome::Responded(took));
            stream.start_wait(&self.target, trial::Latency::EventInterval);
        }
    }
}

/// Counts an event as buffered until it has been written to the caller.
fn hold(gateway: &Gateway, event: Event) -> Result<Bytes, Excess> {
    let mut share = gateway.response_memory().share();
    share.grow_to(event.bytes.len())?;
    Ok(share.hold(event.bytes))
}

/// Records a stall. An engine whose host responds may only be slow, which says nothing about other engines, so only its
/// own outcome is recorded.
fn record_stall(gateway: &Gateway, target: &Target, stall: Stall) {
    match stall {
        Stall::Unreachable => gateway.suspect(target, stall.reason()),
        Stall::Slow => gateway.fleet().borrow_mut().record_outcome(&target.id, true),
    }
}
