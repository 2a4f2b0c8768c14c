//! Heads and chunks as objects of the platform.

use hawthornpost_core::config::{Chunk, Digest, Head, PutAnswer, Stored};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::{Error, Result};
use crate::platform::{Client, Metadata, Object, Written};

const HEADS: &str = "configheads";
const CHUNKS: &str = "configchunks";
const CURRENT: &str = "current";

/// The stored form of a chunk; its name is its hash.
#[derive(Serialize, Deserialize)]
struct Text {
    text: std::sync::Arc<str>,
}

/// Reads the head.
pub(crate) async fn head(client: &Client) -> Result<Option<Stored>> {
    let Some(object) = client.get(HEADS, CURRENT).await? else {
        return Ok(None);
    };
    stored(object).map(Some)
}

/// Decodes the object of a head.
pub(crate) fn stored(object: Object) -> Result<Stored> {
    Ok(Stored {
        head: decode(object.spec)?,
        resource_version: object.metadata.resource_version,
    })
}

/// Reads a chunk.
pub(crate) async fn chunk(client: &Client, hash: Digest) -> Result<Option<Chunk>> {
    let Some(object) = client.get(CHUNKS, &hash.to_string()).await? else {
        return Ok(None);
    };
    let Text { text } = decode(object.spec)?;
    Ok(Some(Chunk { hash, text }))
}

/// Stores chunks; one that exists has the same contents and counts as stored.
pub(crate) async fn put_chunks(client: &Client, chunks: &[Chunk]) -> Result<()> {
    for chunk in chunks {
        let text = Text {
            text: std::sync::Arc::clone(&chunk.text),
        };
        client
            .create(CHUNKS, &object(&chunk.hash.to_string(), String::new(), &text)?)
            .await?;
    }
    Ok(())
}

/// Writes the head on condition that the object still has the resource version; without one, creates it.
pub(crate) async fn put_head(client: &Client, head: &Head, resource_version: Option<String>) -> Result<PutAnswer> {
    let written = match resource_version {
        Some(version) => client.update(HEADS, &object(CURRENT, version, head)?).await,
        None => client.create(HEADS, &object(CURRENT, String::new(), head)?).await,
    };
    Ok(match written {
        Ok(Written::Done(_)) => PutAnswer::Stored,
        Ok(Written::Conflict) => PutAnswer::Conflict,
        Err(error) => {
            log::debug!("no answer to the write of the head: {error}");
            PutAnswer::Lost
        }
    })
}

/// Builds an object.
pub(crate) fn object(name: &str, resource_version: String, spec: &impl Serialize) -> Result<Object> {
    let spec = serde_json::to_value(spec);
    Ok(Object {
        metadata: Metadata {
            name: name.to_owned(),
            resource_version,
        },
        spec: spec.map_err(|source| Error::failed(source.to_string(), "report this as a fault"))?,
        status: Value::Null,
    })
}

/// Decodes the contents of an object.
pub(crate) fn decode<T: DeserializeOwned>(spec: Value) -> Result<T> {
    serde_json::from_value(spec).map_err(|source| {
        Error::failed(
            format!("an object of the platform cannot be decoded: {source}"),
            "restore it or apply a new version",
        )
    })
}
