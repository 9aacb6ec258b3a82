//! A client connection without an HTTP library, for sending arbitrary bytes.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a response, or the end of the connection, may take.
const TIMEOUT: Duration = Duration::from_secs(10);
const HEAD_END: &str = "\r\n\r\n";

/// A TCP connection that sends arbitrary bytes.
#[derive(Debug)]
pub(crate) struct Raw {
    stream: TcpStream,
}

/// Everything received on a connection.
#[derive(Debug)]
pub(crate) struct Reply {
    /// The received bytes as text.
    pub(crate) text: String,
}

impl Raw {
    pub(crate) async fn open(addr: SocketAddr) -> Self {
        Self { stream: TcpStream::connect(addr).await.expect("the listener accepts") }
    }

    pub(crate) async fn send(&mut self, bytes: &[u8]) {
        // The listener may have closed before it read everything.
        let _ = self.stream.write_all(bytes).await;
    }

    /// Reads until the listener closes the connection, or a response with a content length is complete.
    pub(crate) async fn reply(&mut self) -> Reply {
        let reply = timeout(TIMEOUT, self.read(true)).await;
        reply.expect("a response or the end of the connection in time")
    }

    /// Reads until the listener closes the connection.
    pub(crate) async fn reply_and_close(&mut self) -> Reply {
        timeout(TIMEOUT, self.read(false)).await.expect("the end of the connection in time")
    }

    /// Reads at most one byte without waiting: `Some(0)` if the listener has closed, `None` if nothing has arrived.
    pub(crate) fn received(&mut self) -> Option<usize> {
        self.stream.try_read(&mut [0]).ok()
    }

    async fn read(&mut self, until_complete: bool) -> Reply {
        let mut buf = Vec::new();
        loop {
            let text = String::from_utf8_lossy(&buf).into_owned();
            if until_complete && is_complete(&text) {
                return Reply { text };
            }
            match self.stream.read_buf(&mut buf).await {
                Ok(0) | Err(_) => {
                    return Reply { text: String::from_utf8_lossy(&buf).into_owned() };
                }
                Ok(_) => {}
            }
        }
    }
}

fn is_complete(text: &str) -> bool {
    let Some((head, body)) = text.split_once(HEAD_END) else { return false };
    header(head, "content-length").and_then(|it| it.parse().ok()) == Some(body.len())
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

impl Reply {
    /// The HTTP status; `None` if there was no response.
    pub(crate) fn status(&self) -> Option<u16> {
        self.text.split_whitespace().nth(1)?.parse().ok()
    }

    /// The value of a header; `None` if it is missing.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        header(self.text.split_once(HEAD_END)?.0, name)
    }

    /// The `error` object in the JSON body; `None` if the body isn't JSON.
    pub(crate) fn error(&self) -> Option<Value> {
        let (_, body) = self.text.split_once(HEAD_END)?;
        let mut body: Value = serde_json::from_str(body).ok()?;
        Some(body["error"].take())
    }
}
