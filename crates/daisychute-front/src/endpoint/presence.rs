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

/// A second connection to an endpoint that sends a response without length and chunks, with health checks on it. The
/// system closes both connections when the process of the endpoint ends; the endpoint itself closes only the one that
/// ends its response. The first check tells whether it is the endpoint that accepted, or another one at its address. Later
/// ones are sent on the same connection: a new one may be accepted by a later start of the endpoint, under the same name. If
/// the endpoint closes each connection after its answer, another one is kept for the last check.
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
    /// Whether the endpoint keeps connections open after an answer. If not, nothing was sent on this one.
    is_persistent: bool,
}

impl Confirmed {
    fn into_link(self) -> Link {
        if self.is_persistent { Link::Open(self.connection) } else { Link::Kept(self.connection) }
    }
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
        let opened_at = Instant::now();
        let connecting = actix_rt::spawn(async move {
            if !has_room {
                return Err(EndpointSign::Unwatched);
            }
            let confirmed = open(&state, opened_at, check, &name, address).await?;
            if confirmed.is_persistent {
                return Ok(confirmed);
            }
            let kept = EndpointConnection::open_since(opened_at, address, &state.http).await;
            let connection = kept.map_err(|_| EndpointSign::Unwatched)?;
            Ok(Confirmed { connection, ..confirmed })
        });
        Self { connecting, opened_at, _guard }
    }

    /// Returns whether the process of the endpoint outlives its response, which has ended. Its address may be in use again, by a
    /// later start of the endpoint too. With
    /// `is_passed`, the client has the response but for its end. `looks` records what was seen.
    pub(crate) async fn confirms<D: Dialect>(
        mut self,
        state: &Rc<FrontState<D>>,
        request: RequestKey,
        decision: &SendDecision,
        is_passed: bool,
        looks: &mut Looks,
    ) -> bool {
        let ended_at = state.now();
        let hold = state.with_dispatcher(|it| it.end_hold(ended_at, request, is_passed));
        let mut end = ResponseEnd::new(ended_at, hold);
        let mut signs = state.activity.watch(decision.endpoint);
        let mut link = Link::Connecting;
        let mut check_timeout = CHECK_TIMEOUT;
        let mut step = end.first_step();
        loop {
            let sign = match step {
                EndStep::Whole => break,
                EndStep::Unconfirmed => return false,
                EndStep::Check | EndStep::Confirm => {
                    let asked_at = state.now();
                    link.ask(state, request, decision, step == EndStep::Confirm);
                    let max_time = check_timeout.min(end.time_left(asked_at).max(MIN_CHECK_TIME));
                    let answer = timeout(max_time, link.answer(state, request, decision)).await;
                    let Answer { sign, status } = answer.unwrap_or(Answer::NONE);
                    looks.record_check(status, state.now().since(asked_at));
                    // Others that wait for a sign of this endpoint needn't ask as well.
                    state.activity.record(decision.endpoint, sign);
                    sign
                }
                EndStep::WaitUntil(time) => tokio::select! {
                    biased;
                    connected = &mut self.connecting, if matches!(link, Link::Connecting) => {
                        match connected.unwrap_or(Err(EndpointSign::Unwatched)) {
                            Ok(confirmed)
                                if state.time(confirmed.connection.opened_at) <= ended_at =>
                            {
                                let answer_time = confirmed.answer_time * 2;
                                link = confirmed.into_link();
                                check_timeout = check_timeout.max(answer_time);
                                step = end.allow_answer_time(answer_time);
                                continue;
                            }
                            // A later start of the endpoint may have accepted the connection.
                            Ok(_) => {
                                link = Link::Lost;
                                EndpointSign::Unwatched
                            }
                            Err(sign) => {
                                link = Link::Lost;
                                sign
                            }
                        }
                    }
                    Answer { sign, .. } = link.next_sign(state, request, decision) => {
                        state.activity.record(decision.endpoint, sign);
                        sign
                    }
                    sign = signs.next() => sign,
                    () = sleep_until(state.instant(time).into()) => {
                        // The timer of a process that was suspended may be seen before the close.
                        EndpointSign::Due { watched: link.is_open() }
                    }
                },
            };
            looks.record(sign);
            step = end.next_step(state.now(), sign);
        }
        // An older connection may be about to be closed as idle.
        let is_fresh = self.opened_at.elapsed() < MAX_IDLE_FOR_NON_REPEATABLE;
        if let Link::Open(connection) = link
            && is_fresh
            && state.takes_work(decision.endpoint)
        {
            state.pool.put(decision.endpoint, connection, None);
        }
        true
    }
}

