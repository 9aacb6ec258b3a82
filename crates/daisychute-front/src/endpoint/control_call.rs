//! Short requests that a front sends to an endpoint by itself, not on behalf of a client.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::body::BodySize;
use actix_http::h1::Message;
use actix_http::header::{self, HeaderValue};
use actix_http::{ConnectionType, RequestHead, RequestHeadType, ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use daisychute_dispatch::EndpointKey;
use tokio::io::AsyncWriteExt;
use tokio_util::codec::Encoder;

use crate::Dialect;
use crate::endpoint::connection::EndpointConnection;
use crate::endpoint::response_reader::{Collected, ResponseError, ResponseReader};
use crate::state::FrontState;

/// Maximum size of a body that is read and dropped.
const MAX_IGNORED_BYTES: usize = 4 * 1024;

/// Why a control call failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ControlCallError {
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    #[error("the response is truncated or malformed")]
    BadResponse,
    #[error("the endpoint responded with status {0}")]
    Status(StatusCode),
    #[error("the response exceeds {0} bytes")]
    TooLong(usize),
}

impl From<ResponseError> for ControlCallError {
    fn from(_: ResponseError) -> Self {
        Self::BadResponse
    }
}

/// Sends a request without a body on a new connection. Returns the head and the body of a successful response, up to
/// `max_bytes` bytes.
pub(crate) async fn control_call<D: Dialect>(
    state: &Rc<FrontState<D>>,
    endpoint: EndpointKey,
    address: SocketAddr,
    head: RequestHead,
    max_bytes: usize,
) -> Result<(ResponseHead, Bytes), ControlCallError> {
    let (head, body) = exchange(state, endpoint, address, head, max_bytes).await?;
    match body {
        None => Err(ControlCallError::Status(head.status)),
        Some(Collected::Whole(body)) => Ok((head, body)),
        Some(Collected::TooLong(_)) => Err(ControlCallError::TooLong(max_bytes)),
    }
}

/// Sends a request without a body on a new connection. Returns the head of the response, whatever its status.
pub(crate) async fn control_call_head<D: Dialect>(
    state: &Rc<FrontState<D>>,
    endpoint: EndpointKey,
    address: SocketAddr,
    head: RequestHead,
) -> Result<ResponseHead, ControlCallError> {
    Ok(exchange(state, endpoint, address, head, MAX_IGNORED_BYTES).await?.0)
}

/// Sends a request without a body on a new connection. Returns the response, with the body of a successful one.
async fn exchange<D: Dialect>(
    state: &Rc<FrontState<D>>,
    endpoint: EndpointKey,
    address: SocketAddr,
    mut head: RequestHead,
    max_bytes: usize,
) -> Result<(ResponseHead, Option<Collected>), ControlCallError> {
    let connection = EndpointConnection::open(address, &state.http).await?;
    let EndpointConnection { mut stream, mut codec, mut buf, .. } = connection;
    head.set_connection_type(ConnectionType::Close);
    if let Ok(host) = HeaderValue::try_from(address.to_string()) {
        head.headers.insert(header::HOST, host);
    }
    let mut out = BytesMut::new();
    let sent_at = state.now();
    codec.encode(Message::Item((RequestHeadType::Owned(head), BodySize::None)), &mut out)?;
    let (mut read, mut write) = stream.split();
    write.write_all(&out).await?;
    let mut reader = ResponseReader::new(&mut read, &mut buf, codec);
    let head = reader.head(false).await?;
    state.record_notices(endpoint, &state.dialect.parse_response(&head, ""), sent_at);
    if !head.status.is_success() {
        return Ok((head, None));
    }
    let body = reader.collect(max_bytes).await?;
    Ok((head, Some(body)))
}
