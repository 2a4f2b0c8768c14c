//! A daemon in a separate process, with a stand-in platform that stores its configuration.

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use hawthornpost_core::config::{Chunk, Document, Head, Proposal};
use hawthornpost_standins::{Handle, platform};
use http_body_util::Empty;
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use jiff::Timestamp;
use procfs::process::Process;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::net::{TcpListener, TcpStream};

/// The key of the only account.
pub(crate) const ACCOUNT_KEY: &str = "key-of-the-measuring-account";
/// The model that the engine serves.
pub(crate) const MODEL: &str = "measured";
/// The version that the engine serves.
pub(crate) const VERSION: &str = "v1";

/// Interval between readiness checks of the daemon.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Resource usage of a process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    /// The processor time since its start.
    pub(crate) cpu: Duration,
    /// The resident memory now.
    pub(crate) resident_bytes: u64,
}

/// A running daemon; dropping the value kills the process.
#[derive(Debug)]
pub(crate) struct Daemon {
    address: SocketAddr,
    child: Child,
    _platform: Handle,
    _directory: TempDir,
}

impl Daemon {
    /// Starts a daemon with one engine in its inventory and waits until it is ready.
    pub(crate) async fn start(engine: SocketAddr) -> Self {
        let platform = platform::start(free_address().await, platform_settings(engine)).expect("a platform");
        let (address, peers) = (free_address().await, free_address().await);
        let directory = tempfile::tempdir().expect("a directory");
        let path = directory.path().join("hawthornpostd.ini");
        std::fs::write(&path, settings(address, peers, platform.address())).expect("settings");
        let program = std::env::current_exe().expect("a path").with_file_name("hawthornpostd");
        let child = Command::new(program)
            .arg("--config")
            .arg(&path)
            .stdin(Stdio::null())
            .spawn()
            .expect("hawthornpostd is built beside this program: cargo build --release");
        while !is_ready(address).await {
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Self {
            address,
            child,
            _platform: platform,
            _directory: directory,
        }
    }

    /// Returns the address for callers.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads the resource usage of the process.
    pub(crate) fn usage(&self) -> Usage {
        let pid = i32::try_from(self.child.id()).expect("a pid");
        let stat = Process::new(pid)
            .and_then(|process| process.stat())
            .expect("statistics");
        let ticks = (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64;
        Usage {
            cpu: Duration::from_secs_f64(ticks),
            resident_bytes: stat.rss * procfs::page_size(),
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if self.child.kill().is_ok() {
            let _ = self.child.wait();
        }
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(address).await else {
        return false;
    };
    let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return false;
    };
    tokio::spawn(connection);
    let mut request = Request::new(Empty::<Bytes>::new());
    *request.uri_mut() = "/readyz".parse().expect("a path");
    let response = sender.send_request(request).await;
    response.is_ok_and(|response| response.status().is_success())
}

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("an address")
}

fn platform_settings(engine: SocketAddr) -> platform::Settings {
    let document = serde_json::from_value::<Document>(document(engine)).expect("a document");
    platform::Settings {
        objects: config_objects(&document),
        ..platform::Settings::default()
    }
}

/// Builds the platform's objects for the first version of a configuration.
pub(crate) fn config_objects(document: &Document) -> Vec<Value> {
    let chunks = Chunk::split(document).expect("chunks");
    let proposal = Proposal {
        chunks: chunks.iter().map(|chunk| chunk.hash).collect(),
        author: "lab".to_owned(),
        at: Timestamp::UNIX_EPOCH,
        nonce: 0,
    };
    let head = Head::following(None, proposal);
    let chunk_object = |chunk: &Chunk| {
        json!({
            "plural": "configchunks",
            "metadata": { "name": chunk.hash.to_string() },
            "spec": { "text": chunk.text },
        })
    };
    let mut objects = chunks.iter().map(chunk_object).collect::<Vec<_>>();
    objects.push(json!({ "plural": "configheads", "metadata": { "name": "current" }, "spec": head }));
    objects
}

fn document(engine: SocketAddr) -> Value {
    json!({
        "version": 1,
        "inventory": {
            "engine": {
                "address": engine,
                "data_centre": "here",
                "version": VERSION,
                "role": { "role": "engine", "model": MODEL, "capacity_tokens": 100_000_000, "fencing": "checked" },
            },
        },
        "rules": {
            "accounts": {
                "measuring": {
                    "key_hash": blake3::hash(ACCOUNT_KEY.as_bytes()).to_hex().to_string(),
                    "priority": 5,
                    "share": 10,
                },
            },
            "models": { MODEL: { "version": VERSION, "max_tokens": 1_000_000 } },
            "services": {},
            "rollouts": {},
        },
    })
}

fn settings(address: SocketAddr, peers: SocketAddr, platform: SocketAddr) -> String {
    format!(
        "[entry]\nname = measured\ndata_centre = here\nregion = here\nlisten = {address}\n\
         [platform]\naddress = {platform}\n\
         [peers]\nlisten = {peers}\nkey = peer-key-of-the-measurement\n\
         [operators]\n[log]\nlevel = warn\n"
    )
}
