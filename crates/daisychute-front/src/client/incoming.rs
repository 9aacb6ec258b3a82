//! A client's request, read completely.

use actix_http::RequestHead;
use daisychute_dispatch::RequestInfo;

use crate::client::body::Body;
use crate::client::body_room::BodyRoom;

/// A client's request with its complete body and what the dialect read from its head.
pub(crate) struct Incoming {
    pub(crate) head: actix_http::Message<RequestHead>,
    pub(crate) body: Body,
    pub(crate) info: RequestInfo,
    /// The memory of the body, reserved until the request has ended.
    pub(crate) _room: BodyRoom,
}
