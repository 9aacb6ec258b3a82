//! A small HTTP server for questions of the platform: readiness and metrics.

use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Response, ServiceConfig, StatusCode};
use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Decoder, Encoder};

/// A connection without a question for so long is closed.
const IDLE: Duration = Duration::from_secs(10);
/// The pause after a failed accept.
const PAUSE: Duration = Duration::from_millis(20);

/// Answers every question by its path, for the life of the process.
pub(crate) async fn serve(
    http: ServiceConfig,
    listener: TcpListener,
    answer: impl Fn(&str) -> (StatusCode, String) + Clone + 'static,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (http, answer) = (http.clone(), answer.clone());
                actix_rt::spawn(async move {
                    // The asker sees a broken connection by itself.
                    let _ = questions(&http, stream, answer).await;
                });
            }
            Err(error) => {
                log::warn!(error:%; "can't accept a question");
                sleep(PAUSE).await;
            }
        }
    }
}

async fn questions(
    http: &ServiceConfig,
    mut stream: TcpStream,
    answer: impl Fn(&str) -> (StatusCode, String),
) -> std::io::Result<()> {
    let mut codec = Codec::new(http.clone());
    let mut buf = BytesMut::new();
    loop {
        if timeout(IDLE, stream.read_buf(&mut buf)).await?? == 0 {
            return Ok(());
        }
        let bad = |_| std::io::Error::from(std::io::ErrorKind::InvalidData);
        let Some(Message::Item(req)) = codec.decode(&mut buf).map_err(bad)? else { continue };
        let (status, body) = answer(req.path());
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
