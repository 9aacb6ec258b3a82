//! Accepts connections that aren't of clients: readiness checks, metrics scrapes and fetches of snapshots.

use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::{ConnectionSlot, ConnectionSlots};

/// Receive buffer of a connection in bytes, whose requests are a few hundred bytes long.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves each connection in a task of its own, for the life of the process. At `limit` connections, the one that has
/// waited longest is closed in favour of a new one.
pub(crate) async fn accept<F: Future + 'static>(
    listener: TcpListener,
    limit: usize,
    serve: impl Fn(TcpStream, Rc<ConnectionSlot>) -> F,
) {
    // Connections inherit the size. One that can't be set leaves more to the system, and changes nothing else.
    if let Err(error) = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::warn!(error:%; "setting the receive buffer of a listener failed");
    }
    let slots = ConnectionSlots::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(slot) = slots.admit(limit).map(Rc::new) else { continue };
                let served = serve(stream, Rc::clone(&slot));
                actix_rt::spawn(async move {
                    tokio::select! {
                        _ = served => {}
                        () = slot.evicted() => count_closed("crowded"),
                    }
                });
                // The connection reads what has arrived before others can take its place.
                yield_now().await;
            }
            Err(error) => {
                log::warn!(error:%; "accepting a connection failed");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Counts a connection that is closed in favour of another, or because its client is slow.
pub(crate) fn count_closed(cause: &'static str) {
    metrics::counter!("daisychute_side_connections_closed_total", "cause" => cause).increment(1);
}
