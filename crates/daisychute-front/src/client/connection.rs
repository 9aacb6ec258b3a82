//! One connection of a caller.

use std::time::Duration;

use actix_http::h1::{Codec, Message, MessageType};
use actix_http::{ServiceConfig, StatusCode};
use bytes::{Bytes, BytesMut};
use daisychute_dispatch::ClientLimits;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::codec::Decoder;

use crate::Dialect;
use crate::client::incoming::Incoming;
use crate::stop::Stop;

/// Read at once from a socket, in bytes: the head of a request fits.
const READ: usize = 4 * 1024;
/// A caller may send this much ahead of the answer to its request.
const MOST_AHEAD: usize = 64 * 1024;
/// Unread bytes are drained for so long after the last answer: closing before resets the connection, and the answer
/// with it.
const LINGER: Duration = Duration::from_millis(500);

/// A request that can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// The connection has ended, or was idle for too long.
    Closed,
    /// The request is refused with this status, and the connection ends.
    Refused(StatusCode, &'static str),
}

/// A caller's connection with what was read ahead.
pub(crate) struct ClientConnection {
    pub(crate) stream: TcpStream,
    pub(crate) codec: Codec,
    pub(crate) buf: BytesMut,
}

impl ClientConnection {
    pub(crate) fn new(stream: TcpStream, http: &ServiceConfig) -> Self {
        Self { stream, codec: Codec::new(http.clone()), buf: BytesMut::new() }
    }

    /// Reads the next request in whole.
    pub(crate) async fn next(
        &mut self,
        dialect: &impl Dialect,
        limits: &ClientLimits,
        stop: &Stop,
    ) -> Result<Incoming, ReadError> {
        if self.buf.is_empty() {
            self.wait(limits, stop).await?;
        }
        let head = self.head(limits).await?;
        if head.expect() {
            self.write_continue().await?;
        }
        let body = self.body(limits).await?;
        let info = dialect.parse_request(&head);
        Ok(Incoming { head, body, info })
    }

    /// Waits for the first byte of a request.
    async fn wait(&mut self, limits: &ClientLimits, stop: &Stop) -> Result<(), ReadError> {
        tokio::select! {
            read = timeout(limits.idle_timeout, self.fill()) => read.map_err(|_| ReadError::Closed)?,
            () = stop.idle_closed() => Err(ReadError::Closed),
        }
    }

    async fn head(
        &mut self,
        limits: &ClientLimits,
    ) -> Result<actix_http::Message<actix_http::RequestHead>, ReadError> {
        let until = Instant::now() + limits.head_timeout;
        let too_large =
            ReadError::Refused(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_large");
        loop {
            let before = self.buf.len();
            match self.codec.decode(&mut self.buf) {
                Ok(Some(Message::Item(req))) => {
                    if before - self.buf.len() > limits.head_bytes {
                        return Err(too_large);
                    }
                    if self.codec.message_type() == MessageType::Stream {
                        return Err(ReadError::Refused(StatusCode::BAD_REQUEST, "upgrade"));
                    }
                    return Ok(req.into_parts().0);
                }
                Ok(Some(Message::Chunk(_))) | Err(_) => {
                    return Err(ReadError::Refused(StatusCode::BAD_REQUEST, "malformed"));
                }
                Ok(None) if before > limits.head_bytes => return Err(too_large),
                Ok(None) => {
                    let slow = ReadError::Refused(StatusCode::REQUEST_TIMEOUT, "slow_head");
                    timeout_at(until, self.fill()).await.map_err(|_| slow)??;
                }
            }
        }
    }

    async fn body(&mut self, limits: &ClientLimits) -> Result<Bytes, ReadError> {
        if self.codec.message_type() == MessageType::None {
            return Ok(Bytes::new());
        }
        let mut body = BytesMut::new();
        loop {
            match self.codec.decode(&mut self.buf) {
                Ok(Some(Message::Chunk(Some(bytes)))) => {
                    if body.len() + bytes.len() > limits.body_bytes {
                        let status = StatusCode::PAYLOAD_TOO_LARGE;
                        return Err(ReadError::Refused(status, "body_too_large"));
                    }
                    body.extend_from_slice(&bytes);
                }
                Ok(Some(Message::Chunk(None))) => return Ok(body.freeze()),
                Ok(Some(Message::Item(_))) | Err(_) => {
                    return Err(ReadError::Refused(StatusCode::BAD_REQUEST, "malformed"));
                }
                Ok(None) => {
                    let slow = ReadError::Refused(StatusCode::REQUEST_TIMEOUT, "slow_body");
                    timeout(limits.idle_timeout, self.fill()).await.map_err(|_| slow)??;
                }
            }
        }
    }

    async fn write_continue(&mut self) -> Result<(), ReadError> {
        let written = self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        written.map_err(|_| ReadError::Closed)
    }

    async fn fill(&mut self) -> Result<(), ReadError> {
        self.buf.reserve(READ);
        match self.stream.read_buf(&mut self.buf).await {
            Ok(0) | Err(_) => Err(ReadError::Closed),
            Ok(_) => Ok(()),
        }
    }

    /// Ends the connection so that the last answer still arrives.
    pub(crate) async fn end(mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let mut sink = [0; 1024];
        let drain = async { while matches!(self.stream.read(&mut sink).await, Ok(1..)) {} };
        // A caller that keeps its side open is left after the limit.
        let _ = timeout(LINGER, drain).await;
    }
}

/// Returns when the caller has closed its connection. What it sends ahead is kept.
pub(crate) async fn left(read: &mut ReadHalf<'_>, buf: &mut BytesMut) {
    while buf.len() < MOST_AHEAD {
        buf.reserve(READ);
        if !matches!(read.read_buf(buf).await, Ok(1..)) {
            return;
        }
    }
    std::future::pending().await
}
