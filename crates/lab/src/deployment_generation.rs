//! A caller that reads a streamed generation and checks it.

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

use crate::deployment_client::{self, Answer, Client};
use crate::deployment_report::Report;

const REQUEST: &str = "hawthornpost-request";
const RESUME: &str = "hawthornpost-resume";
const LAST_EVENT: &str = "last-event-id";
/// The time without a token after which a caller gives up. The system has to say before that what is wrong.
const GIVE_UP: Duration = Duration::from_secs(30);
/// The pause before a caller tries again when no `Retry-After` says otherwise.
const RETRY: Duration = Duration::from_millis(300);

/// What a caller asks for.
#[derive(Clone, Debug)]
pub(crate) struct Question {
    /// The model.
    pub(crate) model: String,
    /// The prompt.
    pub(crate) prompt: String,
    /// The limit of tokens.
    pub(crate) max_tokens: u32,
}

/// How a generation ended.
enum End {
    Whole,
    Failed(String),
    Violation(String),
}

/// How one connection ended.
enum Part {
    /// The answer is whole according to the entry host.
    Done,
    /// The entry host ended the answer with an error.
    Failed(String),
    /// The answer goes on elsewhere.
    GoOn,
    /// Something that must not happen.
    Violation(String),
}

/// A generation as its caller sees it.
struct Reader<'a> {
    client: &'a Client,
    report: &'a Report,
    question: &'a Question,
    request: Option<String>,
    handle: Option<HeaderValue>,
    text: String,
    next: u32,
    progress: Instant,
    resumed: bool,
    is_after_fault: bool,
    route: Vec<String>,
}

/// Runs one generation to its end and reports it.
pub(crate) async fn run(client: &Client, report: &Report, question: &Question) {
    report.started(&client.account);
    let mut reader = Reader {
        client,
        report,
        question,
        request: None,
        handle: None,
        text: String::new(),
        next: 0,
        progress: Instant::now(),
        resumed: false,
        is_after_fault: false,
        route: Vec::new(),
    };
    match reader.read().await {
        End::Whole => report.whole(&client.account),
        End::Failed(reason) => {
            report.note(&reader.describe(&reason));
            report.failed(&client.account, &reason);
        }
        End::Violation(what) => report.violation(&reader.describe(&what)),
    }
}