/// The sentinel's connection after the end of the response.
enum Link {
    /// It is being opened, or the first check isn't answered.
    Connecting,
    /// It is open, and no check is under way.
    Open(EndpointConnection),
    /// It is open and takes one check, as its endpoint closes it then.
    Kept(EndpointConnection),
    /// A check was sent and isn't answered.
    Asked(Answering, Asked),
    /// It is closed. No other connection is known to lead to the process that responded.
    Lost,
}

/// Reads the answer to a check. Returns it with the connection.
struct Answering(JoinHandle<Result<(EndpointConnection, ResponseHead), ControlCallError>>);

impl Drop for Answering {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// When a check was sent, on a connection from `connected_at`.
#[derive(Debug, Clone, Copy)]
struct Asked {
    connected_at: Time,
    at: Time,
}

/// What came of a check: the sign, and the status of the answer if there was one.
struct Answer {
    sign: EndpointSign,
    status: Option<StatusCode>,
}

impl Answer {
    const NONE: Self = Self { sign: EndpointSign::Unanswered, status: None };

    fn of<D: Dialect>(
        state: &Rc<FrontState<D>>,
        head: &ResponseHead,
        endpoint: &EndpointName,
        Asked { connected_at, at: asked_at }: Asked,
    ) -> Self {
        let answered_at = state.now();
        let sign = match Sender::of(state, head, endpoint) {
            Sender::Endpoint => EndpointSign::Answered { connected_at, asked_at, answered_at },
            Sender::Other => EndpointSign::Gone,
            Sender::Unknown => EndpointSign::Unanswered,
        };
        Self { sign, status: Some(head.status) }
    }
}

/// Sends a check on a new connection, if the endpoint takes checks now.
async fn ask_anew<D: Dialect>(
    state: &Rc<FrontState<D>>,
    request: RequestKey,
    decision: &SendDecision,
) -> Answer {
    let SendDecision { endpoint, ref name, address, .. } = *decision;
    let path = state.with_dispatcher(|it| it.health_path(state.now(), request, endpoint));
    let Some(path) = path else { return Answer::NONE };
    let now = state.now();
    let asked = Asked { connected_at: now, at: now };
    let check = state.dialect.health_check(&path, name);
    match control_call_head(state, endpoint, address, check).await {
        Ok(head) => Answer::of(state, &head, name, asked),
        Err(ControlCallError::Io(e)) if e.kind() == ErrorKind::ConnectionRefused => {
            Answer { sign: EndpointSign::Gone, status: None }
        }
        Err(_) => Answer::NONE,
    }
}

impl Link {
    /// Sends a check, if the connection is open and the endpoint takes checks now. One that takes a single check is used for
    /// the last one.
    fn ask<D: Dialect>(
        &mut self,
        state: &Rc<FrontState<D>>,
        request: RequestKey,
        decision: &SendDecision,
        is_last: bool,
    ) {
        let SendDecision { endpoint, ref name, address, .. } = *decision;
        let path = state.with_dispatcher(|it| it.health_path(state.now(), request, endpoint));
        let Some(path) = path else { return };
        let mut connection = match std::mem::replace(self, Self::Lost) {
            Self::Open(connection) => connection,
            Self::Kept(connection) if is_last => connection,
            other => return *self = other,
        };
        let asked = Asked { connected_at: state.time(connection.opened_at), at: state.now() };
        let check = state.dialect.health_check(&path, name);
        let state = Rc::clone(state);
        let answering = actix_rt::spawn(async move {
            let head = send_check(&state, &mut connection, check, address).await?;
            state.record_notices(endpoint, &state.dialect.parse_response(&head, ""), asked.at);
            Ok((connection, head))
        });
        *self = Self::Asked(Answering(answering), asked);
    }

