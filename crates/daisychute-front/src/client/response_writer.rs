//! Writes the response to a client's request.

use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::header::{self, HeaderValue};
use actix_http::{ConnectionType, Response, ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;
use tokio::time::timeout;
use tokio_util::codec::Encoder;

use crate::{ConnectionSlots, Disorder, EventFramer, EventSequence, HOP_BY_HOP};

/// Writing to the client failed: it closed its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClientDisconnected;

/// Writes the response to one request, at once or in chunks.
pub(crate) struct ResponseWriter<'c> {
    write: &'c mut WriteHalf<'c>,
    codec: &'c mut Codec,
    out: BytesMut,
    framer: EventFramer,
    head_passed: bool,
    /// Whether the connection is closed after this response.
    close: bool,
    /// Whether the client can read chunks. A body without length ends with the connection otherwise.
    chunked: bool,
    timing: StreamTiming,
    /// Number of endpoints that closed their connection before their first event, since the last one that the client has.
    empty_runs: u32,
    /// The responses that their clients don't read.
    stalled: ConnectionSlots,
}

/// Time for which a client may leave a response unread while others need its place.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Capacity of the buffer for encoded bytes that is kept from one write to the next, in bytes.
const MAX_KEPT_BYTES: usize = 16 * 1024;

/// Number of endpoints that have to agree that a stream has no further events, if they say so only by closing their
/// connection.
const MIN_EMPTY_RUNS: u32 = 2;

/// When the chunks of a response were written.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StreamTiming {
    /// When the first chunk was written; `None` before that.
    pub(crate) first: Option<Instant>,
    /// When the most recent chunk was written; `None` before the first.
    last: Option<Instant>,
    /// The longest time between two successive chunks.
    pub(crate) max_pause: Duration,
}

impl StreamTiming {
    fn record_chunk(&mut self) {
        let now = Instant::now();
        let pause = self.last.map_or(Duration::ZERO, |it| now.duration_since(it));
        self.max_pause = self.max_pause.max(pause);
        self.first.get_or_insert(now);
        self.last = Some(now);
    }
}

impl<'c> ResponseWriter<'c> {
    /// Creates a writer. If the response is a stream, its events continue `sequence`. While its client doesn't read, it is
    /// among `stalled` and may be evicted.
    pub(crate) fn new(
        write: &'c mut WriteHalf<'c>,
        codec: &'c mut Codec,
        sequence: EventSequence,
        stalled: ConnectionSlots,
    ) -> Self {
        let (out, framer) = (BytesMut::new(), EventFramer::new(sequence));
        Self {
            write,
            codec,
            out,
            framer,
            head_passed: false,
            close: false,
            chunked: true,
            timing: StreamTiming::default(),
            empty_runs: 0,
            stalled,
        }
    }

    /// Closes the connection after this response and announces it in the head.
    pub(crate) const fn close(&mut self) {
        self.close = true;
    }

    /// Ends a body without length with the connection, for a client of HTTP/1.0. Until [`finish`](Self::finish), any close
    /// of the connection resets it, so that the client can tell that the body lacks its end.
    pub(crate) const fn disable_chunks(&mut self) {
        self.chunked = false;
    }

    /// When the chunks of the response were written.
    pub(crate) const fn timing(&self) -> StreamTiming {
        self.timing
    }

    /// Whether the head of a response has been written.
    pub(crate) const fn head_passed(&self) -> bool {
        self.head_passed
    }

    /// The id of the last event that was passed on to the client, if it had one.
    pub(crate) fn last_event_id(&self) -> Option<Arc<str>> {
        if self.head_passed { self.framer.last_id() } else { None }
    }

    /// Returns the length of the incomplete event that is held back, in bytes.
    pub(crate) fn partial_bytes(&self) -> usize {
        self.framer.partial_bytes()
    }

    /// Whether the stream so far ends inside an event.
    pub(crate) fn is_inside_event(&self) -> bool {
        self.framer.is_inside_event()
    }

    /// Begins the stream of another attempt, which sends an incomplete event again.
    pub(crate) fn begin_stream(&mut self) {
        self.framer.begin_run();
    }

    /// Returns why the stream of the present attempt can't go on; `None` as long as its events are in order.
    pub(crate) const fn disorder(&self) -> Option<Disorder> {
        self.framer.disorder()
    }

    /// Whether the client has an event of the stream, from this response or from an earlier one.
    pub(crate) const fn has_begun(&self) -> bool {
        self.framer.has_begun()
    }

    /// Records that an endpoint closed its connection before its first event.
    pub(crate) const fn record_empty_run(&mut self) {
        self.empty_runs += 1;
    }

    /// Whether the client has all events, as far as several endpoints tell that were asked for the rest.
    pub(crate) const fn has_nothing_left(&self) -> bool {
        self.framer.has_begun() && self.empty_runs >= MIN_EMPTY_RUNS
    }

    /// Whether another attempt can continue the response after what was passed on.
    pub(crate) const fn is_resumable(&self) -> bool {
        self.framer.is_resumable()
    }

    /// Writes a complete response of an endpoint.
    pub(crate) async fn write_response(
        &mut self,
        head: &ResponseHead,
        body: &[u8],
    ) -> Result<(), ClientDisconnected> {
        let response = copy_head(head);
        self.write_head(response, BodySize::Sized(body.len() as u64))?;
        if !body.is_empty() {
            self.encode(Message::Chunk(Some(Bytes::copy_from_slice(body))))?;
        }
        self.flush().await
    }

