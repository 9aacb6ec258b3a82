//! One send attempt of a client's request to an endpoint.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::body::BodySize;
use actix_http::h1::Message;
use actix_http::{RequestHeadType, ResponseHead, StatusCode, header};
use bytes::{Buf, Bytes, BytesMut};
use daisychute_core::Time;
use daisychute_dispatch::{EndpointSign, Event, RequestKey, SendDecision, SendFailure, Task};
use serde::de::IgnoredAny;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;
use tokio_util::codec::Encoder;

use crate::client::incoming::Incoming;
use crate::client::response_writer::{ClientDisconnected, ResponseWriter};
use crate::dialect::ForwardParams;
use crate::endpoint::body_end::BodyEnd;
use crate::endpoint::body_meter::BodyMeter;
use crate::endpoint::connection::EndpointConnection;
use crate::endpoint::looks::Looks;
use crate::endpoint::pool::MAX_IDLE_FOR_NON_REPEATABLE;
use crate::endpoint::presence::Sentinel;
use crate::endpoint::response_reader::{Collected, Framing, ResponseError, ResponseReader};
use crate::pacing::ProcessorTime;
use crate::state::FrontState;
use crate::{Dialect, Disorder, ResponseInfo};

/// Maximum size of a response that is buffered before it is passed on, so that a truncated one can still be retried or
/// reported as an error.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// Maximum rate at which a response can be passed on, in bytes per second.
const MAX_RATE: u64 = 1024 * 1024 * 1024;
/// Maximum size of the response to a prefill request, which is usually far shorter.
const MAX_PREFILL_RESPONSE_BYTES: usize = 64 * 1024;
/// Maximum size of an event. An endpoint that sends more without ending the event is in trouble.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Maximum size of an event with its framing, which is several times as large as the event in chunks of a few bytes.
const MAX_FRAMED_EVENT_BYTES: usize = MAX_EVENT_BYTES * 5 / 4;
/// Maximum size of the body of a late response, which is dropped.
const MAX_LATE_BODY_BYTES: usize = 256 * 1024;
/// Maximum number of responses read in search of the one that matches the request. Late responses to earlier requests
/// are dropped.
const MAX_LATE_RESPONSES: u32 = 3;
/// Idle time limit for repeatable requests: longer than any connection stays in the pool, since a failed attempt can be
/// repeated.
const NO_AGE_LIMIT: Duration = Duration::from_secs(3_600);

/// How a send attempt ended.
pub(crate) enum CallEnd {
    /// The complete response was passed on to the client.
    Finished(BodyEnd),
    /// The prefill is done; holds the handle of the KV cache.
    Prefilled(Arc<str>),
    /// The attempt failed. A complete error response of the endpoint comes with it, if there is one.
    Failed(SendFailure, Option<ErrorResponse>),
    /// The client closed its connection.
    ClientDisconnected,
}

/// A complete error response of an endpoint.
pub(crate) struct ErrorResponse {
    pub(crate) head: ResponseHead,
    pub(crate) body: Bytes,
}

impl From<ClientDisconnected> for CallEnd {
    fn from(_: ClientDisconnected) -> Self {
        Self::ClientDisconnected
    }
}

/// A send attempt in flight.
pub(crate) struct Call<'a, 'c, D> {
    pub(crate) state: &'a Rc<FrontState<D>>,
    pub(crate) key: RequestKey,
    pub(crate) incoming: &'a Incoming,
    pub(crate) decision: &'a SendDecision,
    /// The processor time of the request.
    pub(crate) processor: &'a ProcessorTime,
    pub(crate) response_writer: &'a mut ResponseWriter<'c>,
    /// When the attempt began, before its first byte was sent.
    pub(crate) began_at: Time,
}

/// The head of a response and what the dialect read from it.
struct ReceivedHead {
    head: ResponseHead,
    info: ResponseInfo,
    /// Whether the connection may be reused: `false` if late responses came before this one.
    reusable: bool,
}

