//! HTTP/1.1 messages on blocking connections.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or response that was read completely.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Path of a request, without its query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Parameter of a request's query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        query.split('&').filter_map(|it| it.split_once('=')).find(|it| it.0 == name).map(|it| it.1)
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from one connection.
pub struct Reader {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buf: Vec::new() }
    }

    /// Reads the next message; `None` if the connection ends before.
    pub fn read_message(&mut self) -> Option<Message> {
        let end = loop {
            if let Some(end) = find(&self.buf, b"\r\n\r\n") {
                break end;
            }
            self.read_more()?;
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next()?.to_owned();
        let headers = lines.filter_map(|it| it.split_once(':'));
        let headers: Vec<_> = headers
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message { start, headers, body: Vec::new() };
        if message.header("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    break;
                }
                let bytes = self.take(size)?;
                message.body.extend(bytes);
                self.line()?;
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().ok()?;
            message.body = self.take(length)?;
        }
        Some(message)
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = find(&self.buf, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Some(line);
            }
            self.read_more()?;
        }
    }

    fn take(&mut self, size: usize) -> Option<Vec<u8>> {
        while self.buf.len() < size {
            self.read_more()?;
        }
        Some(self.buf.drain(..size).collect())
    }

    fn read_more(&mut self) -> Option<()> {
        let mut chunk = [0; 8192];
        match self.stream.read(&mut chunk) {
            Ok(count @ 1..) => {
                self.buf.extend_from_slice(&chunk[..count]);
                Some(())
            }
            _ => None,
        }
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|it| it == pattern)
}

/// Formats a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text + "\r\n" + body
}

/// Sends a request on a new connection and reads the response.
pub fn call(address: SocketAddr, request: &str, limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request.as_bytes())?;
    Reader::new(stream).read_message().ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
