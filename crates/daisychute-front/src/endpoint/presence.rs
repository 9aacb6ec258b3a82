//! Whether an endpoint outlives a response that only its connection ends.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message};
use actix_http::header::{self, HeaderValue};
use actix_http::{RequestHead, RequestHeadType, ResponseHead, StatusCode};
use actix_rt::task::JoinHandle;
use bytes::BytesMut;
use daisychute_core::{EndpointName, Time};
use daisychute_dispatch::{EndStep, EndpointSign, RequestKey, ResponseEnd, SendDecision};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout};
use tokio_util::codec::Encoder;

use crate::Dialect;
use crate::endpoint::connection::EndpointConnection;
use crate::endpoint::control_call::{ControlCallError, control_call_head};
use crate::endpoint::looks::Looks;
use crate::endpoint::pool::{ConnectionGuard, MAX_IDLE_FOR_NON_REPEATABLE};
use crate::endpoint::response_reader::ResponseReader;
use crate::state::FrontState;

/// Time limit for the response to a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that a check has in any case.
const MIN_CHECK_TIME: Duration = Duration::from_millis(100);
/// Maximum size of the body of a response, which is dropped.
const MAX_RESPONSE_BYTES: usize = 4 * 1024;

/// A second connection to an endpoint that sends a response without length and chunks, with a health check on it. The
/// system closes both connections when the process of the endpoint ends; the endpoint itself closes only the one that
/// ends its response. The check tells whether it is the endpoint that accepted, or another one at its address.
pub(crate) struct Sentinel {
    connecting: JoinHandle<Result<Confirmed, EndpointSign>>,
    opened_at: Instant,
    _guard: Option<ConnectionGuard>,
}

/// A connection that the endpoint itself has accepted.
struct Confirmed {
    connection: EndpointConnection,
    /// Time that the endpoint took to answer the check; zero if it takes none now.
    answer_time: Duration,
}

impl Drop for Sentinel {
    fn drop(&mut self) {
        self.connecting.abort();
    }
}

impl Sentinel {
    /// Connects to the endpoint that has begun its response, unless it has as many connections as it may.
    pub(crate) fn open<D: Dialect>(
        state: &Rc<FrontState<D>>,
        request: RequestKey,
        decision: &SendDecision,
    ) -> Self {
        let SendDecision { endpoint, ref name, address, max_connections, .. } = *decision;
        let has_room = state.pool.connection_count(endpoint) < max_connections;
        let path = state.with_dispatcher(|it| it.health_path(state.now(), request, endpoint));
        let check = path.map(|it| state.dialect.health_check(&it, name));
        let _guard = has_room.then(|| state.pool.guard(endpoint));
        let (state, name) = (Rc::clone(state), name.clone());
        let connecting = actix_rt::spawn(async move {
            if !has_room {
                return Err(EndpointSign::Unwatched);
            }
            let opened = EndpointConnection::open(address, &state.http).await;
            let mut connection = opened.map_err(|_| EndpointSign::Unwatched)?;
            let sent_at = Instant::now();
            let Some(check) = check else {
                return Ok(Confirmed { connection, answer_time: Duration::ZERO });
            };
            let head = send_check(&state, &mut connection, check, address).await;
            let head = head.map_err(|_| EndpointSign::Unwatched)?;
            match Sender::of(&state, &head, &name) {
                Sender::Endpoint => Ok(Confirmed { connection, answer_time: sent_at.elapsed() }),
                Sender::Other => Err(EndpointSign::Gone),
                Sender::Unknown => Err(EndpointSign::Unwatched),
            }
        });
        Self { connecting, opened_at: Instant::now(), _guard }
    }

    /// Returns whether the endpoint outlives its response, which has ended. Its address may be in use again. With
    /// `is_passed`, the client has the response but for its end. `looks` records what was seen.
    pub(crate) async fn confirms<D: Dialect>(
        mut self,
        state: &Rc<FrontState<D>>,
        request: RequestKey,
        decision: &SendDecision,
        is_passed: bool,
        looks: &mut Looks,
    ) -> bool {
        let now = state.now();
        let hold = state.with_dispatcher(|it| it.end_hold(now, request, is_passed));
        let mut end = ResponseEnd::new(now, hold);
        let mut signs = state.activity.watch(decision.endpoint);
        let mut connection = None;
        let mut is_connecting = true;
        let mut check_timeout = CHECK_TIMEOUT;
        let mut step = end.first_step();
        loop {
            let sign = match step {
                EndStep::Whole => break,
                EndStep::Unconfirmed => return false,
                EndStep::Check => {
                    let asked_at = state.now();
                    let check = check(state, request, decision, connection.as_ref());
                    let max_time = check_timeout.min(end.time_left(asked_at).max(MIN_CHECK_TIME));
                    let outcome = timeout(max_time, check).await;
                    let (finding, status) = outcome.unwrap_or((Finding::Unanswered, None));
                    let answered_at = state.now();
                    looks.record_check(status, answered_at.since(asked_at));
                    let sign = finding.into_sign(asked_at, answered_at);
                    // Others that wait for a sign of this endpoint needn't ask as well.
                    state.activity.record(decision.endpoint, sign);
                    sign
                }
                EndStep::WaitUntil(time) => tokio::select! {
                    biased;
                    connected = &mut self.connecting, if is_connecting => {
                        is_connecting = false;
                        match connected.unwrap_or(Err(EndpointSign::Unwatched)) {
                            Ok(confirmed) => {
                                connection = Some(confirmed.connection);
                                let answer_time = confirmed.answer_time * 2;
                                check_timeout = check_timeout.max(answer_time);
                                step = end.allow_answer_time(answer_time);
                                continue;
                            }
                            Err(sign) => sign,
                        }
                    }
                    () = closed(connection.as_ref()) => {
                        connection = None;
                        EndpointSign::Unwatched
                    }
                    sign = signs.next() => sign,
                    () = sleep_until(state.instant(time).into()) => {
                        // The timer of a process that was suspended may be seen before the close.
                        let watched =
                            connection.as_ref().is_some_and(EndpointConnection::is_reusable);
                        EndpointSign::Due { watched }
                    }
                },
            };
            looks.record(sign);
            step = end.next_step(state.now(), sign);
        }
        // An older connection may be about to be closed as idle.
        let is_fresh = self.opened_at.elapsed() < MAX_IDLE_FOR_NON_REPEATABLE;
        if let Some(connection) = connection
            && is_fresh
            && state.takes_work(decision.endpoint)
        {
            state.pool.put(decision.endpoint, connection, None);
        }
        true
    }
}

