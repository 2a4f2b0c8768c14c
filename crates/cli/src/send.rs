//! A generation that survives the loss of an entry host.

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
use crate::sse::{Event, Events};

const LAST_EVENT_HEADER: &str = "last-event-id";
/// The pause between two rounds over all addresses.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

#[derive(Debug, Deserialize)]
struct Addresses {
    entries: Vec<SocketAddr>,
}

#[derive(Debug, Deserialize)]
struct Handover {
    handle: String,
    entry: SocketAddr,
}

/// An answer while it arrives.
struct Answer<'a> {
    session: &'a Session,
    patience: Duration,
    addresses: Vec<SocketAddr>,
    handle: Option<HeaderValue>,
    next: u32,
    text: String,
    finish: Option<String>,
    resumes: u32,
}

/// What an event leads to.
enum Step {
    GoOn,
    Done,
    Lost,
}

impl Send {
    pub(crate) async fn run(&self, session: &Session) -> Result<()> {
        let body = Bytes::from(self.body()?.to_string());
        let mut answer = Answer {
            session,
            patience: Duration::from_secs(self.patience),
            addresses: session.client.entries()?.to_vec(),
            handle: None,
            next: 0,
            text: String::new(),
            finish: None,
            resumes: 0,
        };
        let response = answer.start(&body).await?;
        answer.refresh_addresses().await;
        answer.read(response).await?;
        session.output.piece("\n")?;
        if !session.output.is_json() {
            return Ok(());
        }
        let value = json!({ "text": answer.text, "tokens": answer.next, "finish_reason": answer.finish,
            "resumes": answer.resumes });
        session.output.result(&value, "")
    }

    fn body(&self) -> Result<Value> {
        let prompt = match &self.prompt {
            Some(prompt) => prompt.clone(),
            None => io::read_to_string(io::stdin().take(1 << 20)).map_err(|source| Kind::Input { source })?,
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

impl Answer<'_> {
    /// Starts at the first entry host that can be reached. A request without an answer is not repeated, so that no
    /// engine works on it twice.
    async fn start(&mut self, body: &Bytes) -> Result<Response<Incoming>> {
        for address in self.addresses.clone() {
            let request = client::request(Method::POST, "/v1/completions", body.clone());
            if let Some(response) = self.session.client.open(address, request).await? {
                return Ok(response);
            }
        }
        Err(self
            .session
            .client
            .unreachable("no entry host took the request".to_owned()))
    }

    async fn read(&mut self, mut response: Response<Incoming>) -> Result<()> {
        loop {
            if let Some(handle) = response.headers().get(RESUME_HEADER) {
                self.handle = Some(handle.clone());
            }
            let mut events = Events::new(response.into_body());
            loop {
                let step = match events.next().await {
                    Some(event) => self.accept(&event)?,
                    None => Step::Lost,
                };
                match step {
                    Step::GoOn => {}
                    Step::Done => return Ok(()),
                    Step::Lost => break,
                }
            }
            response = self.resume().await?;
        }
    }

    fn accept(&mut self, event: &Event) -> Result<Step> {
        if event.data == "[DONE]" {
            return Ok(Step::Done);
        }
        let data = serde_json::from_str::<Value>(&event.data).unwrap_or_default();
        match event.name.as_str() {
            "error" => return Err(failed(&data)),
            "handover" => {
                self.hand_over(data);
                return Ok(Step::Lost);
            }
            _ => {}
        }
        let choice = &data["choices"][0];
        if let Some(finish) = choice["finish_reason"].as_str() {
            self.finish = Some(finish.to_owned());
        }
        match event.id {
            Some(index) if index == self.next => {
                let text = choice["text"].as_str().unwrap_or_default();
                self.session.output.piece(text)?;
                self.text.push_str(text);
                self.next += 1;
            }
            Some(index) if index > self.next => {
                let detail = format!("token {} is missing, token {index} came instead", self.next);
                return Err(Kind::Generation { detail }.into());
            }
            _ => {}
        }
        Ok(Step::GoOn)
    }

    fn hand_over(&mut self, data: Value) {
        if let Ok(handover) = serde_json::from_value::<Handover>(data) {
            self.handle = HeaderValue::from_str(&handover.handle).ok().or(self.handle.take());
            self.addresses.retain(|address| *address != handover.entry);
            self.addresses.insert(0, handover.entry);
        }
    }

    /// Continues at any entry host that answers within the patience.
    async fn resume(&mut self) -> Result<Response<Incoming>> {
        let Some(handle) = self.handle.clone() else {
            let detail = "the entry host gave no resume handle".to_owned();
            return Err(Kind::NoResume { detail }.into());
        };
        self.session
            .output
            .progress("\nthe entry host is lost; continuing at another one");
        self.resumes += 1;
        let end = Instant::now() + self.patience;
        let mut last_refusal = None;
        while Instant::now() < end {
            for address in self.addresses.clone() {
                match self.try_resume(address, handle.clone()).await {
                    Ok(Some(response)) => return Ok(response),
                    Ok(None) => {}
                    Err(error) => last_refusal = Some(error),
                }
            }
            self.refresh_addresses().await;
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        let detail = last_refusal.map_or_else(|| "no entry host answers".to_owned(), |error| error.to_string());
        Err(Kind::NoResume { detail }.into())
    }

    async fn try_resume(&self, address: SocketAddr, handle: HeaderValue) -> Result<Option<Response<Incoming>>> {
        let mut request = client::request(Method::POST, "/v1/completions/resume", Bytes::new());
        request.headers_mut().insert(RESUME_HEADER, handle);
        if let Some(last) = self.next.checked_sub(1) {
            request.headers_mut().insert(LAST_EVENT_HEADER, HeaderValue::from(last));
        }
        self.session.client.open(address, request).await
    }

    /// Adds the addresses that the deployment gives out; the ones known so far stay, in case none answers.
    async fn refresh_addresses(&mut self) {
        for address in self.addresses.clone() {
            let Ok(Some(response)) = self.session.client.open(address, entries_request()).await else {
                continue;
            };
            let body = http_body_util::BodyExt::collect(response.into_body()).await;
            let Ok(body) = body else { continue };
            if let Ok(list) = serde_json::from_slice::<Addresses>(&body.to_bytes()) {
                let new = list
                    .entries
                    .into_iter()
                    .filter(|address| !self.addresses.contains(address));
                let new = new.collect::<Vec<_>>();
                self.addresses.extend(new);
                return;
            }
        }
    }
}

fn entries_request() -> hyper::Request<http_body_util::Full<Bytes>> {
    client::request(Method::GET, "/v1/entries", Bytes::new())
}

fn failed(data: &Value) -> Error {
    let detail = data["error"]["message"]
        .as_str()
        .unwrap_or("the entry host gave no reason");
    let detail = detail.to_owned();
    Kind::Generation { detail }.into()
}
