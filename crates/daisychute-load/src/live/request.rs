//! Requests to a live entry.

use std::time::{Duration, Instant};

use awc::{Client, ClientRequest};
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use serde::Serialize;

use super::{LiveError, LiveOptions, prompt};
use crate::trace::{Trace, Work};

const TENANT_HEADER: &str = "x-daisychute-tenant";
const CLASS_HEADER: &str = "x-daisychute-class";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const DATA_PREFIX: &[u8] = b"data: ";
const DONE_LINE: &[u8] = b"data: [DONE]";

/// Timing of a request that got a complete response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Outcome {
    /// From sending to the first token, or to the complete response of a call.
    pub(super) first_token: Duration,
    /// Times between consecutive tokens; empty for a call.
    pub(super) gaps: Vec<Duration>,
    /// From sending to the end of the response.
    pub(super) total: Duration,
}

#[derive(Debug, Serialize)]
struct CompletionBody<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
}

/// Sends one request of a trace and reads the response to its end.
pub(super) async fn send(
    client: &Client,
    trace: &Trace,
    index: usize,
    options: &LiveOptions,
) -> Result<Outcome, LiveError> {
    let request = trace.requests[index];
    let class = &trace.header.classes[usize::from(request.class)];
    let path = match class.work {
        Work::Completion => "/v1/completions".to_owned(),
        Work::Call | Work::NonRepeatableCall => {
            format!("/services/{}/{}", trace.header.deployment.service, class.class.name)
        }
    };
    let tenant = &trace.header.tenants[usize::from(request.tenant)];
    let mut call = client
        .post(format!("{}{path}", options.entry))
        .insert_header((TENANT_HEADER, tenant.as_str()))
        .insert_header((CLASS_HEADER, class.class.name.as_str()));
    if let Some(token) = &options.token {
        call = call.bearer_auth(token);
    }
    match class.work {
        Work::Completion => stream_completion(call, trace, index).await,
        Work::Call => send_call(call, index).await,
        Work::NonRepeatableCall => {
            let key = format!("{}-{index}", trace.header.trace);
            send_call(call.insert_header((IDEMPOTENCY_KEY_HEADER, key)), index).await
        }
    }
}

async fn send_call(call: ClientRequest, index: usize) -> Result<Outcome, LiveError> {
    let sent_at = Instant::now();
    let mut res = call.send_body(format!("{{\"place\":{index}}}")).await?;
    check_status(res.status().as_u16())?;
    res.body().await?;
    let total = sent_at.elapsed();
    Ok(Outcome { first_token: total, gaps: Vec::new(), total })
}

async fn stream_completion(
    call: ClientRequest,
    trace: &Trace,
    index: usize,
) -> Result<Outcome, LiveError> {
    let request = trace.requests[index];
    let text = prompt(&request, index);
    let body = CompletionBody {
        model: trace.header.deployment.model.as_str(),
        prompt: &text,
        max_tokens: request.output_tokens,
        stream: true,
    };
    let sent_at = Instant::now();
    let res = call.send_json(&body).await?;
    check_status(res.status().as_u16())?;
    read_events(res, sent_at).await
}

/// Reads server-sent events up to the final one, `[DONE]`. Each of the others holds one token.
async fn read_events<E>(
    mut body: impl Stream<Item = Result<Bytes, E>> + Unpin,
    sent_at: Instant,
) -> Result<Outcome, LiveError>
where
    LiveError: From<E>,
{
    let mut outcome = Outcome::default();
    let mut last_token_at: Option<Instant> = None;
    let mut buf = Vec::new();
    while let Some(chunk) = body.next().await {
        buf.extend_from_slice(&chunk?);
        while let Some(end) = buf.iter().position(|it| *it == b'\n') {
            let line: Vec<u8> = buf.drain(..=end).collect();
            if line.starts_with(DONE_LINE) {
                outcome.total = sent_at.elapsed();
                return Ok(outcome);
            }
            if !line.starts_with(DATA_PREFIX) {
                continue;
            }
            let now = Instant::now();
            match last_token_at {
                Some(previous) => outcome.gaps.push(now - previous),
                None => outcome.first_token = now - sent_at,
            }
            last_token_at = Some(now);
        }
    }
    let tokens = outcome.gaps.len() as u32 + u32::from(last_token_at.is_some());
    Err(LiveError::Truncated { tokens })
}

fn check_status(status: u16) -> Result<(), LiveError> {
    if (200..300).contains(&status) { Ok(()) } else { Err(LiveError::Status { status }) }
}
