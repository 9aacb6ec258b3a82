//! One connection of a client.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::h1::{Codec, Message, MessageType};
use actix_http::{RequestHead, ServiceConfig, StatusCode, header};
use bytes::BytesMut;
use daisychute_dispatch::{ClientLimits, RequestInfo};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::codec::Decoder;

use crate::Dialect;
use crate::body_budget::BodyBudget;
use crate::client::body::{Body, BodyBuilder};
use crate::client::body_room::{BodyMemory, BodyRoom, NoRoom, SpareRoom};
use crate::client::fingerprint::fingerprint;
use crate::client::incoming::Incoming;
use crate::pacing::{LargeBodies, Pacer, ProcessorTime};
use crate::shutdown::ShutdownState;
use crate::{CapacityLimits, ConnectionSlot};

/// Buffer space reserved for each read from the socket, in bytes: fits the head of a request.
const READ_BYTES: usize = 4 * 1024;
/// Number of bytes that are buffered in any case from a client that pipelines requests during a response.
const MIN_PIPELINED_BYTES: usize = 16 * 1024;
/// Maximum number of bytes that are buffered as long as there is memory.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;
/// Size to which a buffer may grow for them.
const MAX_BUFFER_BYTES: usize = 2 * MAX_PIPELINED_BYTES;
/// Interval at which the connection of a client with a full buffer is checked.
const FULL_BUFFER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of bytes of chunk headers and trailers since the last bytes of a body.
const MAX_FRAMING_BYTES: usize = 16 * 1024;
/// Size up to which a large body of unknown length has memory before it needs as much as any body may, in bytes.
const MEDIUM_BYTES: usize = 1024 * 1024;
/// Number of bytes after which a large body waits for its turn at the processor.
const TURN_BYTES: usize = 64 * 1024;
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
    /// The body of the request with this id stalled, and others needed its memory.
    Stalled(Arc<str>),
}

/// Why no body could be read.
enum BodyError {
    NoRoom,
    Stalled,
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

/// What bounds the reading of a request.
#[derive(Clone, Copy)]
pub(crate) struct Intake<'a> {
    pub(crate) limits: &'a ClientLimits,
    pub(crate) shutdown: &'a ShutdownState,
    /// The memory for the bodies of all requests.
    pub(crate) memory: &'a Rc<BodyMemory>,
    /// Shares the processor among the large bodies of all requests.
    pub(crate) large_bodies: &'a LargeBodies,
    /// The processor time of this request.
    pub(crate) processor: &'a ProcessorTime,
    /// The place of the connection, which it may lose until the request is read.
    pub(crate) slot: &'a ConnectionSlot,
}

/// How the rest of what a client sends is dropped before its connection is closed: closing a socket with unread bytes
/// resets the connection, and the client may lose the last response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Linger {
    pub(crate) time: Duration,
    /// Maximum number of bytes that are dropped.
    pub(crate) bytes: usize,
}

impl Linger {
    /// For clients that have sent their request, or more than they may.
    pub(crate) const SHORT: Self = Self { time: Duration::from_millis(500), bytes: 256 * 1024 };
}

/// A client's connection with its codec and the bytes read ahead.
pub(crate) struct ClientConnection {
    pub(crate) stream: TcpStream,
    pub(crate) codec: Codec,
    pub(crate) buf: BytesMut,
    /// The memory of a buffer that is larger than it is sure to be.
    pub(crate) ahead: Option<SpareRoom>,
}

impl ClientConnection {
    pub(crate) fn new(stream: TcpStream, http: &ServiceConfig) -> Self {
        Self { stream, codec: Codec::new(http.clone()), buf: BytesMut::new(), ahead: None }
    }

    /// Frees the memory of a large buffer once there is little in it.
    pub(crate) fn release_ahead(&mut self) {
        if self.ahead.is_some() && self.buf.len() <= MIN_PIPELINED_BYTES {
            self.buf = BytesMut::from(&self.buf[..]);
            // The connection fails by itself if the system refuses.
            let _ = self.set_receive_buffer(CapacityLimits::RECEIVE_BUFFER_BYTES);
            self.ahead = None;
        }
    }

