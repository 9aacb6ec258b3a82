//! A client's request, read completely.

use actix_http::RequestHead;
use bytes::Bytes;
use daisychute_dispatch::RequestInfo;

/// A client's request with its complete body and what the dialect read from its head.
pub(crate) struct Incoming {
    pub(crate) head: actix_http::Message<RequestHead>,
    pub(crate) body: Bytes,
    pub(crate) info: RequestInfo,
}
