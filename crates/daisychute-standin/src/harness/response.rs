//! Answers that a test reads.

use std::fmt;

use awc::ClientResponse;
use awc::error::PayloadError;
use awc::http::StatusCode;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use serde::de::DeserializeOwned;

use super::HarnessError;

/// An answer whose body is still to come.
///
/// A body of known length that is cut short is an error. The client library does not tell the cut of a chunked body
/// from its end, so a reader of a stream has to look for the event that ends it.
pub struct Response {
    url: String,
    res: ClientResponse,
    /// What came of the body and was not read as a line yet.
    buf: BytesMut,
    /// Bytes of the body that are still to come, where its length is known.
    left: Option<u64>,
}

/// An answer with its whole body.
#[derive(Debug, Clone)]
pub struct Answer {
    /// What was called.
    pub url: String,
    /// The status.
    pub status: StatusCode,
    /// The value of `Retry-After` in seconds.
    pub retry_after: Option<u64>,
    /// The body.
    pub body: Bytes,
}

impl Response {
    pub(super) fn new(url: String, res: ClientResponse) -> Self {
        let left = res.headers().get("content-length");
        let left = left.and_then(|it| it.to_str().ok()?.parse().ok());
        Self { url, res, buf: BytesMut::new(), left }
    }

    /// The status.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        self.res.status()
    }

    /// The next line of the body without its end; none after the last.
    ///
    /// # Errors
    ///
    /// The body is cut short.
    pub async fn line(&mut self) -> Result<Option<String>, HarnessError> {
        loop {
            if let Some(end) = self.buf.iter().position(|it| *it == b'\n') {
                let line = self.buf.split_to(end + 1);
                return Ok(Some(String::from_utf8_lossy(&line[..end]).into_owned()));
            }
            if !self.read().await? {
                return Ok(None);
            }
        }
    }

    /// The answer with what is left of its body.
    ///
    /// # Errors
    ///
    /// The body is cut short.
    pub async fn whole(mut self) -> Result<Answer, HarnessError> {
        while self.read().await? {}
        let retry_after = self.res.headers().get("retry-after");
        let retry_after = retry_after.and_then(|it| it.to_str().ok()?.parse().ok());
        let status = self.status();
        Ok(Answer { url: self.url, status, retry_after, body: self.buf.freeze() })
    }

    /// Reads some of the body; whether there was any left.
    async fn read(&mut self) -> Result<bool, HarnessError> {
        match self.res.next().await {
            Some(Ok(chunk)) => {
                self.left = self.left.map(|it| it.saturating_sub(chunk.len() as u64));
                self.buf.extend_from_slice(&chunk);
                Ok(true)
            }
            Some(Err(source)) => Err(self.cut(source)),
            None if self.left.is_some_and(|it| it > 0) => {
                Err(self.cut(PayloadError::Incomplete(None)))
            }
            None => Ok(false),
        }
    }

    fn cut(&mut self, source: PayloadError) -> HarnessError {
        let body = self.buf.split().freeze();
        HarnessError::CutAnswer { url: self.url.clone(), body, source }
    }
}

impl fmt::Debug for Response {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Response").field("url", &self.url).field("status", &self.status()).finish()
    }
}

impl Answer {
    /// The body as JSON of a known shape.
    ///
    /// # Errors
    ///
    /// It is something else.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, HarnessError> {
        let parsed = serde_json::from_slice(&self.body);
        parsed.map_err(|source| HarnessError::BadAnswer { url: self.url.clone(), source })
    }

    /// The body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}
