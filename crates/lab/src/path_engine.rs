//! A stand-in engine that writes the send time into each token.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hawthornpost_core::wire::{Finish, Frame, Generate, Token};
use http_body_util::BodyExt;
use http_body_util::channel::{Channel, Sender};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

/// Maximum number of events buffered ahead of the connection.
const MAX_QUEUED_EVENTS: usize = 16;

/// Returns the microseconds since the first call in this process.
pub(crate) fn now_micros() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    u64::try_from(START.get_or_init(Instant::now).elapsed().as_micros()).unwrap_or(u64::MAX)
}

/// Starts an engine on a free loopback port; it runs until the process ends.
pub(crate) async fn start(tokens: u32, gap: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, tokens, gap));
        }
    });
    address
}

async fn serve(stream: TcpStream, tokens: u32, gap: Duration) {
    stream.set_nodelay(true).expect("TCP_NODELAY");
    let service = service_fn(move |request| respond(request, tokens, gap));
    // An error means that the caller closed the connection.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn respond(
    request: Request<Incoming>,
    tokens: u32,
    gap: Duration,
) -> Result<Response<Channel<Bytes, Infallible>>, Infallible> {
    let (mut sender, body) = Channel::new(MAX_QUEUED_EVENTS);
    let is_generation = request.uri().path() == "/v1/completions";
    let request = request
        .into_body()
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes);
    if let (true, Ok(request)) = (is_generation, request) {
        let generate = serde_json::from_slice(&request).expect("a generation");
        tokio::spawn(async move {
            generate_tokens(&mut sender, &generate, tokens, gap).await;
        });
    }
    Ok(Response::new(body))
}

async fn generate_tokens(sender: &mut Sender<Bytes, Infallible>, generate: &Generate, tokens: u32, gap: Duration) {
    for index in 0..tokens {
        if !gap.is_zero() {
            tokio::time::sleep(gap).await;
        }
        let finish = (index + 1 == tokens).then_some(Finish::Length);
        let frame = Frame {
            id: generate.request_id,
            attempt: generate.attempt,
            version: generate.version.clone(),
            first: index,
            tokens: vec![Token {
                id: index,
                text: now_micros().to_string(),
            }],
            finish,
        };
        let data = serde_json::to_string(&frame).expect("JSON");
        let end = if finish.is_some() { "data: [DONE]\n\n" } else { "" };
        let event = format!("id: {index}\ndata: {data}\n\n{end}");
        if sender.send_data(Bytes::from(event)).await.is_err() {
            return;
        }
    }
}
