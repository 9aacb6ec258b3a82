//! Reads the state of an engine and gives it orders.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::timeout;
use awc::http::StatusCode;
use awc::{Client, Connector};
use daisychute_core::Revision;
use daisychute_runtime::never_sent;
use serde::Deserialize;

use super::{EngineState, Order, OrderOutcome};

/// How long an engine may take to answer. An order that took longer may still arrive.
const DEADLINE: Duration = Duration::from_secs(2);
/// The largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 65_536;

/// Speaks `GET /state` and `POST /orders` of one engine.
#[derive(Clone)]
pub(super) struct EngineClient {
    client: Client,
    base: Rc<str>,
}

/// Why an engine refuses an order.
#[derive(Debug, Deserialize)]
#[serde(tag = "error", rename_all = "snake_case")]
enum Refusal {
    Changing,
    StaleFence { fence: Revision },
}

impl EngineClient {
    pub(super) fn new(base: &str) -> Self {
        let client = Client::builder().connector(Connector::new()).disable_timeout().finish();
        Self { client, base: Rc::from(base.trim_end_matches('/')) }
    }

    pub(super) async fn state(&self) -> Option<EngineState> {
        let call = async {
            let mut response = self.client.get(format!("{}/state", self.base)).send().await.ok()?;
            let body = response.body().limit(MAX_ANSWER_BYTES).await.ok()?;
            serde_json::from_slice(&body).ok()
        };
        timeout(DEADLINE, call).await.ok().flatten()
    }

    pub(super) async fn order(&self, order: &Order) -> OrderOutcome {
        let Ok(body) = serde_json::to_vec(order) else { return OrderOutcome::NotSent };
        timeout(DEADLINE, self.send(body)).await.unwrap_or(OrderOutcome::Unknown)
    }

    async fn send(&self, body: Vec<u8>) -> OrderOutcome {
        let request = self.client.post(format!("{}/orders", self.base));
        let request = request.insert_header(("Content-Type", "application/json"));
        let mut response = match request.send_body(body).await {
            Ok(response) => response,
            Err(error) if never_sent(&error) => return OrderOutcome::NotSent,
            Err(_) => return OrderOutcome::Unknown,
        };
        match response.status() {
            StatusCode::CONFLICT => {
                let body = response.body().limit(MAX_ANSWER_BYTES).await.unwrap_or_default();
                refused(&body)
            }
            status if status.is_success() => OrderOutcome::Accepted,
            status if status.is_client_error() => OrderOutcome::NotSent,
            _ => OrderOutcome::Unknown,
        }
    }
}

fn refused(body: &[u8]) -> OrderOutcome {
    match serde_json::from_slice(body) {
        Ok(Refusal::Changing) => OrderOutcome::Changing,
        Ok(Refusal::StaleFence { fence }) => OrderOutcome::StaleFence(fence),
        Err(_) => OrderOutcome::Unknown,
    }
}
