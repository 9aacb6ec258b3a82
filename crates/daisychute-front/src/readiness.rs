//! Tells the platform's balancer whether new connections are welcome.

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::{Response, StatusCode};
use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder};

use crate::Dialect;
use crate::shared::Shared;

/// A connection without a question for so long is closed.
const IDLE: Duration = Duration::from_secs(10);

/// Answers questions for the life of the process.
pub(crate) async fn serve<D: Dialect>(shared: Rc<Shared<D>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = Rc::clone(&shared);
                actix_rt::spawn(async move {
                    // The asker sees a broken connection by itself.
                    let _ = answer(&shared, stream).await;
                });
            }
            Err(error) => {
                log::warn!(error:%; "can't accept a readiness check");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn answer<D: Dialect>(shared: &Shared<D>, mut stream: TcpStream) -> std::io::Result<()> {
    let mut codec = Codec::new(shared.http.clone());
    let mut buf = BytesMut::new();
    loop {
        let read = timeout(IDLE, stream.read_buf(&mut buf)).await??;
        if read == 0 {
            return Ok(());
        }
        let bad = |_| std::io::Error::from(std::io::ErrorKind::InvalidData);
        let Some(Message::Item(req)) = codec.decode(&mut buf).map_err(bad)? else { continue };
        let known = req.path() == shared.dialect.readiness_path();
        let status = match (known, shared.is_ready()) {
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
            (false, _) => StatusCode::NOT_FOUND,
        };
        let mut out = BytesMut::new();
        let answer = Response::with_body(status, ());
        codec.encode(Message::Item((answer, BodySize::Sized(0))), &mut out)?;
        stream.write_all(&out).await?;
        if !codec.keep_alive() {
            return Ok(());
        }
    }
}
