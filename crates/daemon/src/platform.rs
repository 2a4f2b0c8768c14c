//! Client of the platform's object API.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::platform::{self as api, Budget, Failure, Plural};
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

/// The path of our kinds of object.
const ROOT: &str = "/apis/hawthornpost.dev/v1";

/// An object of the platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Object {
    /// The name and version.
    pub metadata: Metadata,
    /// The content.
    #[serde(default)]
    pub spec: Value,
    /// The state that the system reports.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub status: Value,
}

/// The name and version of an object.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Metadata {
    /// The name.
    pub name: String,
    /// The version; empty on creation.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub resource_version: String,
}

/// What a conditional write did.
#[derive(Clone, Debug)]
pub enum Written {
    /// The write took effect; the object has its new version.
    Done(Object),
    /// Another write was first, or the object exists already.
    Conflict,
}

/// How often a lost platform is asked whether it answers again.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The number of calls without an answer, one after the other, after which the platform counts as down. A single lost
/// answer is no outage.
const DOWN_AFTER: u32 = 2;

/// Calls the platform.
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
struct List {
    items: Vec<Object>,
}

impl Client {
    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn get(&self, plural: &str, name: &str) -> Result<Option<Object>> {
        let (status, body) = self
            .exchange::<()>(Method::GET, &format!("{ROOT}/{plural}/{name}"), None)
            .await?;
        match status {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => client::decode(self.address(), &body).map(Some),
            status => Err(self.refused(status, &body)),
        }
    }

