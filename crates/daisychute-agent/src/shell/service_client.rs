//! HTTP client of a plain service.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::TokioExecutor;

/// Sends calls to a plain service and detects truncated responses.
///
/// This is not `awc`, because `awc` accepts the end of the connection as the end of a body, whatever the content length
/// or transfer coding says.
#[derive(Debug, Clone)]
pub(super) struct ServiceClient {
    /// Reuses idle connections; for repeatable calls.
    pooled: Client<HttpConnector, Full<Bytes>>,
    /// Opens a new connection for each call; for non-repeatable calls. If a reused connection turns out to be closed,
    /// it is unknown whether the call has run. A failure to open a new connection proves that it hasn't.
    unpooled: Client<HttpConnector, Full<Bytes>>,
}

impl ServiceClient {
    pub(super) fn new() -> Self {
        let pooled =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector());
        let unpooled = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_max_idle_per_host(0)
            .build(connector());
        Self { pooled, unpooled }
    }

    /// Sends a call and waits for the response head.
    pub(super) async fn send(
        &self,
        request: Request<Full<Bytes>>,
        repeatable: bool,
    ) -> Result<Response<Incoming>, Error> {
        let client = if repeatable { &self.pooled } else { &self.unpooled };
        client.request(request).await
    }
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector
}
