//! Storage of configuration heads and chunks as platform objects.

use hawthornpost_core::config::{Chunk, Digest, Head, PutAnswer, Stored};
use hawthornpost_core::platform::{Failure, Resource, Version};
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::platform::Client;

/// The object name of the configuration head.
const HEAD_NAME: &str = "current";

/// The stored form of a chunk; the object name is the hash of the text.
#[derive(Serialize, Deserialize)]
struct Text {
    text: std::sync::Arc<str>,
}

/// Reads the head.
pub(crate) async fn read_head(client: &Client) -> Result<Option<Stored>> {
    let found = client.get(Resource::ConfigHeads, HEAD_NAME).await?;
    Ok(found.map(from_object))
}

/// Converts the platform object of a head.
pub(crate) fn from_object((version, head): (Version, Head)) -> Stored {
    Stored {
        head,
        resource_version: version.to_string(),
    }
}

/// Reads a chunk.
pub(crate) async fn read_chunk(client: &Client, hash: Digest) -> Result<Option<Chunk>> {
    let found = client.get::<Text>(Resource::ConfigChunks, &hash.to_string()).await?;
    Ok(found.map(|(_, Text { text })| Chunk { hash, text }))
}

/// Stores chunks. An existing object of the same name has the same contents, so a conflict counts as success.
pub(crate) async fn put_chunks(client: &Client, chunks: &[Chunk]) -> Result<()> {
    for chunk in chunks {
        let text = Text {
            text: std::sync::Arc::clone(&chunk.text),
        };
        let name = chunk.hash.to_string();
        match client.put(Resource::ConfigChunks, &name, None, &text).await {
            Ok(_) | Err(Failure::Conflict) => {}
            Err(failure) => {
                return Err(Error::failed(
                    format!("the platform did not store chunk {name}: {failure:?}"),
                    "apply the configuration again when the platform answers",
                ));
            }
        }
    }
    Ok(())
}

/// Replaces the head if it still has the given resource version, or creates it when no version is given.
pub(crate) async fn put_head(client: &Client, head: &Head, resource_version: Option<String>) -> Result<PutAnswer> {
    let base = resource_version.as_deref().map(parse_version).transpose()?;
    Ok(match client.put(Resource::ConfigHeads, HEAD_NAME, base, head).await {
        Ok(_) => PutAnswer::Stored,
        Err(Failure::Conflict) => PutAnswer::Conflict,
        Err(failure) => {
            log::debug!(
                "writing the head of configuration version {} failed: {failure:?}",
                head.version
            );
            PutAnswer::Lost
        }
    })
}

/// Parses a resource version.
pub(crate) fn parse_version(text: &str) -> Result<Version> {
    let number = text.parse::<u64>();
    number.map(Version::from).map_err(|source| {
        Error::failed(
            format!("`{text}` is not a resource version: {source}"),
            "check the release of the platform",
        )
    })
}