impl<D: Dialect> Call<'_, '_, D> {
    /// Sends the request and passes the response on to the client.
    pub(crate) async fn run(mut self) -> CallEnd {
        let Some(mut connection) = self.connect().await else {
            return CallEnd::Failed(SendFailure::Unsent, None);
        };
        let _guard = self.state.pool.guard(self.decision.endpoint);
        let Ok(mut request) = self.encode(&mut connection) else {
            return CallEnd::Failed(SendFailure::Unsent, None);
        };
        let EndpointConnection { mut stream, codec, mut buf, history, opened_at } = connection;
        let sent_at = self.state.now();
        let (mut read, mut write) = stream.split();
        if !write_available(&mut write, &mut request).await {
            return CallEnd::Failed(SendFailure::Unsent, None);
        }
        let is_head_request = self.incoming.head.method == actix_http::Method::HEAD;
        let mut reader = ResponseReader::new(&mut read, &mut buf, codec);
        let head = while_writing_rest(
            self.read_head(&mut reader, is_head_request, sent_at),
            &mut write,
            &mut request,
        )
        .await;
        let (head, upload) = match head {
            (Ok(head), upload) => (head, upload),
            (Err(ResponseError::Endless), _) => {
                self.log_endless(ResponseError::Endless);
                return CallEnd::Failed(SendFailure::Unusable, None);
            }
            (Err(ResponseError::Broken), _) => return CallEnd::Failed(SendFailure::NoAnswer, None),
        };
        let connected_at = self.state.time(opened_at);
        if let Some(sign) = self.sign_of(&head, connected_at, sent_at) {
            self.state.activity.record(self.decision.endpoint, sign);
        }
        let keep_alive = head.info.keep_alive;
        let reusable = head.reusable && upload == Upload::Whole && head.head.keep_alive();
        if upload == Upload::Failed {
            reader.distrust_close();
        }
        let end = self.pass_response(head, &mut reader).await;
        let reusable = reusable && self.state.takes_work(self.decision.endpoint);
        if let (true, Some(codec)) = (reusable, reader.into_codec()) {
            let mut connection = EndpointConnection { stream, codec, buf, history, opened_at };
            let is_served = matches!(end, CallEnd::Finished(_));
            connection.history.record(Arc::clone(&self.incoming.info.id), is_served);
            self.state.pool.put(self.decision.endpoint, connection, keep_alive);
        }
        end
    }

    async fn connect(&self) -> Option<EndpointConnection> {
        let repeatable = self.decision.kind.repeatable() || self.decision.task == Task::Prefill;
        let max_idle = if repeatable { NO_AGE_LIMIT } else { MAX_IDLE_FOR_NON_REPEATABLE };
        if let Some(idle) = self.take_idle(max_idle) {
            return Some(idle);
        }
        if self.state.pool.connection_count(self.decision.endpoint) >= self.decision.max_connections
        {
            return None;
        }
        EndpointConnection::open(self.decision.address, &self.state.http).await.ok()
    }

    fn take_idle(&self, max_idle: Duration) -> Option<EndpointConnection> {
        self.state.pool.take(self.decision.endpoint, max_idle, &self.incoming.info.id)
    }

    /// Returns the request as it is sent. It shares the client's body.
    fn encode(&self, connection: &mut EndpointConnection) -> std::io::Result<impl Buf + use<D>> {
        let last_event_id = self.response_writer.last_event_id();
        let params = ForwardParams {
            expected_endpoint: &self.decision.name,
            task: &self.decision.task,
            time_limit: self.decision.endpoint_time(self.state.now()),
            priority: self.decision.priority,
            identity: &self.decision.identity,
            fetch_from: self.decision.fetch_from,
            last_event_id: last_event_id.as_deref(),
        };
        let head = self.state.dialect.build_request(&self.incoming.head, params);
        let body = &self.incoming.body;
        let has_body = !body.is_empty() || self.incoming.head.method == actix_http::Method::POST;
        let size = if has_body { BodySize::Sized(body.len() as u64) } else { BodySize::None };
        let mut bytes = BytesMut::with_capacity(1024);
        let message = Message::Item((RequestHeadType::Owned(head), size));
        connection.codec.encode(message, &mut bytes)?;
        Ok(bytes.chain(body.reader()))
    }

