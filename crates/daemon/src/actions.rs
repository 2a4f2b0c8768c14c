//! Actions: calls to plain services that are executed at most once.
//!
//! Each action runs in its own task, so that a caller that disconnects does not leave a claim without an outcome.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hawthornpost_core::claim::{
    Answer, Call as CallOutcome, Command, Digest, Event, Key, Lookup, Machine, Outcome, Put, Record, Scope, State,
    Timeouts, Verdict,
};
use hawthornpost_core::id::{Claim, Service};
use hawthornpost_core::inventory::Role;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Response, StatusCode};
use linkme::distributed_slice;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

use crate::access::Access;
use crate::claims::{Claims, unix_ms};
use crate::client;
use crate::configuration::Current;
use crate::error::{Error, Kind, Result};
use crate::http::{self, Body, Call, ROUTES, Route, full};
use crate::kernel::{Context, Work};
use crate::platform;
use crate::plugin::{PLUGINS, Plugin, Stage};
use crate::routing::{Choice, Routing};
use crate::services;

/// The header with the caller's idempotency key of an action.
pub const KEY_HEADER: &str = "idempotency-key";
/// The header with the claim id, which identifies the action in a status lookup.
pub const CLAIM_HEADER: &str = "hawthornpost-claim";
/// The header that marks an answer that was recorded for an earlier request with the same key.
pub const RECORDED_HEADER: &str = "hawthornpost-recorded";

/// The characters of a key that are percent-encoded in a path.
const PATH_ENCODE_SET: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');
/// The timeout of a status lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);
/// The timeout of a change of the claim store.
const PUT_TIMEOUT: Duration = Duration::from_millis(900);

/// A caller's action.
#[derive(Debug)]
pub struct Action {
    /// The service.
    pub service: Service,
    /// The timeout of the call.
    pub limit: Duration,
    /// The key.
    pub key: Key,
    /// The caller's idempotency key, which is forwarded to the target.
    pub idempotency_key: HeaderValue,
    /// The path at the target.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// The content type of the body.
    pub content_type: Option<HeaderValue>,
}

/// Runs actions.
#[derive(Debug)]
pub struct Actions {
    context: Rc<Context>,
    counts: RefCell<HashMap<&'static str, u64>>,
    // The claims of the actions that run in this daemon, whose outcome is not recorded yet.
    running: RefCell<HashSet<Claim>>,
}

/// The result of an action for its caller.
#[derive(Debug)]
struct Reply {
    outcome: Outcome,
    response: Option<(Parts, Bytes)>,
}

/// One running action.
struct Run {
    context: Rc<Context>,
    action: Action,
    choice: Choice,
    events: mpsc::UnboundedSender<Event>,
    reply: RefCell<Option<oneshot::Sender<Reply>>>,
    response: RefCell<Option<(Parts, Bytes)>>,
}

impl Actions {
    /// Runs an action and waits until its response is known.
    ///
    /// # Errors
    ///
    /// Fails when the action did not run, and when its outcome is not known.
    pub async fn run(&self, action: Action) -> Result<Response<Body>> {
        let key = utf8_percent_encode(action.idempotency_key.to_str().unwrap_or_default(), PATH_ENCODE_SET);
        let lookup = format!("/v1/actions/{}/{key}", action.service);
        let choice = self.context.component::<Routing>().instance(&action.service, &[])?;
        let (reply, answer) = oneshot::channel();
        let (events, received) = mpsc::unbounded_channel();
        let run = Rc::new(Run {
            context: Rc::clone(&self.context),
            action,
            choice,
            events,
            reply: RefCell::new(Some(reply)),
            response: RefCell::default(),
        });
        tokio::task::spawn_local(run_machine(run, received));
        let lost = |_| Error::failed("the action ended without an answer", "report this as a fault");
        let reply = answer.await.map_err(lost)?;
        self.count(&reply.outcome);
        respond(reply, &lookup)
    }

    fn count(&self, outcome: &Outcome) {
        let name = match outcome {
            Outcome::Answered => "answered",
            Outcome::Recorded(_) => "recorded",
            Outcome::NotRun(_) => "not_run",
            Outcome::Unknown => "unknown",
            Outcome::Mismatch => "mismatch",
        };
        *self.counts.borrow_mut().entry(name).or_default() += 1;
    }
}

/// Runs the state machine of one action until it finishes.
async fn run_machine(run: Rc<Run>, mut received: mpsc::UnboundedReceiver<Event>) {
    let timer = run.context.timer();
    let mut work = Some(run.context.begin_work());
    let is_up = run.context.component::<platform::Client>().is_up();
    let (mut machine, commands) = Machine::start(timer.now(), run.record(), Timeouts::default(), is_up);
    let actions = run.context.component::<Actions>();
    let claim = machine.record().claim;
    actions.running.borrow_mut().insert(claim);
    run.execute_all(commands);
    while !machine.is_finished() {
        let event = match machine.deadline() {
            None => received.recv().await.unwrap_or(Event::Tick),
            Some(deadline) => tokio::select! {
                event = received.recv() => event.unwrap_or(Event::Tick),
                () = timer.sleep_until(deadline) => Event::Tick,
            },
        };
        run.release_when_platform_fails(&event, &mut work);
        let commands = machine.handle(timer.now(), event);
        run.execute_all(commands);
    }
    actions.running.borrow_mut().remove(&claim);
}

