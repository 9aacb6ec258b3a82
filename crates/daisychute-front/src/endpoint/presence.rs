//! Whether an endpoint outlives a response that only its connection ends.

use std::io::ErrorKind;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message};
use actix_http::header::{self, HeaderValue};
use actix_http::{RequestHeadType, ResponseHead, StatusCode};
use actix_rt::task::JoinHandle;
use bytes::BytesMut;
use daisychute_core::Time;
use daisychute_dispatch::{EndStep, EndpointSign, RequestKey, ResponseEnd, SendDecision};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout};
use tokio_util::codec::Encoder;

use crate::Dialect;
use crate::endpoint::connection::EndpointConnection;
use crate::endpoint::control_call::{ControlCallError, control_call};
use crate::endpoint::pool::{ConnectionGuard, MAX_IDLE_FOR_NON_REPEATABLE};
use crate::endpoint::response_reader::ResponseReader;
use crate::state::FrontState;

/// Time limit for the response to a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of a response, which carries no content beyond its head.
const MAX_RESPONSE_BYTES: usize = 4 * 1024;

/// A second connection to an endpoint that sends a response without length and chunks, with a health check on it. The
/// system closes both connections when the process of the endpoint ends; the endpoint itself closes only the one that
/// ends its response. The check tells whether it is the endpoint that accepted, or another one at its address.
pub(crate) struct Sentinel {
    /// `None` if the endpoint has as many connections as it may, or if it can't be connected to.
    opening: JoinHandle<Option<EndpointConnection>>,
    opened_at: Instant,
    /// Whether a check was sent, since the endpoint takes one now.
    is_checked: bool,
    _guard: Option<ConnectionGuard>,
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
        let (is_checked, state) = (check.is_some(), Rc::clone(state));
        let opening = actix_rt::spawn(async move {
            if !has_room {
                return None;
            }
            let mut connection = EndpointConnection::open(address, &state.http).await.ok()?;
            if let Some(mut head) = check {
                head.headers.insert(header::HOST, HeaderValue::try_from(address.to_string()).ok()?);
                let message = Message::Item((RequestHeadType::Owned(head), BodySize::None));
                let mut out = BytesMut::new();
                connection.codec.encode(message, &mut out).ok()?;
                connection.stream.write_all(&out).await.ok()?;
            }
            Some(connection)
        });
        Self { opening, opened_at: Instant::now(), is_checked, _guard }
    }

    /// Returns whether the endpoint outlives its response, which has ended. Its address may be in use again. With
    /// `is_agreed`, another endpoint has ended the same stream after the same event.
    pub(crate) async fn confirms<D: Dialect>(
        self,
        state: &Rc<FrontState<D>>,
        request: RequestKey,
        decision: &SendDecision,
        is_agreed: bool,
    ) -> bool {
        let now = state.now();
        let hold = state.with_dispatcher(|it| it.end_hold(now, request, is_agreed));
        let end = ResponseEnd::new(now, hold);
        let mut activity = state.activity.watch(decision.endpoint);
        let opened_at = self.opened_at;
        let mut connection = None;
        let mut connecting = pin!(self.connect(state, decision));
        let mut is_connecting = true;
        let mut step = end.first_step();
        loop {
            let sign = match step {
                EndStep::Whole => break,
                EndStep::Unconfirmed => return false,
                EndStep::Check => check(state, request, decision).await,
                EndStep::WaitUntil(time) => tokio::select! {
                    biased;
                    connected = &mut connecting, if is_connecting => {
                        is_connecting = false;
                        match connected {
                            Ok(confirmed) => {
                                connection = Some(confirmed);
                                continue;
                            }
                            Err(sign) => sign,
                        }
                    }
                    () = closed(connection.as_ref()) => {
                        connection = None;
                        EndpointSign::Unwatched
                    }
                    sent_at = next_response(&mut activity) => EndpointSign::Responded { sent_at },
                    () = sleep_until(state.instant(time).into()) => {
                        // The timer of a process that was suspended may be seen before the close.
                        let is_open = connection.as_ref().is_some_and(EndpointConnection::is_reusable);
                        EndpointSign::Due { watched: is_open }
                    }
                },
            };
            step = end.next_step(state.now(), sign);
        }
        // An older connection may be about to be closed as idle.
        let is_fresh = opened_at.elapsed() < MAX_IDLE_FOR_NON_REPEATABLE;
        if let Some(connection) = connection
            && is_fresh
            && state.takes_work(decision.endpoint)
        {
            state.pool.put(decision.endpoint, connection, None);
        }
        true
    }

    /// Waits until the endpoint itself has answered on the connection, and returns that.
    ///
    /// # Errors
    ///
    /// The connection failed, or another endpoint answered.
    async fn connect<D: Dialect>(
        self,
        state: &Rc<FrontState<D>>,
        decision: &SendDecision,
    ) -> Result<EndpointConnection, EndpointSign> {
        let opened = self.opening.await.ok().flatten();
        let mut connection = opened.ok_or(EndpointSign::Unwatched)?;
        if self.is_checked {
            let EndpointConnection { stream, codec, buf, .. } = &mut connection;
            let (mut read, _) = stream.split();
            let own_codec = std::mem::replace(codec, ClientCodec::new(state.http.clone()));
            let mut reader = ResponseReader::new(&mut read, buf, own_codec);
            let head = reader.head(false).await.map_err(|_| EndpointSign::Unwatched)?;
            if is_other(state, &head, decision) {
                return Err(EndpointSign::Gone);
            }
            reader.skip(MAX_RESPONSE_BYTES).await.map_err(|_| EndpointSign::Unwatched)?;
        }
        Ok(connection)
    }
}

