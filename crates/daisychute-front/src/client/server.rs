//! Accepts callers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::client::connection::{ClientConnection, ReadError};
use crate::client::exchange::{After, count, serve};
use crate::client::response_writer::ResponseWriter;
use crate::endpoint::connection::watch_silence;
use crate::shared::Shared;
use crate::stop::Stop;
use crate::{CapacityLimits, Dialect};

/// The pause after a failed accept: descriptors may have run out.
const PAUSE: Duration = Duration::from_millis(20);

/// The reason of a refusal for lack of memory.
const FULL: &str = "front_full";
/// The reason of a refusal near the end of a stop; the connection ends with it.
const STOPPING: &str = "stopping";
/// When to come back to a full front: a second's worth of requests has ended by then.
const COME_BACK: Duration = Duration::from_millis(500);

/// Accepts callers for the life of the process.
pub(crate) async fn accept<D: Dialect>(
    shared: Rc<Shared<D>>,
    listener: TcpListener,
    capacity: CapacityLimits,
) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if open.get() >= capacity.connections {
                    log::warn!(open = open.get(); "caller's connection closed: too many are open");
                    metrics::counter!("daisychute_connections_refused_total").increment(1);
                    continue;
                }
                shared.stop.accept();
                let (shared, open) = (Rc::clone(&shared), Rc::clone(&open));
                open.set(open.get() + 1);
                actix_rt::spawn(async move {
                    client(shared, stream, capacity).await;
                    open.set(open.get() - 1);
                });
            }
            Err(error) => {
                log::warn!(error:%; "can't accept a caller");
                sleep(PAUSE).await;
            }
        }
    }
}

async fn client<D: Dialect>(shared: Rc<Shared<D>>, stream: TcpStream, capacity: CapacityLimits) {
    if watch_silence(&stream).is_err() {
        return;
    }
    let mut connection = ClientConnection::new(stream, &shared.http);
    loop {
        let limits = shared.view(|it| it.table().map(|it| *it.limits())).unwrap_or_default();
        let incoming = match connection.next(&shared.dialect, &limits, &shared.stop).await {
            Ok(incoming) => incoming,
            Err(ReadError::Closed) => return,
            Err(ReadError::Refused(status, reason)) => {
                log::warn!(reason, status = status.as_u16(); "request can't be read");
                refuse(&mut connection, status, reason, None).await;
                return connection.end().await;
            }
        };
        if let Some((reason, retry_after)) = no_room(&shared.stop, capacity) {
            let request = &incoming.info.id;
            log::warn!(request:%, outcome = "refused", reason, elapsed_ms = 0; "request ended");
            count("refused", reason);
            let status = StatusCode::SERVICE_UNAVAILABLE;
            if !refuse(&mut connection, status, reason, retry_after).await {
                return connection.end().await;
            }
            continue;
        }
        shared.stop.begin();
        let after = serve(&shared, &mut connection, &incoming).await;
        shared.stop.end();
        match after {
            After::Keep => {}
            After::End => return connection.end().await,
            After::Cut => return,
        }
    }
}

/// Why a request is refused before it takes anything, and when to come back to this front.
fn no_room(stop: &Stop, capacity: CapacityLimits) -> Option<(&'static str, Option<Duration>)> {
    if stop.is_over() {
        return Some((STOPPING, None));
    }
    (stop.busy() >= capacity.requests).then_some((FULL, Some(COME_BACK)))
}

/// Answers by ourselves. Returns whether the connection can carry another request.
async fn refuse(
    connection: &mut ClientConnection,
    status: StatusCode,
    reason: &'static str,
    retry_after: Option<Duration>,
) -> bool {
    let ClientConnection { stream, codec, .. } = connection;
    let (_, mut write) = stream.split();
    let mut response_writer = ResponseWriter::new(&mut write, codec);
    if retry_after.is_none() {
        response_writer.close();
    }
    let written = response_writer.own(status, reason, retry_after).await;
    written.is_ok() && retry_after.is_some() && codec.keep_alive()
}
