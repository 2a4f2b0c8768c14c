//! HTTP/1.1 over blocking sockets, for the stand-ins and the callers of the scripts.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The headers of a message, in order.
pub type Headers = Vec<(String, String)>;

/// A request that a server has read.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// A response that a caller has read completely.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// Returns the first header with a name.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let mut named = headers.iter().filter(|(other, _)| other.eq_ignore_ascii_case(name));
    named.next().map(|(_, value)| value.as_str())
}

/// Reads a request; `None` when the connection ended before its first byte.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((line, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let (method, path) = (method.to_owned(), path.to_owned());
    let body = if header(&headers, "transfer-encoding").is_some() {
        read_chunks(reader)?
    } else {
        read_exactly(reader, content_length(&headers).unwrap_or(0))?
    };
    Ok(Some(Request {
        method,
        path,
        headers,
        body,
    }))
}

/// Writes a response with a length.
pub fn write_response(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// A caller's connection, which is kept between requests.
#[derive(Debug)]
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Opens a connection on which each read waits for `timeout` at most.
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and reads the complete response.
    pub fn send(&mut self, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<Response> {
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() || method == "POST" {
            head.push_str(&format!("content-length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.reader.get_mut().write_all(&bytes)?;
        self.read_response()
    }

    fn read_response(&mut self) -> io::Result<Response> {
        let Some((line, headers)) = read_head(&mut self.reader)? else {
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "closed without an answer"));
        };
        let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
        let status = status.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "no status"))?;
        let body = if header(&headers, "transfer-encoding").is_some() {
            read_chunks(&mut self.reader)?
        } else if let Some(length) = content_length(&headers) {
            read_exactly(&mut self.reader, length)?
        } else {
            let mut body = Vec::new();
            self.reader.read_to_end(&mut body)?;
            body
        };
        Ok(Response { status, headers, body })
    }
}

/// Makes a call on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    timeout: Duration,
) -> io::Result<Response> {
    Connection::open(address, timeout)?.send(method, path, headers, &[])
}

fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<(String, Headers)>> {
    let line = read_line(reader)?;
    if line.is_empty() {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let header = read_line(reader)?;
        if header.is_empty() {
            return Ok(Some((line, headers)));
        }
        if let Some((name, value)) = header.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
}

fn content_length(headers: &Headers) -> Option<usize> {
    header(headers, "content-length")?.parse().ok()
}

fn read_exactly(reader: &mut BufReader<TcpStream>, length: usize) -> io::Result<Vec<u8>> {
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_chunks(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(reader)?;
        let length = usize::from_str_radix(line.split(';').next().unwrap_or_default(), 16);
        let length = length.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        body.extend(read_exactly(reader, length)?);
        read_line(reader)?;
        if length == 0 {
            return Ok(body);
        }
    }
}
