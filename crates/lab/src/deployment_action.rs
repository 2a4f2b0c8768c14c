//! Callers that run actions and lookups.

use std::time::Duration;

use hyper::Method;
use hyper::header::HeaderValue;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::deployment_client::{Answer, Client, exchange};
use crate::deployment_report::{Known, Report};

const KEY: &str = "idempotency-key";
/// Longer than the time limits of the services, so that a caller gets the explicit answer.
const CALL_LIMIT: Duration = Duration::from_secs(15);
/// How long a caller goes on with one action or lookup.
const PATIENCE: Duration = Duration::from_secs(30);
/// The pause before a caller tries again when no `Retry-After` says otherwise.
const RETRY: Duration = Duration::from_millis(300);

/// One action.
#[derive(Clone, Debug)]
pub(crate) struct Action {
    /// The service.
    pub(crate) service: String,
    /// The idempotency key; a run uses each one once.
    pub(crate) key: String,
}

/// What one answer says about an action.
enum Step {
    /// The action has an outcome.
    Ended(Known, String),
    /// This request did not run; it can be sent again with the same key.
    Refused(Duration),
    /// The outcome is not known; the recorded one is asked for.
    Unknown(String),
    /// Something that must not happen.
    Violation(String),
}

/// Runs an action until its outcome is known or the patience is over, and reports it.
pub(crate) async fn run(client: &Client, report: &Report, action: &Action) {
    let end = Instant::now() + PATIENCE;
    let (mut was_unknown, mut may_run, mut last) = (false, false, String::new());
    let mut route = Vec::new();
    while Instant::now() < end {
        let (address, step) = if was_unknown {
            ask(client, action).await
        } else {
            send(client, action).await
        };
        let at = report.now_ms();
        match step {
            Step::Ended(known, how) => {
                route.push(format!("{at} ms {address}: {how}"));
                report.action(&action.key, known, &how, &route);
                return;
            }
            Step::Violation(what) => {
                report.violation(&format!(
                    "action {}: {what} at {address}; {}",
                    action.key,
                    route.join("; ")
                ));
                report.action(&action.key, Known::Unknown, &what, &route);
                return;
            }
            Step::Refused(wait) => {
                "refused as not run".clone_into(&mut last);
                // A request whose answer was lost may still claim the key.
                may_run |= was_unknown;
                was_unknown = false;
                route.push(format!("{at} ms {address}: refused as not run"));
                tokio::time::sleep(wait).await;
            }
            Step::Unknown(why) => {
                was_unknown = true;
                route.push(format!("{at} ms {address}: {why}"));
                last = why;
                tokio::time::sleep(RETRY).await;
            }
        }
    }
    let known = if was_unknown || may_run {
        Known::Unknown
    } else {
        Known::NotRun
    };
    report.action(&action.key, known, &last, &route);
}

impl Action {
    fn path(&self) -> String {
        format!("/orders/{}", self.key)
    }

    fn body(&self) -> String {
        json!({ "order": self.key }).to_string()
    }

    /// Checks that a recorded or direct answer belongs to this action.
    fn matches(&self, body: &Value) -> bool {
        let is_own = |name: &str, own: &str| body.get(name).is_none_or(|value| value.as_str() == Some(own));
        is_own("path", &self.path()) && is_own("body", &self.body())
    }
}

async fn send(client: &Client, action: &Action) -> (std::net::SocketAddr, Step) {
    let address = client.entry().await;
    let path = format!("/v1/services/{}{}", action.service, action.path());
    let mut request = client.request(Method::POST, &path, &action.body());
    let key = HeaderValue::from_str(&action.key).expect("keys are plain text");
    request.headers_mut().insert(KEY, key);
    let step = match exchange(address, request, CALL_LIMIT).await {
        Err(failure) => {
            client.avoid(address);
            // The same key makes sending again safe; the answer then tells what the first request did.
            match failure {
                crate::deployment_client::Failure::Connect => Step::Refused(RETRY),
                _ => Step::Unknown(failure.to_string()),
            }
        }
        Ok(answer) => answered(action, &answer),
    };
    (address, step)
}

fn answered(action: &Action, answer: &Answer) -> Step {
    if answer.status.is_success() {
        return if action.matches(&answer.body) {
            Step::Ended(Known::Done, "done".to_owned())
        } else {
            Step::Violation(format!("the answer belongs to another action: {}", answer.body))
        };
    }
    let (status, code) = (answer.status.as_u16(), answer.code());
    let wait = answer.retry_after.unwrap_or(RETRY);
    match (code, answer.body["scope"].as_str()) {
        ("not_run", Some("key")) => Step::Ended(Known::NotRun, "not run (key closed)".to_owned()),
        ("not_run" | "unavailable", _) => Step::Refused(wait),
        ("key_reused", _) => Step::Violation("another body is said to have used the key".to_owned()),
        ("", _) => Step::Violation(format!("{status} without a code")),
        _ => Step::Unknown(format!("{status} {code}")),
    }
}

/// Asks for the recorded outcome.
async fn ask(client: &Client, action: &Action) -> (std::net::SocketAddr, Step) {
    let address = client.entry().await;
    let path = format!("/v1/actions/{}/{}", action.service, action.key);
    let answer = exchange(address, client.request(Method::GET, &path, ""), CALL_LIMIT).await;
    let step = match answer {
        Err(failure) => {
            client.avoid(address);
            Step::Unknown(failure.to_string())
        }
        Ok(answer) if answer.status.is_success() => match answer.body["state"].as_str() {
            Some("done") => Step::Ended(Known::Done, "done (recorded)".to_owned()),
            Some("not_run") => Step::Ended(Known::NotRun, "not run (recorded)".to_owned()),
            _ => Step::Unknown("recorded as unknown".to_owned()),
        },
        // No request has claimed the key, so that sending again is the way to an outcome.
        Ok(answer) if answer.code() == "not_found" => Step::Refused(Duration::ZERO),
        Ok(answer) => Step::Unknown(format!("lookup: {} {}", answer.status.as_u16(), answer.code())),
    };
    (address, step)
}

/// Looks something up until there is an answer or the patience is over, and reports it.
pub(crate) async fn look_up(client: &Client, report: &Report, service: &str, name: &str) {
    let end = Instant::now() + PATIENCE;
    let path = format!("/plots/{name}");
    let mut last = String::new();
    while Instant::now() < end {
        let address = client.entry().await;
        let request = client.request(Method::GET, &format!("/v1/services/{service}{path}"), "");
        match exchange(address, request, CALL_LIMIT).await {
            Ok(answer) if answer.status.is_success() => {
                if answer.body["path"].as_str() == Some(&path) {
                    report.looked_up();
                } else {
                    report.violation(&format!("lookup {path} at {address}: answer {}", answer.body));
                }
                return;
            }
            Ok(answer) if answer.code().is_empty() => {
                report.violation(&format!("lookup {path} at {address}: {} without a code", answer.status));
                return;
            }
            Ok(answer) => {
                last = format!("{} {}", answer.status.as_u16(), answer.code());
                report.lookup_retried(&last);
                tokio::time::sleep(answer.retry_after.unwrap_or(RETRY)).await;
            }
            Err(failure) => {
                client.avoid(address);
                last = failure.to_string();
                report.lookup_retried(&last);
            }
        }
    }
    report.lookup_failed(&last);
}
