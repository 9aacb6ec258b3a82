//! Frees KV caches that nobody will fetch.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::RequestHeadType;
use actix_http::body::BodySize;
use actix_http::h1::Message;
use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;
use tokio_util::codec::Encoder;

use crate::Dialect;
use crate::endpoint::connection::EndpointConnection;
use crate::shared::Shared;

/// A KV cache that can't be freed within this time ends by its own time limit soon.
const LIMIT: Duration = Duration::from_secs(1);

/// Frees a KV cache in a task of its own.
pub(crate) fn spawn<D: Dialect>(shared: &Rc<Shared<D>>, address: SocketAddr, handle: &Arc<str>) {
    let (shared, handle) = (Rc::clone(shared), Arc::clone(handle));
    actix_rt::spawn(async move {
        let outcome = match timeout(LIMIT, release(&shared, address, &handle)).await {
            Ok(Ok(())) => "freed".to_owned(),
            Ok(Err(e)) => e.to_string(),
            Err(_) => "timed out".to_owned(),
        };
        log::info!(address:%, handle:%, outcome; "unused KV cache released");
    });
}

async fn release<D: Dialect>(
    shared: &Shared<D>,
    address: SocketAddr,
    handle: &str,
) -> std::io::Result<()> {
    let mut connection = EndpointConnection::open(address, &shared.http).await?;
    let mut head = shared.dialect.release(handle);
    head.set_connection_type(actix_http::ConnectionType::Close);
    let mut buf = BytesMut::new();
    let message = Message::Item((RequestHeadType::Owned(head), BodySize::None));
    connection.codec.encode(message, &mut buf)?;
    connection.stream.write_all(&buf).await?;
    let read = connection.stream.read_buf(&mut connection.buf).await?;
    if read == 0 { Err(std::io::ErrorKind::UnexpectedEof.into()) } else { Ok(()) }
}
