//! Client of the platform's object API.

use std::cell::Cell;
use std::rc::Rc;

use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use linkme::distributed_slice;
use serde::{Deserialize, Serialize};
use serde_json::Value;

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

/// Calls the platform.
#[derive(Debug)]
pub struct Client {
    context: Rc<Context>,
    is_lost: Cell<bool>,
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
            .exchange(Method::GET, &format!("{ROOT}/{plural}/{name}"), None)
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
        let (status, body) = self.exchange(Method::GET, &format!("{ROOT}/{plural}"), None).await?;
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

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        object: Option<&Object>,
    ) -> Result<(StatusCode, bytes::Bytes)> {
        let request = match object {
            Some(object) => client::json_request(method, path, object),
            None => client::request(method, path),
        };
        let limit = self.context.settings().platform.timeout;
        let result = client::exchange(self.context.timer(), limit, self.address(), request).await;
        self.report(result.as_ref().err());
        result
    }

    /// Reports the first call that fails and the first that succeeds again.
    fn report(&self, error: Option<&Error>) {
        match (error, self.is_lost.replace(error.is_some())) {
            (Some(error), false) => Event::PlatformLost { error }.log(),
            (None, true) => Event::PlatformBack {}.log(),
            (Some(_), true) | (None, false) => {}
        }
    }

    fn refused(&self, status: StatusCode, body: &[u8]) -> Error {
        client::status_error(self.address(), status, body)
    }

    fn address(&self) -> std::net::SocketAddr {
        self.context.settings().platform.address
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
    let client = Client {
        context: Rc::clone(context),
        is_lost: Cell::new(false),
    };
    context.provide(Rc::new(client));
    Ok(())
}
