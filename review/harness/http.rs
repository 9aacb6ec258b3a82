//! The parts of HTTP/1.1 that the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response that was read.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Names, in lowercase, and values of the headers.
    pub headers: Vec<(String, String)>,
    /// Body as far as it arrived.
    pub body: Vec<u8>,
    /// Whether the body arrived completely.
    pub whole: bool,
}

impl Message {
    /// Returns the value of the first header with this name, in lowercase.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response; 0 if it is malformed.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    /// Connects within a second, as clients of the platform do.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?))
    }

    /// Reads the next message. Returns `None` at the end of the connection.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let head_end = loop {
            if let Some(at) = find(&self.buf, b"\r\n\r\n") {
                break at;
            }
            if !self.fill()? {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..head_end]).into_owned();
        self.buf.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let mut message =
            Message { start: lines.next().unwrap_or_default().to_owned(), ..Message::default() };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        message.whole = if message.header("transfer-encoding").is_some() {
            self.read_chunks(&mut message.body)?
        } else {
            let length =
                message.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
            self.read_length(length, &mut message.body)?
        };
        Ok(Some(message))
    }

    fn read_length(&mut self, length: usize, body: &mut Vec<u8>) -> io::Result<bool> {
        while self.buf.len() < length {
            if !matches!(self.fill(), Ok(true)) {
                body.append(&mut self.buf);
                return Ok(false);
            }
        }
        body.extend(self.buf.drain(..length));
        Ok(true)
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let line_end = loop {
                if let Some(at) = find(&self.buf, b"\r\n") {
                    break at;
                }
                if !matches!(self.fill(), Ok(true)) {
                    return Ok(false);
                }
            };
            let size = String::from_utf8_lossy(&self.buf[..line_end]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            self.buf.drain(..line_end + 2);
            if !self.read_length(size, body)? {
                return Ok(false);
            }
            let mut end = Vec::new();
            if !self.read_length(2, &mut end)? {
                return Ok(false);
            }
            if size == 0 {
                return Ok(true);
            }
        }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buf.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|it| it == needle)
}

/// Sends a request on a new connection and reads the response, which may be incomplete. `None` if no response began
/// within `limit`.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Option<Message> {
    let started = Instant::now();
    let mut connection = Connection::open(address).ok()?;
    let left = limit.checked_sub(started.elapsed())?;
    connection.stream.set_read_timeout(Some(left)).ok()?;
    connection.write(request).ok()?;
    connection.read().ok().flatten()
}

/// Formats a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text
}
