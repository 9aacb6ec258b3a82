//! HTTP client of the agent's endpoint.

use std::rc::Rc;
use std::time::Duration;

use awc::error::SendRequestError;
use awc::{Client, Connector};
use daisychute_core::{RefusalReason, RequestId};
use daisychute_proto::{Start, Work};
use daisychute_runtime::never_sent;

use super::Reporter;
use super::completion_run::{resume_completion, run_completion};
use super::service_client::ServiceClient;
use super::service_run::run_call;
use crate::core::EndpointReport;

/// Timeout of a cancel request to the endpoint.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP client of one endpoint, an engine or a plain service.
#[derive(Clone)]
pub struct EndpointClient {
    client: Client,
    service: ServiceClient,
    base_url: Rc<str>,
}

impl std::fmt::Debug for EndpointClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EndpointClient").field("base", &self.base_url).finish_non_exhaustive()
    }
}

impl EndpointClient {
    /// A client for the endpoint at this base URL.
    #[must_use]
    pub fn new(base_url: &str) -> Self {
        // The admission policy limits the number of concurrent requests, and so of connections.
        let connector = Connector::new().limit(0);
        let client = Client::builder().connector(connector).disable_timeout().finish();
        let base_url = Rc::from(base_url.trim_end_matches('/'));
        Self { client, service: ServiceClient::new(), base_url }
    }

    pub(super) const fn client(&self) -> &Client {
        &self.client
    }

    pub(super) const fn service(&self) -> &ServiceClient {
        &self.service
    }

    pub(super) fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base_url)
    }

    /// Runs a request on the endpoint and reports its progress.
    pub(crate) async fn run(self, reporter: Reporter) {
        match &reporter.start().work {
            Work::Completion(completion) => run_completion(&self, &reporter, completion).await,
            Work::Call(call) => run_call(&self, &reporter, call).await,
        }
    }

    /// Requests the rest of a response from an engine, after `from_tokens` output tokens.
    pub(crate) async fn resume(self, reporter: Reporter, from_tokens: u32) {
        resume_completion(&self, &reporter, from_tokens).await;
    }

    /// Cancels a request on the endpoint. A failure is only logged, as the request may have ended already.
    pub(crate) async fn cancel(self, start: Rc<Start>) {
        let url =
            self.url(&format!("/requests/{}/cancel", endpoint_request_id(start.id, start.attempt)));
        if let Err(error) = self.client.post(url).timeout(CANCEL_TIMEOUT).send().await {
            log::debug!("can't cancel request {} on the endpoint: {error}", start.id);
        }
    }
}

/// The request id that the endpoint receives for one run of a request.
pub(super) fn endpoint_request_id(id: RequestId, attempt: u32) -> String {
    format!("{id}.{attempt}")
}

/// The report for a send failure: `NotStarted` if the request certainly didn't reach the endpoint.
pub(super) fn send_failure_report(error: &SendRequestError) -> EndpointReport {
    if never_sent(error) {
        EndpointReport::NotStarted(RefusalReason::EndpointLost)
    } else {
        EndpointReport::Broken(RefusalReason::EndpointLost)
    }
}
