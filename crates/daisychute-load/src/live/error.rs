//! Failures of a live request.

use awc::error::{PayloadError, SendRequestError};
use miette::Diagnostic;
use thiserror::Error;

/// Why a live request got no complete response.
#[derive(Debug, Error, Diagnostic)]
pub enum LiveError {
    /// The request could not be sent, or no response came.
    #[error("no response to the request: {0}")]
    Send(String),
    /// The entry refused the request or failed.
    #[error("the entry responded with HTTP status {status}")]
    Status {
        /// HTTP status outside 200 to 299.
        status: u16,
    },
    /// The connection was lost, or the body was malformed.
    #[error("the response body could not be read to its end")]
    Payload(#[from] PayloadError),
    /// The stream ended without its final event, `[DONE]`.
    #[error("the stream ended after {tokens} tokens without its final event")]
    Truncated {
        /// Tokens received before the end.
        tokens: u32,
    },
}

impl From<SendRequestError> for LiveError {
    fn from(source: SendRequestError) -> Self {
        Self::Send(source.to_string())
    }
}
