//! A client that sends one request after the other and checks each response.

use std::cell::{Cell, RefCell};
use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::ClientResponse;
use awc::error::PayloadError;
use bytes::Bytes;
use daisychute_standin::engine::output_text;
use futures_util::Stream;
use serde_json::{Value, json};

use super::balancer::Balancer;
use super::report::{Fault, Outcome, Report};
use crate::DeploymentSpec;

/// Maximum duration of a request, with its whole response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(35);
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(10);
/// Output tokens that each completion asks for.
const OUTPUT_TOKENS: u32 = 20;
/// Prefix of the data line of a server-sent event.
const DATA_PREFIX: &str = "data: ";
/// Data of the event that ends a complete stream.
const END_OF_STREAM: &str = "[DONE]";

/// The kinds of request that a client sends in rotation.
#[derive(Debug, Clone, Copy)]
enum RequestKind {
    /// A streamed completion.
    Stream,
    /// A completion whose response is one JSON body.
    Completion,
    /// A repeatable call of the service.
    Panel,
    /// A call of the service that must not be repeated, with an idempotency key.
    Count,
}

const REQUEST_KINDS: [RequestKind; 4] =
    [RequestKind::Stream, RequestKind::Count, RequestKind::Completion, RequestKind::Panel];

/// Why a request did not get the complete response that it should.
struct Failure {
    outcome: Outcome,
    /// The body of the response, or the error of the connection.
    detail: String,
}

/// A simulated client with a connection pool of its own.
pub(super) struct LoadClient {
    /// Index of the client, part of its request ids.
    index: usize,
    model: &'static str,
    service: &'static str,
    balancer: Rc<Balancer>,
    http: awc::Client,
}

impl LoadClient {
    pub(super) fn new(index: usize, spec: &DeploymentSpec, balancer: Rc<Balancer>) -> Self {
        let http = awc::Client::builder().timeout(REQUEST_TIMEOUT).finish();
        Self { index, model: spec.model, service: spec.service, balancer, http }
    }

    /// Sends one request after the other until `stopping` is set.
    pub(super) async fn run(self, report: Rc<RefCell<Report>>, stopping: Rc<Cell<bool>>) {
        let mut sequence = 0;
        while !stopping.get() {
            if let Some(entry) = self.balancer.next_ready() {
                self.send(entry, sequence, &report).await;
                sequence += 1;
            }
            actix_rt::time::sleep(PAUSE).await;
        }
    }

    async fn send(&self, entry: SocketAddr, sequence: usize, report: &RefCell<Report>) {
        let id = format!("load-{}-{sequence}", self.index);
        let kind = REQUEST_KINDS[(sequence + self.index) % REQUEST_KINDS.len()];
        let start = Instant::now();
        let result = match kind {
            RequestKind::Stream => self.complete(entry, &id, true).await,
            RequestKind::Completion => self.complete(entry, &id, false).await,
            RequestKind::Panel => self.call(entry, &id, "panels", None).await,
            RequestKind::Count => self.call(entry, &id, "counts", Some(&id)).await,
        };
        let (outcome, detail) = match result {
            Ok(()) => (Outcome::Whole, String::new()),
            Err(failure) => (failure.outcome, format!("{id} at {entry}: {}", failure.detail)),
        };
        let key = matches!(kind, RequestKind::Count).then_some(id);
        report.borrow_mut().add(key, outcome, detail, start.elapsed());
    }

    async fn complete(&self, entry: SocketAddr, id: &str, stream: bool) -> Result<(), Failure> {
        let prompt = format!("Digest {id}");
        let body = json!({
            "model": self.model, "prompt": prompt, "max_tokens": OUTPUT_TOKENS, "stream": stream
        });
        let response = self.post(entry, "/v1/completions", &body, None).await?;
        let text = if stream { streamed_text(&response)? } else { completion_text(&response)? };
        check_content(text == output_text(&prompt, OUTPUT_TOKENS), &text)
    }

    async fn call(
        &self,
        entry: SocketAddr,
        id: &str,
        route: &str,
        key: Option<&str>,
    ) -> Result<(), Failure> {
        let path = format!("/services/{}/{route}", self.service);
        let body = json!({ "call": id });
        let response = self.post(entry, &path, &body, key).await?;
        let parsed = parse_json(&response)?;
        check_content(parsed["echo"] == body, &response)
    }

    async fn post(
        &self,
        entry: SocketAddr,
        path: &str,
        body: &Value,
        key: Option<&str>,
    ) -> Result<String, Failure> {
        let req = self.http.post(format!("http://{entry}{path}"));
        let mut req = req.insert_header(("X-Daisychute-Tenant", "clerks"));
        if let Some(key) = key {
            req = req.insert_header(("Idempotency-Key", key));
        }
        let mut res = req.send_json(body).await.map_err(truncated)?;
        let response = read_body(&mut res).await?;
        if res.status().is_success() { Ok(response) } else { Err(refusal(&response)) }
    }
}

async fn read_body<S>(res: &mut ClientResponse<S>) -> Result<String, Failure>
where
    S: Stream<Item = Result<Bytes, PayloadError>>,
{
    let body = res.body().await.map_err(truncated)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// The concatenated text of a streamed response; a failure if the end-of-stream event is missing.
fn streamed_text(response: &str) -> Result<String, Failure> {
    let mut text = String::new();
    for data in response.lines().filter_map(|it| it.strip_prefix(DATA_PREFIX)) {
        if data == END_OF_STREAM {
            return Ok(text);
        }
        let event = parse_json(data)?;
        text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
    }
    Err(truncated(response))
}

fn completion_text(response: &str) -> Result<String, Failure> {
    let parsed = parse_json(response)?;
    Ok(parsed["choices"][0]["text"].as_str().unwrap_or_default().to_owned())
}

/// Parses JSON; anything else counts as truncated.
fn parse_json(body: &str) -> Result<Value, Failure> {
    serde_json::from_str(body).map_err(|_| truncated(body))
}

fn check_content(is_expected: bool, response: &str) -> Result<(), Failure> {
    if is_expected {
        return Ok(());
    }
    Err(Failure { outcome: Outcome::Failed(Fault::Wrong), detail: response.to_owned() })
}

fn truncated(detail: impl Display) -> Failure {
    Failure { outcome: Outcome::Failed(Fault::Cut), detail: detail.to_string() }
}

fn refusal(response: &str) -> Failure {
    let body: Value = serde_json::from_str(response).unwrap_or_default();
    let is_not_run = body["error"]["outcome"] == "not_run";
    let outcome = if is_not_run { Outcome::NotRun } else { Outcome::Failed(Fault::Uncertain) };
    Failure { outcome, detail: response.to_owned() }
}
