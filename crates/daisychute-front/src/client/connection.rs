//! One connection of a client.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::h1::{Codec, Message, MessageType};
use actix_http::{RequestHead, ServiceConfig, StatusCode, header};
use bytes::{Bytes, BytesMut};
use daisychute_dispatch::{ClientLimits, RequestInfo};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::codec::Decoder;

use crate::Dialect;
use crate::client::body_room::{BodyMemory, BodyRoom, NoRoom};
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
pub(crate) const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time for which a body waits for memory before its request is refused.
const MAX_BODY_WAIT: Duration = Duration::from_secs(2);
/// A body waits for the client's timeout divided by this at most, so that the rest is left to serve or repeat the request.
const BODY_WAIT_DIVISOR: u32 = 4;

/// Time for which an idle connection that is to be closed is still read: a request may have arrived that no task has read
/// yet.
const LAST_READ_TIME: Duration = Duration::from_millis(5);

/// Why no request could be read from a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// The connection was closed, or was idle for longer than the configured timeout.
    Closed,
    /// The request is refused with this status and reason, and the connection is closed.
    Refused(StatusCode, &'static str),
    /// There is no memory for the body of the request with this id, the rest of which is unread. Holds the time for
    /// which it waited.
    NoMemory(Arc<str>, Duration),
}

/// Why no body could be read.
enum BodyError {
    NoRoom,
    Read(ReadError),
}

impl From<NoRoom> for BodyError {
    fn from(NoRoom: NoRoom) -> Self {
        Self::NoRoom
    }
}

impl From<ReadError> for BodyError {
    fn from(error: ReadError) -> Self {
        Self::Read(error)
    }
}

/// The memory for the bodies of all requests, and how many bytes they may take of it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyLimit<'a> {
    pub(crate) memory: &'a Rc<BodyMemory>,
    pub(crate) bytes: usize,
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
        bodies: BodyLimit<'_>,
    ) -> Result<Incoming, ReadError> {
        if self.buf.is_empty() {
            self.wait_for_request(limits, shutdown).await?;
        }
        let head = self.read_head(limits).await?;
        let mut info = dialect.parse_request(&head);
        let mut room = bodies.memory.room(bodies.bytes, max_body_wait(&info));
        let body = self.read_body(limits, &head, &mut room).await.map_err(|error| match error {
            BodyError::NoRoom => ReadError::NoMemory(Arc::clone(&info.id), room.waited()),
            BodyError::Read(error) => error,
        })?;
        // The client waits for its response all the while.
        info.client_timeout = info.client_timeout.map(|it| it.saturating_sub(room.waited()));
        info.fingerprint = Some(fingerprint(&head, &info, dialect.caller(&head), &body));
        Ok(Incoming { head, body, info, _room: room })
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
    ) -> Result<actix_http::Message<RequestHead>, ReadError> {
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

    /// Reads the body into memory that `room` reserves: at once as far as the length is known, else as the body grows.
    async fn read_body(
        &mut self,
        limits: &ClientLimits,
        head: &RequestHead,
        room: &mut BodyRoom,
    ) -> Result<Bytes, BodyError> {
        let has_body = self.codec.message_type() != MessageType::None;
        let mut body = Vec::new();
        if let Some(length) = declared_length(head).filter(|it| has_body && *it > 0) {
            let length = length.min(limits.body_bytes);
            room.grow(length).await?;
            body.reserve_exact(length);
        }
        if head.expect() {
            self.write_continue().await?;
        }
        if !has_body {
            return Ok(Bytes::new());
        }
        loop {
            match self.codec.decode(&mut self.buf) {
                Ok(Some(Message::Chunk(Some(bytes)))) => {
                    if body.len() + bytes.len() > limits.body_bytes {
                        let status = StatusCode::PAYLOAD_TOO_LARGE;
                        return Err(ReadError::Refused(status, "body_too_large").into());
                    }
                    let size = body.len() + bytes.len();
                    if size > room.bytes() {
                        let size = size.max((2 * room.bytes()).min(limits.body_bytes));
                        room.grow(size - room.bytes()).await?;
                        body.reserve_exact(size - body.len());
                    }
                    body.extend_from_slice(&bytes);
                }
                Ok(Some(Message::Chunk(None))) => return Ok(body.into()),
                Ok(Some(Message::Item(_))) | Err(_) => {
                    let status = StatusCode::BAD_REQUEST;
                    return Err(ReadError::Refused(status, "malformed").into());
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

    /// Closes the connection in a way that lets the client read the last response. What it still sends is dropped, for
    /// `linger` at most.
    pub(crate) async fn close(mut self, linger: Duration) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let mut sink = [0; READ_BYTES];
        let drain = async { while matches!(self.stream.read(&mut sink).await, Ok(1..)) {} };
        // A client that keeps its side open is dropped after the time limit.
        let _ = timeout(linger, drain).await;
    }
}

/// Returns the length of the body that the head declares.
fn declared_length(head: &RequestHead) -> Option<usize> {
    head.headers().get(header::CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

/// Returns how long the body of a request may wait for memory.
fn max_body_wait(info: &RequestInfo) -> Duration {
    let share = info.client_timeout.map(|it| it / BODY_WAIT_DIVISOR);
    share.map_or(MAX_BODY_WAIT, |it| it.min(MAX_BODY_WAIT))
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
