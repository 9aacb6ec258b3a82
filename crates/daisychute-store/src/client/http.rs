//! One call over HTTP.

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
/// The largest answer: a list of many objects, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * MAX_OBJECT_BYTES;

/// The answer of a failed call.
#[derive(Deserialize)]
struct Status {
    #[serde(default)]
    reason: String,
}

impl ObjectClient {
    /// One call within the budget and the deadline: the body of a successful answer.
    pub(super) async fn call(
        &self,
        method: Method,
        path: &str,
        object: Option<&Object>,
    ) -> Result<Bytes, CallError> {
        self.budget.borrow_mut().acquire(self.clock.now())?;
        let whole = async {
            let response = self.open(method, path, object).await?;
            read_body(response).await
        };
        within(self.settings.call_timeout, whole).await
    }

    /// Sends a call and takes the head of its answer, within the deadline.
    pub(super) async fn open(
        &self,
        method: Method,
        path: &str,
        object: Option<&Object>,
    ) -> Result<ClientResponse, CallError> {
        let url = format!("{}{BASE_PATH}{path}", self.settings.url);
        let request = self.http.request(method, url);
        let sending = match object {
            Some(object) => request
                .insert_header(("Content-Type", "application/json"))
                .send_body(encode(object)?),
            None => request.send(),
        };
        let head = async { sending.await.map_err(|it| CallError::Unavailable(outage_cause(&it))) };
        let response = within(self.settings.call_timeout, head).await?;
        if response.status().is_success() {
            Ok(response)
        } else {
            Err(within(self.settings.call_timeout, refusal(response)).await.unwrap_or_else(|it| it))
        }
    }

    pub(super) fn parse<T: DeserializeOwned>(&self, body: &[u8]) -> Result<T, CallError> {
        serde_json::from_slice(body).map_err(|_| CallError::Malformed)
    }
}

async fn within<T>(
    span: Duration,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    match timeout(span, call).await {
        Ok(outcome) => outcome,
        Err(_) => Err(CallError::Unavailable(UnavailableCause::Deadline)),
    }
}

fn encode(object: &Object) -> Result<Vec<u8>, CallError> {
    let body = serde_json::to_vec(object).map_err(|_| CallError::Malformed)?;
    if body.len() > MAX_OBJECT_BYTES { Err(CallError::TooLarge) } else { Ok(body) }
}

async fn read_body(mut response: ClientResponse) -> Result<Bytes, CallError> {
    let body = response.body().limit(MAX_ANSWER_BYTES).await;
    body.map_err(|_| CallError::Unavailable(UnavailableCause::Broken))
}

/// What an answer other than a success means.
async fn refusal(response: ClientResponse) -> Result<CallError, CallError> {
    let status = response.status().as_u16();
    let retry_after = retry_after(&response);
    let body = read_body(response).await.unwrap_or_default();
    let reason = serde_json::from_slice::<Status>(&body).map(|it| it.reason).unwrap_or_default();
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

fn outage_cause(error: &SendRequestError) -> UnavailableCause {
    match error {
        error if never_sent(error) => UnavailableCause::Connect,
        SendRequestError::Timeout => UnavailableCause::Deadline,
        _ => UnavailableCause::Broken,
    }
}
