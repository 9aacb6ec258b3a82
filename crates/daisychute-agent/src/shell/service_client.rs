//! The HTTP client of a plain service.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::TokioExecutor;

/// Sends calls to a plain service and tells a cut answer from a whole one.
///
/// `awc` takes the end of the connection for the end of a body, whatever its length or transfer coding says.
#[derive(Debug, Clone)]
pub(super) struct ServiceClient {
    /// For repeatable calls.
    kept: Client<HttpConnector, Full<Bytes>>,
    /// For the others. A kept connection may be dead without notice, and then nobody knows whether the call has run; a
    /// failure to open a new one proves that it has not.
    fresh: Client<HttpConnector, Full<Bytes>>,
}

impl ServiceClient {
    pub(super) fn new() -> Self {
        let kept =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector());
        let fresh = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_max_idle_per_host(0)
            .build(connector());
        Self { kept, fresh }
    }

    /// Sends a call and waits for the head of its answer.
    pub(super) async fn send(
        &self,
        req: Request<Full<Bytes>>,
        repeatable: bool,
    ) -> Result<Response<Incoming>, Error> {
        let client = if repeatable { &self.kept } else { &self.fresh };
        client.request(req).await
    }
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector
}
