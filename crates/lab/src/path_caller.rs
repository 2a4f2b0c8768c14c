//! Callers that measure latency by the send time in each token.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use hawthornpost_core::id::{Attempt, Model, Request as RequestId, Version};
use hawthornpost_core::wire::Generate;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::header::{AUTHORIZATION, HOST, HeaderValue};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::path::Load;
use crate::path_daemon::{ACCOUNT_KEY, MODEL, VERSION};
use crate::path_engine::now_micros;

/// Period over which streams are started, so that their tokens do not arrive in one burst.
const RAMP_UP: Duration = Duration::from_millis(500);

/// Histogram bound in microseconds; longer latencies are recorded as this value.
const MAX_RECORDED_MICROS: u64 = 60_000_000;

/// Latencies in microseconds.
#[derive(Debug)]
pub(crate) struct Samples {
    /// Time from the request to the first token.
    pub(crate) first_token: Histogram<u64>,
    /// Time from sending a token at the engine to receiving it at the caller.
    pub(crate) token: Histogram<u64>,
}

impl Samples {
    fn new() -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_RECORDED_MICROS, 3).expect("valid bounds");
        Self {
            first_token: histogram(),
            token: histogram(),
        }
    }

    fn merge(&mut self, other: &Self) {
        self.first_token += &other.first_token;
        self.token += &other.token;
    }
}

/// Runs the streams of a load concurrently. `on_progress` is called once all are started and after each stream ends.
pub(crate) async fn run(
    address: SocketAddr,
    load: Load,
    body: fn(u32) -> Bytes,
    mut on_progress: impl FnMut(),
) -> Samples {
    let mut callers = JoinSet::new();
    let interval = RAMP_UP / u32::try_from(load.streams).unwrap_or(u32::MAX);
    for _ in 0..load.streams {
        callers.spawn(run_stream(address, load.tokens, body(load.tokens)));
        tokio::time::sleep(interval).await;
    }
    on_progress();
    let mut samples = Samples::new();
    while let Some(result) = callers.join_next().await {
        samples.merge(&result.expect("the caller task succeeds"));
        on_progress();
    }
    samples
}

async fn run_stream(address: SocketAddr, tokens: u32, body: Bytes) -> Samples {
    let stream = TcpStream::connect(address).await.expect("a connection");
    stream.set_nodelay(true).expect("TCP_NODELAY");
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.expect("HTTP");
    tokio::spawn(connection);
    let begin = now_micros();
    let response = sender.send_request(request(body)).await.expect("a response");
    assert!(response.status().is_success(), "status {}", response.status());
    let mut body = response.into_body();
    let mut samples = Samples::new();
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Some(data) = frame.expect("a complete answer").data_ref() {
            buffer.extend_from_slice(data);
        }
        read_events(&mut buffer, begin, &mut samples);
    }
    assert_eq!(samples.token.len(), u64::from(tokens), "tokens are missing");
    samples
}

fn read_events(buffer: &mut BytesMut, begin: u64, samples: &mut Samples) {
    while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
        let line = buffer.split_to(end);
        buffer.advance(1);
        let sent = line.strip_prefix(b"data: ").and_then(parse_send_time);
        if let Some(sent) = sent {
            let now = now_micros();
            if samples.token.is_empty() {
                samples.first_token.saturating_record(now - begin);
            }
            samples.token.saturating_record(now.saturating_sub(sent));
        }
    }
}

fn parse_send_time(data: &[u8]) -> Option<u64> {
    let chunk = serde_json::from_slice::<Value>(data).ok()?;
    chunk["choices"][0]["text"].as_str()?.parse().ok()
}

/// Builds the body of a request to an entry host.
pub(crate) fn entry_body(tokens: u32) -> Bytes {
    let body = json!({ "model": MODEL, "prompt": "measured", "max_tokens": tokens, "stream": true });
    Bytes::from(body.to_string())
}

/// Builds the body of a request to an engine.
pub(crate) fn engine_body(tokens: u32) -> Bytes {
    let generate = Generate {
        model: Model::new(MODEL).expect("a name"),
        version: Version::new(VERSION).expect("a name"),
        prompt: "measured".to_owned(),
        max_tokens: tokens,
        stream: true,
        request_id: RequestId::from_random(rand::random()),
        attempt: Attempt::first(0),
        priority: 5,
        temperature: None,
        resume_tokens: Vec::new(),
    };
    Bytes::from(serde_json::to_vec(&generate).expect("JSON"))
}

fn request(body: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = "/v1/completions".parse().expect("a path");
    let key = format!("Bearer {ACCOUNT_KEY}");
    let headers = request.headers_mut();
    headers.insert(HOST, HeaderValue::from_static("measured"));
    headers.insert(AUTHORIZATION, HeaderValue::from_str(&key).expect("a header value"));
    request
}