impl Run {
    fn record(&self) -> Record {
        Record {
            key: self.action.key,
            claim: Claim::from_random(rand::random()),
            entry: self.context.settings().entry.name.clone(),
            target: self.choice.target.clone(),
            body: Digest::new(&self.action.path, &self.action.body),
            at_ms: unix_ms(),
            state: State::Claimed,
        }
    }

    /// Lets a shutdown proceed before the outcome is recorded when the platform is down. Otherwise the shutdown waits
    /// for the record.
    fn release_when_platform_fails(&self, event: &Event, work: &mut Option<Work>) {
        let failed = matches!(
            event,
            Event::Recorded(Verdict::Unknown | Verdict::Refused) | Event::Closed(Verdict::Unknown | Verdict::Refused)
        );
        if failed && self.reply.borrow().is_none() {
            work.take();
        }
    }

    fn execute_all(self: &Rc<Self>, commands: Vec<Command>) {
        for command in commands {
            if let Command::Answer(outcome) = command {
                self.answer(outcome);
                continue;
            }
            let run = Rc::clone(self);
            tokio::task::spawn_local(async move {
                let event = run.execute(command).await;
                if event.is_some_and(|event| run.events.send(event).is_err()) {
                    log::debug!(
                        "an action of service {} has ended before a result arrived",
                        run.action.service
                    );
                }
            });
        }
    }

    fn answer(&self, outcome: Outcome) {
        let response = self.response.borrow_mut().take();
        let waiting = self.reply.borrow_mut().take();
        if waiting.is_some_and(|reply| reply.send(Reply { outcome, response }).is_err()) {
            log::debug!(
                "the caller of an action of service {} has disconnected",
                self.action.service
            );
        }
    }

    async fn execute(&self, command: Command) -> Option<Event> {
        let claims = self.context.component::<Claims>();
        Some(match command {
            Command::Claim(record) => Event::Claimed(claims.put(Put::Claim(record), PUT_TIMEOUT).await),
            Command::Close(record) => Event::Closed(claims.write(Put::Tombstone(record), PUT_TIMEOUT).await),
            Command::Record(key, claim, state) => {
                Event::Recorded(claims.put(Put::Outcome { key, claim, state }, PUT_TIMEOUT).await)
            }
            Command::ReadSegment(name) => Event::Segment(claims.read_segment(&name, &self.action.key).await),
            Command::Send(claim) => Event::Called(self.send(claim).await),
            Command::LookUp(record) => Event::LookedUp(look_up(&self.context, &record).await),
            Command::Answer(_) => return None,
        })
    }

    async fn send(&self, claim: Claim) -> CallOutcome {
        let mut request = client::request_with_body(Method::POST, &self.action.path, self.action.body.clone());
        let headers = request.headers_mut();
        headers.insert(KEY_HEADER, self.action.idempotency_key.clone());
        if let Ok(value) = HeaderValue::from_str(&claim.to_string()) {
            headers.insert(CLAIM_HEADER, value);
        }
        if let Some(value) = &self.action.content_type {
            headers.insert(CONTENT_TYPE, value.clone());
        }
        match services::exchange(&self.context, self.choice.address, self.action.limit, request).await {
            Ok((head, body)) => {
                let answer = Answer::new(head.status.as_u16(), &body);
                self.response.replace(Some((head, body)));
                CallOutcome::Answered(answer)
            }
            Err(error) => {
                log::debug!("call with claim {claim} at {} failed: {error}", self.choice.target);
                match error.kind() {
                    Kind::Connect { .. } => CallOutcome::NotConnected,
                    _ => CallOutcome::Lost,
                }
            }
        }
    }
}

/// Queries the target of a claim whether the action was executed.
async fn look_up(context: &Context, record: &Record) -> Lookup {
    #[derive(Deserialize)]
    struct Status {
        state: String,
    }
    let document = context.component::<Current>().document();
    let target = document.inventory.get(&record.target);
    let Some(item) = target.filter(|item| {
        matches!(
            item.role,
            Role::Service {
                status_lookup: true,
                ..
            }
        )
    }) else {
        return Lookup::Unknown;
    };
    let request = client::request(Method::GET, format!("/actions/{}", record.claim));
    let answer = client::call(context.timer(), LOOKUP_TIMEOUT, item.address, request).await;
    match answer.and_then(|body| client::decode::<Status>(item.address, &body)) {
        Ok(status) if status.state == "done" => Lookup::Done,
        Ok(_) => Lookup::Unknown,
        Err(error) => {
            log::debug!(
                "cannot look up the action of claim {} at {}: {error}",
                record.claim,
                item.address
            );
            Lookup::Unknown
        }
    }
}

