//! One request to a live entry.

use std::time::{Duration, Instant};

use awc::{Client, ClientRequest};
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use serde::Serialize;

use super::{LiveError, LiveOptions, prompt};
use crate::trace::{Trace, Work};

const TENANT: &str = "x-daisychute-tenant";
const CLASS: &str = "x-daisychute-class";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const DATA: &[u8] = b"data: ";
const DONE: &[u8] = b"data: [DONE]";

/// How an answered request went.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Outcome {
    /// From sending to the first token, or to the whole answer of a call.
    pub(super) first_token: Duration,
    /// Between two tokens.
    pub(super) gaps: Vec<Duration>,
    /// From sending to the end.
    pub(super) total: Duration,
}

#[derive(Debug, Serialize)]
struct CompletionBody<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
}

/// Sends one request of a trace and reads its whole answer.
pub(super) async fn send(
    client: &Client,
    trace: &Trace,
    place: usize,
    options: &LiveOptions,
) -> Result<Outcome, LiveError> {
    let request = trace.requests[place];
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
        .insert_header((TENANT, tenant.as_str()))
        .insert_header((CLASS, class.class.name.as_str()));
    if let Some(token) = &options.token {
        call = call.bearer_auth(token);
    }
    match class.work {
        Work::Completion => complete(call, trace, place).await,
        Work::Call => answer(call, place).await,
        Work::NonRepeatableCall => {
            let key = format!("{}-{place}", trace.header.trace);
            answer(call.insert_header((IDEMPOTENCY_KEY, key)), place).await
        }
    }
}

async fn answer(call: ClientRequest, place: usize) -> Result<Outcome, LiveError> {
    let sent = Instant::now();
    let mut res = call.send_body(format!("{{\"place\":{place}}}")).await?;
    check(res.status().as_u16())?;
    res.body().await?;
    let total = sent.elapsed();
    Ok(Outcome { first_token: total, gaps: Vec::new(), total })
}

async fn complete(call: ClientRequest, trace: &Trace, place: usize) -> Result<Outcome, LiveError> {
    let request = trace.requests[place];
    let text = prompt(&request, place);
    let body = CompletionBody {
        model: trace.header.deployment.model.as_str(),
        prompt: &text,
        max_tokens: request.output_tokens,
        stream: true,
    };
    let sent = Instant::now();
    let res = call.send_json(&body).await?;
    check(res.status().as_u16())?;
    read_events(res, sent).await
}

/// Reads server-sent events to their last one. Each holds one token.
async fn read_events<E>(
    mut body: impl Stream<Item = Result<Bytes, E>> + Unpin,
    sent: Instant,
) -> Result<Outcome, LiveError>
where
    LiveError: From<E>,
{
    let mut outcome = Outcome::default();
    let mut last: Option<Instant> = None;
    let mut buf = Vec::new();
    while let Some(chunk) = body.next().await {
        buf.extend_from_slice(&chunk?);
        while let Some(end) = buf.iter().position(|it| *it == b'\n') {
            let line: Vec<u8> = buf.drain(..=end).collect();
            if line.starts_with(DONE) {
                outcome.total = sent.elapsed();
                return Ok(outcome);
            }
            if !line.starts_with(DATA) {
                continue;
            }
            let now = Instant::now();
            match last {
                Some(before) => outcome.gaps.push(now - before),
                None => outcome.first_token = now - sent,
            }
            last = Some(now);
        }
    }
    let tokens = outcome.gaps.len() as u32 + u32::from(last.is_some());
    Err(LiveError::CutShort { tokens })
}

fn check(status: u16) -> Result<(), LiveError> {
    if (200..300).contains(&status) { Ok(()) } else { Err(LiveError::Status { status }) }
}