    /// Reads the next request with its complete body.
    pub(crate) async fn read_request(
        &mut self,
        dialect: &impl Dialect,
        intake: Intake<'_>,
    ) -> Result<Incoming, ReadError> {
        self.release_ahead();
        if self.buf.is_empty() {
            // An idle connection needs no buffer.
            self.buf = BytesMut::new();
            self.wait_for_request(intake.limits, intake.shutdown).await?;
        }
        let head = self.read_head(intake.limits).await?;
        let mut info = dialect.parse_request(&head);
        let mut room = intake.memory.room(max_body_wait(&info));
        let body = self.read_body(intake, &head, &mut room).await;
        let body = body.map_err(|error| match error {
            BodyError::NoRoom => ReadError::NoMemory(Arc::clone(&info.id), room.waited()),
            BodyError::Stalled => ReadError::Stalled(Arc::clone(&info.id)),
            BodyError::Read(error) => error,
        })?;
        intake.slot.serve();
        room.end_receiving();
        if room.bytes() > body.len() {
            self.set_receive_buffer(CapacityLimits::RECEIVE_BUFFER_BYTES)?;
            room.shrink(body.len());
        }
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
            read = timeout(limits.idle_timeout, self.read_first()) => read,
            () = shutdown.wait_closing() => timeout(LAST_READ_TIME, self.read_first()).await,
        };
        read.map_err(|_| ReadError::Closed)??;
        Ok(())
    }

    /// Waits for bytes before it takes a buffer for them.
    async fn read_first(&mut self) -> Result<usize, ReadError> {
        self.stream.readable().await.map_err(|_| ReadError::Closed)?;
        self.read_more().await
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
        intake: Intake<'_>,
        head: &RequestHead,
        room: &mut BodyRoom,
    ) -> Result<Body, BodyError> {
        let too_large = ReadError::Refused(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large");
        let malformed = ReadError::Refused(StatusCode::BAD_REQUEST, "malformed");
        let limits = intake.limits;
        let has_body = self.codec.message_type() != MessageType::None;
        let mut body = BodyBuilder::default();
        let length = declared_length(head).filter(|it| has_body && *it > 0);
        if let Some(length) = length {
            if length > limits.body_bytes {
                return Err(too_large.into());
            }
            self.reserve(room, length).await?;
        }
        if head.expect() {
            tokio::select! {
                biased;
                () = room.yielded() => return Err(BodyError::Stalled),
                written = timeout(limits.idle_timeout, self.write_continue()) => {
                    written.map_err(|_| ReadError::Closed)??;
                }
            }
        }
        if !has_body {
            return Ok(Body::default());
        }
        let mut pacer = Pacer::new(intake.processor, intake.large_bodies);
        let (mut framing_bytes, mut turn_bytes) = (0, 0);
        loop {
            let buffered = self.buf.len();
            match self.codec.decode(&mut self.buf) {
                Ok(Some(Message::Chunk(Some(bytes)))) => {
                    framing_bytes = 0;
                    let size = body.len() + bytes.len();
                    if size > limits.body_bytes {
                        return Err(too_large.into());
                    }
                    if size > room.bytes() {
                        // Few steps: a body that holds much never waits, and is refused if there is no memory at once.
                        let steps = [BodyBudget::SMALL_BYTES, MEDIUM_BYTES, limits.body_bytes];
                        let step = steps.into_iter().find(|it| size <= *it);
                        let step = step.unwrap_or(size).min(limits.body_bytes);
                        self.reserve(room, step).await?;
                    }
                    body.push(&bytes, length);
                }
                Ok(Some(Message::Chunk(None))) => return Ok(body.finish()),
                Ok(Some(Message::Item(_))) | Err(_) => return Err(malformed.into()),
                Ok(None) => {
                    framing_bytes += buffered - self.buf.len();
                    if framing_bytes > MAX_FRAMING_BYTES {
                        return Err(malformed.into());
                    }
                    room.record_received(body.len());
                    if turn_bytes >= TURN_BYTES {
                        turn_bytes = 0;
                        tokio::select! {
                            biased;
                            () = room.yielded() => return Err(BodyError::Stalled),
                            () = pacer.wait_turn() => {}
                        }
                    }
                    let count = tokio::select! {
                        biased;
                        () = room.yielded() => return Err(BodyError::Stalled),
                        count = self.read_body_bytes(limits) => count?,
                    };
                    turn_bytes += count;
                }
            }
        }
    }

    /// Reads more of a body, within the idle timeout.
    async fn read_body_bytes(&mut self, limits: &ClientLimits) -> Result<usize, ReadError> {
        let too_slow = ReadError::Refused(StatusCode::REQUEST_TIMEOUT, "slow_body");
        timeout(limits.idle_timeout, self.read_more()).await.map_err(|_| too_slow)?
    }

    /// Reserves the memory of a body of this size, and lets the client of a large one send at full speed.
    async fn reserve(&self, room: &mut BodyRoom, size: usize) -> Result<(), BodyError> {
        if size <= BodyBudget::SMALL_BYTES {
            return Ok(room.grow(size - room.bytes()).await?);
        }
        let buffer = CapacityLimits::LARGE_RECEIVE_BUFFER_BYTES;
        room.grow(size + CapacityLimits::LARGE_RECEIVED_BYTES - room.bytes()).await?;
        Ok(self.set_receive_buffer(buffer)?)
    }

    /// Sets how much the system receives before the front reads it.
    fn set_receive_buffer(&self, bytes: usize) -> Result<(), ReadError> {
        let set = SockRef::from(&self.stream).set_recv_buffer_size(bytes);
        set.map_err(|_| ReadError::Closed)
    }

    async fn write_continue(&mut self) -> Result<(), ReadError> {
        let written = self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        written.map_err(|_| ReadError::Closed)
    }

    /// Reads what has arrived, at least one byte. Returns the number of bytes.
    async fn read_more(&mut self) -> Result<usize, ReadError> {
        self.buf.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.buf).await {
            Ok(0) | Err(_) => Err(ReadError::Closed),
            Ok(count) => Ok(count),
        }
    }

    /// Closes the connection in a way that lets the client read the last response. What it still sends is dropped, as far
    /// as `linger` allows, with the other large bodies' share of the processor.
    pub(crate) async fn close(mut self, linger: Linger, large_bodies: &LargeBodies) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        // The memory isn't needed meanwhile.
        self.buf = BytesMut::new();
        let processor = ProcessorTime::default();
        let mut pacer = Pacer::new(&processor, large_bodies);
        let drain = async {
            let mut sink = [0; READ_BYTES];
            let (mut dropped, mut turn_bytes) = (0, 0);
            while dropped < linger.bytes {
                let Ok(count @ 1..) = self.stream.read(&mut sink).await else { return };
                dropped += count;
                turn_bytes += count;
                if turn_bytes >= TURN_BYTES {
                    turn_bytes = 0;
                    pacer.wait_turn().await;
                }
            }
        };
        // A client that keeps its side open is dropped after the time limit.
        let _ = timeout(linger.time, processor.measure(drain)).await;
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