/// Waits until a connection is closed, or has unexpected bytes, after which nothing tells its end.
async fn closed(connection: Option<&EndpointConnection>) {
    match connection {
        Some(connection) => _ = connection.stream.peek(&mut [0]).await,
        None => std::future::pending().await,
    }
}

/// Waits until the endpoint begins a response. Returns when the request was sent.
async fn next_response(activity: &mut watch::Receiver<Time>) -> Time {
    // The front keeps the sender as long as there are receivers.
    if activity.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
    *activity.borrow_and_update()
}

/// Checks the endpoint of a request: by a health check if it takes one now, else by a connection alone.
async fn check<D: Dialect>(
    state: &Rc<FrontState<D>>,
    request: RequestKey,
    decision: &SendDecision,
) -> EndpointSign {
    let SendDecision { endpoint, ref name, address, .. } = *decision;
    let path = state.with_dispatcher(|it| it.health_path(state.now(), request, endpoint));
    let Some(path) = path else {
        let connected = timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
        return connected.map_or(EndpointSign::Unanswered, |it| of_connection(it.err()));
    };
    let check = state.dialect.health_check(&path, name);
    let call = control_call(state, endpoint, address, check, MAX_RESPONSE_BYTES);
    match timeout(CHECK_TIMEOUT, call).await {
        Ok(Ok((head, _))) if is_other(state, &head, decision) => EndpointSign::Gone,
        Ok(Err(ControlCallError::Status(StatusCode::MISDIRECTED_REQUEST))) => EndpointSign::Gone,
        Ok(Ok(_) | Err(ControlCallError::Status(_))) => EndpointSign::Present,
        Ok(Err(ControlCallError::Io(e))) => of_connection(Some(e)),
        Ok(Err(_)) | Err(_) => EndpointSign::Unanswered,
    }
}

/// Whether a check was answered by another endpoint.
fn is_other<D: Dialect>(
    state: &Rc<FrontState<D>>,
    head: &ResponseHead,
    decision: &SendDecision,
) -> bool {
    head.status == StatusCode::MISDIRECTED_REQUEST || state.dialect.is_other(head, &decision.name)
}

/// What an attempt to connect tells.
fn of_connection(error: Option<std::io::Error>) -> EndpointSign {
    match error {
        Some(e) if e.kind() == ErrorKind::ConnectionRefused => EndpointSign::Gone,
        _ => EndpointSign::Unanswered,
    }
}
