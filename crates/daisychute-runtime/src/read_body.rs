//! Reading a body within limits.

use actix_http::Request;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use thiserror::Error;
use tokio::time::timeout;

use crate::HttpLimits;

/// Why a body could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BodyError {
    /// It is larger than allowed.
    #[error("the body is larger than {max_bytes} bytes")]
    TooLarge {
        /// The largest body, in bytes.
        max_bytes: usize,
    },
    /// It came too slowly.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// It was cut short or malformed.
    #[error("the body could not be read: {0}")]
    Broken(String),
}

/// Reads the body of a request within `limits`.
///
/// # Errors
///
/// The body is too large, too slow or broken.
pub async fn read_body(req: &mut Request, limits: &HttpLimits) -> Result<Bytes, BodyError> {
    match timeout(limits.body_timeout, collect(req, limits.body_bytes)).await {
        Ok(result) => result,
        Err(_) => Err(BodyError::TooSlow),
    }
}

async fn collect(req: &mut Request, max_bytes: usize) -> Result<Bytes, BodyError> {
    let mut payload = req.take_payload();
    let mut body = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|it| BodyError::Broken(it.to_string()))?;
        if body.len() + part.len() > max_bytes {
            return Err(BodyError::TooLarge { max_bytes });
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}
