//! A caller that reads a streamed generation, resumes it after failures and verifies its text.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use hawthornpost_standins::text;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Response};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::deployment_client::{self, Client, Reply};
use crate::deployment_report::Report;

const REQUEST_HEADER: &str = "hawthornpost-request";
const RESUME_HEADER: &str = "hawthornpost-resume";
const LAST_EVENT_HEADER: &str = "last-event-id";
/// Time without a token after which a caller reports a violation. The system has to return an error before that.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before a retry when the response has no `Retry-After`.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// A generation request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// The model.
    pub(crate) model: String,
    /// The prompt.
    pub(crate) prompt: String,
    /// The maximum number of tokens.
    pub(crate) max_tokens: u32,
}

/// How a generation ended.
enum End {
    Complete,
    Failed(String),
    Violation(String),
}

/// How a response or an event affects the generation.
enum Step {
    /// The entry host reported that the answer is complete.
    Done,
    /// The entry host ended the answer with an error.
    Failed(String),
    /// The generation has to be resumed with another request.
    Continue,
    /// The response violates an invariant.
    Violation(String),
}

/// Client-side state of a generation.
struct Reader<'a> {
    client: &'a Client,
    report: &'a Report,
    request: &'a Request,
    request_id: Option<String>,
    handle: Option<HeaderValue>,
    text: String,
    next_token: u32,
    last_progress: Instant,
    resumed: bool,
    is_after_fault: bool,
    history: Vec<String>,
}

/// Runs a generation to its end and reports the outcome.
pub(crate) async fn run(client: &Client, report: &Report, request: &Request) {
    report.generation_started(&client.account);
    let mut reader = Reader {
        client,
        report,
        request,
        request_id: None,
        handle: None,
        text: String::new(),
        next_token: 0,
        last_progress: Instant::now(),
        resumed: false,
        is_after_fault: false,
        history: Vec::new(),
    };
    match reader.read().await {
        End::Complete => report.generation_completed(&client.account),
        End::Failed(reason) => {
            report.note(&reader.describe(&reason));
            report.generation_failed(&client.account, &reason);
        }
        End::Violation(what) => report.record_violation(&reader.describe(&what)),
    }
}

