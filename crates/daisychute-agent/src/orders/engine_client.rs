//! HTTP client for the state of an engine and for orders to it.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::timeout;
use awc::http::StatusCode;
use awc::{Client, Connector};
use daisychute_core::Revision;
use daisychute_runtime::never_sent;
use serde::Deserialize;

use super::{EngineState, Order, OrderOutcome};

/// Timeout of a call to the engine. An order that timed out may still take effect.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 65_536;

/// Client for `GET /state` and `POST /orders` of one engine.
#[derive(Clone)]
pub(super) struct EngineClient {
    client: Client,
    base_url: Rc<str>,
}

/// Body of an engine's 409 response: why it refused an order.
#[derive(Debug, Deserialize)]
#[serde(tag = "error", rename_all = "snake_case")]
enum OrderRefusal {
    Changing,
    StaleFence { fence: Revision },
}

impl EngineClient {
    pub(super) fn new(base_url: &str) -> Self {
        let client = Client::builder().connector(Connector::new()).disable_timeout().finish();
        Self { client, base_url: Rc::from(base_url.trim_end_matches('/')) }
    }

    pub(super) async fn read_state(&self) -> Option<EngineState> {
        let call = async {
            let mut response =
                self.client.get(format!("{}/state", self.base_url)).send().await.ok()?;
            let body = response.body().limit(MAX_RESPONSE_BYTES).await.ok()?;
            serde_json::from_slice(&body).ok()
        };
        timeout(CALL_TIMEOUT, call).await.ok().flatten()
    }

    pub(super) async fn send_order(&self, order: &Order) -> OrderOutcome {
        let Ok(body) = serde_json::to_vec(order) else { return OrderOutcome::NotSent };
        timeout(CALL_TIMEOUT, self.post_order(body)).await.unwrap_or(OrderOutcome::Unknown)
    }

    async fn post_order(&self, body: Vec<u8>) -> OrderOutcome {
        let request = self.client.post(format!("{}/orders", self.base_url));
        let request = request.insert_header(("Content-Type", "application/json"));
        let mut response = match request.send_body(body).await {
            Ok(response) => response,
            Err(error) if never_sent(&error) => return OrderOutcome::NotSent,
            Err(_) => return OrderOutcome::Unknown,
        };
        match response.status() {
            StatusCode::CONFLICT => {
                let body = response.body().limit(MAX_RESPONSE_BYTES).await.unwrap_or_default();
                parse_refusal(&body)
            }
            status if status.is_success() => OrderOutcome::Accepted,
            status if status.is_client_error() => OrderOutcome::NotSent,
            _ => OrderOutcome::Unknown,
        }
    }
}

fn parse_refusal(body: &[u8]) -> OrderOutcome {
    match serde_json::from_slice(body) {
        Ok(OrderRefusal::Changing) => OrderOutcome::Changing,
        Ok(OrderRefusal::StaleFence { fence }) => OrderOutcome::StaleFence(fence),
        Err(_) => OrderOutcome::Unknown,
    }
}
