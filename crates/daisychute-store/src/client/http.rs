//! HTTP exchange of one platform call.

use std::future::Future;
use std::time::Duration;

use actix_rt::time::timeout;
use awc::ClientResponse;
use awc::error::SendRequestError;
use awc::http::Method;
use awc::http::header::RETRY_AFTER;
use bytes::Bytes;
use daisychute_runtime::never_sent;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::{CallError, MAX_OBJECT_BYTES, ObjectClient, UnavailableCause};
use crate::Object;

const BASE_PATH: &str = "/apis/daisychute.dev/v1/";
/// Maximum size of a response body: a list may hold many objects.
const MAX_RESPONSE_BYTES: usize = 64 * MAX_OBJECT_BYTES;

/// Body of an error response.
#[derive(Deserialize)]
struct ErrorBody {
    #[serde(default)]
    reason: String,
}

impl ObjectClient {
    /// Makes one call within the rate limit and the call timeout, and returns the body of a successful response.
    pub(super) async fn call(
        &self,
        method: Method,
        path: &str,
        object: Option<&Object>,
    ) -> Result<Bytes, CallError> {
        self.rate_limiter.borrow_mut().acquire(self.clock.now())?;
        let exchange = async {
            let response = self.send_request(method, path, object).await?;
            read_body(response).await
        };
        with_timeout(self.settings.call_timeout, exchange).await
    }

    /// Sends a request and receives the head of a successful response within the call timeout.
    pub(super) async fn send_request(
        &self,
        method: Method,
        path: &str,
        object: Option<&Object>,
    ) -> Result<ClientResponse, CallError> {
        let url = format!("{}{BASE_PATH}{path}", self.settings.url);
        let request = self.http.request(method, url);
        let sent = match object {
            Some(object) => request
                .insert_header(("Content-Type", "application/json"))
                .send_body(encode(object)?),
            None => request.send(),
        };
        let head =
            async { sent.await.map_err(|error| CallError::Unavailable(unavailable_cause(&error))) };
        let response = with_timeout(self.settings.call_timeout, head).await?;
        if response.status().is_success() {
            Ok(response)
        } else {
            Err(with_timeout(self.settings.call_timeout, error_response(response))
                .await
                .unwrap_or_else(|error| error))
        }
    }

    pub(super) fn parse<T: DeserializeOwned>(&self, body: &[u8]) -> Result<T, CallError> {
        serde_json::from_slice(body).map_err(|_| CallError::Malformed)
    }
}

async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    match timeout(limit, call).await {
        Ok(outcome) => outcome,
        Err(_) => Err(CallError::Unavailable(UnavailableCause::Timeout)),
    }
}

fn encode(object: &Object) -> Result<Vec<u8>, CallError> {
    let body = serde_json::to_vec(object).map_err(|_| CallError::Malformed)?;
    if body.len() > MAX_OBJECT_BYTES { Err(CallError::TooLarge) } else { Ok(body) }
}

async fn read_body(mut response: ClientResponse) -> Result<Bytes, CallError> {
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    body.map_err(|_| CallError::Unavailable(UnavailableCause::ConnectionLost))
}

/// Maps a response without success to the error that it means.
async fn error_response(response: ClientResponse) -> Result<CallError, CallError> {
    let status = response.status().as_u16();
    let retry_after = retry_after(&response);
    let body = read_body(response).await.unwrap_or_default();
    let reason = serde_json::from_slice::<ErrorBody>(&body).map(|it| it.reason).unwrap_or_default();
    Ok(match status {
        404 => CallError::NotFound,
        409 if reason == "AlreadyExists" => CallError::AlreadyExists,
        409 => CallError::Conflict,
        410 => CallError::Expired,
        413 => CallError::TooLarge,
        429 => CallError::Throttled { retry_after },
        500.. => CallError::Unavailable(UnavailableCause::ServerError { status }),
        _ => CallError::Refused { status },
    })
}

fn retry_after(response: &ClientResponse) -> Option<Duration> {
    let value = response.headers().get(RETRY_AFTER)?;
    let seconds = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}

fn unavailable_cause(error: &SendRequestError) -> UnavailableCause {
    match error {
        error if never_sent(error) => UnavailableCause::Connect,
        SendRequestError::Timeout => UnavailableCause::Timeout,
        _ => UnavailableCause::ConnectionLost,
    }
}
