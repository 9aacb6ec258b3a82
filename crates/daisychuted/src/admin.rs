//! HTTP handler of the admin listener: health, status and metrics.

use std::convert::Infallible;

use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderValue};
use actix_http::{Method, Request, Response, StatusCode};
use daisychute_agent::shell::AgentHandle;
use daisychute_core::ProcessStatus;
use daisychute_entry::shell::EntryHandle;
use daisychute_runtime::{HttpLimits, check_head};
use metrics_exporter_prometheus::PrometheusHandle;

/// A process whose status the admin listener serves.
pub(crate) trait StatusSource: Clone + 'static {
    /// The current status of the process; `None` after it has stopped.
    fn status(&self) -> impl Future<Output = Option<ProcessStatus>>;
}

impl StatusSource for EntryHandle {
    async fn status(&self) -> Option<ProcessStatus> {
        Self::status(self).await
    }
}

impl StatusSource for AgentHandle {
    async fn status(&self) -> Option<ProcessStatus> {
        Self::status(self).await
    }
}

/// Handles the requests of operators.
#[derive(Debug, Clone)]
pub(crate) struct Admin<S> {
    source: S,
    metrics: PrometheusHandle,
    limits: HttpLimits,
}

impl<S: StatusSource> Admin<S> {
    pub(crate) const fn new(source: S, metrics: PrometheusHandle, limits: HttpLimits) -> Self {
        Self { source, metrics, limits }
    }

    pub(crate) async fn handle(self, req: Request) -> Result<Response<BoxBody>, Infallible> {
        if let Err(error) = check_head(&req, &self.limits) {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return Ok(text_response(status, "text/plain", format!("{error}\n")));
        }
        if req.method() != Method::GET {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            return Ok(text_response(
                status,
                "text/plain",
                "this listener takes only GET\n".to_owned(),
            ));
        }
        let res = match req.path() {
            "/healthz" => text_response(StatusCode::OK, "text/plain", "ok\n".to_owned()),
            "/metrics" => {
                text_response(StatusCode::OK, "text/plain; version=0.0.4", self.metrics.render())
            }
            "/status" => match self.source.status().await {
                Some(status) => text_response(
                    StatusCode::OK,
                    "application/json",
                    serde_json::to_string(&status).unwrap_or_default(),
                ),
                None => text_response(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "text/plain",
                    "stopping\n".to_owned(),
                ),
            },
            _ => text_response(
                StatusCode::NOT_FOUND,
                "text/plain",
                "there is nothing at this path\n".to_owned(),
            ),
        };
        Ok(res)
    }
}

fn text_response(
    status: StatusCode,
    content_type: &'static str,
    body: String,
) -> Response<BoxBody> {
    let mut res = Response::with_body(status, BoxBody::new(body));
    res.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    res
}
