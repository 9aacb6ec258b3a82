//! Running a call on a plain service.

use bytes::Bytes;
use daisychute_core::{RefusalReason, Usage};
use daisychute_proto::Call;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header;
use hyper::{Request, Response, http};

use super::endpoint_client::endpoint_id;
use super::{EndpointClient, Reporter};
use crate::core::EndpointReport;

const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
const REQUEST_ID: &str = "X-Request-Id";

pub(super) async fn run_call(endpoint: &EndpointClient, reporter: &Reporter, call: &Call) {
    let Ok(req) = request(endpoint, reporter, call) else {
        return reporter.report(EndpointReport::NotStarted(RefusalReason::BadAnswer));
    };
    match endpoint.service().send(req, call.repeatable).await {
        Ok(res) => pass_on(reporter, res).await,
        Err(error) if error.is_connect() => {
            reporter.report(EndpointReport::NotStarted(RefusalReason::EndpointLost))
        }
        Err(_) => reporter.report(EndpointReport::Broken(RefusalReason::EndpointLost)),
    }
}

fn request(
    endpoint: &EndpointClient,
    reporter: &Reporter,
    call: &Call,
) -> http::Result<Request<Full<Bytes>>> {
    let start = reporter.start();
    let mut req = Request::builder()
        .method(call.method.as_str())
        .uri(endpoint.url(&call.path))
        .header(REQUEST_ID, endpoint_id(start.id, start.attempt));
    if let Some(content_type) = &call.content_type {
        req = req.header(header::CONTENT_TYPE, content_type);
    }
    if let Some(key) = &call.key {
        req = req.header(IDEMPOTENCY_KEY, key);
    }
    req.body(Full::new(call.body.clone()))
}

/// Reports an answer. Only one that marks its own end can be told from a cut one.
async fn pass_on(reporter: &Reporter, res: Response<Incoming>) {
    if !marks_its_end(&res) {
        return reporter.report(EndpointReport::Broken(RefusalReason::BadAnswer));
    }
    let content_type =
        res.headers().get(header::CONTENT_TYPE).and_then(|it| it.to_str().ok()).map(str::to_owned);
    reporter.report(EndpointReport::Head {
        status: res.status().as_u16(),
        content_type,
        version: None,
    });
    let mut body = res.into_body();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return reporter.report(EndpointReport::Broken(RefusalReason::EndpointLost));
        };
        // Trailers are not passed on.
        if let Ok(data) = frame.into_data() {
            reporter.report(EndpointReport::Data { data, tokens: 0 });
        }
    }
    reporter.report(EndpointReport::Finished { finish: None, usage: Usage::default() });
}

fn marks_its_end(res: &Response<Incoming>) -> bool {
    // A body that can't be there has ended already.
    let is_empty = res.body().is_end_stream();
    let headers = res.headers();
    is_empty
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}