    /// Reads the head of the matching response and drops late responses to earlier requests.
    async fn read_head(
        &self,
        reader: &mut ResponseReader<'_, '_>,
        is_head_request: bool,
        sent_at: Time,
    ) -> Result<ReceivedHead, ResponseError> {
        for late in 0..MAX_LATE_RESPONSES {
            let head = reader.head(is_head_request).await?;
            let info = self.state.dialect.parse_response(&head, &self.incoming.info.id);
            self.state.record_notices(self.decision.endpoint, &info, sent_at);
            if info.id_matches {
                return Ok(ReceivedHead { head, info, reusable: late == 0 });
            }
            self.log_late_response(&head);
            reader.skip(MAX_LATE_BODY_BYTES).await?;
        }
        Err(ResponseError::Broken)
    }

    fn log_late_response(&self, head: &ResponseHead) {
        let (request, endpoint) = (&self.incoming.info.id, &self.decision.name);
        let status = head.status.as_u16();
        log::warn!(request:%, endpoint:%, status; "late response to another request dropped");
        metrics::counter!("daisychute_late_answers_total").increment(1);
    }

    /// Returns what the response to a request tells of its endpoint, if anything: the request was sent at `sent_at`, on a
    /// connection from `connected_at`.
    fn sign_of(
        &self,
        head: &ReceivedHead,
        connected_at: Time,
        sent_at: Time,
    ) -> Option<EndpointSign> {
        if head.info.not_run && !head.info.misdirected {
            return Some(EndpointSign::Refused { sent_at });
        }
        let began_at = self.state.now();
        let has_begun = head.info.signed && head.head.status.is_success();
        has_begun.then_some(EndpointSign::Responded { connected_at, sent_at, began_at })
    }

    /// Reports the endpoint's load, if the response carries it, and passes the response on.
    async fn pass_response(
        &mut self,
        head: ReceivedHead,
        reader: &mut ResponseReader<'_, '_>,
    ) -> CallEnd {
        let ReceivedHead { head, info, .. } = head;
        if let Some(sample) = info.load {
            self.state.handle(Event::LoadReported { key: self.key, sample });
        }
        self.pass_body(head, info, reader).await
    }

    async fn pass_body(
        &mut self,
        head: ResponseHead,
        info: ResponseInfo,
        reader: &mut ResponseReader<'_, '_>,
    ) -> CallEnd {
        if info.not_run || info.misdirected {
            // Reads the body to its end so that the connection can be reused.
            let _ = reader.collect(MAX_PREFILL_RESPONSE_BYTES).await;
            let failure = SendFailure::NotRun { misdirected: info.misdirected };
            return CallEnd::Failed(failure, None);
        }
        if self.decision.task == Task::Prefill {
            return self.read_prefill_response(&head, reader).await;
        }
        if !head.status.is_success() {
            return self.read_error_response(head, reader).await;
        }
        if !info.signed || info.encoded || self.is_too_long(&head) {
            return CallEnd::Failed(SendFailure::Unusable, None);
        }
        self.state.handle(Event::ResponseStarted { key: self.key });
        if self.decision.kind.is_stream() {
            self.pass_stream(&head, reader).await
        } else {
            self.pass_buffered(&head, reader).await
        }
    }

