//! Requests with their complete bodies.

use actix_http::error::PayloadError;
use actix_http::header::HeaderMap;
use actix_http::{HttpMessage as _, Method, Request};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;

use super::Connection;

/// Query string of a request, not percent-decoded.
#[derive(Debug, Clone, Default)]
pub(crate) struct Query(String);

impl Query {
    /// Value of the first parameter with this name.
    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        self.0.split('&').filter_map(|it| it.split_once('=')).find(|it| it.0 == name).map(|it| it.1)
    }

    /// Value of a parameter as a number; `None` if it is missing or not a number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.parse().ok()
    }
}

/// A request with its complete body.
#[derive(Debug)]
pub(crate) struct Incoming {
    pub(crate) method: Method,
    /// Path of the URL, without the query.
    pub(crate) path: String,
    pub(crate) query: Query,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Handle of the connection on which it arrived.
    pub(crate) connection: Connection,
}

impl Incoming {
    /// Reads the body of `req` to its end.
    pub(super) async fn read(
        mut req: Request,
        connection: Connection,
    ) -> Result<Self, PayloadError> {
        let mut body = BytesMut::new();
        let mut payload = req.take_payload();
        while let Some(chunk) = payload.next().await {
            body.extend_from_slice(&chunk?);
        }
        Ok(Self {
            method: req.method().clone(),
            path: req.path().to_owned(),
            query: Query(req.uri().query().unwrap_or_default().to_owned()),
            headers: req.headers().clone(),
            body: body.freeze(),
            connection,
        })
    }

    /// Non-empty segments of the path.
    pub(crate) fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|it| !it.is_empty()).collect()
    }

    /// Value of a header; `None` if it is missing or not visible ASCII.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}
