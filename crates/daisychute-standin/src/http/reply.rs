//! Answers of a stand-in.

use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::CONTENT_TYPE;
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use futures_util::stream::iter;
use futures_util::{Stream, StreamExt as _};
use serde::Serialize;
use thiserror::Error;

/// The content type of JSON.
const JSON: &str = "application/json";

/// An answer.
pub(crate) type Reply = Response<BoxBody>;

/// Ends a streamed body in the middle: the connection is closed without the end of the body.
#[derive(Debug, Clone, Copy, Error)]
#[error("the stand-in cuts its answer")]
pub(crate) struct Cut;

/// An answer with a JSON body.
pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Reply {
    match serde_json::to_vec(body) {
        Ok(body) => Response::build(status)
            .insert_header((CONTENT_TYPE, JSON))
            .body(Bytes::from(body))
            .map_into_boxed_body(),
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// An answer without a body.
pub(crate) fn empty(status: StatusCode) -> Reply {
    Response::new(status)
}

/// An answer with a body that is said to be JSON.
pub(crate) fn raw(body: impl Into<Bytes>) -> Reply {
    Response::build(StatusCode::OK)
        .insert_header((CONTENT_TYPE, JSON))
        .body(body.into())
        .map_into_boxed_body()
}

/// An answer that ends after half of its JSON body.
pub(crate) fn truncated(body: impl Into<Bytes>) -> Reply {
    let body = body.into();
    let half = body.slice(..body.len() / 2);
    stream(JSON, iter([Ok(half), Err(Cut)]))
}

/// An answer whose body is streamed.
pub(crate) fn stream(
    content_type: &'static str,
    body: impl Stream<Item = Result<Bytes, Cut>> + 'static,
) -> Reply {
    Response::build(StatusCode::OK)
        .insert_header((CONTENT_TYPE, content_type))
        .body(BodyStream::new(body.then(flush_before_cut)))
        .map_into_boxed_body()
}

/// Lets what was sent before a cut leave the server's buffer, which is dropped with the connection.
async fn flush_before_cut(item: Result<Bytes, Cut>) -> Result<Bytes, Cut> {
    if item.is_err() {
        tokio::task::yield_now().await;
    }
    item
}
