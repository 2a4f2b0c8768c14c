//! Test deployments on loopback addresses, with daemon processes and in-process stand-ins.
#![allow(dead_code, reason = "every test file uses another part of the support")]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use hawthornpost_core::config::{Chunk, Document, Head, Proposal};
use hawthornpost_core::id::{Model, Version};
use hawthornpost_daemon::client;
use hawthornpost_standins::{Handle, engine, platform, service};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{AUTHORIZATION, HOST, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use jiff::Timestamp;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::net::TcpSocket;
use tokio::task::LocalSet;

/// The key of the account `crews`.
pub const ACCOUNT_KEY: &str = "key-of-the-crews-account";
/// The key of the account `letters`.
pub const OTHER_KEY: &str = "key-of-the-letters-account";
/// The key of the operators.
pub const OPERATOR_KEY: &str = "key-of-the-operators";
/// The key that all entry hosts of a test share.
pub const PEER_KEY: &str = "peer-key-of-the-tests";
/// The model that the engines of a test serve.
pub const MODEL: &str = "reports";

/// The timeout of one step of a test. A step that exceeds it counts as failed, even on a busy machine.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a test on a single-threaded runtime, like the daemon.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let limited = async {
        tokio::time::timeout(STEP_TIMEOUT * 2, test)
            .await
            .expect("the test ends in time");
    };
    LocalSet::new().block_on(&runtime, limited);
}

/// A separate range of loopback addresses for each deployment, so that tests do not share ports.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    prefix: [u8; 3],
}

impl Network {
    /// Allocates a range that no other test of this machine uses at the same time.
    pub fn new() -> Self {
        static NEXT: AtomicU8 = AtomicU8::new(0);
        let process = std::process::id();
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        // 127.0.0.0/24 is not used, because other programs may use it.
        Self {
            prefix: [
                127,
                1 + (process % 250) as u8,
                (process / 250 % 8) as u8 * 32 + number % 32,
            ],
        }
    }

    /// Returns an address of the range.
    pub fn address(self, host: u8, port: u16) -> SocketAddr {
        let [a, b, c] = self.prefix;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(a, b, c, host)), port)
    }

    /// Returns the address of the platform.
    pub fn platform(self) -> SocketAddr {
        self.address(1, 7001)
    }

    /// Returns the address of an engine.
    pub fn engine(self, index: u8) -> SocketAddr {
        self.address(20 + index, 8001)
    }

    /// Returns the address of an instance of the booking service.
    pub fn service(self, index: u8) -> SocketAddr {
        self.address(60 + index, 8101)
    }

    /// Returns the caller address of an entry host.
    pub fn entry(self, index: u8) -> SocketAddr {
        self.address(100 + index, 7101)
    }

    /// Returns the peer address of an entry host.
    pub fn peer(self, index: u8) -> SocketAddr {
        self.address(100 + index, 7201)
    }
}

/// Starts a platform that stores a configuration.
pub fn platform(network: Network, document: &Value) -> Handle {
    platform::start(network.platform(), platform_settings(document)).expect("the platform starts")
}

/// Returns the settings of a platform that stores a configuration.
pub fn platform_settings(document: &Value) -> platform::Settings {
    platform::Settings {
        objects: objects(document),
        ..platform::Settings::default()
    }
}

/// Builds the platform objects of a configuration: its chunks and its head.
pub fn objects(document: &Value) -> Vec<Value> {
    let document = serde_json::from_value::<Document>(document.clone()).expect("a document");
    let chunks = Chunk::split(&document).expect("chunks");
    let proposal = Proposal {
        chunks: chunks.iter().map(|chunk| chunk.hash).collect(),
        author: "test".to_owned(),
        at: Timestamp::UNIX_EPOCH,
        nonce: 0,
    };
    let mut head = Head::following(None, proposal.clone());
    while head.version < document.version {
        head = Head::following(Some(&head), proposal.clone());
    }
    let mut objects = chunks
        .iter()
        .map(|chunk| {
            json!({
                "plural": "configchunks",
                "metadata": { "name": chunk.hash.to_string() },
                "spec": { "text": chunk.text },
            })
        })
        .collect::<Vec<_>>();
    objects.push(json!({ "plural": "configheads", "metadata": { "name": "current" }, "spec": head }));
    objects
}

