//! Writes an answer to its caller.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::header::{self, HeaderValue};
use actix_http::{ConnectionType, Response, ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;
use tokio_util::codec::Encoder;

use crate::{EventFramer, HOP_BY_HOP};

/// The caller can't be written to any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClientDisconnected;

/// The answer to one request, in whole or part by part.
pub(crate) struct ResponseWriter<'c> {
    write: &'c mut WriteHalf<'c>,
    codec: &'c mut Codec,
    out: BytesMut,
    framer: EventFramer,
    head_passed: bool,
    /// The connection ends after this answer.
    close: bool,
    pace: Pace,
}

/// When the parts of an answer were passed on.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Pace {
    /// When the first part was.
    pub(crate) first: Option<Instant>,
    /// When the last part was.
    last: Option<Instant>,
    /// The longest time between two parts.
    pub(crate) longest_pause: Duration,
}

impl Pace {
    fn part(&mut self) {
        let now = Instant::now();
        let pause = self.last.map_or(Duration::ZERO, |it| now.duration_since(it));
        self.longest_pause = self.longest_pause.max(pause);
        self.first.get_or_insert(now);
        self.last = Some(now);
    }
}

impl<'c> ResponseWriter<'c> {
    pub(crate) fn new(write: &'c mut WriteHalf<'c>, codec: &'c mut Codec) -> Self {
        let (out, framer) = (BytesMut::new(), EventFramer::default());
        Self { write, codec, out, framer, head_passed: false, close: false, pace: Pace::default() }
    }

    /// The connection ends after this answer, and the caller is told so.
    pub(crate) const fn close(&mut self) {
        self.close = true;
    }

    /// When the parts of the answer were passed on.
    pub(crate) const fn pace(&self) -> Pace {
        self.pace
    }

    /// Whether the caller has the head of an answer.
    pub(crate) const fn head_passed(&self) -> bool {
        self.head_passed
    }

    /// The id of the last event that was passed on.
    pub(crate) fn last_event(&self) -> Option<Arc<str>> {
        if self.head_passed { self.framer.last_id() } else { None }
    }

    /// Drops a part of an event: another run makes it anew.
    pub(crate) fn discard_partial(&mut self) {
        self.framer.discard();
    }

    /// Passes a whole answer on.
    pub(crate) async fn whole(
        &mut self,
        head: &ResponseHead,
        body: &[u8],
    ) -> Result<(), ClientDisconnected> {
        let answer = copy(head);
        self.head(answer, BodySize::Sized(body.len() as u64))?;
        if !body.is_empty() {
            self.encode(Message::Chunk(Some(Bytes::copy_from_slice(body))))?;
        }
        self.flush().await
    }

    /// Answers by ourselves.
    pub(crate) async fn own(
        &mut self,
        status: StatusCode,
        reason: &str,
        retry_after: Option<Duration>,
    ) -> Result<(), ClientDisconnected> {
        let mut answer = Response::with_body(status, ());
        let headers = answer.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(span) = retry_after {
            let seconds = format!("{:.2}", span.as_secs_f64());
            if let Ok(value) = HeaderValue::try_from(seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        let body = format!("{{\"error\":\"{reason}\"}}");
        self.head(answer, BodySize::Sized(body.len() as u64))?;
        self.encode(Message::Chunk(Some(body.into())))?;
        self.flush().await
    }

    /// Passes on what is whole of a stream's events.
    pub(crate) async fn events(
        &mut self,
        head: &ResponseHead,
        bytes: &[u8],
    ) -> Result<(), ClientDisconnected> {
        match self.framer.push(bytes) {
            Some(events) => self.chunk(head, &events).await,
            None => Ok(()),
        }
    }

    /// Passes on what follows the last event of a stream that ended well.
    pub(crate) async fn rest(&mut self, head: &ResponseHead) -> Result<(), ClientDisconnected> {
        match self.framer.rest() {
            Some(rest) => self.chunk(head, &rest).await,
            None if !self.head_passed => self.chunk(head, &[]).await,
            None => Ok(()),
        }
    }

    /// Passes a part of a body on, after the head where that wasn't passed yet.
    pub(crate) async fn chunk(
        &mut self,
        head: &ResponseHead,
        bytes: &[u8],
    ) -> Result<(), ClientDisconnected> {
        if !self.head_passed {
            self.head(copy(head), BodySize::Stream)?;
        }
        if !bytes.is_empty() {
            self.encode(Message::Chunk(Some(Bytes::copy_from_slice(bytes))))?;
        }
        self.flush().await
    }

    /// Marks the end of a body that was passed on in parts.
    pub(crate) async fn finish(&mut self) -> Result<(), ClientDisconnected> {
        self.encode(Message::Chunk(None))?;
        self.flush().await
    }

    fn head(&mut self, mut answer: Response<()>, size: BodySize) -> Result<(), ClientDisconnected> {
        if self.close {
            answer.head_mut().set_connection_type(ConnectionType::Close);
        }
        self.head_passed = true;
        self.encode(Message::Item((answer, size)))
    }

    fn encode(
        &mut self,
        message: Message<(Response<()>, BodySize)>,
    ) -> Result<(), ClientDisconnected> {
        self.codec.encode(message, &mut self.out).map_err(|_| ClientDisconnected)
    }

    async fn flush(&mut self) -> Result<(), ClientDisconnected> {
        self.pace.part();
        let written = self.write.write_all(&self.out).await;
        self.out.clear();
        written.map_err(|_| ClientDisconnected)
    }
}

/// An endpoint's head without what concerned its connection.
fn copy(head: &ResponseHead) -> Response<()> {
    let mut answer = Response::with_body(head.status, ());
    let headers = answer.headers_mut();
    for (name, value) in &head.headers {
        if !HOP_BY_HOP.contains(name) {
            headers.append(name.clone(), value.clone());
        }
    }
    answer
}
