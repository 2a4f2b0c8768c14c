//! A small HTTP client.

#![allow(dead_code, reason = "each test file uses a part of the client")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

pub const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Only ends a test that hangs; no test measures with it.
const LIMIT: Duration = Duration::from_secs(20);

pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async { tokio::time::timeout(LIMIT, test).await.expect("the test hangs") });
}

pub async fn open(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> hyper::Result<Response<Incoming>> {
    let stream = TcpStream::connect(address).await.expect("the stand-in listens");
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let mut request = Request::builder().method(method).uri(path).header("host", "test");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    sender
        .send_request(request.body(Full::new(Bytes::from(body))).unwrap())
        .await
}

pub async fn call(address: SocketAddr, method: &str, path: &str, body: &Value) -> hyper::Result<(u16, Value)> {
    let text = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    let answer = open(address, method, path, &[], text).await?;
    let status = answer.status().as_u16();
    let bytes = answer.into_body().collect().await?.to_bytes();
    Ok((status, serde_json::from_slice(&bytes).unwrap_or_default()))
}

/// Lines of a body that arrives in pieces.
pub struct Lines {
    body: Incoming,
    buffer: String,
}

impl Lines {
    pub fn new(answer: Response<Incoming>) -> Self {
        let (body, buffer) = (answer.into_body(), String::new());
        Self { body, buffer }
    }

    /// Returns the next line that is not empty, or nothing at the end or when the connection breaks.
    pub async fn next(&mut self) -> Option<String> {
        loop {
            if let Some((line, rest)) = self.buffer.split_once('\n') {
                let line = line.to_owned();
                self.buffer = String::from(rest);
                if !line.is_empty() {
                    return Some(line);
                }
                continue;
            }
            let frame = self.body.frame().await?.ok()?;
            self.buffer
                .push_str(std::str::from_utf8(&frame.into_data().ok()?).unwrap());
        }
    }
}
