//! A client: sends a request on a connection of its own and reads the whole answer.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::http;

/// The host name of all routes.
pub const HOST: &str = "post.example";
/// The key of the only tenant.
pub const KEY: &str = "key-of-office";

pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// Sends a POST request.
pub fn post(gateway: SocketAddr, path: &str, id: &str, deadline: Duration, extra: &str) -> io::Result<Answer> {
    let body = b"text of a letter";
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Hawthornpost-Attempt-Id: {id}\r\nX-Hawthornpost-Deadline-Ms: {}\r\n\
         Authorization: Token {KEY}\r\n{extra}Content-Length: {}\r\n\r\n",
        deadline.as_millis(),
        body.len()
    );
    let mut stream = TcpStream::connect_timeout(&gateway, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(deadline))?;
    stream.write_all(&[head.as_bytes(), body].concat())?;
    read_answer(stream)
}

/// Sends a GET request to one of the system's own interfaces.
pub fn get(address: SocketAddr, path: &str) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n").as_bytes())?;
    read_answer(stream)
}

fn read_answer(stream: TcpStream) -> io::Result<Answer> {
    let mut reader = BufReader::new(stream);
    let (line, headers) = http::read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = line
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .ok_or(io::ErrorKind::InvalidData)?;
    let body = http::read_body(&mut reader, &headers, true)?;
    Ok(Answer { status, headers, body })
}
