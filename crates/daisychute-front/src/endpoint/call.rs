//! One send of a request to an endpoint.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::Message;
use actix_http::{RequestHeadType, ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use daisychute_dispatch::{Event, RequestKey, SendDecision, SendFailure, Task};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;
use tokio_util::codec::Encoder;

use crate::client::incoming::Incoming;
use crate::client::response_writer::{ClientDisconnected, ResponseWriter};
use crate::dialect::ForwardParams;
use crate::endpoint::connection::EndpointConnection;
use crate::endpoint::pool::FRESH;
use crate::endpoint::response_reader::{Collected, ResponseError, ResponseReader};
use crate::shared::Shared;
use crate::{Dialect, ResponseInfo};

/// Answers up to this size are read in whole before they are passed on, so that a broken one can be told as such.
const MOST_BUFFERED: usize = 256 * 1024;
/// An answer to a prompt call is far shorter than this, in bytes.
const MOST_PREFILL_ANSWER: usize = 64 * 1024;
/// So many late answers to earlier requests are passed over before the right one.
const MOST_LATE: u32 = 3;
/// Idle connections of any age may carry a request that may run again.
const ANY_AGE: Duration = Duration::from_secs(3_600);

/// How a send ended.
pub(crate) enum CallEnd {
    /// The whole answer was passed on.
    Finished,
    /// The prompt is read; the KV cache has this name.
    Prefilled(Arc<str>),
    /// It came to nothing. A whole answer that is a failure comes with it.
    Failed(SendFailure, Option<ErrorResponse>),
    /// The caller can't be written to.
    ClientDisconnected,
}

/// A failure that an endpoint answered, in whole.
pub(crate) struct ErrorResponse {
    pub(crate) head: ResponseHead,
    pub(crate) body: Bytes,
}

impl From<ClientDisconnected> for CallEnd {
    fn from(_: ClientDisconnected) -> Self {
        Self::ClientDisconnected
    }
}

impl From<ResponseError> for CallEnd {
    fn from(_: ResponseError) -> Self {
        Self::Failed(SendFailure::NoAnswer, None)
    }
}

/// A send that is under way.
pub(crate) struct Call<'a, 'c, D> {
    pub(crate) shared: &'a Rc<Shared<D>>,
    pub(crate) key: RequestKey,
    pub(crate) incoming: &'a Incoming,
    pub(crate) decision: &'a SendDecision,
    pub(crate) response_writer: &'a mut ResponseWriter<'c>,
}

/// What was read before the body of an answer.
struct Head {
    head: ResponseHead,
    info: ResponseInfo,
    /// The connection can carry another request after this answer.
    reusable: bool,
}

impl<D: Dialect> Call<'_, '_, D> {
    /// Sends the request and passes the answer on.
    pub(crate) async fn run(mut self) -> CallEnd {
        let Some(mut connection) = self.connect().await else {
            return CallEnd::Failed(SendFailure::Unsent, None);
        };
        let _lease = self.shared.pool.lease(self.decision.endpoint);
        let Ok(bytes) = self.encode(&mut connection) else {
            return CallEnd::Failed(SendFailure::Unsent, None);
        };
        let EndpointConnection { mut stream, codec, mut buf } = connection;
        let (mut read, mut write) = stream.split();
        let Some(sent) = send_first(&mut write, &bytes).await else {
            return CallEnd::Failed(SendFailure::Unsent, None);
        };
        let to_head = self.incoming.head.method == actix_http::Method::HEAD;
        let mut reader = ResponseReader::new(&mut read, &mut buf, codec);
        let head = with_rest(self.head(&mut reader, to_head), &mut write, &bytes[sent..]).await;
        let (head, all_sent) = match head {
            (Ok(head), all_sent) => (head, all_sent),
            (Err(e), _) => return e.into(),
        };
        let keep_alive = head.info.keep_alive;
        let reusable = head.reusable && all_sent && head.head.keep_alive();
        let end = self.pass(head, &mut reader).await;
        if let (true, Some(codec)) = (reusable, reader.into_codec()) {
            let connection = EndpointConnection { stream, codec, buf };
            self.shared.pool.put(self.decision.endpoint, connection, keep_alive);
        }
        end
    }

    async fn connect(&self) -> Option<EndpointConnection> {
        let again = self.decision.kind.repeatable() || self.decision.task == Task::Prefill;
        let longest = if again { ANY_AGE } else { FRESH };
        if let Some(kept) = self.shared.pool.take(self.decision.endpoint, longest) {
            return Some(kept);
        }
        if self.shared.pool.open(self.decision.endpoint) >= self.decision.max_connections {
            return None;
        }
        EndpointConnection::open(self.decision.address, &self.shared.http).await.ok()
    }

    fn encode(&self, connection: &mut EndpointConnection) -> std::io::Result<BytesMut> {
        let last_event_id = self.response_writer.last_event();
        let forward = ForwardParams {
            expected_endpoint: &self.decision.name,
            task: &self.decision.task,
            remaining: self.decision.deadline.since(self.shared.now()),
            priority: self.decision.priority,
            fetch_from: self.decision.fetch_from,
            last_event_id: last_event_id.as_deref(),
        };
        let head = self.shared.dialect.build_request(&self.incoming.head, forward);
        let body = &self.incoming.body;
        let has_body = !body.is_empty() || self.incoming.head.method == actix_http::Method::POST;
        let size = if has_body { BodySize::Sized(body.len() as u64) } else { BodySize::None };
        let mut bytes = BytesMut::with_capacity(1024 + body.len());
        let message = Message::Item((RequestHeadType::Owned(head), size));
        connection.codec.encode(message, &mut bytes)?;
        bytes.extend_from_slice(body);
        Ok(bytes)
    }

    /// Reads the head of the answer, past late answers to earlier requests.
    async fn head(
        &self,
        reader: &mut ResponseReader<'_, '_>,
        to_head: bool,
    ) -> Result<Head, ResponseError> {
        for late in 0..MOST_LATE {
            let head = reader.head(to_head).await?;
            let info = self.shared.dialect.parse_response(&head, &self.incoming.info.id);
            if info.id_matches {
                return Ok(Head { head, info, reusable: late == 0 });
            }
            self.note_late(&head);
            while reader.next().await?.is_some() {}
        }
        Err(ResponseError)
    }

    fn note_late(&self, head: &ResponseHead) {
        let (request, endpoint) = (&self.incoming.info.id, &self.decision.name);
        let status = head.status.as_u16();
        log::warn!(request:%, endpoint:%, status; "answer to another request dropped");
        metrics::counter!("daisychute_late_answers_total").increment(1);
    }

    /// Passes an answer on, or tells why it can't be.
    async fn pass(&mut self, head: Head, reader: &mut ResponseReader<'_, '_>) -> CallEnd {
        let Head { head, info, .. } = head;
        if let Some(sample) = info.load {
            self.shared.handle(Event::LoadReported { key: self.key, sample });
        }
        self.body(head, info, reader).await
    }

    async fn body(
        &mut self,
        head: ResponseHead,
        info: ResponseInfo,
        reader: &mut ResponseReader<'_, '_>,
    ) -> CallEnd {
        if info.not_run || info.misdirected {
            // The connection stays usable where the body ends well.
            let _ = reader.collect(MOST_PREFILL_ANSWER).await;
            let failure = SendFailure::NotRun { misdirected: info.misdirected };
            return CallEnd::Failed(failure, None);
        }
        if self.decision.task == Task::Prefill {
            return self.prefilled(&head, reader).await;
        }
        if !head.status.is_success() {
            return self.error_response(head, reader).await;
        }
        if !info.signed || info.encoded {
            return CallEnd::Failed(SendFailure::NoAnswer, None);
        }
        self.shared.handle(Event::ResponseStarted { key: self.key });
        if self.decision.kind.is_stream() {
            self.stream(&head, reader).await
        } else {
            self.whole(&head, reader).await
        }
    }

    async fn prefilled(&self, head: &ResponseHead, reader: &mut ResponseReader<'_, '_>) -> CallEnd {
        if head.status != StatusCode::OK {
            return CallEnd::Failed(SendFailure::NoAnswer, None);
        }
        let body = match reader.collect(MOST_PREFILL_ANSWER).await {
            Ok(Collected::Whole(body)) => body,
            Ok(Collected::TooLong(_)) | Err(_) => {
                return CallEnd::Failed(SendFailure::NoAnswer, None);
            }
        };
        match self.shared.dialect.parse_kv_handle(&body) {
            Some(handle) => CallEnd::Prefilled(handle),
            None => CallEnd::Failed(SendFailure::NoAnswer, None),
        }
    }

    async fn error_response(
        &self,
        head: ResponseHead,
        reader: &mut ResponseReader<'_, '_>,
    ) -> CallEnd {
        // These promise that the request has not run, which the endpoint didn't say.
        let promises = [408, 421, 429, 503];
        if promises.contains(&head.status.as_u16()) {
            return CallEnd::Failed(SendFailure::NoAnswer, None);
        }
        match reader.collect(MOST_BUFFERED).await {
            Ok(Collected::Whole(body)) => {
                CallEnd::Failed(SendFailure::ServerError, Some(ErrorResponse { head, body }))
            }
            Ok(Collected::TooLong(_)) | Err(_) => CallEnd::Failed(SendFailure::NoAnswer, None),
        }
    }

    /// Passes an answer on that is no stream.
    async fn whole(&mut self, head: &ResponseHead, reader: &mut ResponseReader<'_, '_>) -> CallEnd {
        let broke = |head_passed| CallEnd::Failed(SendFailure::MidAnswer { head_passed }, None);
        let mut part = match reader.collect(MOST_BUFFERED).await {
            Ok(Collected::Whole(body)) => {
                return match self.response_writer.whole(head, &body).await {
                    Ok(()) => CallEnd::Finished,
                    Err(gone) => gone.into(),
                };
            }
            Ok(Collected::TooLong(part)) => Some(part),
            Err(_) => return broke(false),
        };
        while let Some(bytes) = part {
            if let Err(gone) = self.response_writer.chunk(head, &bytes).await {
                return gone.into();
            }
            part = match reader.next().await {
                Ok(part) => part,
                Err(_) => return broke(true),
            };
        }
        self.finish().await
    }

    async fn stream(
        &mut self,
        head: &ResponseHead,
        reader: &mut ResponseReader<'_, '_>,
    ) -> CallEnd {
        self.response_writer.discard_partial();
        loop {
            match reader.next().await {
                Ok(Some(bytes)) => {
                    self.shared.handle(Event::FirstOutput { key: self.key });
                    if let Err(gone) = self.response_writer.events(head, &bytes).await {
                        return gone.into();
                    }
                }
                Ok(None) => break,
                Err(_) => {
                    let head_passed = self.response_writer.head_passed();
                    return CallEnd::Failed(SendFailure::MidAnswer { head_passed }, None);
                }
            }
        }
        match self.response_writer.rest(head).await {
            Ok(()) => self.finish().await,
            Err(gone) => gone.into(),
        }
    }

    async fn finish(&mut self) -> CallEnd {
        match self.response_writer.finish().await {
            Ok(()) => CallEnd::Finished,
            Err(gone) => gone.into(),
        }
    }
}

/// Writes what the system takes at once. None where it takes nothing: then no byte has left.
async fn send_first(write: &mut WriteHalf<'_>, bytes: &[u8]) -> Option<usize> {
    write.write(bytes).await.ok().filter(|it| *it > 0)
}

/// Runs `next` while the rest of the request is written. The second value tells whether all of it was.
async fn with_rest<T>(
    next: impl Future<Output = T>,
    write: &mut WriteHalf<'_>,
    rest: &[u8],
) -> (T, bool) {
    if rest.is_empty() {
        return (next.await, true);
    }
    let mut next = std::pin::pin!(next);
    tokio::select! {
        biased;
        out = &mut next => (out, false),
        written = write.write_all(rest) => {
            // An endpoint that stops reading may have answered all the same.
            let all = written.is_ok();
            (next.await, all)
        }
    }
}
