//! The command line as a process, and entry hosts that answer from a script.
#![allow(dead_code, reason = "each test file uses another part")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Output, Stdio};
use std::sync::Arc;
use std::thread;

/// A request as the script sees it.
#[derive(Debug)]
pub struct Call {
    /// Method and path.
    pub line: String,
    /// The head in lower case.
    pub head: String,
    /// The body.
    pub body: String,
}

/// Runs the command line with arguments and standard input.
pub fn run(arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_hawthornpost"))
        .args(arguments)
        .env_remove("HAWTHORNPOST_ENTRIES")
        .env("HAWTHORNPOST_KEY", "key-of-the-operators")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // A verb that reads no input may have ended already.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

/// Runs the command line against an entry host.
pub fn run_at(entry: SocketAddr, arguments: &[&str]) -> Output {
    let entry = entry.to_string();
    run(&[&["--entry", &entry, "--timeout", "5"], arguments].concat(), "")
}

pub fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

pub fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// Starts an entry host; the script returns the status, a header line and the body of each answer.
pub fn entry(script: impl Fn(&Call) -> (u16, String, String) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let script = Arc::new(script);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let script = Arc::clone(&script);
            thread::spawn(move || answer(stream.unwrap(), &*script));
        }
    });
    address
}

fn answer(mut stream: TcpStream, script: &dyn Fn(&Call) -> (u16, String, String)) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let (mut head, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        let lower = line.to_lowercase();
        if let Some(value) = lower.strip_prefix("content-length: ") {
            length = value.parse().unwrap();
        }
        head = head + &lower + "\n";
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    let line = head.lines().next().unwrap().replace(" http/1.1", "");
    let body = String::from_utf8(body).unwrap();
    let (status, header, text) = script(&Call { line, head, body });
    let _ = write!(stream, "HTTP/1.1 {status} X\r\nConnection: close\r\n{header}\r\n{text}");
}

/// Answers with a status and a JSON body.
pub fn json(status: u16, body: &serde_json::Value) -> (u16, String, String) {
    (status, String::new(), body.to_string())
}
