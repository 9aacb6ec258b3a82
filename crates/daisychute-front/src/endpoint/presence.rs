//! Whether an endpoint is still there at the end of a response that only its connection ends.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message};
use actix_http::header::{self, HeaderValue};
use actix_http::{RequestHeadType, ResponseHead, StatusCode};
use actix_rt::task::JoinHandle;
use bytes::BytesMut;
use daisychute_dispatch::{RequestKey, SendDecision};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Encoder;

use crate::Dialect;
use crate::endpoint::connection::EndpointConnection;
use crate::endpoint::control_call::{ControlCallError, control_call};
use crate::endpoint::pool::{ConnectionGuard, MAX_IDLE_FOR_NON_REPEATABLE};
use crate::endpoint::response_reader::ResponseReader;
use crate::state::FrontState;

/// Time within which the system of a busy machine closes all connections of a process that has ended.
const CLOSE_TIME: Duration = Duration::from_millis(25);
/// Time limit for the response to a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of a response, which carries no content beyond its head.
const MAX_RESPONSE_BYTES: usize = 4 * 1024;

/// What a check tells about an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Presence {
    /// The endpoint itself responds.
    Confirmed,
    /// Something accepts connections on its address.
    Unclear,
    /// Nothing listens on its address, or another endpoint does.
    Ended,
}

/// A second connection to an endpoint that sends a response without length and chunks, with a health check on it. The
/// system closes both connections when the process of the endpoint ends; the endpoint itself closes only the one that
/// ends its response. The check tells whether it is the endpoint that accepted, or another one at its address.
pub(crate) struct Sentinel {
    /// `None` if the endpoint has as many connections as it may, or if the connection failed other than by a refusal.
    opening: JoinHandle<Option<Result<EndpointConnection, Refused>>>,
    opened_at: Instant,
    /// Whether the endpoint takes a check now.
    is_checked: bool,
    _guard: Option<ConnectionGuard>,
}

/// Nothing listens on the address.
struct Refused;

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
            let mut connection = match EndpointConnection::open(address, &state.http).await {
                Ok(connection) => connection,
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => return Some(Err(Refused)),
                Err(_) => return None,
            };
            if let Some(mut head) = check {
                head.headers.insert(header::HOST, HeaderValue::try_from(address.to_string()).ok()?);
                let message = Message::Item((RequestHeadType::Owned(head), BodySize::None));
                let mut out = BytesMut::new();
                connection.codec.encode(message, &mut out).ok()?;
                connection.stream.write_all(&out).await.ok()?;
            }
            Some(Ok(connection))
        });
        Self { opening, opened_at: Instant::now(), is_checked, _guard }
    }

    /// Returns whether the endpoint has ended, once its response has. Its address may be in use again.
    pub(crate) async fn has_ended<D: Dialect>(
        self,
        state: &Rc<FrontState<D>>,
        request: RequestKey,
        decision: &SendDecision,
    ) -> bool {
        let opened = self.opening.await.ok().flatten();
        let is_suspect = opened.is_some();
        if let Some(Ok(mut connection)) = opened {
            if self.is_checked {
                let answer = read_check(state, &mut connection, decision);
                match timeout(CHECK_TIMEOUT, answer).await {
                    Ok(Some(Presence::Ended)) => return true,
                    Ok(_) => {}
                    // The connection is still open.
                    Err(_) => return false,
                }
            }
            sleep(CLOSE_TIME).await;
            if connection.is_reusable() {
                // An older one may be about to be closed as idle.
                let is_fresh = self.opened_at.elapsed() < MAX_IDLE_FOR_NON_REPEATABLE;
                if is_fresh && state.takes_work(decision.endpoint) {
                    state.pool.put(decision.endpoint, connection, None);
                }
                return false;
            }
        }
        match check(state, request, decision).await {
            Presence::Confirmed => false,
            // Both connections are closed, or the second one was refused.
            Presence::Unclear => is_suspect,
            Presence::Ended => true,
        }
    }
}

/// Reads the response to the check on a sentinel. `None` if the connection is closed.
async fn read_check<D: Dialect>(
    state: &Rc<FrontState<D>>,
    connection: &mut EndpointConnection,
    decision: &SendDecision,
) -> Option<Presence> {
    let EndpointConnection { stream, codec, buf, .. } = connection;
    let (mut read, _) = stream.split();
    let codec = std::mem::replace(codec, ClientCodec::new(state.http.clone()));
    let mut reader = ResponseReader::new(&mut read, buf, codec);
    let head = reader.head(false).await.ok()?;
    reader.skip(MAX_RESPONSE_BYTES).await.ok()?;
    Some(of_response(state, &head, decision))
}

/// Checks the endpoint of a request: by a health check if it takes one now, else by a connection alone.
async fn check<D: Dialect>(
    state: &Rc<FrontState<D>>,
    request: RequestKey,
    decision: &SendDecision,
) -> Presence {
    let SendDecision { endpoint, ref name, address, .. } = *decision;
    let path = state.with_dispatcher(|it| it.health_path(state.now(), request, endpoint));
    let Some(path) = path else {
        let connected = timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
        return connected.map_or(Presence::Unclear, |it| of_connection(it.err()));
    };
    let check = state.dialect.health_check(&path, name);
    let call = control_call(state, endpoint, address, check, MAX_RESPONSE_BYTES);
    match timeout(CHECK_TIMEOUT, call).await {
        Ok(Ok((head, _))) => of_response(state, &head, decision),
        Ok(Err(ControlCallError::Status(StatusCode::MISDIRECTED_REQUEST))) => Presence::Ended,
        Ok(Err(ControlCallError::Io(e))) => of_connection(Some(e)),
        Ok(Err(_)) | Err(_) => Presence::Unclear,
    }
}

/// What the response to a check tells.
fn of_response<D: Dialect>(
    state: &Rc<FrontState<D>>,
    head: &ResponseHead,
    decision: &SendDecision,
) -> Presence {
    let is_other = head.status == StatusCode::MISDIRECTED_REQUEST
        || state.dialect.is_other(head, &decision.name);
    if is_other { Presence::Ended } else { Presence::Confirmed }
}

/// What an attempt to connect tells.
fn of_connection(error: Option<std::io::Error>) -> Presence {
    match error {
        Some(e) if e.kind() == ErrorKind::ConnectionRefused => Presence::Ended,
        _ => Presence::Unclear,
    }
}
