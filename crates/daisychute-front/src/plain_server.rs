//! A small HTTP server for the platform's and operators' requests: readiness, metrics and previews.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{ConnectionType, Request, RequestHead, Response, ServiceConfig, StatusCode};
use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Decoder, Encoder};

use crate::ConnectionSlot;
use crate::side_listener::{self, count_closed};

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 32;
/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for a request head, from its first bytes.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for writing a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a client may read a response before the unread body of its request resets the connection.
const RESET_DELAY: Duration = Duration::from_secs(1);
/// Maximum size of a request head, in bytes. The platform's requests are a few hundred bytes long.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Responds to every request by its head, for the life of the process.
pub(crate) async fn serve(
    http: ServiceConfig,
    listener: TcpListener,
    respond: impl Fn(&RequestHead) -> (StatusCode, String) + Clone + 'static,
) {
    let serve = |stream, slot| {
        let (http, respond) = (http.clone(), respond.clone());
        // An error needs no handling: the client notices the closed connection itself.
        async move { serve_connection(&http, stream, slot, respond).await }
    };
    side_listener::accept(listener, MAX_CONNECTIONS, serve).await;
}

async fn serve_connection(
    http: &ServiceConfig,
    mut stream: TcpStream,
    slot: Rc<ConnectionSlot>,
    respond: impl Fn(&RequestHead) -> (StatusCode, String),
) -> io::Result<()> {
    let mut codec = Codec::new(http.clone());
    let mut buf = BytesMut::new();
    loop {
        if buf.is_empty() && timeout(IDLE_TIMEOUT, stream.read_buf(&mut buf)).await?? == 0 {
            return Ok(());
        }
        let read = within(HEAD_TIMEOUT, read_request(&mut codec, &mut stream, &mut buf)).await?;
        let Some(req) = read else { return Ok(()) };
        // Bodies aren't read.
        let has_body = codec.message_type() != MessageType::None;
        let (status, body) = respond(req.head());
        let mut res = Response::with_body(status, ());
        res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if has_body {
            res.head_mut().set_connection_type(ConnectionType::Close);
        }
        let mut out = BytesMut::new();
        let size = BodySize::Sized(body.len() as u64);
        codec.encode(Message::Item((res, size)), &mut out)?;
        out.extend_from_slice(body.as_bytes());
        within(WRITE_TIMEOUT, stream.write_all(&out)).await?;
        slot.wait();
        if has_body {
            stream.shutdown().await?;
            sleep(RESET_DELAY).await;
        }
        if !codec.keep_alive() {
            return Ok(());
        }
        // Requests that are sent without a pause leave time to others.
        yield_now().await;
    }
}

/// Reads the head of a request. `None` if the connection ends before, or the head is too large.
async fn read_request(
    codec: &mut Codec,
    stream: &mut TcpStream,
    buf: &mut BytesMut,
) -> io::Result<Option<Request>> {
    loop {
        let invalid_data = |_| io::Error::from(io::ErrorKind::InvalidData);
        if let Some(Message::Item(req)) = codec.decode(buf).map_err(invalid_data)? {
            return Ok(Some(req));
        }
        if buf.len() > MAX_HEAD_BYTES {
            log::warn!(bytes = buf.len(); "connection closed: request head too large");
            return Ok(None);
        }
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    }
}

/// Awaits I/O for at most this long.
async fn within<T>(limit: Duration, io: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    timeout(limit, io).await.unwrap_or_else(|elapsed| {
        count_closed("slow");
        Err(elapsed.into())
    })
}
