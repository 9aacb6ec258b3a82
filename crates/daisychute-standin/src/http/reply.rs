//! Builders of the responses of a stand-in.

use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::CONTENT_TYPE;
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use futures_util::stream::iter;
use futures_util::{Stream, StreamExt as _};
use serde::Serialize;
use thiserror::Error;

/// Content type of JSON.
const JSON: &str = "application/json";

/// A response of a stand-in.
pub(crate) type Reply = Response<BoxBody>;

/// Error item that aborts a streamed body: the connection is closed before the end of the body.
#[derive(Debug, Clone, Copy, Error)]
#[error("the stand-in aborts the response body")]
pub(crate) struct BodyAborted;

/// A response with a JSON body.
pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Reply {
    match serde_json::to_vec(body) {
        Ok(body) => Response::build(status)
            .insert_header((CONTENT_TYPE, JSON))
            .body(Bytes::from(body))
            .map_into_boxed_body(),
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// A response without a body.
pub(crate) fn empty(status: StatusCode) -> Reply {
    Response::new(status)
}

/// A response with the content type of JSON and any body, which may be malformed JSON.
pub(crate) fn raw(body: impl Into<Bytes>) -> Reply {
    Response::build(StatusCode::OK)
        .insert_header((CONTENT_TYPE, JSON))
        .body(body.into())
        .map_into_boxed_body()
}

/// A response whose connection is closed after half of its JSON body.
pub(crate) fn truncated(body: impl Into<Bytes>) -> Reply {
    let body = body.into();
    let half = body.slice(..body.len() / 2);
    stream(JSON, iter([Ok(half), Err(BodyAborted)]))
}

/// A response with a streamed body.
pub(crate) fn stream(
    content_type: &'static str,
    body: impl Stream<Item = Result<Bytes, BodyAborted>> + 'static,
) -> Reply {
    Response::build(StatusCode::OK)
        .insert_header((CONTENT_TYPE, content_type))
        .body(BodyStream::new(body.then(flush_before_abort)))
        .map_into_boxed_body()
}

/// Yields before an abort, so that the server flushes the data sent so far: its buffer is dropped with the connection.
async fn flush_before_abort(item: Result<Bytes, BodyAborted>) -> Result<Bytes, BodyAborted> {
    if item.is_err() {
        tokio::task::yield_now().await;
    }
    item
}
