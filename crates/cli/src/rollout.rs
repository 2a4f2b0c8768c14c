//! The `rollout` commands.

use std::fmt;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::Session;
use crate::arguments::{Rollout, RolloutAbort, RolloutCommand, RolloutShow};
use crate::error::{Kind, Result};

const POLL_INTERVAL: Duration = Duration::from_millis(500);
const PERCENT: f64 = 100.0;

#[derive(Debug, Serialize, Deserialize)]
struct List {
    rollouts: Vec<Status>,
}

/// The status of a rollout as reported by the daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Status {
    name: String,
    model: String,
    from: String,
    to: String,
    start: String,
    deadline: String,
    state: State,
    share: f64,
    #[serde(default)]
    detail: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Waiting,
    Moving,
    Late,
    Done,
    Reversed,
}

impl Rollout {
    pub(crate) async fn run(&self, session: &Session) -> Result<()> {
        match &self.command {
            Some(RolloutCommand::List(_)) | None => list(session).await,
            Some(RolloutCommand::Show(command)) => command.run(session).await,
            Some(RolloutCommand::Abort(command)) => command.run(session).await,
        }
    }
}

async fn list(session: &Session) -> Result<()> {
    let list = session.client.get::<List>("/v1/admin/rollouts").await?.value;
    let lines = list.rollouts.iter().map(ToString::to_string).collect::<Vec<_>>();
    let text = if lines.is_empty() {
        "there are no rollouts".to_owned()
    } else {
        lines.join("\n")
    };
    session.output.result(&list, text)
}

impl RolloutShow {
    async fn run(&self, session: &Session) -> Result<()> {
        let timeout = Duration::from_secs(self.wait.unwrap_or_default());
        let deadline = Instant::now() + timeout;
        let path = format!("/v1/admin/rollouts/{}", self.name);
        let mut last_shown = None;
        loop {
            let status = session.client.get::<Status>(&path).await?.value;
            match status.state {
                State::Reversed => {
                    let detail = status.to_string();
                    return Err(Kind::Reversed { detail }.into());
                }
                State::Done => return session.output.result(&status, &status),
                State::Waiting | State::Moving | State::Late if self.wait.is_none() => {
                    return session.output.result(&status, &status);
                }
                State::Waiting | State::Moving | State::Late => {}
            }
            if Instant::now() >= deadline {
                let (state, command) = (status.to_string(), format!("rollout show {}", self.name));
                return Err(Kind::Timeout {
                    state,
                    timeout,
                    command,
                }
                .into());
            }
            if last_shown.as_ref() != Some(&status) {
                session.output.progress(&status);
                last_shown = Some(status);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl RolloutAbort {
    async fn run(&self, session: &Session) -> Result<()> {
        let path = format!("/v1/admin/rollouts/{}/abort", self.name);
        let status = session.client.post::<Status>(&path, &json!({})).await?.value;
        session.output.result(&status, &status)
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            name, model, from, to, ..
        } = self;
        let percent = self.share * PERCENT;
        match self.state {
            State::Waiting => write!(
                f,
                "rollout {name} of {model} from {from} to {to} starts at {}",
                self.start
            )?,
            State::Moving => write!(
                f,
                "rollout {name} is moving: {to} of {model} has {percent:.0} % of the traffic, due at {}",
                self.deadline
            )?,
            State::Late => write!(
                f,
                "rollout {name} will not be complete at {}: {to} of {model} has {percent:.0} % of the traffic",
                self.deadline
            )?,
            State::Done => write!(f, "rollout {name} is complete: {to} serves all traffic of {model}")?,
            State::Reversed => write!(f, "rollout {name} was reversed: {from} serves all traffic of {model}")?,
        }
        if self.detail.is_empty() {
            return Ok(());
        }
        write!(f, " ({})", self.detail)
    }
}
