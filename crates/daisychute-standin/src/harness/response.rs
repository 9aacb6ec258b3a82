//! Responses received by the test client.

use std::fmt;

use awc::ClientResponse;
use awc::error::PayloadError;
use awc::http::StatusCode;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use serde::de::DeserializeOwned;

use super::HarnessError;

/// A response whose body hasn't been read completely.
///
/// A truncated body of known length is an error. The HTTP client can't distinguish a truncated chunked body from a
/// complete one, so a reader of a stream must check for the event that ends it.
pub struct Response {
    url: String,
    res: ClientResponse,
    /// Part of the body that has arrived and wasn't returned as a line yet.
    buf: BytesMut,
    /// Number of body bytes that haven't arrived; `None` if the response has no `Content-Length`.
    remaining: Option<u64>,
}

/// A response with its complete body.
#[derive(Debug, Clone)]
pub struct FullResponse {
    /// URL of the call.
    pub url: String,
    /// HTTP status code.
    pub status: StatusCode,
    /// Value of `Retry-After` in seconds; `None` if it is missing or not a number.
    pub retry_after: Option<u64>,
    /// Complete body.
    pub body: Bytes,
}

impl Response {
    pub(super) fn new(url: String, res: ClientResponse) -> Self {
        let remaining = res.headers().get("content-length");
        let remaining = remaining.and_then(|it| it.to_str().ok()?.parse().ok());
        Self { url, res, buf: BytesMut::new(), remaining }
    }

    /// HTTP status code.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        self.res.status()
    }

    /// Returns the next line of the body without its line feed; `None` after the last one.
    ///
    /// # Errors
    ///
    /// The body is truncated.
    pub async fn line(&mut self) -> Result<Option<String>, HarnessError> {
        loop {
            if let Some(end) = self.buf.iter().position(|it| *it == b'\n') {
                let line = self.buf.split_to(end + 1);
                return Ok(Some(String::from_utf8_lossy(&line[..end]).into_owned()));
            }
            if !self.read_chunk().await? {
                return Ok(None);
            }
        }
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// The body is truncated.
    pub async fn read_full(mut self) -> Result<FullResponse, HarnessError> {
        while self.read_chunk().await? {}
        let retry_after = self.res.headers().get("retry-after");
        let retry_after = retry_after.and_then(|it| it.to_str().ok()?.parse().ok());
        let status = self.status();
        Ok(FullResponse { url: self.url, status, retry_after, body: self.buf.freeze() })
    }

    /// Reads the next chunk of the body. Returns whether there was one.
    async fn read_chunk(&mut self) -> Result<bool, HarnessError> {
        match self.res.next().await {
            Some(Ok(chunk)) => {
                self.remaining = self.remaining.map(|it| it.saturating_sub(chunk.len() as u64));
                self.buf.extend_from_slice(&chunk);
                Ok(true)
            }
            Some(Err(source)) => Err(self.truncated(source)),
            None if self.remaining.is_some_and(|it| it > 0) => {
                Err(self.truncated(PayloadError::Incomplete(None)))
            }
            None => Ok(false),
        }
    }

    fn truncated(&mut self, source: PayloadError) -> HarnessError {
        let body = self.buf.split().freeze();
        HarnessError::TruncatedResponse { url: self.url.clone(), body, source }
    }
}

impl fmt::Debug for Response {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Response").field("url", &self.url).field("status", &self.status()).finish()
    }
}

impl FullResponse {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// The body isn't JSON of this type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, HarnessError> {
        let parsed = serde_json::from_slice(&self.body);
        parsed.map_err(|source| HarnessError::BadResponse { url: self.url.clone(), source })
    }

    /// Body as text, with invalid UTF-8 replaced.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}
