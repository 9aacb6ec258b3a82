//! Whether an endpoint is still there at the end of a response that only its connection ends.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_rt::task::JoinHandle;
use daisychute_dispatch::{RequestKey, SendDecision};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::Dialect;
use crate::endpoint::connection::EndpointConnection;
use crate::endpoint::control_call::{ControlCallError, control_call};
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

/// A second connection to an endpoint that sends a response without length and chunks. The system closes both when the
/// process of the endpoint ends; the endpoint itself closes only the one that ends its response.
pub(crate) struct Sentinel(JoinHandle<Option<EndpointConnection>>);

impl Sentinel {
    /// Connects to the endpoint that has begun its response, unless it has as many connections as it may.
    pub(crate) fn open<D: Dialect>(state: &Rc<FrontState<D>>, decision: &SendDecision) -> Self {
        let has_room = state.pool.connection_count(decision.endpoint) < decision.max_connections;
        let (state, address) = (Rc::clone(state), decision.address);
        Self(actix_rt::spawn(async move {
            let open = EndpointConnection::open(address, &state.http);
            if has_room { open.await.ok() } else { None }
        }))
    }

    /// Returns whether the endpoint has ended, once its response has. Its address may be in use again.
    pub(crate) async fn has_ended<D: Dialect>(
        self,
        state: &Rc<FrontState<D>>,
        request: RequestKey,
        decision: &SendDecision,
    ) -> bool {
        let connection = self.0.await.ok().flatten();
        let was_open = connection.is_some();
        if let Some(connection) = connection {
            sleep(CLOSE_TIME).await;
            if connection.is_reusable() {
                if state.takes_work(decision.endpoint) {
                    state.pool.put(decision.endpoint, connection, None);
                }
                return false;
            }
        }
        match check(state, request, decision).await {
            Presence::Confirmed => false,
            // Both connections are closed.
            Presence::Unclear => was_open,
            Presence::Ended => true,
        }
    }
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
        Ok(Ok((head, _))) if state.dialect.is_other(&head, name) => Presence::Ended,
        Ok(Err(ControlCallError::Status(StatusCode::MISDIRECTED_REQUEST))) => Presence::Ended,
        Ok(Ok(_) | Err(ControlCallError::Status(_) | ControlCallError::TooLong(_))) => {
            Presence::Confirmed
        }
        Ok(Err(ControlCallError::Io(e))) => of_connection(Some(e)),
        Ok(Err(ControlCallError::BadResponse)) | Err(_) => Presence::Unclear,
    }
}

/// What an attempt to connect tells.
fn of_connection(error: Option<std::io::Error>) -> Presence {
    match error {
        Some(e) if e.kind() == ErrorKind::ConnectionRefused => Presence::Ended,
        _ => Presence::Unclear,
    }
}
