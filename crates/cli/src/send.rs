//! The `send` command: streams a generation and resumes it at another entry host if the connection is lost.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hawthornpost_core::wire::RESUME_HEADER;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Response};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::Session;
use crate::arguments::Send;
use crate::client;
use crate::error::{Error, Kind, Result};
use crate::sse::{Event, Reader};

const LAST_EVENT_HEADER: &str = "last-event-id";
/// The interval between two attempts to resume at any of the addresses.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Deserialize)]
struct Addresses {
    entries: Vec<SocketAddr>,
}

#[derive(Debug, Deserialize)]
struct Handover {
    handle: String,
    entry: SocketAddr,
}

/// The state of a streamed completion.
struct Completion<'a> {
    session: &'a Session,
    resume_timeout: Duration,
    addresses: Vec<SocketAddr>,
    handle: Option<HeaderValue>,
    next_index: u32,
    text: String,
    finish: Option<String>,
    resumes: u32,
}

/// What to do after an event.
enum Step {
    Continue,
    Done,
    Disconnected,
}

impl Send {
    pub(crate) async fn run(&self, session: &Session) -> Result<()> {
        let body = Bytes::from(self.body()?.to_string());
        let mut completion = Completion {
            session,
            resume_timeout: Duration::from_secs(self.patience),
            addresses: session.client.entries()?.to_vec(),
            handle: None,
            next_index: 0,
            text: String::new(),
            finish: None,
            resumes: 0,
        };
        let response = completion.send(&body).await?;
        completion.refresh_addresses().await;
        completion.read(response).await?;
        session.output.fragment("\n")?;
        if !session.output.is_json() {
            return Ok(());
        }
        let value = json!({ "text": completion.text, "tokens": completion.next_index, "finish_reason": completion.finish,
            "resumes": completion.resumes });
        session.output.result(&value, "")
    }

    fn body(&self) -> Result<Value> {
        let prompt = match &self.prompt {
            Some(prompt) => prompt.clone(),
            None => io::read_to_string(io::stdin().take(1 << 20)).map_err(|source| Kind::ReadStdin { source })?,
        };
        let mut body = json!({ "model": self.model, "prompt": prompt, "stream": true });
        if let Some(max_tokens) = self.max_tokens {
            body["max_tokens"] = json!(max_tokens);
        }
        if let Some(priority) = self.priority {
            body["priority"] = json!(priority);
        }
        Ok(body)
    }
}

impl Completion<'_> {
    /// Sends the request to the first reachable entry host. A request without a response must not be retried, because an
    /// engine may already be working on it.
    async fn send(&mut self, body: &Bytes) -> Result<Response<Incoming>> {
        for address in self.addresses.clone() {
            let request = client::request(Method::POST, "/v1/completions", body.clone());
            if let Some(response) = self.session.client.open_stream(address, request).await? {
                return Ok(response);
            }
        }
        Err(self
            .session
            .client
            .unreachable("no entry host accepted the request".to_owned()))
    }

    async fn read(&mut self, mut response: Response<Incoming>) -> Result<()> {
        loop {
            if let Some(handle) = response.headers().get(RESUME_HEADER) {
                self.handle = Some(handle.clone());
            }
            let mut reader = Reader::new(response.into_body());
            loop {
                let step = match reader.next().await {
                    Some(event) => self.handle_event(&event)?,
                    None => Step::Disconnected,
                };
                match step {
                    Step::Continue => {}
                    Step::Done => return Ok(()),
                    Step::Disconnected => break,
                }
            }
            response = self.resume().await?;
        }
    }

    fn handle_event(&mut self, event: &Event) -> Result<Step> {
        if event.data == "[DONE]" {
            return Ok(Step::Done);
        }
        let data = serde_json::from_str::<Value>(&event.data).unwrap_or_default();
        match event.name.as_str() {
            "error" => return Err(generation_error(&data)),
            "handover" => {
                self.apply_handover(data);
                return Ok(Step::Disconnected);
            }
            _ => {}
        }
        let choice = &data["choices"][0];
        if let Some(finish) = choice["finish_reason"].as_str() {
            self.finish = Some(finish.to_owned());
        }
        match event.id {
            Some(index) if index == self.next_index => {
                let text = choice["text"].as_str().unwrap_or_default();
                self.session.output.fragment(text)?;
                self.text.push_str(text);
                self.next_index += 1;
            }
            Some(index) if index > self.next_index => {
                let detail = format!("token {} is missing, received token {index} instead", self.next_index);
                return Err(Kind::Generation { detail }.into());
            }
            _ => {}
        }
        Ok(Step::Continue)
    }

    fn apply_handover(&mut self, data: Value) {
        if let Ok(handover) = serde_json::from_value::<Handover>(data) {
            self.handle = HeaderValue::from_str(&handover.handle).ok().or(self.handle.take());
            self.addresses.retain(|address| *address != handover.entry);
            self.addresses.insert(0, handover.entry);
        }
    }

    /// Resumes at any entry host that responds before the resume timeout expires.
    async fn resume(&mut self) -> Result<Response<Incoming>> {
        let Some(handle) = self.handle.clone() else {
            let detail = "the entry host gave no resume handle".to_owned();
            return Err(Kind::ResumeFailed { detail }.into());
        };
        self.session
            .output
            .progress("\nthe connection to the entry host was lost; resuming at another one");
        self.resumes += 1;
        let deadline = Instant::now() + self.resume_timeout;
        let mut last_error = None;
        while Instant::now() < deadline {
            for address in self.addresses.clone() {
                match self.try_resume(address, handle.clone()).await {
                    Ok(Some(response)) => return Ok(response),
                    Ok(None) => {}
                    Err(error) => last_error = Some(error),
                }
            }
            self.refresh_addresses().await;
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        let detail = last_error.map_or_else(|| "no entry host responds".to_owned(), |error| error.to_string());
        Err(Kind::ResumeFailed { detail }.into())
    }

    async fn try_resume(&self, address: SocketAddr, handle: HeaderValue) -> Result<Option<Response<Incoming>>> {
        let mut request = client::request(Method::POST, "/v1/completions/resume", Bytes::new());
        request.headers_mut().insert(RESUME_HEADER, handle);
        if let Some(last_index) = self.next_index.checked_sub(1) {
            request
                .headers_mut()
                .insert(LAST_EVENT_HEADER, HeaderValue::from(last_index));
        }
        self.session.client.open_stream(address, request).await
    }

    /// Adds the addresses that the deployment publishes. Known addresses are kept as a fallback.
    async fn refresh_addresses(&mut self) {
        for address in self.addresses.clone() {
            let Ok(Some(response)) = self.session.client.open_stream(address, entries_request()).await else {
                continue;
            };
            let body = http_body_util::BodyExt::collect(response.into_body()).await;
            let Ok(body) = body else { continue };
            if let Ok(list) = serde_json::from_slice::<Addresses>(&body.to_bytes()) {
                let added = list
                    .entries
                    .into_iter()
                    .filter(|address| !self.addresses.contains(address));
                let added = added.collect::<Vec<_>>();
                self.addresses.extend(added);
                return;
            }
        }
    }
}

fn entries_request() -> hyper::Request<http_body_util::Full<Bytes>> {
    client::request(Method::GET, "/v1/entries", Bytes::new())
}

fn generation_error(data: &Value) -> Error {
    let detail = data["error"]["message"]
        .as_str()
        .unwrap_or("the entry host gave no reason");
    let detail = detail.to_owned();
    Kind::Generation { detail }.into()
}
