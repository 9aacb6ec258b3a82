//! Reads request bodies with a size limit and a timeout.

use actix_http::Request;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use thiserror::Error;
use tokio::time::timeout;

use crate::HttpLimits;

/// Reason why a request body could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body exceeds [`HttpLimits::body_bytes`].
    #[error("the body is larger than {max_bytes} bytes")]
    TooLarge {
        /// Maximum size of the body, in bytes.
        max_bytes: usize,
    },
    /// The body did not arrive within [`HttpLimits::body_timeout`].
    #[error("the body did not arrive in time")]
    TooSlow,
    /// The body was truncated or malformed; holds the error message of the HTTP library.
    #[error("the body could not be read: {0}")]
    Broken(String),
}

/// Reads the body of a request, enforcing the size limit and the timeout of `limits`.
///
/// # Errors
///
/// Returns a [`BodyError`] if the body is too large, too slow, truncated or malformed.
pub async fn read_body(req: &mut Request, limits: &HttpLimits) -> Result<Bytes, BodyError> {
    match timeout(limits.body_timeout, collect(req, limits.body_bytes)).await {
        Ok(result) => result,
        Err(_) => Err(BodyError::TooSlow),
    }
}

async fn collect(req: &mut Request, max_bytes: usize) -> Result<Bytes, BodyError> {
    let mut payload = req.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|it| BodyError::Broken(it.to_string()))?;
        if body.len() + chunk.len() > max_bytes {
            return Err(BodyError::TooLarge { max_bytes });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