    /// Whether the response declares a length that can't be passed on before the deadline.
    fn is_too_long(&self, head: &ResponseHead) -> bool {
        let length = head.headers.get(header::CONTENT_LENGTH);
        let length = length.and_then(|it| it.to_str().ok()?.parse().ok()).unwrap_or(0);
        let min_time = Duration::from_secs(length / MAX_RATE);
        let is_too_long = min_time > self.decision.deadline.since(self.state.now());
        if is_too_long {
            let (request, endpoint) = (&self.incoming.info.id, &self.decision.name);
            log::warn!(request:%, endpoint:%, bytes = length; "endpoint declares a response that is too long for the deadline");
        }
        is_too_long
    }

    async fn read_prefill_response(
        &self,
        head: &ResponseHead,
        reader: &mut ResponseReader<'_, '_>,
    ) -> CallEnd {
        if head.status != StatusCode::OK {
            return CallEnd::Failed(SendFailure::Unusable, None);
        }
        let body = match reader.collect(MAX_PREFILL_RESPONSE_BYTES).await {
            Ok(Collected::Whole(body)) => body,
            Ok(Collected::TooLong(_)) => return CallEnd::Failed(SendFailure::Unusable, None),
            Err(_) => return CallEnd::Failed(SendFailure::NoAnswer, None),
        };
        match self.state.dialect.parse_kv_handle(&body) {
            Some(handle) => CallEnd::Prefilled(handle),
            None => CallEnd::Failed(SendFailure::Unusable, None),
        }
    }

    async fn read_error_response(
        &self,
        head: ResponseHead,
        reader: &mut ResponseReader<'_, '_>,
    ) -> CallEnd {
        // Clients take these statuses as a promise that the request hasn't run, which the endpoint didn't give.
        let not_run_statuses = [408, 421, 429, 503];
        if not_run_statuses.contains(&head.status.as_u16()) {
            return CallEnd::Failed(SendFailure::Unusable, None);
        }
        let sentinel = self.open_sentinel(reader);
        match reader.collect(MAX_BUFFERED_BYTES).await {
            // An endpoint that stops before its body closes the connection in the same way.
            Ok(Collected::Whole(body))
                if body.is_empty() && reader.framing() == Framing::UntilClose =>
            {
                CallEnd::Failed(SendFailure::NoAnswer, None)
            }
            Ok(Collected::Whole(body)) => {
                if self.is_confirmed(self.body_end(reader), sentinel).await {
                    let response = ErrorResponse { head, body };
                    CallEnd::Failed(SendFailure::ServerError, Some(response))
                } else {
                    CallEnd::Failed(SendFailure::NoAnswer, None)
                }
            }
            Ok(Collected::TooLong(_)) => CallEnd::Failed(SendFailure::Unusable, None),
            Err(_) => CallEnd::Failed(SendFailure::NoAnswer, None),
        }
    }

    /// Passes a non-streaming response on: in one piece if it fits the buffer, in chunks otherwise.
    async fn pass_buffered(
        &mut self,
        head: &ResponseHead,
        reader: &mut ResponseReader<'_, '_>,
    ) -> CallEnd {
        let sentinel = self.open_sentinel(reader);
        let mut meter = BodyMeter::new(self.state, self.key, self.processor);
        let mut part = match reader.collect(MAX_BUFFERED_BYTES).await {
            // An endpoint that stops before its body closes the connection in the same way.
            Ok(Collected::Whole(body))
                if body.is_empty() && reader.framing() == Framing::UntilClose =>
            {
                return self.truncated(ResponseError::Broken);
            }
            Ok(Collected::Whole(body)) => {
                let body_end = self.body_end(reader);
                let json_is_complete = match body_end.framing {
                    Framing::Length => Some(true),
                    Framing::Chunked | Framing::UntilClose => json_is_complete(head, &body),
                };
                let is_complete = match json_is_complete {
                    Some(is_complete) => is_complete,
                    None => self.is_confirmed(body_end, sentinel).await,
                };
                if !is_complete {
                    return self.truncated(ResponseError::Broken);
                }
                return match self.response_writer.write_response(head, &body).await {
                    Ok(()) => CallEnd::Finished(body_end),
                    Err(disconnected) => disconnected.into(),
                };
            }
            Ok(Collected::TooLong(part)) => Some(part),
            Err(e) => return self.truncated(e),
        };
        while let Some(bytes) = part {
            meter.record(bytes.len()).await;
            if let Err(disconnected) = self.response_writer.write_chunk(head, &bytes).await {
                return disconnected.into();
            }
            part = match reader.next().await {
                Ok(part) => part,
                Err(e) => return self.truncated(e),
            };
        }
        let body_end = self.body_end(reader);
        if !self.is_confirmed(body_end, sentinel).await {
            return self.truncated(ResponseError::Broken);
        }
        self.finish(body_end).await
    }

