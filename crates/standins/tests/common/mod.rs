//! A minimal HTTP client.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

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
/// Ends a test that hangs; no test depends on the exact time.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async { tokio::time::timeout(TEST_TIMEOUT, test).await.expect("test timed out") });
}

pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> hyper::Result<Response<Incoming>> {
    let stream = TcpStream::connect(address)
        .await
        .expect("the stand-in accepts connections");
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

pub async fn send_json(address: SocketAddr, method: &str, path: &str, body: &Value) -> hyper::Result<(u16, Value)> {
    let text = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    let response = send(address, method, path, &[], text).await?;
    let status = response.status().as_u16();
    let bytes = response.into_body().collect().await?.to_bytes();
    Ok((status, serde_json::from_slice(&bytes).unwrap_or_default()))
}

/// Splits a streamed body into lines.
pub struct Lines {
    body: Incoming,
    buffer: String,
}

impl Lines {
    pub fn new(response: Response<Incoming>) -> Self {
        let (body, buffer) = (response.into_body(), String::new());
        Self { body, buffer }
    }

    /// Returns the next non-empty line, or `None` at the end of the body or when the connection fails.
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