    /// Writes a response of the front's own, with the reason as a JSON body.
    pub(crate) async fn write_own_response(
        &mut self,
        status: StatusCode,
        reason: &str,
        retry_after: Option<Duration>,
    ) -> Result<(), ClientDisconnected> {
        let mut response = Response::with_body(status, ());
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(delay) = retry_after {
            let seconds = format!("{:.2}", delay.as_secs_f64());
            if let Ok(value) = HeaderValue::try_from(seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        let body = format!("{{\"error\":\"{reason}\"}}");
        self.write_head(response, BodySize::Sized(body.len() as u64))?;
        self.encode(Message::Chunk(Some(body.into())))?;
        self.flush().await
    }

    /// Returns the events of a stream that are complete with these bytes and in order, and keeps the rest. `None` if there
    /// are none.
    pub(crate) fn complete_events(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let events = self.framer.push(bytes);
        if events.is_some() {
            self.empty_runs = 0;
        }
        events
    }

    /// Writes the blank lines and comments after the last event, once the endpoint has ended its stream.
    pub(crate) async fn write_rest(
        &mut self,
        head: &ResponseHead,
    ) -> Result<(), ClientDisconnected> {
        match self.framer.take_partial() {
            Some(partial) => self.write_chunk(head, &partial).await,
            None if !self.head_passed => self.write_chunk(head, &[]).await,
            None => Ok(()),
        }
    }

    /// Writes a chunk of the body, after the head if that wasn't written yet.
    pub(crate) async fn write_chunk(
        &mut self,
        head: &ResponseHead,
        bytes: &[u8],
    ) -> Result<(), ClientDisconnected> {
        if !self.head_passed {
            self.write_head(copy_head(head), BodySize::Stream)?;
        }
        if !bytes.is_empty() {
            self.encode(Message::Chunk(Some(Bytes::copy_from_slice(bytes))))?;
        }
        self.flush().await
    }

    /// Writes the end of a body without length.
    pub(crate) async fn finish(&mut self) -> Result<(), ClientDisconnected> {
        self.encode(Message::Chunk(None))?;
        self.flush().await?;
        if self.chunked { Ok(()) } else { self.set_linger(None) }
    }

    fn write_head(
        &mut self,
        mut response: Response<()>,
        size: BodySize,
    ) -> Result<(), ClientDisconnected> {
        let until_close = size == BodySize::Stream && !self.chunked;
        if self.close || until_close {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        self.head_passed = true;
        if !until_close {
            return self.encode(Message::Item((response, size)));
        }
        response.head_mut().no_chunking(true);
        // Set before the first byte: the kernel closes the connections of a killed process as well.
        self.set_linger(Some(Duration::ZERO))?;
        self.encode(Message::Item((response, size)))?;
        self.announce_close();
        Ok(())
    }

    /// Adds `Connection: close` to the encoded head, which the codec leaves out for HTTP/1.0.
    fn announce_close(&mut self) {
        self.out.truncate(self.out.len() - b"\r\n".len());
        self.out.extend_from_slice(b"connection: close\r\n\r\n");
    }

    /// Sets `SO_LINGER`: with zero, closing the connection resets it.
    fn set_linger(&self, time: Option<Duration>) -> Result<(), ClientDisconnected> {
        let socket = SockRef::from(self.write.as_ref());
        socket.set_linger(time).map_err(|_| ClientDisconnected)
    }

    fn encode(
        &mut self,
        message: Message<(Response<()>, BodySize)>,
    ) -> Result<(), ClientDisconnected> {
        self.codec.encode(message, &mut self.out).map_err(|_| ClientDisconnected)
    }

    async fn flush(&mut self) -> Result<(), ClientDisconnected> {
        self.timing.record_chunk();
        let mut rest = &self.out[..];
        let mut written = Ok(());
        while !rest.is_empty() && written.is_ok() {
            let write = self.write.write(rest);
            match write_or_give_way(write, &self.stalled).await {
                Ok(count @ 1..) => rest = &rest[count..],
                Ok(0) | Err(_) => written = Err(ClientDisconnected),
            }
        }
        if self.out.capacity() > MAX_KEPT_BYTES {
            self.out = BytesMut::new();
        } else {
            self.out.clear();
        }
        written
    }
}

/// Writes some bytes. While the client reads none for a time, its response may have to give its place up.
async fn write_or_give_way(
    write: impl Future<Output = io::Result<usize>>,
    stalled: &ConnectionSlots,
) -> io::Result<usize> {
    let mut write = pin!(write);
    if let Ok(written) = timeout(STALL_TIME, &mut write).await {
        return written;
    }
    let Some(slot) = stalled.admit(usize::MAX) else { return write.await };
    tokio::select! {
        biased;
        () = slot.evicted() => Err(io::ErrorKind::TimedOut.into()),
        written = write => written,
    }
}

/// Copies an endpoint's response head without its hop-by-hop headers.
fn copy_head(head: &ResponseHead) -> Response<()> {
    let mut response = Response::with_body(head.status, ());
    let headers = response.headers_mut();
    for (name, value) in &head.headers {
        if !HOP_BY_HOP.contains(name) {
            headers.append(name.clone(), value.clone());
        }
    }
    response
}
