//! The commands `diff` and `apply`, which compare and change the configuration.

use std::time::{Duration, Instant};

use hawthornpost_core::config::{Difference, Document, diff};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::Session;
use crate::arguments::{Apply, Diff};
use crate::document;
use crate::error::{Error, Kind, Result};

/// How often an entry host is queried while the version is being applied.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Which entry hosts have a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Status {
    pub(crate) version: u64,
    pub(crate) have: Vec<String>,
    pub(crate) lacking: Vec<String>,
    pub(crate) unreachable: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct Accepted {
    version: u64,
}

impl Diff {
    pub(crate) async fn run(&self, session: &Session) -> Result<()> {
        let new = document::load(&self.inventory, &self.rules)?;
        let old = config_in_force(session).await?;
        let changes = diff(&old, &new);
        let value = json!({ "version": old.version, "difference": changes });
        session.output.result(&value, format_changes(old.version, &changes))
    }
}

impl Apply {
    pub(crate) async fn run(&self, session: &Session) -> Result<()> {
        let new = document::load(&self.inventory, &self.rules)?;
        let old = config_in_force(session).await?;
        let changes = diff(&old, &new);
        if changes.is_empty() && old.version > 0 {
            let text = format!("nothing to apply: version {} has the same contents", old.version);
            return session
                .output
                .result(&json!({ "version": old.version, "changed": false }), text);
        }
        session.output.progress(format_changes(old.version, &changes));
        let version = self.submit(session, &old, &new).await?;
        session.output.progress(format_args!("version {version} is accepted"));
        self.wait(session, version).await
    }

    async fn submit(&self, session: &Session, old: &Document, new: &Document) -> Result<u64> {
        let base = self.base.unwrap_or(old.version);
        let author = self.author.clone().or_else(|| std::env::var("USER").ok());
        let body = json!({
            "base": base,
            "author": author.unwrap_or_else(|| "unknown".to_owned()),
            "inventory": new.inventory,
            "rules": new.rules,
        });
        match session.client.post::<Accepted>("/v1/admin/config", &body).await {
            Ok(reply) => Ok(reply.value.version),
            Err(error) if matches!(error.kind(), Kind::ResponseLost { .. }) => {
                check_lost_response(session, base, new, error).await
            }
            Err(error) => Err(error),
        }
    }

    async fn wait(&self, session: &Session, version: u64) -> Result<()> {
        let timeout = Duration::from_secs(self.wait);
        let deadline = Instant::now() + timeout;
        let mut last_shown = None;
        loop {
            let status = status(session, Some(version)).await?;
            if status.lacking.is_empty() && !status.have.is_empty() {
                return session.output.result(&status, &status);
            }
            if last_shown.as_ref() != Some(&status) {
                session.output.progress(format_args!("waiting: {status}"));
                last_shown = Some(status.clone());
            }
            if Instant::now() >= deadline {
                let state = status.to_string();
                let command = format!("status --version {version}");
                return Err(Kind::Timeout {
                    state,
                    timeout,
                    command,
                }
                .into());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Finds out whether a change was accepted although its response was lost: the configuration in force is then a newer
/// version with the submitted contents.
async fn check_lost_response(session: &Session, base: u64, new: &Document, error: Error) -> Result<u64> {
    let current = config_in_force(session).await?;
    let is_submitted = current.inventory == new.inventory && current.rules == new.rules;
    if is_submitted && current.version > base {
        return Ok(current.version);
    }
    Err(error)
}

async fn config_in_force(session: &Session) -> Result<Document> {
    let reply = session.client.get("/v1/admin/config").await?;
    Ok(reply.value)
}

/// Queries which entry hosts have a version.
pub(crate) async fn status(session: &Session, version: Option<u64>) -> Result<Status> {
    let query = version.map_or_else(String::new, |version| format!("?version={version}"));
    let reply = session.client.get(&format!("/v1/admin/config/status{query}")).await?;
    Ok(reply.value)
}

fn format_changes(version: u64, changes: &[Difference]) -> String {
    let head = format!("{} changes to version {version}", changes.len());
    let changes = changes.iter().map(ToString::to_string);
    std::iter::once(head).chain(changes).collect::<Vec<_>>().join("\n")
}

impl std::fmt::Display for Status {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let live = self.have.len() + self.lacking.len();
        write!(
            f,
            "version {} is in force on {} of {live} entry hosts",
            self.version,
            self.have.len()
        )?;
        if !self.lacking.is_empty() {
            write!(f, "; {} lack it", self.lacking.join(", "))?;
        }
        if !self.unreachable.is_empty() {
            let names = self.unreachable.join(", ");
            write!(f, "; not reachable, will apply it when they return: {names}")?;
        }
        Ok(())
    }
}
