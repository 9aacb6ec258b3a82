//! A request that was read in whole.

use actix_http::RequestHead;
use bytes::Bytes;
use daisychute_dispatch::RequestInfo;

/// A caller's request.
pub(crate) struct Incoming {
    pub(crate) head: actix_http::Message<RequestHead>,
    pub(crate) body: Bytes,
    pub(crate) info: RequestInfo,
}
