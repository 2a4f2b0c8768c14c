//! Heads and chunks as objects of the platform.

use hawthornpost_core::config::{Chunk, Digest, Head, PutAnswer, Stored};
use hawthornpost_core::platform::{Failure, Plural, Version};
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::platform::Client;

const CURRENT: &str = "current";

/// The stored form of a chunk; its name is its hash.
#[derive(Serialize, Deserialize)]
struct Text {
    text: std::sync::Arc<str>,
}

/// Reads the head.
pub(crate) async fn head(client: &Client) -> Result<Option<Stored>> {
    let found = client.get(Plural::ConfigHeads, CURRENT).await?;
    Ok(found.map(stored))
}

/// Turns the object of a head into what the core knows.
pub(crate) fn stored((version, head): (Version, Head)) -> Stored {
    Stored {
        head,
        resource_version: version.to_string(),
    }
}

/// Reads a chunk.
pub(crate) async fn chunk(client: &Client, hash: Digest) -> Result<Option<Chunk>> {
    let found = client.get::<Text>(Plural::ConfigChunks, &hash.to_string()).await?;
    Ok(found.map(|(_, Text { text })| Chunk { hash, text }))
}

/// Stores chunks; one that exists has the same contents and counts as stored.
pub(crate) async fn put_chunks(client: &Client, chunks: &[Chunk]) -> Result<()> {
    for chunk in chunks {
        let text = Text {
            text: std::sync::Arc::clone(&chunk.text),
        };
        let name = chunk.hash.to_string();
        match client.put(Plural::ConfigChunks, &name, None, &text).await {
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

/// Writes the head on condition that the object still has the resource version; without one, creates it.
pub(crate) async fn put_head(client: &Client, head: &Head, resource_version: Option<String>) -> Result<PutAnswer> {
    let base = resource_version.as_deref().map(version).transpose()?;
    Ok(match client.put(Plural::ConfigHeads, CURRENT, base, head).await {
        Ok(_) => PutAnswer::Stored,
        Err(Failure::Conflict) => PutAnswer::Conflict,
        Err(failure) => {
            log::debug!("no answer to the write of the head: {failure:?}");
            PutAnswer::Lost
        }
    })
}

/// Parses the version of an object.
pub(crate) fn version(text: &str) -> Result<Version> {
    let number = text.parse::<u64>();
    number.map(Version::from).map_err(|source| {
        Error::failed(
            format!("`{text}` is not a resource version: {source}"),
            "check the release of the platform",
        )
    })
}