impl Reader<'_> {
    async fn read(&mut self) -> End {
        loop {
            let address = self.client.entry().await;
            let response = deployment_client::open(address, self.build_request(), self.client.patience).await;
            let wait = match response {
                Ok(response) if response.status().is_success() => {
                    match self.read_response(address, response).await {
                        Step::Done => return self.verify(),
                        Step::Failed(reason) => return End::Failed(reason),
                        Step::Violation(what) => return End::Violation(what),
                        Step::Continue => {}
                    }
                    Duration::ZERO
                }
                Ok(response) => match self.handle_refusal(address, response).await {
                    Ok(wait) => wait,
                    Err(end) => return end,
                },
                Err(failure) => {
                    self.record_failure(address, &failure.to_string());
                    RETRY_INTERVAL
                }
            };
            if self.last_progress.elapsed() > PROGRESS_TIMEOUT {
                return End::Violation(format!("neither a token nor an error for {PROGRESS_TIMEOUT:?}"));
            }
            tokio::time::sleep(wait).await;
        }
    }

    fn build_request(&self) -> hyper::Request<http_body_util::Full<bytes::Bytes>> {
        let Some(handle) = &self.handle else {
            let body = json!({
                "model": self.request.model,
                "prompt": self.request.prompt,
                "max_tokens": self.request.max_tokens,
                "stream": true,
            });
            return self.client.request(Method::POST, "/v1/completions", &body.to_string());
        };
        let mut request = self.client.request(Method::POST, "/v1/completions/resume", "");
        let headers = request.headers_mut();
        headers.insert(RESUME_HEADER, handle.clone());
        if let Some(last) = self.next_token.checked_sub(1) {
            headers.insert(LAST_EVENT_HEADER, HeaderValue::from(last));
        }
        request
    }

    /// Reads the events of one response until it ends or is interrupted.
    async fn read_response(&mut self, address: SocketAddr, response: Response<Incoming>) -> Step {
        let header = |name: &str| response.headers().get(name).cloned();
        let request_id = header(REQUEST_HEADER).and_then(|value| value.to_str().ok().map(str::to_owned));
        if self.handle.is_some() {
            self.resumed = true;
            self.report.generation_resumed();
            if request_id.is_some() && request_id != self.request_id {
                return Step::Violation(format!("resumed as another request {request_id:?}"));
            }
        }
        self.request_id = request_id.or(self.request_id.take());
        self.handle = header(RESUME_HEADER).or(self.handle.take());
        self.record(address, "streams");
        let mut body = response.into_body();
        let mut buffer = BytesMut::new();
        loop {
            while let Some(event) = split_event(&mut buffer) {
                if let Some(step) = self.handle_event(address, &event) {
                    return step;
                }
            }
            match tokio::time::timeout(self.client.patience, body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Some(data) = frame.data_ref() {
                        buffer.extend_from_slice(data);
                    }
                }
                Ok(Some(Err(_)) | None) => return self.interrupted(address, "broken connection"),
                Err(_) => return self.interrupted(address, "silence"),
            }
        }
    }

    fn handle_event(&mut self, address: SocketAddr, event: &str) -> Option<Step> {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
        let data = field("data:").unwrap_or_default();
        match field("event:") {
            Some("error") => return Some(Step::Failed(format!("event: {}", stable_reason(data)))),
            Some("handover") => return Some(self.handle_handover(address, data)),
            _ => {}
        }
        if data == "[DONE]" {
            return Some(Step::Done);
        }
        let index = field("id:")?;
        if index.parse() != Ok(self.next_token) {
            return Some(Step::Violation(format!("event {index} instead of {}", self.next_token)));
        }
        let chunk = serde_json::from_str::<Value>(data).unwrap_or_default();
        if chunk["id"].as_str() != self.request_id.as_deref() {
            return Some(Step::Violation(format!(
                "event {index} belongs to request {}",
                chunk["id"]
            )));
        }
        let Some(text) = chunk["choices"][0]["text"].as_str() else {
            return Some(Step::Violation(format!("event {index} has no text")));
        };
        self.text.push_str(text);
        self.next_token += 1;
        let now = Instant::now();
        self.report.record_gap(
            now.duration_since(self.last_progress),
            self.next_token > 1,
            self.is_after_fault,
        );
        self.is_after_fault = false;
        self.last_progress = now;
        None
    }

    fn handle_handover(&mut self, address: SocketAddr, data: &str) -> Step {
        let value = serde_json::from_str::<Value>(data).unwrap_or_default();
        let handle = value["handle"].as_str().and_then(|text| text.parse().ok());
        self.handle = handle.or(self.handle.take());
        self.interrupted(address, "handover")
    }

    fn interrupted(&mut self, address: SocketAddr, why: &str) -> Step {
        self.record_failure(address, why);
        if self.handle.is_none() && self.next_token > 0 {
            return Step::Violation(format!("{why} without a resume handle"));
        }
        Step::Continue
    }

    fn record_failure(&mut self, address: SocketAddr, why: &str) {
        self.record(address, why);
        self.is_after_fault = true;
        self.client.avoid(address);
    }

    /// Returns the delay before a retry, or the end of the generation when the refusal is final.
    async fn handle_refusal(&mut self, address: SocketAddr, response: Response<Incoming>) -> Result<Duration, End> {
        let Ok(reply) = Reply::read_within(response, self.client.patience).await else {
            self.record_failure(address, "incomplete error response");
            return Ok(RETRY_INTERVAL);
        };
        let status = reply.status.as_u16();
        let code = reply.code().to_owned();
        let detail = stable_reason(reply.body["detail"].as_str().unwrap_or_default());
        let reason = format!("{status} {code}: {detail}");
        self.record(address, &format!("{reason}, Retry-After {:?}", reply.retry_after));
        match reply.retry_after {
            Some(wait) if self.last_progress.elapsed() + wait < PROGRESS_TIMEOUT => {
                self.client.avoid(address);
                Ok(wait)
            }
            _ if code.is_empty() => Err(End::Violation(format!("{status} without a code"))),
            _ => Err(End::Failed(reason)),
        }
    }

    /// Verifies an answer that the entry host reported as complete.
    fn verify(&self) -> End {
        match text::verify(&self.request.prompt, &self.text) {
            Err(mismatch) => End::Violation(mismatch.to_string()),
            Ok(verified) if verified.tokens != self.next_token => {
                End::Violation(format!("{} tokens in {} events", verified.tokens, self.next_token))
            }
            Ok(verified) if !verified.ended && verified.tokens != self.request.max_tokens => {
                End::Violation(format!("the answer is truncated after {} tokens", verified.tokens))
            }
            Ok(_) => End::Complete,
        }
    }

    fn record(&mut self, address: SocketAddr, what: &str) {
        let (at, next) = (self.report.now_ms(), self.next_token);
        self.history.push(format!("{at} ms {address} at token {next}: {what}"));
    }

    fn describe(&self, what: &str) -> String {
        format!(
            "generation {} of {} (token {}, resumed: {}): {what}; {}",
            self.request_id.as_deref().unwrap_or("without id"),
            self.client.account,
            self.next_token,
            self.resumed,
            self.history.join("; ")
        )
    }
}

fn split_event(buffer: &mut BytesMut) -> Option<String> {
    let end = buffer.windows(2).position(|pair| pair == b"\n\n")?;
    let event = buffer.split_to(end);
    buffer.advance(2);
    Some(String::from_utf8_lossy(&event).into_owned())
}

/// Strips the words with digits, such as names and ids, from an error message, so that equal reasons are counted
/// together.
fn stable_reason(data: &str) -> String {
    let value = serde_json::from_str::<Value>(data).unwrap_or_default();
    let message = value["error"]["message"].as_str().unwrap_or(data);
    let is_name = |word: &&str| word.contains(|letter: char| letter.is_ascii_digit());
    let words = message.split_whitespace().filter(|word| !is_name(word));
    words.take(12).collect::<Vec<_>>().join(" ")
}
