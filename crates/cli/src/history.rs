//! The `history` command.

use serde::{Deserialize, Serialize};

use crate::Session;
use crate::error::Result;

#[derive(Debug, Serialize, Deserialize)]
struct Versions {
    versions: Vec<Version>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Version {
    #[serde(rename = "version")]
    number: u64,
    author: String,
    at: String,
    digest: String,
}

/// Prints the accepted versions of the configuration, newest first.
pub(crate) async fn show(session: &Session) -> Result<()> {
    let history = session.client.get::<Versions>("/v1/admin/config/history").await?.value;
    let lines = history.versions.iter().map(|version| {
        let digest = version.digest.get(..12).unwrap_or(&version.digest);
        format!("{:>6}  {}  {digest}  {}", version.number, version.at, version.author)
    });
    let text = lines.collect::<Vec<_>>().join("\n");
    session.output.result(&history, text)
}