    /// Waits for the answer to the check under way. Without one, asks on a new connection, or tells whether this one is open, or
    /// whether anything listens at the address.
    async fn answer<D: Dialect>(
        &mut self,
        state: &Rc<FrontState<D>>,
        request: RequestKey,
        decision: &SendDecision,
    ) -> Answer {
        let (answering, asked) = match self {
            Self::Connecting => return std::future::pending().await,
            Self::Open(connection) => {
                let connected_at = state.time(connection.opened_at);
                let now = state.now();
                let sign = EndpointSign::Answered { connected_at, asked_at: now, answered_at: now };
                let sign = if connection.is_reusable() { sign } else { EndpointSign::Unanswered };
                return Answer { sign, status: None };
            }
            Self::Lost => {
                let refused = TcpStream::connect(decision.address).await.err();
                let is_refused =
                    refused.is_some_and(|it| it.kind() == ErrorKind::ConnectionRefused);
                let sign = if is_refused { EndpointSign::Gone } else { EndpointSign::Unanswered };
                return Answer { sign, status: None };
            }
            Self::Kept(_) => return ask_anew(state, request, decision).await,
            Self::Asked(answering, asked) => (answering, *asked),
        };
        let Ok(Ok((connection, head))) = (&mut answering.0).await else {
            *self = Self::Lost;
            return Answer { sign: EndpointSign::Unwatched, status: None };
        };
        *self = if head.keep_alive() { Self::Open(connection) } else { Self::Lost };
        Answer::of(state, &head, &decision.name, asked)
    }

    /// Whether the connection is open and idle.
    fn is_open(&self) -> bool {
        matches!(self, Self::Open(connection) if connection.is_reusable())
    }

    /// Waits for the answer to the check under way, or until the idle connection is closed. One that has unexpected bytes
    /// doesn't tell its end any more.
    async fn next_sign<D: Dialect>(
        &mut self,
        state: &Rc<FrontState<D>>,
        request: RequestKey,
        decision: &SendDecision,
    ) -> Answer {
        match self {
            Self::Asked(..) => self.answer(state, request, decision).await,
            Self::Open(connection) | Self::Kept(connection) => {
                // A failure ends the use of the connection as well.
                let _ = connection.stream.peek(&mut [0]).await;
                *self = Self::Lost;
                Answer { sign: EndpointSign::Unwatched, status: None }
            }
            Self::Connecting | Self::Lost => std::future::pending().await,
        }
    }
}

/// Opens a connection and asks who has accepted it.
async fn open<D: Dialect>(
    state: &Rc<FrontState<D>>,
    started: Instant,
    check: Option<RequestHead>,
    endpoint: &EndpointName,
    address: SocketAddr,
) -> Result<Confirmed, EndpointSign> {
    let opened = EndpointConnection::open_since(started, address, &state.http).await;
    let mut connection = opened.map_err(|_| EndpointSign::Unwatched)?;
    let Some(check) = check else {
        return Ok(Confirmed { connection, answer_time: Duration::ZERO, is_persistent: true });
    };
    let sent_at = Instant::now();
    let head = send_check(state, &mut connection, check, address).await;
    let head = head.map_err(|_| EndpointSign::Unwatched)?;
    let (answer_time, is_persistent) = (sent_at.elapsed(), head.keep_alive());
    match Sender::of(state, &head, endpoint) {
        Sender::Endpoint => Ok(Confirmed { connection, answer_time, is_persistent }),
        Sender::Other => Err(EndpointSign::Gone),
        Sender::Unknown => Err(EndpointSign::Unwatched),
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
