//! Callers that run actions and lookups.

use std::time::Duration;

use hyper::Method;
use hyper::header::HeaderValue;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::deployment_client::{Client, Reply, exchange};
use crate::deployment_report::{Outcome, Report};

const KEY_HEADER: &str = "idempotency-key";
/// Exceeds the timeouts of the services, so that the caller receives their explicit error.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a caller retries one action or lookup.
const RETRY_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before a retry when the response has no `Retry-After`.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// An action to run at a service.
#[derive(Clone, Debug)]
pub(crate) struct Action {
    /// The service.
    pub(crate) service: String,
    /// The idempotency key; a run uses each one once.
    pub(crate) key: String,
}

/// Result of one attempt to run an action or to read its outcome.
enum Step {
    /// The action has an outcome.
    Ended(Outcome, String),
    /// This request did not run; it can be sent again with the same key.
    Refused(Duration),
    /// The outcome is unknown; the next attempt reads the recorded outcome.
    Unknown(String),
    /// The response violates an invariant.
    Violation(String),
}

/// Retries an action until its outcome is known or the timeout expires, and reports the outcome.
pub(crate) async fn run(client: &Client, report: &Report, action: &Action) {
    let end = Instant::now() + RETRY_TIMEOUT;
    let (mut was_unknown, mut may_have_run, mut last) = (false, false, String::new());
    let mut history = Vec::new();
    while Instant::now() < end {
        let (address, step) = if was_unknown {
            fetch_outcome(client, action).await
        } else {
            send(client, action).await
        };
        let at = report.now_ms();
        match step {
            Step::Ended(outcome, detail) => {
                history.push(format!("{at} ms {address}: {detail}"));
                report.record_action(&action.key, outcome, &detail, &history);
                return;
            }
            Step::Violation(what) => {
                report.record_violation(&format!(
                    "action {}: {what} at {address}; {}",
                    action.key,
                    history.join("; ")
                ));
                report.record_action(&action.key, Outcome::Unknown, &what, &history);
                return;
            }
            Step::Refused(wait) => {
                "refused as not run".clone_into(&mut last);
                // An earlier request whose response was lost may still claim the key.
                may_have_run |= was_unknown;
                was_unknown = false;
                history.push(format!("{at} ms {address}: refused as not run"));
                tokio::time::sleep(wait).await;
            }
            Step::Unknown(why) => {
                was_unknown = true;
                history.push(format!("{at} ms {address}: {why}"));
                last = why;
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
    let outcome = if was_unknown || may_have_run {
        Outcome::Unknown
    } else {
        Outcome::NotRun
    };
    report.record_action(&action.key, outcome, &last, &history);
}

impl Action {
    fn path(&self) -> String {
        format!("/orders/{}", self.key)
    }

    fn body(&self) -> String {
        json!({ "order": self.key }).to_string()
    }

    /// Checks that a response belongs to this action and not to another one.
    fn matches(&self, body: &Value) -> bool {
        let is_equal = |name: &str, expected: &str| body.get(name).is_none_or(|value| value.as_str() == Some(expected));
        is_equal("path", &self.path()) && is_equal("body", &self.body())
    }
}

async fn send(client: &Client, action: &Action) -> (std::net::SocketAddr, Step) {
    let address = client.entry().await;
    let path = format!("/v1/services/{}{}", action.service, action.path());
    let mut request = client.request(Method::POST, &path, &action.body());
    let key = HeaderValue::from_str(&action.key).expect("keys are plain text");
    request.headers_mut().insert(KEY_HEADER, key);
    let step = match exchange(address, request, CALL_TIMEOUT).await {
        Err(failure) => {
            client.avoid(address);
            // Retrying is safe with the same key; the next response reports what the first request did.
            match failure {
                crate::deployment_client::Failure::Connect => Step::Refused(RETRY_INTERVAL),
                _ => Step::Unknown(failure.to_string()),
            }
        }
        Ok(reply) => interpret(action, &reply),
    };
    (address, step)
}

fn interpret(action: &Action, reply: &Reply) -> Step {
    if reply.status.is_success() {
        return if action.matches(&reply.body) {
            Step::Ended(Outcome::Done, "done".to_owned())
        } else {
            Step::Violation(format!("the response belongs to another action: {}", reply.body))
        };
    }
    let (status, code) = (reply.status.as_u16(), reply.code());
    let wait = reply.retry_after.unwrap_or(RETRY_INTERVAL);
    match (code, reply.body["scope"].as_str()) {
        ("not_run", Some("key")) => Step::Ended(Outcome::NotRun, "not run (key closed)".to_owned()),
        ("not_run" | "unavailable", _) => Step::Refused(wait),
        ("key_reused", _) => Step::Violation("the key is reported as used with another body".to_owned()),
        ("", _) => Step::Violation(format!("{status} without a code")),
        _ => Step::Unknown(format!("{status} {code}")),
    }
}

/// Fetches the recorded outcome.
async fn fetch_outcome(client: &Client, action: &Action) -> (std::net::SocketAddr, Step) {
    let address = client.entry().await;
    let path = format!("/v1/actions/{}/{}", action.service, action.key);
    let reply = exchange(address, client.request(Method::GET, &path, ""), CALL_TIMEOUT).await;
    let step = match reply {
        Err(failure) => {
            client.avoid(address);
            Step::Unknown(failure.to_string())
        }
        Ok(reply) if reply.status.is_success() => match reply.body["state"].as_str() {
            Some("done") => Step::Ended(Outcome::Done, "done (recorded)".to_owned()),
            Some("not_run") => Step::Ended(Outcome::NotRun, "not run (recorded)".to_owned()),
            _ => Step::Unknown("recorded as unknown".to_owned()),
        },
        // No request has claimed the key, so the action has to be sent again.
        Ok(reply) if reply.code() == "not_found" => Step::Refused(Duration::ZERO),
        Ok(reply) => Step::Unknown(format!("lookup: {} {}", reply.status.as_u16(), reply.code())),
    };
    (address, step)
}

/// Retries a lookup until it succeeds or the timeout expires, and reports the result.
pub(crate) async fn look_up(client: &Client, report: &Report, service: &str, name: &str) {
    let end = Instant::now() + RETRY_TIMEOUT;
    let path = format!("/plots/{name}");
    let mut last = String::new();
    while Instant::now() < end {
        let address = client.entry().await;
        let request = client.request(Method::GET, &format!("/v1/services/{service}{path}"), "");
        match exchange(address, request, CALL_TIMEOUT).await {
            Ok(reply) if reply.status.is_success() => {
                if reply.body["path"].as_str() == Some(&path) {
                    report.lookup_succeeded();
                } else {
                    report.record_violation(&format!("lookup {path} at {address}: response {}", reply.body));
                }
                return;
            }
            Ok(reply) if reply.code().is_empty() => {
                report.record_violation(&format!("lookup {path} at {address}: {} without a code", reply.status));
                return;
            }
            Ok(reply) => {
                last = format!("{} {}", reply.status.as_u16(), reply.code());
                report.lookup_retried(&last);
                tokio::time::sleep(reply.retry_after.unwrap_or(RETRY_INTERVAL)).await;
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
