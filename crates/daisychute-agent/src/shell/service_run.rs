//! Runs calls on a plain service.

use bytes::Bytes;
use daisychute_core::{RefusalReason, Usage};
use daisychute_proto::Call;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header;
use hyper::{Request, Response, http};

use super::endpoint_client::endpoint_request_id;
use super::{EndpointClient, Reporter};
use crate::core::EndpointReport;

const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";
const REQUEST_ID_HEADER: &str = "X-Request-Id";

pub(super) async fn run_call(endpoint: &EndpointClient, reporter: &Reporter, call: &Call) {
    let Ok(request) = build_request(endpoint, reporter, call) else {
        return reporter.report(EndpointReport::NotStarted(RefusalReason::BadAnswer));
    };
    match endpoint.service().send(request, call.repeatable).await {
        Ok(response) => report_response(reporter, response).await,
        Err(error) if error.is_connect() => {
            reporter.report(EndpointReport::NotStarted(RefusalReason::EndpointLost))
        }
        Err(_) => reporter.report(EndpointReport::Broken(RefusalReason::EndpointLost)),
    }
}

fn build_request(
    endpoint: &EndpointClient,
    reporter: &Reporter,
    call: &Call,
) -> http::Result<Request<Full<Bytes>>> {
    let start = reporter.start();
    let mut request = Request::builder()
        .method(call.method.as_str())
        .uri(endpoint.url(&call.path))
        .header(REQUEST_ID_HEADER, endpoint_request_id(start.id, start.attempt));
    if let Some(content_type) = &call.content_type {
        request = request.header(header::CONTENT_TYPE, content_type);
    }
    if let Some(key) = &call.key {
        request = request.header(IDEMPOTENCY_KEY_HEADER, key);
    }
    request.body(Full::new(call.body.clone()))
}

/// Reports a response. One without content length or transfer coding is rejected, because its truncation can't be
/// detected.
async fn report_response(reporter: &Reporter, response: Response<Incoming>) {
    if !has_framed_body(&response) {
        return reporter.report(EndpointReport::Broken(RefusalReason::BadAnswer));
    }
    let content_type = response
        .headers()
        .get(header::CONTENT_TYPE)
        .and_then(|it| it.to_str().ok())
        .map(str::to_owned);
    reporter.report(EndpointReport::Head {
        status: response.status().as_u16(),
        content_type,
        version: None,
    });
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return reporter.report(EndpointReport::Broken(RefusalReason::EndpointLost));
        };
        // Trailers are not forwarded.
        if let Ok(data) = frame.into_data() {
            reporter.report(EndpointReport::Data { data, tokens: 0 });
        }
    }
    reporter.report(EndpointReport::Finished { finish: None, usage: Usage::default() });
}

fn has_framed_body(response: &Response<Incoming>) -> bool {
    // A response that can't have a body (such as a 204) is already at its end.
    let is_empty = response.body().is_end_stream();
    let headers = response.headers();
    is_empty
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}