/// Starts an engine of version `version` that generates answers of `tokens` tokens, with `gap` between tokens.
pub fn engine(network: Network, index: u8, version: &str, tokens: u32, gap: Duration) -> Handle {
    let version = Version::new(version).expect("a version");
    let mut settings = engine::Settings::new(Model::new(MODEL).expect("a model"), version);
    settings.gap = gap;
    settings.min_answer = tokens;
    settings.max_answer = tokens;
    settings.seed = u64::from(index);
    engine::start(network.engine(index), settings).expect("the engine starts")
}

/// Starts an instance of the booking service.
pub fn booking(network: Network, index: u8) -> Handle {
    service::start(network.service(index), service::Settings::new("booking")).expect("the service starts")
}

/// Builds the configuration document of a test: `engines` engines of version v1 and one booking service.
pub fn document(network: Network, version: u64, engines: u8) -> Value {
    let mut inventory = serde_json::Map::new();
    for index in 0..engines {
        inventory.insert(format!("engine-{index}"), engine_item(network, index, "v1"));
    }
    inventory.insert(
        "booking-0".to_owned(),
        json!({
            "address": network.service(0),
            "data_centre": "dc0",
            "version": "v1",
            "role": { "role": "service", "service": "booking", "status_lookup": true },
        }),
    );
    json!({
        "version": version,
        "inventory": inventory,
        "rules": {
            "accounts": {
                "crews": { "key_hash": key_hash(ACCOUNT_KEY), "priority": 5, "share": 10 },
                "letters": { "key_hash": key_hash(OTHER_KEY), "priority": 5, "share": 10 },
            },
            "models": { MODEL: { "version": "v1", "max_tokens": 4000 } },
            "services": { "booking": { "timeout_ms": 5000 } },
            "rollouts": {},
        },
    })
}

/// Builds the inventory item of an engine.
pub fn engine_item(network: Network, index: u8, version: &str) -> Value {
    json!({
        "address": network.engine(index),
        "data_centre": format!("dc{}", index % 3),
        "version": version,
        "role": { "role": "engine", "model": MODEL, "capacity_tokens": 200_000, "fencing": "checked" },
    })
}