impl Reader<'_> {
    async fn read(&mut self) -> End {
        loop {
            let address = self.client.entry().await;
            let response = deployment_client::open(address, self.build(), self.client.patience).await;
            let wait = match response {
                Ok(response) if response.status().is_success() => {
                    match self.part(address, response).await {
                        Part::Done => return self.check(),
                        Part::Failed(reason) => return End::Failed(reason),
                        Part::Violation(what) => return End::Violation(what),
                        Part::GoOn => {}
                    }
                    Duration::ZERO
                }
                Ok(response) => match self.refused(address, response).await {
                    Ok(wait) => wait,
                    Err(end) => return end,
                },
                Err(failure) => {
                    self.lost(address, &failure.to_string());
                    RETRY
                }
            };
            if self.progress.elapsed() > GIVE_UP {
                return End::Violation(format!("neither a token nor an error for {GIVE_UP:?}"));
            }
            tokio::time::sleep(wait).await;
        }
    }

    fn build(&self) -> hyper::Request<http_body_util::Full<bytes::Bytes>> {
        let Some(handle) = &self.handle else {
            let body = json!({
                "model": self.question.model,
                "prompt": self.question.prompt,
                "max_tokens": self.question.max_tokens,
                "stream": true,
            });
            return self.client.request(Method::POST, "/v1/completions", &body.to_string());
        };
        let mut request = self.client.request(Method::POST, "/v1/completions/resume", "");
        let headers = request.headers_mut();
        headers.insert(RESUME, handle.clone());
        if let Some(last) = self.next.checked_sub(1) {
            headers.insert(LAST_EVENT, HeaderValue::from(last));
        }
        request
    }

    /// Reads one response until its end.
    async fn part(&mut self, address: SocketAddr, response: Response<Incoming>) -> Part {
        let header = |name: &str| response.headers().get(name).cloned();
        let request = header(REQUEST).and_then(|value| value.to_str().ok().map(str::to_owned));
        if self.handle.is_some() {
            self.resumed = true;
            self.report.resumed();
            if request.is_some() && request != self.request {
                return Part::Violation(format!("resumed as another request {request:?}"));
            }
        }
        self.request = request.or(self.request.take());
        self.handle = header(RESUME).or(self.handle.take());
        self.log(address, "streams");
        let mut body = response.into_body();
        let mut buffer = BytesMut::new();
        loop {
            while let Some(event) = take_event(&mut buffer) {
                if let Some(part) = self.event(address, &event) {
                    return part;
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

    fn event(&mut self, address: SocketAddr, event: &str) -> Option<Part> {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
        let data = field("data:").unwrap_or_default();
        match field("event:") {
            Some("error") => return Some(Part::Failed(format!("event: {}", reason_of(data)))),
            Some("handover") => return Some(self.handover(address, data)),
            _ => {}
        }
        if data == "[DONE]" {
            return Some(Part::Done);
        }
        let index = field("id:")?;
        if index.parse() != Ok(self.next) {
            return Some(Part::Violation(format!("event {index} instead of {}", self.next)));
        }
        let chunk = serde_json::from_str::<Value>(data).unwrap_or_default();
        if chunk["id"].as_str() != self.request.as_deref() {
            return Some(Part::Violation(format!(
                "event {index} belongs to request {}",
                chunk["id"]
            )));
        }
        let Some(text) = chunk["choices"][0]["text"].as_str() else {
            return Some(Part::Violation(format!("event {index} has no text")));
        };
        self.text.push_str(text);
        self.next += 1;
        let now = Instant::now();
        self.report
            .gap(now.duration_since(self.progress), self.next > 1, self.is_after_fault);
        self.is_after_fault = false;
        self.progress = now;
        None
    }

    fn handover(&mut self, address: SocketAddr, data: &str) -> Part {
        let value = serde_json::from_str::<Value>(data).unwrap_or_default();
        let handle = value["handle"].as_str().and_then(|text| text.parse().ok());
        self.handle = handle.or(self.handle.take());
        self.interrupted(address, "handover")
    }

    fn interrupted(&mut self, address: SocketAddr, why: &str) -> Part {
        self.lost(address, why);
        if self.handle.is_none() && self.next > 0 {
            return Part::Violation(format!("{why} without a resume handle"));
        }
        Part::GoOn
    }

    fn lost(&mut self, address: SocketAddr, why: &str) {
        self.log(address, why);
        self.is_after_fault = true;
        self.client.avoid(address);
    }

    /// Returns how long to wait after a refusal, or the end when it is final.
    async fn refused(&mut self, address: SocketAddr, response: Response<Incoming>) -> Result<Duration, End> {
        let Ok(answer) = Answer::read_within(response, self.client.patience).await else {
            self.lost(address, "broken refusal");
            return Ok(RETRY);
        };
        let status = answer.status.as_u16();
        let code = answer.code().to_owned();
        let detail = reason_of(answer.body["detail"].as_str().unwrap_or_default());
        let reason = format!("{status} {code}: {detail}");
        self.log(address, &format!("{reason}, Retry-After {:?}", answer.retry_after));
        match answer.retry_after {
            Some(wait) if self.progress.elapsed() + wait < GIVE_UP => {
                self.client.avoid(address);
                Ok(wait)
            }
            _ if code.is_empty() => Err(End::Violation(format!("{status} without a code"))),
            _ => Err(End::Failed(reason)),
        }
    }

    /// Checks an answer that the entry host calls whole.
    fn check(&self) -> End {
        match text::verify(&self.question.prompt, &self.text) {
            Err(mismatch) => End::Violation(mismatch.to_string()),
            Ok(verified) if verified.tokens != self.next => {
                End::Violation(format!("{} tokens in {} events", verified.tokens, self.next))
            }
            Ok(verified) if !verified.ended && verified.tokens != self.question.max_tokens => {
                End::Violation(format!("the answer is cut off after {} tokens", verified.tokens))
            }
            Ok(_) => End::Whole,
        }
    }

    fn log(&mut self, address: SocketAddr, what: &str) {
        let (at, next) = (self.report.now_ms(), self.next);
        self.route.push(format!("{at} ms {address} at token {next}: {what}"));
    }

    fn describe(&self, what: &str) -> String {
        format!(
            "generation {} of {} (token {}, resumed: {}): {what}; {}",
            self.request.as_deref().unwrap_or("without id"),
            self.client.account,
            self.next,
            self.resumed,
            self.route.join("; ")
        )
    }
}

fn take_event(buffer: &mut BytesMut) -> Option<String> {
    let end = buffer.windows(2).position(|pair| pair == b"\n\n")?;
    let event = buffer.split_to(end);
    buffer.advance(2);
    Some(String::from_utf8_lossy(&event).into_owned())
}

/// Returns a message without the words that differ between requests, so that equal reasons can be counted.
fn reason_of(data: &str) -> String {
    let value = serde_json::from_str::<Value>(data).unwrap_or_default();
    let message = value["error"]["message"].as_str().unwrap_or(data);
    let is_name = |word: &&str| word.contains(|letter: char| letter.is_ascii_digit());
    let words = message.split_whitespace().filter(|word| !is_name(word));
    words.take(12).collect::<Vec<_>>().join(" ")
}
