//! Accepts clients and serves their requests.

use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use daisychute_dispatch::Reason;
use daisychute_runtime::stop_listening;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::client::connection::{ClientConnection, Intake, Linger, ReadError};
use crate::client::exchange::{ConnectionOutcome, count_request, serve};
use crate::client::response_writer::ResponseWriter;
use crate::endpoint::connection::detect_unresponsive_peer;
use crate::pacing::ProcessorTime;
use crate::state::FrontState;
use crate::{CapacityLimits, ConnectionSlot, ConnectionSlots, Dialect, EventSequence};

/// Delay after a failed accept, which may be due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for connections that are being opened as the front stops accepting: some round trips in a region. Clients that
/// connect meanwhile are refused a second late.
const HANDSHAKE_TIME: Duration = Duration::from_millis(5);

/// Refusal reason: the front is at its limit of requests in flight.
const FRONT_FULL: &str = "front_full";
/// `Retry-After` of a refusal by a full front: half a second's worth of its requests has ended by then.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Refusal reason: there is no memory for the body of the request.
const BODY_MEMORY: &str = "body_memory";
/// `Retry-After` of a refusal for want of memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// How long the rest of a refused body is dropped as it arrives, so that a client that sends all of it before it reads
/// gets the refusal.
const UPLOAD_LINGER_TIMEOUT: Duration = Duration::from_secs(5);

/// Refusal reason: the body of the request made no progress, and others needed its memory.
const BODY_STALLED: &str = "body_stalled";