/// Returns the `blake3` hash of a key in hexadecimal digits.
pub fn key_hash(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// A daemon process, which is killed on drop.
#[derive(Debug)]
pub struct Daemon {
    /// The address for callers and operators.
    pub address: SocketAddr,
    child: Child,
    _directory: TempDir,
}

impl Daemon {
    /// Starts the entry host with this index. `peers` is the number of entry hosts of the deployment, and `extra` is
    /// appended to the settings.
    pub fn start(network: Network, index: u8, peers: u8, extra: &str) -> Self {
        Self::start_with_settings(network, index, &settings(network, index, peers, extra))
    }

    /// Starts the entry host with this index and the given settings.
    pub fn start_with_settings(network: Network, index: u8, settings: &str) -> Self {
        let directory = tempfile::tempdir().expect("a directory");
        let path = directory.path().join("hawthornpostd.ini");
        std::fs::write(&path, settings).expect("the settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_hawthornpostd"))
            .arg("--config")
            .arg(&path)
            .stdin(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        Self {
            address: network.entry(index),
            child,
            _directory: directory,
        }
    }

    /// Waits until the daemon reports that it is ready.
    pub async fn ready(&self) {
        wait_for("the daemon to be ready", async || {
            let answer = get(self.address, "/readyz", None).await;
            answer.is_ok_and(|(status, _)| status == StatusCode::OK)
        })
        .await;
    }

    /// Kills the process without a shutdown, like a host failure.
    pub fn kill(&mut self) {
        self.child.kill().expect("the daemon is killed");
        self.child.wait().expect("the daemon has ended");
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub fn shut_down(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Continues a paused process with SIGCONT.
    pub fn unpause(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Returns whether the process exited successfully, or `None` while it is running.
    pub fn exit_success(&mut self) -> Option<bool> {
        let status = self.child.try_wait().expect("the state of the daemon");
        status.map(|status| status.success())
    }

    /// Sends a GET request to an operator endpoint.
    pub async fn admin(&self, path: &str) -> Value {
        let (status, body) = get(self.address, path, Some(OPERATOR_KEY)).await.expect("an answer");
        assert_eq!(status, StatusCode::OK, "{}", String::from_utf8_lossy(&body));
        serde_json::from_slice(&body).expect("JSON")
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a pid");
        kill(Pid::from_raw(pid), signal).expect("the signal is sent");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have ended already.
        if self.child.kill().is_ok() {
            let _ = self.child.wait();
        }
    }
}

/// Returns the settings of an entry host.
pub fn settings(network: Network, index: u8, peers: u8, extra: &str) -> String {
    let seeds = (0..peers)
        .filter(|peer| *peer != index)
        .map(|peer| network.peer(peer).to_string());
    format!(
        "[entry]\nname = entry-{index}\ndata_centre = dc{}\nregion = test\nlisten = {}\n\
         [platform]\naddress = {}\npoll_ms = 200\n\
         [peers]\nlisten = {}\nseeds = {}\nkey = {PEER_KEY}\n\
         [operators]\nkey_hashes = {}\n\
         [room]\nspread_ms = 100\nsettle_ms = 300\nrise_ms = 300\n\
         [log]\nlevel = warn\n{extra}",
        index % 3,
        network.entry(index),
        network.platform(),
        network.peer(index),
        seeds.collect::<Vec<_>>().join(", "),
        key_hash(OPERATOR_KEY),
    )
}

/// Waits until a condition holds.
pub async fn wait_for(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let end = tokio::time::Instant::now() + STEP_TIMEOUT;
    while !condition().await {
        assert!(tokio::time::Instant::now() < end, "waited too long for {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Builds a caller's request.
pub fn request(method: Method, path: &str, key: Option<&str>, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    let mut request = client::request_with_body(method, path, body);
    if let Some(key) = key {
        let value = HeaderValue::from_str(&format!("Bearer {key}")).expect("a header value");
        request.headers_mut().insert(AUTHORIZATION, value);
    }
    request
}

/// Sends a request and reads the whole answer.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> hawthornpost_daemon::Result<(StatusCode, Bytes)> {
    let response = client::send(address, request).await?;
    let status = response.status();
    let body = response.into_body().collect().await.expect("a whole body");
    Ok((status, body.to_bytes()))
}

/// Sends a GET request.
pub async fn get(
    address: SocketAddr,
    path: &str,
    key: Option<&str>,
) -> hawthornpost_daemon::Result<(StatusCode, Bytes)> {
    send(address, request(Method::GET, path, key, Bytes::new())).await
}

/// Builds the body of a streamed generation.
pub fn completion(prompt: &str, max_tokens: u32) -> Bytes {
    let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": true });
    Bytes::from(body.to_string())
}

/// A client that reads a streamed answer.
#[derive(Debug)]
pub struct Caller {
    /// The text so far.
    pub text: String,
    /// The index of the last token.
    pub last: Option<u32>,
    /// The resume handle of the latest response.
    pub handle: Option<String>,
    /// Whether the answer is complete.
    pub done: bool,
    /// The error event, if one was received.
    pub error: Option<String>,
    body: Incoming,
    buffer: BytesMut,
}

impl Caller {
    /// Starts a generation.
    pub async fn start(address: SocketAddr, key: &str, prompt: &str, max_tokens: u32) -> Self {
        let request = request(
            Method::POST,
            "/v1/completions",
            Some(key),
            completion(prompt, max_tokens),
        );
        let response = client::send(address, request).await.expect("a response");
        assert_eq!(response.status(), StatusCode::OK);
        Self::new(response)
    }

    /// Starts a generation on a connection with a small receive buffer, so that slow reading reaches the daemon instead
    /// of filling the kernel's buffers.
    pub async fn start_slow(address: SocketAddr, key: &str, prompt: &str, max_tokens: u32) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(4096).expect("a small buffer");
        let stream = socket.connect(address).await.expect("a connection");
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.expect("a handshake");
        tokio::task::spawn_local(connection);
        let body = completion(prompt, max_tokens);
        let mut request = request(Method::POST, "/v1/completions", Some(key), body);
        let host = HeaderValue::from_str(&address.to_string()).expect("a header value");
        request.headers_mut().insert(HOST, host);
        let response = sender.send_request(request).await.expect("a response");
        assert_eq!(response.status(), StatusCode::OK);
        Self::new(response)
    }

    /// Resumes the answer at an entry host with the handle and the index of the last token.
    pub async fn resume(&mut self, address: SocketAddr, key: &str) -> StatusCode {
        let mut request = request(Method::POST, "/v1/completions/resume", Some(key), Bytes::new());
        let handle = self.handle.as_deref().expect("a handle");
        let headers = request.headers_mut();
        headers.insert(
            "hawthornpost-resume",
            HeaderValue::from_str(handle).expect("a header value"),
        );
        if let Some(last) = self.last {
            headers.insert("last-event-id", HeaderValue::from(last));
        }
        let Ok(response) = client::send(address, request).await else {
            return StatusCode::BAD_GATEWAY;
        };
        let status = response.status();
        if status == StatusCode::OK {
            let resumed = Self::new(response);
            self.handle = resumed.handle.or(self.handle.take());
            self.body = resumed.body;
            self.buffer = resumed.buffer;
        }
        status
    }

    /// Reads one event. Returns false at the end of the connection.
    pub async fn next(&mut self) -> bool {
        loop {
            if let Some(event) = self.take_event() {
                self.read_event(&event);
                return true;
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.buffer.extend_from_slice(data);
                    }
                }
                Some(Err(_)) | None => return false,
            }
        }
    }

    /// Reads until the answer has at least this many tokens.
    pub async fn read_tokens(&mut self, count: u32) {
        while self.last.is_none_or(|last| last + 1 < count) {
            assert!(self.next().await, "the stream ended after {:?}", self.last);
        }
    }

    /// Reads until the end of the connection.
    pub async fn read_all(&mut self) {
        while self.next().await {}
    }

    fn new(response: Response<Incoming>) -> Self {
        let handle = response.headers().get("hawthornpost-resume");
        Self {
            text: String::new(),
            last: None,
            handle: handle.map(|value| value.to_str().expect("a text").to_owned()),
            done: false,
            error: None,
            body: response.into_body(),
            buffer: BytesMut::new(),
        }
    }

    fn take_event(&mut self) -> Option<String> {
        let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
        let event = self.buffer.split_to(end);
        self.buffer.advance(2);
        Some(String::from_utf8(event.to_vec()).expect("UTF-8"))
    }

    fn read_event(&mut self, event: &str) {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
        let data = field("data:").unwrap_or_default();
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        if field("event:") == Some("error") {
            self.error = Some(data.to_owned());
            return;
        }
        let Some(index) = field("id:") else {
            return;
        };
        let index = index.parse().expect("an index");
        assert_eq!(
            index,
            self.last.map_or(0, |last| last + 1),
            "a token is missing or repeated"
        );
        let chunk = serde_json::from_str::<Value>(data).expect("JSON");
        self.text
            .push_str(chunk["choices"][0]["text"].as_str().expect("a text"));
        self.last = Some(index);
    }
}