    async fn pass_stream(
        &mut self,
        head: &ResponseHead,
        reader: &mut ResponseReader<'_, '_>,
    ) -> CallEnd {
        let sentinel = self.open_sentinel(reader);
        self.response_writer.begin_stream();
        let mut meter = BodyMeter::new(self.state, self.key, self.processor);
        let mut has_events = false;
        let mut read_before = 0;
        loop {
            match reader.next().await {
                Ok(Some(bytes)) => {
                    if let Some(events) = self.response_writer.complete_events(&bytes) {
                        read_before = reader.bytes_read();
                        meter.record(events.len()).await;
                        has_events = true;
                        self.state.handle(Event::FirstOutput { key: self.key });
                        let written = self.response_writer.write_chunk(head, &events).await;
                        if let Err(disconnected) = written {
                            return disconnected.into();
                        }
                    }
                    if let Some(disorder) = self.response_writer.disorder() {
                        return self.disordered(disorder);
                    }
                    let framed_bytes = reader.bytes_read() - read_before;
                    if self.response_writer.partial_bytes() > MAX_EVENT_BYTES
                        || framed_bytes > MAX_FRAMED_EVENT_BYTES
                    {
                        return self.truncated(ResponseError::Endless);
                    }
                }
                Ok(None) => break,
                Err(e) => return self.truncated(e),
            }
        }
        let body_end = self.body_end(reader);
        if self.is_broken_off(body_end.framing, has_events) {
            return self.truncated(ResponseError::Broken);
        }
        if !self.is_confirmed(body_end, sentinel).await {
            return self.truncated(ResponseError::Broken);
        }
        match self.response_writer.write_rest(head).await {
            Ok(()) => self.finish(body_end).await,
            Err(disconnected) => disconnected.into(),
        }
    }

    /// The end of an attempt whose events are out of order. Its endpoint is alive, but its run can't be passed on.
    fn disordered(&self, disorder: Disorder) -> CallEnd {
        let (request, endpoint) = (&self.incoming.info.id, &self.decision.name);
        let how = disorder.as_str();
        log::warn!(request:%, endpoint:%, how, error:% = disorder; "events of a stream are out of order");
        metrics::counter!("daisychute_streams_out_of_order_total", "how" => how).increment(1);
        CallEnd::Failed(self.resumable(SendFailure::Unusable), None)
    }

    /// Returns `failure`, unless no other attempt can continue what the client has.
    fn resumable(&self, failure: SendFailure) -> SendFailure {
        if self.response_writer.is_resumable() { failure } else { SendFailure::Unresumable }
    }

    /// Whether a body that ends in order now may lack its end, as far as its framing, the time and its endpoint tell.
    fn is_in_doubt(&self, framing: Framing) -> bool {
        match framing {
            Framing::Length => false,
            Framing::Chunked => self.has_timed_out() || self.must_outlive_chunks(),
            Framing::UntilClose => true,
        }
    }

    /// Whether a body that ended in order is whole, also if that was in doubt.
    async fn is_confirmed(&self, body_end: BodyEnd, sentinel: Option<Sentinel>) -> bool {
        if !self.is_in_doubt(body_end.framing) {
            return true;
        }
        if self.has_timed_out() {
            self.log_late_end(body_end);
            // The deadline ends the request, which is no fault of its endpoint.
            std::future::pending::<()>().await;
        }
        let open_sentinel = || Sentinel::open(self.state, self.key, self.decision);
        self.is_outlived(body_end, sentinel.unwrap_or_else(open_sentinel)).await
    }

