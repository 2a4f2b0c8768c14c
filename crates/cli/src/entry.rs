//! The commands `status`, `drain` and `dump`, which concern one entry host.

use std::fmt;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::Session;
use crate::apply;
use crate::arguments::{Drain, Status};
use crate::error::{Kind, Result};

const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The status of an entry host.
#[derive(Debug, Serialize, Deserialize)]
struct Entry {
    #[serde(rename = "entry")]
    name: String,
    data_centre: String,
    region: String,
    phase: String,
    config_version: u64,
    running_work: u64,
}

impl Status {
    pub(crate) async fn run(&self, session: &Session) -> Result<()> {
        let entry = session.client.get::<Entry>("/v1/admin/status").await?;
        let configuration = apply::status(session, self.version).await?;
        let text = format!("{} at {}\n{configuration}", entry.value, entry.address);
        let value = json!({ "entry": entry.value, "configuration": configuration });
        session.output.result(&value, text)
    }
}

impl Drain {
    pub(crate) async fn run(&self, session: &Session) -> Result<()> {
        let entry = session.client.post::<Entry>("/v1/admin/drain", &json!({})).await?;
        if self.wait == 0 {
            return session.output.result(&entry.value, &entry.value);
        }
        let timeout = Duration::from_secs(self.wait);
        let deadline = Instant::now() + timeout;
        loop {
            match session.client.get::<Entry>("/v1/admin/status").await {
                Ok(reply) if reply.address == entry.address => session.output.progress(&reply.value),
                // The drained host has closed its port: the call failed or another host responded.
                _ => {
                    let value = json!({ "entry": entry.value.name, "stopped": true });
                    return session
                        .output
                        .result(&value, format!("entry {} has stopped", entry.value.name));
                }
            }
            if Instant::now() >= deadline {
                let state = format!("entry {} has not stopped", entry.value.name);
                let command = "status".to_owned();
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

/// Prints the internal state of an entry host.
pub(crate) async fn dump(session: &Session) -> Result<()> {
    let dump = session.client.get::<Value>("/v1/admin/dump").await?.value;
    let text = serde_json::to_string_pretty(&dump).unwrap_or_default();
    session.output.result(&dump, text)
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "entry {} in {} ({}) is {}, applies configuration version {} and has {} units of work",
            self.name, self.data_centre, self.region, self.phase, self.config_version, self.running_work
        )
    }
}
