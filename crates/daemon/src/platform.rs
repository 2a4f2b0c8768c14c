//! Client of the platform's object API.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::platform::{self as api, Budget, Failure, Resource};
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use linkme::distributed_slice;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::client;
use crate::error::{Error, Kind, Result};
use crate::event::Event;
use crate::kernel::Context;
use crate::plugin::{PLUGINS, Plugin, Stage};

/// How often an unresponsive platform is probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The number of consecutive unanswered calls after which the platform counts as down. A single lost answer is not an
/// outage.
const MAX_UNANSWERED_CALLS: u32 = 2;

/// The client of the object API.
#[derive(Debug)]
pub struct Client {
    context: Rc<Context>,
    budget: RefCell<Budget>,
    unanswered: watch::Sender<u32>,
}

#[derive(Deserialize)]
struct Change {
    r#type: String,
    #[serde(default)]
    object: Value,
}

#[derive(Deserialize)]
struct List<S> {
    items: Vec<api::Object<S>>,
}

impl Client {
    /// Reads an object and its version.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer or the object cannot be decoded.
    pub async fn get<S: DeserializeOwned>(&self, resource: Resource, name: &str) -> Result<Option<(api::Version, S)>> {
        let (status, body) = self
            .exchange::<()>(Method::GET, &resource.path(Some(name)), None)
            .await?;
        match status {
            StatusCode::NOT_FOUND => Ok(None),
            status if status.is_success() => self.decode_object(&body).map(Some),
            status => Err(self.refusal_error(status, &body)),
        }
    }

    /// Reads an object like [`Client::get`], with an error that tells whether the call took effect.
    ///
    /// # Errors
    ///
    /// Fails with the known effect of the call.
    pub async fn read<S: DeserializeOwned>(
        &self,
        resource: Resource,
        name: &str,
    ) -> std::result::Result<Option<(api::Version, S)>, Failure> {
        self.get(resource, name).await.map_err(|error| failure(&error))
    }

    /// Reads the specs of all objects of a kind.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer or an object cannot be decoded.
    pub async fn list<S: DeserializeOwned>(&self, resource: Resource) -> Result<Vec<S>> {
        let (status, body) = self.exchange::<()>(Method::GET, &resource.path(None), None).await?;
        if status != StatusCode::OK {
            return Err(self.refusal_error(status, &body));
        }
        let list = client::decode::<List<S>>(self.address(), &body)?;
        Ok(list.items.into_iter().map(|object| object.spec).collect())
    }

    /// Replaces an object if it still has the version `base`, or creates it when `base` is `None`.
    ///
    /// # Errors
    ///
    /// Fails with the known effect of the write.
    pub async fn put<S: Serialize>(
        &self,
        resource: Resource,
        name: &str,
        base: Option<api::Version>,
        spec: &S,
    ) -> std::result::Result<api::Version, Failure> {
        let object = api::Object::new(resource, name, base, spec);
        let (method, path) = match base {
            Some(_) => (Method::PUT, resource.path(Some(name))),
            None => (Method::POST, resource.path(None)),
        };
        let result = self.exchange(method, &path, Some(&object)).await;
        let (status, body) = result.map_err(|error| failure(&error))?;
        if !status.is_success() {
            return Err(refusal(status));
        }
        // A write whose answer cannot be decoded took effect, but the new version is unknown.
        let written = self.decode_object::<serde::de::IgnoredAny>(&body);
        written.map(|(version, _)| version).map_err(|error| failure(&error))
    }

    /// Deletes an object.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer; the object may have been deleted nevertheless.
    pub async fn delete(&self, resource: Resource, name: &str) -> Result<()> {
        let (status, body) = self
            .exchange::<()>(Method::DELETE, &resource.path(Some(name)), None)
            .await?;
        if status.is_success() || status == StatusCode::NOT_FOUND {
            return Ok(());
        }
        Err(self.refusal_error(status, &body))
    }

    /// Returns whether the platform answers calls. While it does not, work that needs it is refused immediately.
    pub fn is_up(&self) -> bool {
        *self.unanswered.borrow() < MAX_UNANSWERED_CALLS
    }

    fn decode_object<S: DeserializeOwned>(&self, body: &[u8]) -> Result<(api::Version, S)> {
        let object = client::decode::<api::Object<S>>(self.address(), body)?;
        into_versioned(object)
    }