    /// Whether the endpoint may have stopped because its time was over.
    fn has_timed_out(&self) -> bool {
        self.decision.may_have_timed_out(self.state.now())
    }

    /// Whether the endpoint leaves, and may have given up its response in chunks.
    fn must_outlive_chunks(&self) -> bool {
        let (now, endpoint) = (self.state.now(), self.decision.endpoint);
        self.state.with_dispatcher(|it| it.must_outlive_chunks(now, endpoint, self.began_at))
    }

    fn log_late_end(&self, BodyEnd { framing, left_ms, .. }: BodyEnd) {
        let (request, endpoint) = (&self.incoming.info.id, &self.decision.name);
        let ended_by = framing.end_as_str();
        log::warn!(request:%, endpoint:%, ended_by, left_ms; "response ended after its deadline");
        metrics::counter!("daisychute_responses_ended_late_total").increment(1);
    }

    /// Opens a second connection to the endpoint of a response that only the end of its connection ends.
    fn open_sentinel(&self, reader: &ResponseReader<'_, '_>) -> Option<Sentinel> {
        let is_open_ended = reader.framing() == Framing::UntilClose;
        is_open_ended.then(|| Sentinel::open(self.state, self.key, self.decision))
    }

    /// Whether the endpoint outlives its response. The system closes the connections of a process that has ended in the same way as
    /// the process itself, and a process that is told to stop may end its responses in the same way as whole ones.
    async fn is_outlived(&self, body_end: BodyEnd, sentinel: Sentinel) -> bool {
        let mut looks = Looks::new(Instant::now());
        self.state.handle(Event::ResponseEnded { key: self.key });
        let is_passed = self.response_writer.head_passed();
        // What is left of a process that was replaced may have been held up on the way, its beginning too.
        let is_replaced = || body_end.framing == Framing::UntilClose && self.is_replaced();
        let (key, decision) = (self.key, self.decision);
        let is_confirmed = !is_replaced()
            && sentinel.confirms(self.state, key, decision, is_passed, &mut looks).await
            && !is_replaced();
        self.log_outlived(body_end.framing, is_confirmed, &looks);
        is_confirmed
    }

    /// Whether a later start of the endpoint is listed.
    fn is_replaced(&self) -> bool {
        let SendDecision { name, endpoint, .. } = self.decision;
        self.state.with_dispatcher(|it| it.is_replaced(name, *endpoint))
    }

    /// Logs and counts a response whose endpoint was watched after its end.
    fn log_outlived(&self, framing: Framing, is_confirmed: bool, looks: &Looks) {
        let (request, endpoint) = (&self.incoming.info.id, &self.decision.name);
        let looked_for = looks.elapsed();
        let (address, looked_ms) = (self.decision.address, looked_for.as_millis());
        let ended_by = framing.end_as_str();
        let verdict = if is_confirmed { "whole" } else { "ended_early" };
        metrics::histogram!("daisychute_end_of_response_seconds", "verdict" => verdict)
            .record(looked_for);
        if !is_confirmed {
            log::warn!(request:%, endpoint:%, address:%, ended_by, looked_ms, looks:%; "response ended with its endpoint");
            metrics::counter!("daisychute_responses_ended_early_total").increment(1);
        } else if framing == Framing::UntilClose {
            log::info!(request:%, endpoint:%, address:%, looked_ms, looks:%; "response ended by the close of its connection");
        } else {
            log::info!(request:%, endpoint:%, address:%, looked_ms, looks:%; "response of a leaving endpoint ended before it");
        }
    }

