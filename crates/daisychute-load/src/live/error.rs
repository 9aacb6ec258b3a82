//! Why a live request has no whole answer.

use awc::error::{PayloadError, SendRequestError};
use miette::Diagnostic;
use thiserror::Error;

/// Why a live request has no whole answer.
#[derive(Debug, Error, Diagnostic)]
pub enum LiveError {
    /// It could not be sent, or no answer came.
    #[error("the request was not answered: {0}")]
    Send(String),
    /// The entry refused it.
    #[error("the entry answered with status {status}")]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The answer broke off.
    #[error("the answer broke off")]
    Payload(#[from] PayloadError),
    /// The stream ended without its last event.
    #[error("the stream ended after {tokens} tokens without its last event")]
    CutShort {
        /// Tokens that came.
        tokens: u32,
    },
}

impl From<SendRequestError> for LiveError {
    fn from(source: SendRequestError) -> Self {
        Self::Send(source.to_string())
    }
}
