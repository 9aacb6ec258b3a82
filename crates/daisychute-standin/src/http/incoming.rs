//! A request with its whole body.

use actix_http::error::PayloadError;
use actix_http::header::HeaderMap;
use actix_http::{HttpMessage as _, Method, Request};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;

use super::Connection;

/// The query of a request.
#[derive(Debug, Clone, Default)]
pub(crate) struct Query(String);

impl Query {
    /// The value of a parameter.
    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        self.0.split('&').filter_map(|it| it.split_once('=')).find(|it| it.0 == name).map(|it| it.1)
    }

    /// The value of a parameter that is a number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.parse().ok()
    }
}

/// A request with its whole body.
#[derive(Debug)]
pub(crate) struct Incoming {
    /// Its method.
    pub(crate) method: Method,
    /// Its path without the query.
    pub(crate) path: String,
    /// Its query.
    pub(crate) query: Query,
    /// Its headers.
    pub(crate) headers: HeaderMap,
    /// Its body.
    pub(crate) body: Bytes,
    /// The connection that it came on.
    pub(crate) connection: Connection,
}

impl Incoming {
    /// Reads the body of `req`.
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

    /// The parts of the path between slashes.
    pub(crate) fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|it| !it.is_empty()).collect()
    }

    /// The value of a header that is text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}