    /// Whether a stream whose body has ended lacks its last events, as its bytes tell.
    fn is_broken_off(&mut self, framing: Framing, has_events: bool) -> bool {
        let inside_event = self.response_writer.is_inside_event();
        if inside_event {
            self.log_end_inside_event(framing);
        }
        let is_empty = !has_events && self.incoming.head.method != actix_http::Method::HEAD;
        // A run begins with an event. Only one that continues a stream may have none left.
        if is_empty && framing != Framing::UntilClose {
            return inside_event || !self.response_writer.has_begun();
        }
        // An endpoint that stops before its first event closes the connection in the same way.
        if is_empty && !inside_event {
            self.response_writer.record_empty_run();
        }
        inside_event || (is_empty && !self.response_writer.has_nothing_left())
    }

    fn log_end_inside_event(&self, framing: Framing) {
        let (request, endpoint) = (&self.incoming.info.id, &self.decision.name);
        let (framing, bytes) = (framing.as_str(), self.response_writer.partial_bytes());
        log::warn!(request:%, endpoint:%, framing, bytes; "stream ended inside an event");
    }

    /// The end of an attempt whose response lacks its end.
    fn truncated(&self, error: ResponseError) -> CallEnd {
        self.log_endless(error);
        let head_passed = self.response_writer.head_passed();
        CallEnd::Failed(self.resumable(SendFailure::MidAnswer { head_passed }), None)
    }

    fn log_endless(&self, error: ResponseError) {
        if error == ResponseError::Endless {
            let (request, endpoint) = (&self.incoming.info.id, &self.decision.name);
            log::warn!(request:%, endpoint:%; "endpoint sends bytes without end; connection closed");
        }
    }

    /// The end of the present response's body, which was read now.
    fn body_end(&self, reader: &ResponseReader<'_, '_>) -> BodyEnd {
        BodyEnd::new(self.state, self.decision, reader.framing())
    }

    async fn finish(&mut self, body_end: BodyEnd) -> CallEnd {
        match self.response_writer.finish().await {
            Ok(()) => CallEnd::Finished(body_end),
            Err(disconnected) => disconnected.into(),
        }
    }
}

/// Writes as many bytes as the kernel accepts at once. Returns `false` if it accepts none: then no byte has left.
async fn write_available(write: &mut WriteHalf<'_>, request: &mut impl Buf) -> bool {
    matches!(write.write_buf(request).await, Ok(1..))
}

/// How much of a request was written when its response began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Upload {
    /// All of it.
    Whole,
    /// A part. No more is written.
    Unfinished,
    /// A part, after which writing failed. That may have been a reset, which the system tells of only once.
    Failed,
}

/// Writes the rest of the request while `response` runs.
async fn while_writing_rest<T>(
    response: impl Future<Output = T>,
    write: &mut WriteHalf<'_>,
    rest: &mut impl Buf,
) -> (T, Upload) {
    if !rest.has_remaining() {
        return (response.await, Upload::Whole);
    }
    let mut response = std::pin::pin!(response);
    tokio::select! {
        biased;
        out = &mut response => (out, Upload::Unfinished),
        written = write.write_all_buf(rest) => {
            // An endpoint that stops reading may have responded nonetheless.
            let upload = if written.is_ok() { Upload::Whole } else { Upload::Failed };
            (response.await, upload)
        }
    }
}

/// Whether the object or array that a JSON body consists of is complete. `None` if the body is no such JSON, so that its
/// content doesn't tell.
fn json_is_complete(head: &ResponseHead, body: &[u8]) -> Option<bool> {
    let content_type = head.headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
    let is_json = content_type.split(';').next()?.trim().eq_ignore_ascii_case("application/json");
    let is_nested = matches!(body.trim_ascii_start().first(), Some(b'{' | b'['));
    if !is_json || !is_nested {
        return None;
    }
    match serde_json::from_slice::<IgnoredAny>(body) {
        Ok(_) => Some(true),
        Err(e) => e.is_eof().then_some(false),
    }
}
