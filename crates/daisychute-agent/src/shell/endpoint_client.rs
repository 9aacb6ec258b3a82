//! The client of the endpoint beside the agent.

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

/// How long the endpoint may take to answer a cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Speaks the HTTP interface of one endpoint.
#[derive(Clone)]
pub struct EndpointClient {
    client: Client,
    service: ServiceClient,
    base: Rc<str>,
}

impl std::fmt::Debug for EndpointClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EndpointClient").field("base", &self.base).finish_non_exhaustive()
    }
}

impl EndpointClient {
    /// A client of the endpoint at this base URL.
    #[must_use]
    pub fn new(base: &str) -> Self {
        // The number of connections is bounded by what the core lets run.
        let connector = Connector::new().limit(0);
        let client = Client::builder().connector(connector).disable_timeout().finish();
        let base = Rc::from(base.trim_end_matches('/'));
        Self { client, service: ServiceClient::new(), base }
    }

    pub(super) const fn client(&self) -> &Client {
        &self.client
    }

    pub(super) const fn service(&self) -> &ServiceClient {
        &self.service
    }

    pub(super) fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    /// Hands a request to the endpoint and reports what comes of it.
    pub(crate) async fn run(self, reporter: Reporter) {
        match &reporter.start().work {
            Work::Completion(completion) => run_completion(&self, &reporter, completion).await,
            Work::Call(call) => run_call(&self, &reporter, call).await,
        }
    }

    /// Asks an engine for the rest of an answer.
    pub(crate) async fn resume(self, reporter: Reporter, from_tokens: u32) {
        resume_completion(&self, &reporter, from_tokens).await;
    }

    /// Cancels a request on an engine. That it may have ended is no error.
    pub(crate) async fn cancel(self, start: Rc<Start>) {
        let url = self.url(&format!("/requests/{}/cancel", endpoint_id(start.id, start.attempt)));
        if let Err(error) = self.client.post(url).timeout(CANCEL_TIMEOUT).send().await {
            log::debug!("cancel of {}: {error}", start.id);
        }
    }
}

/// The id under which an endpoint knows one run of a request.
pub(super) fn endpoint_id(id: RequestId, attempt: u32) -> String {
    format!("{id}.{attempt}")
}

/// What a failure to send tells of the request's effect.
pub(super) fn send_failure(error: &SendRequestError) -> EndpointReport {
    if never_sent(error) {
        EndpointReport::NotStarted(RefusalReason::EndpointLost)
    } else {
        EndpointReport::Broken(RefusalReason::EndpointLost)
    }
}