/// Returns when the client has closed its connection. Bytes that it sends meanwhile are buffered: few, or more as long as
/// there is memory. Once the buffer is full, the rest stays in the socket and the connection is checked from time to time.
pub(crate) async fn client_disconnected(
    read: &mut ReadHalf<'_>,
    buf: &mut BytesMut,
    memory: &Rc<BodyMemory>,
    ahead: &mut Option<SpareRoom>,
) {
    if read_ahead(read, buf, MIN_PIPELINED_BYTES).await {
        return;
    }
    if ahead.is_none() {
        *ahead = memory.spare_room(MAX_BUFFER_BYTES + CapacityLimits::LARGE_RECEIVED_BYTES);
    }
    if ahead.is_some() {
        // Else the close may wait behind what the system doesn't receive.
        let socket = SockRef::from(read.as_ref());
        let _ = socket.set_recv_buffer_size(CapacityLimits::LARGE_RECEIVE_BUFFER_BYTES);
        if read_ahead(read, buf, MAX_PIPELINED_BYTES).await {
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

/// Reads until the buffer has this many bytes. Returns whether the client has closed its connection before.
async fn read_ahead(read: &mut ReadHalf<'_>, buf: &mut BytesMut, limit: usize) -> bool {
    while buf.len() < limit {
        buf.reserve(READ_BYTES);
        if !matches!(read.read_buf(buf).await, Ok(1..)) {
            return true;
        }
    }
    false
}
