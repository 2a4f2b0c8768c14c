//! Runs the command line as a process, and mock entry hosts with scripted responses.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Output, Stdio};
use std::sync::Arc;
use std::thread;

/// A request as received by a mock entry host.
#[derive(Debug)]
pub struct Call {
    /// Method and path, in lower case.
    pub line: String,
    /// The request line and the headers, in lower case.
    pub head: String,
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
    // A command that reads no input may have exited already, so a broken pipe is expected.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

/// Runs the command line with the address of an entry host.
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

/// Starts a mock entry host; `respond` returns the status, a header line and the body of each response.
pub fn mock_entry(respond: impl Fn(&Call) -> (u16, String, String) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let respond = Arc::new(respond);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let respond = Arc::clone(&respond);
            thread::spawn(move || serve(stream.unwrap(), &*respond));
        }
    });
    address
}

fn serve(mut stream: TcpStream, respond: &dyn Fn(&Call) -> (u16, String, String)) {
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
    let (status, header, text) = respond(&Call { line, head, body });
    let _ = write!(stream, "HTTP/1.1 {status} X\r\nConnection: close\r\n{header}\r\n{text}");
}

/// Returns a response with a JSON body.
pub fn json(status: u16, body: &serde_json::Value) -> (u16, String, String) {
    (status, String::new(), body.to_string())
}