fn respond(reply: Reply, lookup: &str) -> Result<Response<Body>> {
    match (reply.outcome, reply.response) {
        (Outcome::Answered, Some((head, body))) => {
            let mut response = Response::from_parts(head, full(body));
            response.headers_mut().remove(hyper::header::TRANSFER_ENCODING);
            Ok(response)
        }
        (Outcome::Recorded(answer), _) => Ok(recorded_response(answer)),
        (Outcome::NotRun(Scope::Key), _) => Err(Kind::NotRun {
            scope: "key",
            detail: "the action did not run and this key is closed".to_owned(),
            remedy: "send the action again with a new key".to_owned(),
        }
        .into()),
        (Outcome::NotRun(Scope::Request), _) => Err(Kind::NotRun {
            scope: "request",
            detail: "the platform is not available, so this request did not run".to_owned(),
            remedy: "send the action again with the same key later".to_owned(),
        }
        .into()),
        (Outcome::Mismatch, _) => Err(Kind::KeyReused.into()),
        (Outcome::Unknown | Outcome::Answered, _) => Err(Kind::OutcomeUnknown {
            lookup: lookup.to_owned(),
        }
        .into()),
    }
}

/// Builds the response from a recorded answer.
fn recorded_response(answer: Answer) -> Response<Body> {
    let mut response = match answer.body {
        Some(body) => Response::new(full(body)),
        None => http::json(&json!({ "state": "done" })),
    };
    let status = answer.status.and_then(|status| StatusCode::from_u16(status).ok());
    *response.status_mut() = status.unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    headers.insert(RECORDED_HEADER, HeaderValue::from_static("true"));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

#[distributed_slice(ROUTES)]
static OUTCOME: Route = Route {
    method: || Method::GET,
    path: "/v1/actions/{service}/{*key}",
    access: Access::Account,
    handle: |context, call| Box::pin(outcome(context, call)),
};

/// Returns the known state of an action. An outcome that is resolved by a status lookup is recorded.
async fn outcome(context: Rc<Context>, call: Call) -> Result<Response<Body>> {
    let service = Service::new(call.parameter("service"))?;
    let key = percent_decode_str(call.parameter("key")).decode_utf8_lossy();
    let key = Key::new(call.account()?, &service, &key);
    let claims = context.component::<Claims>();
    let record = match claims.put(Put::Find(key), PUT_TIMEOUT).await {
        Verdict::Held(record) => Some(record),
        Verdict::Sealed(name) => claims
            .read_segment(&name, &key)
            .await
            .map_err(|_failure| records_unavailable())?,
        Verdict::Refused if context.component::<platform::Client>().is_up() => None,
        Verdict::Stored | Verdict::Refused | Verdict::Unknown => return Err(records_unavailable()),
    };
    let Some(mut record) = record else {
        return Err(Error::not_found(
            "record of an action with this key",
            "send the action if it is still wanted",
        ));
    };
    // A running action will record the full answer, which a status lookup does not return.
    let is_running = context.component::<Actions>().running.borrow().contains(&record.claim);
    if !record.is_settled() && !is_running && look_up(&context, &record).await == Lookup::Done {
        let (claim, state) = (record.claim, State::Done(Answer::resolved()));
        record.state = state.clone();
        claims.put(Put::Outcome { key, claim, state }, PUT_TIMEOUT).await;
    }
    Ok(http::json(&describe(&record)))
}

fn records_unavailable() -> Error {
    Error::unavailable("the records of actions cannot be read", LOOKUP_TIMEOUT)
}

fn describe(record: &Record) -> serde_json::Value {
    let (state, status, body) = match &record.state {
        State::Claimed => ("unknown", None, None),
        State::NotRun => ("not_run", None, None),
        State::Done(answer) => ("done", answer.status, answer.body.as_deref()),
    };
    json!({
        "state": state,
        "status": status,
        "body": body,
        "claim": record.claim,
        "entry": record.entry,
        "target": record.target,
        "at_ms": record.at_ms,
    })
}

#[distributed_slice(PLUGINS)]
static ACTIONS: Plugin = Plugin {
    name: "actions",
    stage: Stage::Processing,
    start,
};

#[expect(clippy::unnecessary_wraps, reason = "the signature of all plug-ins")]
fn start(context: &Rc<Context>) -> Result<()> {
    let actions = Rc::new(Actions {
        context: Rc::clone(context),
        counts: RefCell::default(),
        running: RefCell::default(),
    });
    let dumped = Rc::clone(&actions);
    context.register_dump(
        "actions",
        move || json!({ "running": dumped.running.borrow().len(), "answers": *dumped.counts.borrow() }),
    );
    context.provide(actions);
    Ok(())
}