/// Accepts client connections until the front stops to.
pub(crate) async fn accept<D: Dialect>(state: Rc<FrontState<D>>, listener: TcpListener) {
    if let Err(error) = limit_buffers(&listener) {
        log::warn!(error:%; "the buffers of clients' connections aren't limited");
    }
    loop {
        let accepted = tokio::select! {
            biased;
            () = state.shutdown.wait_accepting_stopped() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                serve_accepted(&state, stream);
                // Otherwise a burst of connections would take the places of those accepted just before, which have sent their
                // requests.
                yield_now().await;
            }
            Err(error) => {
                log::warn!(error:%; "accepting a client connection failed");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    let (last, accepted) = stop_listening(listener, HANDSHAKE_TIME).await;
    last.into_iter().for_each(|it| serve_accepted(&state, it));
    if let Err(error) = accepted {
        log::warn!(error:%; "accepting the last client connections failed");
    }
}

/// Limits what the system holds for each connection that the front hasn't read, or its client hasn't. Connections inherit it.
fn limit_buffers(listener: &TcpListener) -> std::io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_recv_buffer_size(CapacityLimits::RECEIVE_BUFFER_BYTES)?;
    socket.set_send_buffer_size(CapacityLimits::SEND_BUFFER_BYTES)
}

/// Serves an accepted connection in a task of its own. If there are too many, it takes the place of the one that has waited
/// longest for its client, unless all others are being served.
fn serve_accepted<D: Dialect>(state: &Rc<FrontState<D>>, stream: TcpStream) {
    state.bodies.set_limit(state.capacity().client_bytes);
    let limit = state.bodies.max_connections().min(state.capacity().connections);
    let Some(slot) = state.client_slots.admit(limit) else {
        let open = state.client_slots.open();
        log::warn!(open; "client connection closed: connection limit reached");
        metrics::counter!("daisychute_connections_refused_total").increment(1);
        return;
    };
    state.shutdown.record_accept();
    let state = Rc::clone(state);
    let room = state.bodies.admit_connection();
    actix_rt::spawn(async move {
        let _room = room;
        tokio::select! {
            biased;
            () = slot.evicted() => {
                metrics::counter!("daisychute_connections_evicted_total").increment(1);
            }
            () = serve_client(state, stream, &slot) => {}
        }
    });
}

async fn serve_client<D: Dialect>(
    state: Rc<FrontState<D>>,
    stream: TcpStream,
    slot: &ConnectionSlot,
) {
    if detect_unresponsive_peer(&stream).is_err() {
        return;
    }
    let mut connection = ClientConnection::new(stream, &state.http);
    loop {
        let limits =
            state.with_dispatcher(|it| it.table().map(|it| *it.limits())).unwrap_or_default();
        state.bodies.set_limit(state.capacity().client_bytes);
        if !connection.buf.is_empty() {
            // A request that was sent before the last response waits for its turn, in place of being refused.
            state.shutdown.wait_busy_below(state.capacity().unreserved_requests()).await;
        }
        let processor = ProcessorTime::default();
        let intake = Intake {
            limits: &limits,
            shutdown: &state.shutdown,
            memory: &state.bodies,
            large_bodies: &state.large_requests,
            processor: &processor,
            slot,
        };
        let read = processor.measure(connection.read_request(&state.dialect, intake)).await;
        let incoming = match read {
            Ok(incoming) => incoming,
            Err(ReadError::Closed) => return,
            Err(ReadError::NoMemory(request, waited)) => {
                let linger = Linger { time: UPLOAD_LINGER_TIMEOUT, bytes: limits.body_bytes };
                return refuse_body(&state, connection, &request, BODY_MEMORY, waited, linger)
                    .await;
            }
            Err(ReadError::Stalled(request)) => {
                let waited = Duration::ZERO;
                let linger = Linger::SHORT;
                return refuse_body(&state, connection, &request, BODY_STALLED, waited, linger)
                    .await;
            }
            Err(ReadError::Refused(status, reason)) => {
                log::warn!(reason, status = status.as_u16(); "malformed or incomplete request refused");
                let refusal = Refusal { retry_after: None, close: true };
                write_refusal(&mut connection, status, reason, refusal).await;
                return connection.close(Linger::SHORT, &state.large_requests).await;
            }
        };
        let is_stream = state.is_stream(&incoming.info);
        if let Some((reason, retry_after)) = refusal(&state, is_stream) {
            let request = &incoming.info.id;
            log::warn!(request:%, outcome = "refused", reason, elapsed_ms = 0; "request ended");
            count_request("refused", reason);
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let refusal = Refusal { retry_after, close: retry_after.is_none() };
            let is_open = write_refusal(&mut connection, status, reason, refusal).await;
            slot.wait();
            if !is_open {
                return connection.close(Linger::SHORT, &state.large_requests).await;
            }
            yield_now().await;
            continue;
        }
        state.shutdown.begin_request(is_stream);
        // Most connections are idle most of the time, and needn't have room for a request meanwhile.
        let outcome = Box::pin(serve(&state, &mut connection, &incoming)).await;
        state.shutdown.end_request(is_stream);
        drop(incoming);
        slot.wait();
        connection.release_ahead();
        match outcome {
            ConnectionOutcome::KeepAlive => {}
            ConnectionOutcome::Close => {
                return connection.close(Linger::SHORT, &state.large_requests).await;
            }
            ConnectionOutcome::Abort => return,
        }
        // A client that sends one request after the other leaves others their turn.
        yield_now().await;
    }
}

/// Refuses a request whose body has no memory, or has given it up, and closes its connection.
async fn refuse_body<D: Dialect>(
    state: &Rc<FrontState<D>>,
    mut connection: ClientConnection,
    request: &str,
    reason: &'static str,
    waited: Duration,
    linger: Linger,
) {
    let elapsed_ms = waited.as_millis();
    log::warn!(request:%, outcome = "refused", reason, elapsed_ms; "request ended");
    count_request("refused", reason);
    let refusal = Refusal { retry_after: Some(MEMORY_RETRY_AFTER), close: true };
    write_refusal(&mut connection, StatusCode::SERVICE_UNAVAILABLE, reason, refusal).await;
    connection.close(linger, &state.large_requests).await;
}

/// Returns why a request is refused before it takes any resources, and its `Retry-After`. `None` if it is accepted. At the
/// limit of requests, a response that its client doesn't read gives its place up.
fn refusal<D: Dialect>(
    state: &FrontState<D>,
    is_stream: bool,
) -> Option<(&'static str, Option<Duration>)> {
    if state.shutdown.is_exiting() {
        return Some((Reason::Stopping.as_str(), None));
    }
    let (shutdown, capacity) = (&state.shutdown, state.capacity());
    let has_room = !is_stream || shutdown.busy_streams() < capacity.unreserved_requests();
    if has_room && shutdown.busy() < capacity.requests {
        return None;
    }
    if state.stalled_responses.evict() {
        metrics::counter!("daisychute_unread_responses_cut_total").increment(1);
        return None;
    }
    Some((FRONT_FULL, Some(FULL_RETRY_AFTER)))
}

/// How a request is refused.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    retry_after: Option<Duration>,
    /// Whether the connection is closed after the response.
    close: bool,
}

/// Refuses a request with a response of the front's own. Returns whether the connection can carry another request.
async fn write_refusal(
    connection: &mut ClientConnection,
    status: StatusCode,
    reason: &'static str,
    Refusal { retry_after, close }: Refusal,
) -> bool {
    let ClientConnection { stream, codec, .. } = connection;
    let (_, mut write) = stream.split();
    let mut response_writer = ResponseWriter::new(
        &mut write,
        codec,
        EventSequence::default(),
        // Refusals hold no place of a request.
        ConnectionSlots::default(),
    );
    if close {
        response_writer.close();
    }
    let written = response_writer.write_own_response(status, reason, retry_after).await;
    written.is_ok() && !close && codec.keep_alive()
}
