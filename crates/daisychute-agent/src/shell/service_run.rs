//! Running a call on a plain service.

use awc::http::{Method, header};
use daisychute_core::{RefusalReason, Usage};
use daisychute_proto::Call;
use futures_util::StreamExt;

use super::endpoint_client::{endpoint_id, send_failure};
use super::{EndpointClient, Reporter};
use crate::core::Report;

const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
const REQUEST_ID: &str = "X-Request-Id";

pub(super) async fn run_call(endpoint: &EndpointClient, reporter: &Reporter, call: &Call) {
    let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
        return reporter.report(Report::NotStarted(RefusalReason::BadAnswer));
    };
    let start = reporter.start();
    let mut req = endpoint
        .client()
        .request(method, endpoint.url(&call.path))
        .insert_header((REQUEST_ID, endpoint_id(start.id, start.attempt)));
    if let Some(content_type) = &call.content_type {
        req = req.insert_header((header::CONTENT_TYPE, content_type.as_str()));
    }
    if let Some(key) = &call.key {
        req = req.insert_header((IDEMPOTENCY_KEY, key.as_str()));
    }
    if !call.repeatable {
        // A kept connection may be dead without notice, and then nobody knows whether the call has run. A failure to
        // open a new one proves that it has not.
        req = req.force_close();
    }
    let mut res = match req.send_body(call.body.clone()).await {
        Ok(res) => res,
        Err(error) => return reporter.report(send_failure(&error)),
    };
    let content_type =
        res.headers().get(header::CONTENT_TYPE).and_then(|it| it.to_str().ok()).map(str::to_owned);
    reporter.report(Report::Head { status: res.status().as_u16(), content_type, version: None });
    while let Some(part) = res.next().await {
        match part {
            Ok(data) => reporter.report(Report::Data { data, tokens: 0 }),
            Err(_) => return reporter.report(Report::Broken(RefusalReason::EndpointLost)),
        }
    }
    reporter.report(Report::Finished { finish: None, usage: Usage::default() });
}
