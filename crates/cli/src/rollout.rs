//! Moves of traffic between versions.

use std::fmt;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::Session;
use crate::arguments::{Rollout, RolloutAbort, RolloutCommand, RolloutShow};
use crate::error::{Kind, Result};

const POLL: Duration = Duration::from_millis(500);
const PERCENT: f64 = 100.0;

#[derive(Debug, Serialize, Deserialize)]
struct Views {
    rollouts: Vec<View>,
}

/// A rollout as the daemon describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct View {
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
            Some(RolloutCommand::Show(verb)) => verb.run(session).await,
            Some(RolloutCommand::Abort(verb)) => verb.run(session).await,
        }
    }
}

async fn list(session: &Session) -> Result<()> {
    let list = session.client.get::<Views>("/v1/admin/rollouts").await?.value;
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
        let limit = Duration::from_secs(self.wait.unwrap_or_default());
        let end = Instant::now() + limit;
        let path = format!("/v1/admin/rollouts/{}", self.name);
        let mut shown = None;
        loop {
            let view = session.client.get::<View>(&path).await?.value;
            match view.state {
                State::Reversed => {
                    let detail = view.to_string();
                    return Err(Kind::Reversed { detail }.into());
                }
                State::Done => return session.output.result(&view, &view),
                State::Waiting | State::Moving | State::Late if self.wait.is_none() => {
                    return session.output.result(&view, &view);
                }
                State::Waiting | State::Moving | State::Late => {}
            }
            if Instant::now() >= end {
                let (what, look) = (view.to_string(), format!("rollout show {}", self.name));
                return Err(Kind::NotInTime { what, limit, look }.into());
            }
            if shown.as_ref() != Some(&view) {
                session.output.progress(&view);
                shown = Some(view);
            }
            tokio::time::sleep(POLL).await;
        }
    }
}

impl RolloutAbort {
    async fn run(&self, session: &Session) -> Result<()> {
        let path = format!("/v1/admin/rollouts/{}/abort", self.name);
        let view = session.client.post::<View>(&path, &json!({})).await?.value;
        session.output.result(&view, &view)
    }
}

impl fmt::Display for View {
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
