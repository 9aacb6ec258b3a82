//! Running a completion on an engine.

use awc::ClientResponse;
use awc::error::PayloadError;
use awc::http::StatusCode;
use bytes::Bytes;
use daisychute_core::{FinishReason, ModelVersion, Precedence, RefusalReason, Usage};
use daisychute_proto::{Completion, Prompt, Start, Work};
use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt};
use serde_json::{Map, Value, json};

use super::completion_event::CompletionEvent;
use super::endpoint_client::{endpoint_id, send_failure};
use super::{EndpointClient, Reporter};
use crate::core::EndpointReport;

const LAST_EVENT: &str = "[DONE]";

pub(super) async fn run_completion(
    endpoint: &EndpointClient,
    reporter: &Reporter,
    completion: &Completion,
) {
    if tokens_left(completion) == 0 {
        return report_complete(reporter, completion);
    }
    let path = match completion.prompt {
        Prompt::Text(_) => "/v1/completions",
        Prompt::Chat(_) => "/v1/chat/completions",
    };
    let body = request_body(reporter.start(), completion);
    match endpoint.client().post(endpoint.url(path)).send_json(&body).await {
        Ok(res) if res.status() == StatusCode::OK => {
            report_head(reporter, completion.version.clone());
            stream(reporter, res, completion.emitted_tokens).await;
        }
        Ok(res) => refuse_or_pass_on(reporter, res).await,
        Err(error) => reporter.report(send_failure(&error)),
    }
}

pub(super) async fn resume_completion(
    endpoint: &EndpointClient,
    reporter: &Reporter,
    from_tokens: u32,
) {
    let start = reporter.start();
    let path =
        format!("/requests/{}/stream?from={from_tokens}", endpoint_id(start.id, start.attempt));
    match endpoint.client().get(endpoint.url(&path)).send().await {
        Ok(res) if res.status() == StatusCode::OK => {
            stream(reporter, res, emitted_before(start)).await;
        }
        Ok(_) | Err(_) => reporter.report(EndpointReport::Broken(RefusalReason::EndpointLost)),
    }
}

fn report_head(reporter: &Reporter, version: Option<ModelVersion>) {
    reporter.report(EndpointReport::Head {
        status: StatusCode::OK.as_u16(),
        content_type: None,
        version,
    });
}

/// Output tokens of earlier runs.
const fn emitted_before(start: &Start) -> u32 {
    match &start.work {
        Work::Completion(completion) => completion.emitted_tokens,
        Work::Call(_) => 0,
    }
}

/// Output tokens that the engine may still make.
const fn tokens_left(completion: &Completion) -> u32 {
    completion.max_tokens.saturating_sub(completion.emitted_tokens)
}

/// Reports the end of an answer whose caller has every token already.
fn report_complete(reporter: &Reporter, completion: &Completion) {
    report_head(reporter, completion.version.clone());
    let finish = Some(FinishReason::Length);
    let usage = Usage { output_tokens: completion.emitted_tokens, ..Usage::default() };
    reporter.report(EndpointReport::Finished { finish, usage });
}

/// The JSON object that the engine is sent.
fn request_body(start: &Start, completion: &Completion) -> Value {
    let mut body: Map<String, Value> =
        serde_json::from_str(&completion.options).unwrap_or_default();
    match &completion.prompt {
        Prompt::Text(text) => body.insert("prompt".to_owned(), json!(text)),
        Prompt::Chat(messages) => body.insert("messages".to_owned(), json!(messages)),
    };
    body.insert("model".to_owned(), json!(completion.model));
    body.insert("max_tokens".to_owned(), json!(tokens_left(completion)));
    body.insert("stream".to_owned(), json!(true));
    body.insert("request_id".to_owned(), json!(endpoint_id(start.id, start.attempt)));
    body.insert("priority".to_owned(), json!(priority(start.precedence)));
    if !completion.emitted.is_empty() {
        body.insert("continue_from".to_owned(), json!(completion.emitted));
    }
    Value::Object(body)
}

const fn priority(precedence: Precedence) -> u32 {
    match precedence {
        Precedence::First => 0,
        Precedence::Interactive => 1,
        Precedence::MayWait => 2,
    }
}

/// Reports the events of a streamed answer that goes on after `emitted_tokens` of an earlier run. Only the engine's
/// own last event makes it whole.
async fn stream<S>(reporter: &Reporter, res: ClientResponse<S>, emitted_tokens: u32)
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut events = res.eventsource();
    let mut finish: Option<FinishReason> = None;
    let mut usage = Usage::default();
    while let Some(event) = events.next().await {
        let Ok(event) = event else {
            return reporter.report(EndpointReport::Broken(RefusalReason::EndpointLost));
        };
        if event.data == LAST_EVENT {
            usage.output_tokens += emitted_tokens;
            return match finish {
                Some(_) => reporter.report(EndpointReport::Finished { finish, usage }),
                None => reporter.report(EndpointReport::Broken(RefusalReason::BadAnswer)),
            };
        }
        let Ok(event) = serde_json::from_str::<CompletionEvent>(&event.data) else {
            return reporter.report(EndpointReport::Broken(RefusalReason::BadAnswer));
        };
        if let Some(text) = event.text() {
            reporter.report(EndpointReport::Data {
                data: Bytes::copy_from_slice(text.as_bytes()),
                tokens: 1,
            });
        }
        finish = event.finish_reason().or(finish);
        usage = event.usage.map_or(usage, Usage::from);
    }
    reporter.report(EndpointReport::Broken(RefusalReason::EndpointLost));
}

/// An engine that changes or is full has run nothing; any other status is its answer.
async fn refuse_or_pass_on<S>(reporter: &Reporter, mut res: ClientResponse<S>)
where
    S: Stream<Item = Result<Bytes, PayloadError>>,
{
    let status = res.status();
    match status {
        StatusCode::SERVICE_UNAVAILABLE => {
            reporter.report(EndpointReport::NotStarted(RefusalReason::NoEndpoint))
        }
        StatusCode::TOO_MANY_REQUESTS => {
            reporter.report(EndpointReport::NotStarted(RefusalReason::Overloaded))
        }
        _ => {
            let Ok(data) = res.body().await else {
                return reporter.report(EndpointReport::Broken(RefusalReason::EndpointLost));
            };
            let content_type = Some("application/json".to_owned());
            reporter.report(EndpointReport::Head {
                status: status.as_u16(),
                content_type,
                version: None,
            });
            reporter.report(EndpointReport::Data { data, tokens: 0 });
            reporter.report(EndpointReport::Finished { finish: None, usage: Usage::default() });
        }
    }
}
