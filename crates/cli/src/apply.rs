//! Changes of the configuration.

use std::time::{Duration, Instant};

use hawthornpost_core::config::{Document, Line, difference};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::Session;
use crate::arguments::{Apply, Diff};
use crate::document;
use crate::error::{Error, Kind, Result};

/// How often an entry host is asked whether the version is in force.
const POLL: Duration = Duration::from_millis(200);

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
        let old = in_force(session).await?;
        let lines = difference(&old, &new);
        let value = json!({ "version": old.version, "difference": lines });
        session.output.result(&value, describe(old.version, &lines))
    }
}

impl Apply {
    pub(crate) async fn run(&self, session: &Session) -> Result<()> {
        let new = document::load(&self.inventory, &self.rules)?;
        let old = in_force(session).await?;
        let lines = difference(&old, &new);
        if lines.is_empty() && old.version > 0 {
            let text = format!("nothing to apply: version {} has the same contents", old.version);
            return session
                .output
                .result(&json!({ "version": old.version, "changed": false }), text);
        }
        session.output.progress(describe(old.version, &lines));
        let version = self.accept(session, &old, &new).await?;
        session.output.progress(format_args!("version {version} is accepted"));
        self.wait(session, version).await
    }

    async fn accept(&self, session: &Session, old: &Document, new: &Document) -> Result<u64> {
        let base = self.base.unwrap_or(old.version);
        let author = self.author.clone().or_else(|| std::env::var("USER").ok());
        let body = json!({
            "base": base,
            "author": author.unwrap_or_else(|| "unknown".to_owned()),
            "inventory": new.inventory,
            "rules": new.rules,
        });
        match session.client.post::<Accepted>("/v1/admin/config", &body).await {
            Ok(answer) => Ok(answer.value.version),
            Err(error) if matches!(error.kind(), Kind::Lost { .. }) => settle(session, base, new, error).await,
            Err(error) => Err(error),
        }
    }

    async fn wait(&self, session: &Session, version: u64) -> Result<()> {
        let limit = Duration::from_secs(self.wait);
        let end = Instant::now() + limit;
        let mut shown = None;
        loop {
            let status = status(session, Some(version)).await?;
            if status.lacking.is_empty() && !status.have.is_empty() {
                return session.output.result(&status, &status);
            }
            if shown.as_ref() != Some(&status) {
                session.output.progress(format_args!("waiting: {status}"));
                shown = Some(status.clone());
            }
            if Instant::now() >= end {
                let what = status.to_string();
                let look = format!("status --version {version}");
                return Err(Kind::NotInTime { what, limit, look }.into());
            }
            tokio::time::sleep(POLL).await;
        }
    }
}

/// Decides after a lost answer whether the change was accepted.
async fn settle(session: &Session, base: u64, new: &Document, lost: Error) -> Result<u64> {
    let current = in_force(session).await?;
    let is_ours = current.inventory == new.inventory && current.rules == new.rules;
    if is_ours && current.version > base {
        return Ok(current.version);
    }
    Err(lost)
}

async fn in_force(session: &Session) -> Result<Document> {
    let answer = session.client.get("/v1/admin/config").await?;
    Ok(answer.value)
}

/// Asks which entry hosts have a version.
pub(crate) async fn status(session: &Session, version: Option<u64>) -> Result<Status> {
    let query = version.map_or_else(String::new, |version| format!("?version={version}"));
    let answer = session.client.get(&format!("/v1/admin/config/status{query}")).await?;
    Ok(answer.value)
}

fn describe(version: u64, lines: &[Line]) -> String {
    let head = format!("{} changes to version {version}", lines.len());
    let lines = lines.iter().map(ToString::to_string);
    std::iter::once(head).chain(lines).collect::<Vec<_>>().join("\n")
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