/// Sends a check on a connection and reads the response. Returns its head.
async fn send_check<D: Dialect>(
    state: &Rc<FrontState<D>>,
    connection: &mut EndpointConnection,
    mut check: RequestHead,
    address: SocketAddr,
) -> Result<ResponseHead, ControlCallError> {
    if let Ok(host) = HeaderValue::try_from(address.to_string()) {
        check.headers.insert(header::HOST, host);
    }
    let EndpointConnection { stream, codec, buf, .. } = connection;
    let mut out = BytesMut::new();
    let message = Message::Item((RequestHeadType::Owned(check), BodySize::None));
    codec.encode(message, &mut out)?;
    stream.write_all(&out).await?;
    let (mut read, _) = stream.split();
    let own_codec = std::mem::replace(codec, ClientCodec::new(state.http.clone()));
    let mut reader = ResponseReader::new(&mut read, buf, own_codec);
    let head = reader.head(false).await?;
    reader.skip(MAX_RESPONSE_BYTES).await?;
    Ok(head)
}

/// Waits until a connection is closed, or has unexpected bytes, after which nothing tells its end.
async fn closed(connection: Option<&EndpointConnection>) {
    match connection {
        Some(connection) => _ = connection.stream.peek(&mut [0]).await,
        None => std::future::pending().await,
    }
}

/// What a check found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Finding {
    Present,
    Gone,
    Unanswered,
}

impl Finding {
    const fn into_sign(self, asked_at: Time, answered_at: Time) -> EndpointSign {
        match self {
            Self::Present => EndpointSign::Answered { asked_at, answered_at },
            Self::Gone => EndpointSign::Gone,
            Self::Unanswered => EndpointSign::Unanswered,
        }
    }

    /// What an attempt to connect tells.
    fn of_connection(error: Option<std::io::Error>) -> Self {
        match error {
            Some(e) if e.kind() == ErrorKind::ConnectionRefused => Self::Gone,
            _ => Self::Unanswered,
        }
    }
}

/// Who answered a check.
enum Sender {
    /// The endpoint that was asked.
    Endpoint,
    /// Another endpoint, which listens on its address now.
    Other,
    /// The answer doesn't tell.
    Unknown,
}

impl Sender {
    fn of<D: Dialect>(
        state: &Rc<FrontState<D>>,
        head: &ResponseHead,
        endpoint: &EndpointName,
    ) -> Self {
        match state.dialect.sender(head) {
            _ if head.status == StatusCode::MISDIRECTED_REQUEST => Self::Other,
            Some(name) if name == endpoint.as_str() => Self::Endpoint,
            Some(_) => Self::Other,
            None => Self::Unknown,
        }
    }
}

/// Checks the endpoint of a request: by a health check if it takes one now, else by its open connection or a new one.
/// Returns the status of an answer with what was found.
async fn check<D: Dialect>(
    state: &Rc<FrontState<D>>,
    request: RequestKey,
    decision: &SendDecision,
    connection: Option<&EndpointConnection>,
) -> (Finding, Option<StatusCode>) {
    let SendDecision { endpoint, ref name, address, .. } = *decision;
    let path = state.with_dispatcher(|it| it.health_path(state.now(), request, endpoint));
    let Some(path) = path else {
        if connection.is_some_and(EndpointConnection::is_reusable) {
            return (Finding::Present, None);
        }
        return (Finding::of_connection(TcpStream::connect(address).await.err()), None);
    };
    let check = state.dialect.health_check(&path, name);
    match control_call_head(state, endpoint, address, check).await {
        Ok(head) => {
            let finding = match Sender::of(state, &head, name) {
                Sender::Endpoint => Finding::Present,
                Sender::Other => Finding::Gone,
                Sender::Unknown => Finding::Unanswered,
            };
            (finding, Some(head.status))
        }
        Err(ControlCallError::Io(e)) => (Finding::of_connection(Some(e)), None),
        Err(_) => (Finding::Unanswered, None),
    }
}
