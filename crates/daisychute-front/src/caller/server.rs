//! Accepts callers.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::Dialect;
use crate::caller::answerer::Answerer;
use crate::caller::connection::{CallerConnection, ReadError};
use crate::caller::exchange::{After, serve};
use crate::endpoint::connection::watch_silence;
use crate::shared::Shared;

/// The pause after a failed accept: descriptors may have run out.
const PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers for the life of the process.
pub(crate) async fn accept<D: Dialect>(shared: Rc<Shared<D>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                shared.stop.accept();
                actix_rt::spawn(caller(Rc::clone(&shared), stream));
            }
            Err(error) => {
                log::warn!(error:%; "can't accept a caller");
                sleep(PAUSE).await;
            }
        }
    }
}

async fn caller<D: Dialect>(shared: Rc<Shared<D>>, stream: TcpStream) {
    if watch_silence(&stream).is_err() {
        return;
    }
    let mut connection = CallerConnection::new(stream, &shared.http);
    loop {
        let limits = shared.view(|it| it.table().map(|it| *it.limits())).unwrap_or_default();
        let incoming = match connection.next(&shared.dialect, &limits, &shared.stop).await {
            Ok(incoming) => incoming,
            Err(ReadError::Closed) => return,
            Err(ReadError::Refused(status, reason)) => {
                log::warn!(reason, status = status.as_u16(); "request can't be read");
                refuse(&mut connection, status, reason).await;
                return connection.end().await;
            }
        };
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

async fn refuse(
    connection: &mut CallerConnection,
    status: actix_http::StatusCode,
    reason: &'static str,
) {
    let CallerConnection { stream, codec, .. } = connection;
    let (_, mut write) = stream.split();
    let mut answerer = Answerer::new(&mut write, codec);
    answerer.close();
    // The connection ends in any case.
    let _ = answerer.own(status, reason, None).await;
}