    /// Reads all objects of a kind.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn list(&self, plural: &str) -> Result<Vec<Object>> {
        let (status, body) = self
            .exchange::<()>(Method::GET, &format!("{ROOT}/{plural}"), None)
            .await?;
        if status != StatusCode::OK {
            return Err(self.refused(status, &body));
        }
        client::decode::<List>(self.address(), &body).map(|list| list.items)
    }

    /// Creates an object.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer; the object may have been created all the same.
    pub async fn create(&self, plural: &str, object: &Object) -> Result<Written> {
        self.write(Method::POST, &format!("{ROOT}/{plural}"), object).await
    }

    /// Replaces an object if it still has the version that `object` names.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer; the object may have been replaced all the same.
    pub async fn update(&self, plural: &str, object: &Object) -> Result<Written> {
        self.write(
            Method::PUT,
            &format!("{ROOT}/{plural}/{}", object.metadata.name),
            object,
        )
        .await
    }

    /// Reads an object with contents of a known type.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer, or with another object.
    pub async fn read<S: DeserializeOwned>(
        &self,
        plural: Plural,
        name: &str,
    ) -> std::result::Result<Option<(api::Version, S)>, Failure> {
        let result = self.exchange::<()>(Method::GET, &plural.path(Some(name)), None).await;
        let (status, body) = result.map_err(|error| failure(&error))?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        self.decode_object(status, &body).map(Some)
    }

    /// Replaces an object if it still has the version `base`, or creates it when there is no base.
    ///
    /// # Errors
    ///
    /// Fails with what is known about the effect of the write.
    pub async fn put<S: Serialize>(
        &self,
        plural: Plural,
        name: &str,
        base: Option<api::Version>,
        spec: &S,
    ) -> std::result::Result<api::Version, Failure> {
        let object = api::Object::new(plural, name, base, spec);
        let (method, path) = match base {
            Some(_) => (Method::PUT, plural.path(Some(name))),
            None => (Method::POST, plural.path(None)),
        };
        let result = self.exchange(method, &path, Some(&object)).await;
        let (status, body) = result.map_err(|error| failure(&error))?;
        let written = self.decode_object::<serde::de::IgnoredAny>(status, &body);
        written.map(|(version, _)| version)
    }

    /// Deletes an object.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer; the object may have been deleted all the same.
    pub async fn delete(&self, plural: Plural, name: &str) -> Result<()> {
        let (status, body) = self
            .exchange::<()>(Method::DELETE, &plural.path(Some(name)), None)
            .await?;
        if status.is_success() || status == StatusCode::NOT_FOUND {
            return Ok(());
        }
        Err(self.refused(status, &body))
    }

    /// Returns whether the platform answered lately. Work that needs it is refused at once while it does not.
    pub fn is_up(&self) -> bool {
        *self.unanswered.borrow() < DOWN_AFTER
    }

    fn decode_object<S: DeserializeOwned>(
        &self,
        status: StatusCode,
        body: &[u8],
    ) -> std::result::Result<(api::Version, S), Failure> {
        if !status.is_success() {
            return Err(refusal(status));
        }
        // A write with an answer that cannot be decoded took effect, with a version that is not known.
        let object = client::decode::<api::Object<S>>(self.address(), body).map_err(|error| {
            log::debug!("{error}");
            Failure::Lost
        })?;
        let version = object.metadata.resource_version.ok_or(Failure::Lost)?;
        Ok((version, object.spec))
    }

    /// Watches objects of a kind from a version on and passes on each, and `None` for a sign of life; ends with the
    /// connection.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer or no longer knows the version.
    pub async fn watch(&self, plural: &str, version: &str, mut seen: impl FnMut(Option<Object>)) -> Result<()> {
        let path = format!("{ROOT}/{plural}?watch=1&resourceVersion={version}");
        let response = client::open(self.address(), client::request(Method::GET, path)).await?;
        if response.status() != StatusCode::OK {
            return Err(self.refused(response.status(), b"the watch is refused"));
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
                    "ADDED" | "MODIFIED" => seen(serde_json::from_value(change.object).ok()),
                    "BOOKMARK" => seen(None),
                    // A deletion or an error is settled by the next reading.
                    _ => return Ok(()),
                }
            }
        }
        Ok(())
    }

    async fn write(&self, method: Method, path: &str, object: &Object) -> Result<Written> {
        let (status, body) = self.exchange(method, path, Some(object)).await?;
        match status {
            StatusCode::OK | StatusCode::CREATED => client::decode(self.address(), &body).map(Written::Done),
            StatusCode::CONFLICT => Ok(Written::Conflict),
            status => Err(self.refused(status, &body)),
        }
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
        self.note(&result);
        result
    }

    async fn wait_for_budget(&self) {
        loop {
            let now = self.context.timer().now();
            let ready = self.take_call(now);
            match ready {
                None => return,
                Some(ready) => self.context.timer().sleep_until(ready).await,
            }
        }
    }

    /// Takes a call from the budget, or returns when the next one is allowed.
    fn take_call(&self, now: Instant) -> Option<Instant> {
        let mut budget = self.budget.borrow_mut();
        if budget.take(now) {
            return None;
        }
        Some(budget.ready_at(now))
    }

    /// Counts the calls without an answer, and reports the first one and the first answer after it.
    fn note(&self, result: &Result<(StatusCode, bytes::Bytes)>) {
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

    /// Asks a platform that did not answer until it does.
    async fn probe(&self) {
        let mut unanswered = self.unanswered.subscribe();
        while unanswered.wait_for(|count| *count > 0).await.is_ok() {
            let path = Plural::ConfigHeads.path(Some("current"));
            if let Err(error) = self.exchange::<()>(Method::GET, &path, None).await {
                log::debug!("{error}");
                self.context.timer().sleep(PROBE_INTERVAL).await;
            }
        }
    }

    fn refused(&self, status: StatusCode, body: &[u8]) -> Error {
        client::status_error(self.address(), status, body)
    }

    fn address(&self) -> std::net::SocketAddr {
        self.context.settings().platform.address
    }
}

/// Returns what an error without an answer says about the effect of a call.
fn failure(error: &Error) -> Failure {
    match error.kind() {
        Kind::Connect { .. } => Failure::Refused,
        _ => Failure::Lost,
    }
}

/// Returns what an error answer says about the effect of a call.
fn refusal(status: StatusCode) -> Failure {
    match status {
        StatusCode::CONFLICT => Failure::Conflict,
        StatusCode::NOT_FOUND => Failure::Missing,
        status if status.is_client_error() => Failure::Refused,
        // A gateway in front of the platform may answer so after the write was passed on.
        _ => Failure::Lost,
    }
}

#[distributed_slice(PLUGINS)]
static PLATFORM: Plugin = Plugin {
    name: "platform",
    stage: Stage::Edge,
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
    context.on_dump("platform", move || json!({ "up": dumped.is_up() }));
    context.provide(Rc::clone(&client));
    tokio::task::spawn_local(async move { client.probe().await });
    Ok(())
}
