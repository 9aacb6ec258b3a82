//! A short call of this front's own to an endpoint.

use std::net::SocketAddr;

use actix_http::body::BodySize;
use actix_http::h1::Message;
use actix_http::header::{self, HeaderValue};
use actix_http::{ConnectionType, RequestHead, RequestHeadType, StatusCode};
use bytes::{Bytes, BytesMut};
use tokio::io::AsyncWriteExt;
use tokio_util::codec::Encoder;

use crate::Dialect;
use crate::endpoint::connection::EndpointConnection;
use crate::endpoint::response_reader::{Collected, ResponseError, ResponseReader};
use crate::shared::Shared;

/// Why a call came to nothing.
#[derive(Debug, thiserror::Error)]
pub(crate) enum OwnCallError {
    #[error("no connection, or it broke off: {0}")]
    Io(#[from] std::io::Error),
    #[error("the answer broke off or can't be read")]
    Broken,
    #[error("the endpoint answered {0}")]
    Status(StatusCode),
    #[error("the answer is longer than {0} bytes")]
    TooLong(usize),
}

impl From<ResponseError> for OwnCallError {
    fn from(_: ResponseError) -> Self {
        Self::Broken
    }
}

/// Calls on a connection of its own. Returns the body of a good answer, of `most` bytes at most.
pub(crate) async fn own_call<D: Dialect>(
    shared: &Shared<D>,
    address: SocketAddr,
    mut head: RequestHead,
    most: usize,
) -> Result<Bytes, OwnCallError> {
    let connection = EndpointConnection::open(address, &shared.http).await?;
    let EndpointConnection { mut stream, mut codec, mut buf } = connection;
    head.set_connection_type(ConnectionType::Close);
    if let Ok(host) = HeaderValue::try_from(address.to_string()) {
        head.headers.insert(header::HOST, host);
    }
    let mut out = BytesMut::new();
    codec.encode(Message::Item((RequestHeadType::Owned(head), BodySize::None)), &mut out)?;
    let (mut read, mut write) = stream.split();
    write.write_all(&out).await?;
    let mut reader = ResponseReader::new(&mut read, &mut buf, codec);
    let head = reader.head(false).await?;
    if !head.status.is_success() {
        return Err(OwnCallError::Status(head.status));
    }
    match reader.collect(most).await? {
        Collected::Whole(body) => Ok(body),
        Collected::TooLong(_) => Err(OwnCallError::TooLong(most)),
    }
}
