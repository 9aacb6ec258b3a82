//! One connection of a client.

use std::time::Duration;

use actix_http::h1::{Codec, Message, MessageType};
use actix_http::{ServiceConfig, StatusCode};
use bytes::{Bytes, BytesMut};
use daisychute_dispatch::ClientLimits;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::codec::Decoder;

use crate::Dialect;
use crate::client::fingerprint::fingerprint;
use crate::client::incoming::Incoming;
use crate::shutdown::ShutdownState;

/// Buffer space reserved for each read from the socket, in bytes: fits the head of a request.
const READ_BYTES: usize = 4 * 1024;
/// Maximum number of bytes buffered from a client that pipelines requests during a response.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;
/// Interval at which the connection of a client with a full buffer is checked.
const FULL_BUFFER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long unread bytes are drained after the last response: closing a socket with unread bytes resets the connection,
/// and the client may lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which an idle connection that is to be closed is still read: a request may have arrived that no task has read
/// yet.
const LAST_READ_TIME: Duration = Duration::from_millis(5);

/// Why no request could be read from a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// The connection was closed, or was idle for longer than the configured timeout.
    Closed,
    /// The request is refused with this status and reason, and the connection is closed.
    Refused(StatusCode, &'static str),
}

/// A client's connection with its codec and the bytes read ahead.
pub(crate) struct ClientConnection {
    pub(crate) stream: TcpStream,
    pub(crate) codec: Codec,
    pub(crate) buf: BytesMut,
}

impl ClientConnection {
    pub(crate) fn new(stream: TcpStream, http: &ServiceConfig) -> Self {
        Self { stream, codec: Codec::new(http.clone()), buf: BytesMut::new() }
    }

    /// Reads the next request with its complete body.
    pub(crate) async fn read_request(
        &mut self,
        dialect: &impl Dialect,
        limits: &ClientLimits,
        shutdown: &ShutdownState,
    ) -> Result<Incoming, ReadError> {
        if self.buf.is_empty() {
            self.wait_for_request(limits, shutdown).await?;
        }
        let head = self.read_head(limits).await?;
        if head.expect() {
            self.write_continue().await?;
        }
        let body = self.read_body(limits).await?;
        let mut info = dialect.parse_request(&head);
        info.fingerprint = Some(fingerprint(&head, &info, dialect.caller(&head), &body));
        Ok(Incoming { head, body, info })
    }

    /// Waits for the first byte of a request, up to the idle timeout or until the front closes idle connections. A request
    /// that has arrived by then is still read.
    async fn wait_for_request(
        &mut self,
        limits: &ClientLimits,
        shutdown: &ShutdownState,
    ) -> Result<(), ReadError> {
        let read = tokio::select! {
            read = timeout(limits.idle_timeout, self.read_more()) => read,
            () = shutdown.wait_closing() => timeout(LAST_READ_TIME, self.read_more()).await,
        };
        read.map_err(|_| ReadError::Closed)?
    }

    async fn read_head(
        &mut self,
        limits: &ClientLimits,
    ) -> Result<actix_http::Message<actix_http::RequestHead>, ReadError> {
        let deadline = Instant::now() + limits.head_timeout;
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
                    let too_slow = ReadError::Refused(StatusCode::REQUEST_TIMEOUT, "slow_head");
                    timeout_at(deadline, self.read_more()).await.map_err(|_| too_slow)??;
                }
            }
        }
    }

    async fn read_body(&mut self, limits: &ClientLimits) -> Result<Bytes, ReadError> {
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
                    let too_slow = ReadError::Refused(StatusCode::REQUEST_TIMEOUT, "slow_body");
                    timeout(limits.idle_timeout, self.read_more())
                        .await
                        .map_err(|_| too_slow)??;
                }
            }
        }
    }

    async fn write_continue(&mut self) -> Result<(), ReadError> {
        let written = self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        written.map_err(|_| ReadError::Closed)
    }

    async fn read_more(&mut self) -> Result<(), ReadError> {
        self.buf.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.buf).await {
            Ok(0) | Err(_) => Err(ReadError::Closed),
            Ok(_) => Ok(()),
        }
    }

    /// Closes the connection in a way that lets the client read the last response.
    pub(crate) async fn close(mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let mut sink = [0; 1024];
        let drain = async { while matches!(self.stream.read(&mut sink).await, Ok(1..)) {} };
        // A client that keeps its side open is dropped after the time limit.
        let _ = timeout(LINGER_TIMEOUT, drain).await;
    }
}

/// Returns when the client has closed its connection. Bytes that it sends meanwhile are buffered; once the buffer is
/// full, the rest stays in the socket and the connection is checked from time to time.
pub(crate) async fn client_disconnected(read: &mut ReadHalf<'_>, buf: &mut BytesMut) {
    while buf.len() < MAX_PIPELINED_BYTES {
        buf.reserve(READ_BYTES);
        if !matches!(read.read_buf(buf).await, Ok(1..)) {
            return;
        }
    }
    loop {
        match read.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => sleep(FULL_BUFFER_CHECK_INTERVAL).await,
            _ => return,
        }
    }
}
