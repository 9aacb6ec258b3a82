//! A small HTTP server for the platform's and operators' requests: readiness, metrics and previews.

use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{RequestHead, Response, ServiceConfig, StatusCode};
use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Decoder, Encoder};

/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a request head, in bytes. The platform's requests are a few hundred bytes long.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Responds to every request by its head, for the life of the process.
pub(crate) async fn serve(
    http: ServiceConfig,
    listener: TcpListener,
    respond: impl Fn(&RequestHead) -> (StatusCode, String) + Clone + 'static,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (http, respond) = (http.clone(), respond.clone());
                actix_rt::spawn(async move {
                    // An error needs no handling: the client notices the closed connection itself.
                    let _ = serve_connection(&http, stream, respond).await;
                });
            }
            Err(error) => {
                log::warn!(error:%; "accepting a connection failed");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(
    http: &ServiceConfig,
    mut stream: TcpStream,
    respond: impl Fn(&RequestHead) -> (StatusCode, String),
) -> std::io::Result<()> {
    let mut codec = Codec::new(http.clone());
    let mut buf = BytesMut::new();
    loop {
        if timeout(IDLE_TIMEOUT, stream.read_buf(&mut buf)).await?? == 0 {
            return Ok(());
        }
        let invalid_data = |_| std::io::Error::from(std::io::ErrorKind::InvalidData);
        let Some(Message::Item(req)) = codec.decode(&mut buf).map_err(invalid_data)? else {
            if buf.len() > MAX_HEAD_BYTES {
                log::warn!(bytes = buf.len(); "connection closed: request head too large");
                return Ok(());
            }
            continue;
        };
        let (status, body) = respond(req.head());
        let mut res = Response::with_body(status, ());
        res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        let mut out = BytesMut::new();
        let size = BodySize::Sized(body.len() as u64);
        codec.encode(Message::Item((res, size)), &mut out)?;
        out.extend_from_slice(body.as_bytes());
        stream.write_all(&out).await?;
        if !codec.keep_alive() {
            return Ok(());
        }
    }
}
