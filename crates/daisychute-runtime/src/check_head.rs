//! Size limit for request heads.

use actix_http::Request;
use thiserror::Error;

use crate::HttpLimits;

/// The head of a request is larger than allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the head of the request is larger than {max_bytes} bytes")]
pub struct HeadTooLarge {
    /// Maximum size of the head, in bytes.
    pub max_bytes: usize,
}

/// Checks that path, query, header names and header values together don't exceed [`HttpLimits::header_bytes`].
///
/// # Errors
///
/// Returns [`HeadTooLarge`] if they do.
pub fn check_head(req: &Request, limits: &HttpLimits) -> Result<(), HeadTooLarge> {
    let max_bytes = limits.header_bytes;
    let target_bytes = req.uri().path_and_query().map_or(0, |it| it.as_str().len());
    let headers = req.head().headers().iter();
    let header_bytes: usize = headers.map(|(name, value)| name.as_str().len() + value.len()).sum();
    if target_bytes + header_bytes > max_bytes { Err(HeadTooLarge { max_bytes }) } else { Ok(()) }
}
