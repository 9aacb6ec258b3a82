//! `where`: where a request would go now, and why.

use std::net::SocketAddr;

use daisychute_dispatch::{EndpointPreview, HeldBack, Preview, PreviewDecision};
use serde::Serialize;

use crate::admin;
use crate::args::Header;
use crate::context::Context;
use crate::error::{CliError, Exit, FrontError};
use crate::output::CommandOutput;
use crate::table::{or_dash, render, table};

/// A preview, as shown to the operator.
#[derive(Debug, Serialize)]
#[serde(transparent)]
struct ShownPreview(Preview);

impl CommandOutput for ShownPreview {
    fn text(&self, width: u16) -> String {
        let Self(preview) = self;
        let header = [
            "ENDPOINT",
            "STAGE",
            "VERSION",
            "STATE",
            "PREDICTED",
            "WAIT",
            "UNCACHED",
            "REQUESTS",
            "LOAD AGE",
        ];
        let mut table = table(width, &header);
        for endpoint in &preview.endpoints {
            table.add_row(row(endpoint));
        }
        format!("{}\n{}\n{}", summary(preview), decision(&preview.decision), render(&table))
    }
}

fn summary(preview: &Preview) -> String {
    format!(
        "configuration {}, route {}, service {}, tenant {}",
        or_dash(preview.configuration),
        or_dash(preview.route.as_deref()),
        or_dash(preview.service.as_ref()),
        or_dash(preview.tenant.as_ref()),
    )
}

fn decision(decision: &PreviewDecision) -> String {
    match decision {
        PreviewDecision::Send {
            endpoint,
            task,
            cost_ms,
            wait_ms,
            uncached_tokens,
            deadline_ms,
            priority,
        } => {
            format!(
                "would be sent to {endpoint} ({task}): {cost_ms} ms predicted, {wait_ms} ms of it behind others, \
                 {uncached_tokens} tokens to prefill, {deadline_ms} ms left, priority {priority}"
            )
        }
        PreviewDecision::Wait { limit_ms } => {
            format!("would wait up to {limit_ms} ms for news of the directory or of other fronts")
        }
        PreviewDecision::Refuse { reason, retry_after_ms: Some(ms) } => {
            format!("would be refused, not run: {reason}; Retry-After {ms} ms")
        }
        PreviewDecision::Refuse { reason, retry_after_ms: None } => {
            format!("would be refused, not run: {reason}")
        }
        PreviewDecision::Fail { reason } => format!("would fail: {reason}"),
    }
}

fn row(endpoint: &EndpointPreview) -> [String; 9] {
    let (own, others) = endpoint.requests;
    [
        endpoint.endpoint.to_string(),
        or_dash(endpoint.stage.map(|it| format!("{it:?}").to_lowercase())),
        or_dash(endpoint.software_version.as_ref()),
        state(endpoint.held_back).to_owned(),
        format!("{:.0} ms", endpoint.predicted_ms),
        format!("{:.0} ms", endpoint.wait_ms),
        endpoint.uncached_tokens.to_string(),
        format!("{own} + {others}"),
        or_dash(endpoint.load_age_ms.map(|it| format!("{it} ms"))),
    ]
}

const fn state(held_back: Option<HeldBack>) -> &'static str {
    match held_back {
        None => "ready",
        Some(HeldBack::Draining) => "draining",
        Some(HeldBack::Leaving) => "leaving",
        Some(HeldBack::Misdirected) => "misdirected",
        Some(HeldBack::Removed) => "removed",
        Some(HeldBack::Paused) => "paused",
        Some(HeldBack::Ejected) => "ejected",
    }
}

/// Asks a front where a request with this path, host and headers would go.
pub(super) async fn preview(
    cx: &Context,
    front: SocketAddr,
    path: &str,
    host: &str,
    headers: Vec<Header>,
) -> Result<Exit, CliError> {
    match admin::get_preview(front, path, host, headers).await {
        Ok(preview) => {
            cx.show(&ShownPreview(preview))?;
            Ok(Exit::Done)
        }
        Err(source) => {
            Err(CliError::NoFront { errors: vec![FrontError { address: front, source }] })
        }
    }
}