    /// Watches the objects of a kind from a version on. Calls `on_change` with each changed object, and with `None` for
    /// a bookmark; returns when the connection ends.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer or no longer knows the version.
    pub async fn watch<S: DeserializeOwned>(
        &self,
        resource: Resource,
        version: api::Version,
        mut on_change: impl FnMut(Option<(api::Version, S)>),
    ) -> Result<()> {
        let path = format!("{}?watch=1&resourceVersion={version}", resource.path(None));
        let response = client::send(self.address(), client::request(Method::GET, path)).await?;
        if response.status() != StatusCode::OK {
            return Err(self.refusal_error(response.status(), b"the watch was refused"));
        }
        let address = self.address();
        let mut body = response.into_body();
        let mut buffer = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|source| Kind::Transport { address, source })?;
            buffer.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
            while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line = buffer.drain(..=end).collect::<Vec<_>>();
                let change = client::decode::<Change>(address, &line)?;
                match change.r#type.as_str() {
                    "ADDED" | "MODIFIED" => {
                        let object = serde_json::from_value::<api::Object<S>>(change.object);
                        on_change(object.ok().and_then(|object| into_versioned(object).ok()));
                    }
                    "BOOKMARK" => on_change(None),
                    // A deletion or an error ends the watch, and the caller reads the current state again.
                    _ => return Ok(()),
                }
            }
        }
        Ok(())
    }

    async fn exchange<T: Serialize>(
        &self,
        method: Method,
        path: &str,
        object: Option<&T>,
    ) -> Result<(StatusCode, bytes::Bytes)> {
        let request = match object {
            Some(object) => client::json_request(method, path, object),
            None => client::request(method, path),
        };
        self.wait_for_budget().await;
        let limit = self.context.settings().platform.timeout;
        let result = client::exchange(self.context.timer(), limit, self.address(), request).await;
        self.record_result(&result);
        result
    }

    async fn wait_for_budget(&self) {
        loop {
            let now = self.context.timer().now();
            let ready = self.try_take_call(now);
            match ready {
                None => return,
                Some(ready) => self.context.timer().sleep_until(ready).await,
            }
        }
    }

    /// Takes a call from the rate limit budget, or returns when the next call is allowed.
    fn try_take_call(&self, now: Instant) -> Option<Instant> {
        let mut budget = self.budget.borrow_mut();
        if budget.take(now) {
            return None;
        }
        Some(budget.ready_at(now))
    }

    /// Counts consecutive unanswered calls, and logs the first one and the first answer after it.
    fn record_result(&self, result: &Result<(StatusCode, bytes::Bytes)>) {
        let answered = matches!(result, Ok((status, _)) if !status.is_server_error());
        let before = *self.unanswered.borrow();
        let unanswered = if answered { 0 } else { before.saturating_add(1) };
        match (before, result) {
            (0, Err(error)) => Event::PlatformLost { error }.log(),
            (1.., Ok(_)) if answered => Event::PlatformBack {}.log(),
            _ => {}
        }
        self.unanswered.send_replace(unanswered);
    }

    /// Probes the platform while it does not answer.
    async fn probe(&self) {
        let mut unanswered = self.unanswered.subscribe();
        while unanswered.wait_for(|count| *count > 0).await.is_ok() {
            let path = Resource::ConfigHeads.path(Some("current"));
            if let Err(error) = self.exchange::<()>(Method::GET, &path, None).await {
                log::debug!("cannot reach the platform at {}: {error}", self.address());
                self.context.timer().sleep(PROBE_INTERVAL).await;
            }
        }
    }

    fn refusal_error(&self, status: StatusCode, body: &[u8]) -> Error {
        client::status_error(self.address(), status, body)
    }

    fn address(&self) -> std::net::SocketAddr {
        self.context.settings().platform.address
    }
}

fn into_versioned<S>(object: api::Object<S>) -> Result<(api::Version, S)> {
    let version = object.metadata.resource_version.ok_or_else(|| {
        Error::failed(
            format!("the platform sent object {} without a version", object.metadata.name),
            "check the release of the platform",
        )
    })?;
    Ok((version, object.spec))
}

/// Derives the effect of a call from its error.
fn failure(error: &Error) -> Failure {
    match error.kind() {
        Kind::Connect { .. } => Failure::Refused,
        Kind::Status { status, .. } => refusal(*status),
        _ => Failure::Lost,
    }
}

/// Derives the effect of a call from an error status.
fn refusal(status: StatusCode) -> Failure {
    match status {
        StatusCode::CONFLICT => Failure::Conflict,
        StatusCode::NOT_FOUND => Failure::Missing,
        status if status.is_client_error() => Failure::Refused,
        // A gateway in front of the platform may return such a status although it forwarded the write.
        _ => Failure::Lost,
    }
}

#[distributed_slice(PLUGINS)]
static PLATFORM: Plugin = Plugin {
    name: "platform",
    stage: Stage::Infrastructure,
    start,
};

#[expect(clippy::unnecessary_wraps, reason = "the signature of all plug-ins")]
fn start(context: &Rc<Context>) -> Result<()> {
    let calls = context.settings().platform.calls_per_second;
    let client = Rc::new(Client {
        context: Rc::clone(context),
        budget: RefCell::new(Budget::new(calls, calls)),
        unanswered: watch::Sender::new(0),
    });
    let dumped = Rc::clone(&client);
    context.register_dump("platform", move || json!({ "up": dumped.is_up() }));
    context.provide(Rc::clone(&client));
    tokio::task::spawn_local(async move { client.probe().await });
    Ok(())
}
