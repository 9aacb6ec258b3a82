//! One caller.

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
use super::report::{End, Fault, Report};
use crate::Plan;

/// How long a request may take.
const TIMEOUT: Duration = Duration::from_secs(35);
/// Between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(10);
/// Output tokens of a completion.
const TOKENS: u32 = 20;
/// A streamed event.
const DATA: &str = "data: ";
/// The last streamed event.
const DONE: &str = "[DONE]";

/// The kinds of request that a caller sends in turn.
#[derive(Debug, Clone, Copy)]
enum Kind {
    Stream,
    Completion,
    Panel,
    Count,
}

const KINDS: [Kind; 4] = [Kind::Stream, Kind::Count, Kind::Completion, Kind::Panel];

/// A request that ended otherwise than whole.
struct Failure {
    end: End,
    detail: String,
}

/// One caller, with connections of its own.
pub(super) struct Caller {
    number: usize,
    model: &'static str,
    service: &'static str,
    balancer: Rc<Balancer>,
    client: awc::Client,
}

impl Caller {
    pub(super) fn new(number: usize, plan: &Plan, balancer: Rc<Balancer>) -> Self {
        let client = awc::Client::builder().timeout(TIMEOUT).finish();
        Self { number, model: plan.model, service: plan.service, balancer, client }
    }

    /// Sends one request after the other until it is told to stop.
    pub(super) async fn run(self, report: Rc<RefCell<Report>>, stopping: Rc<Cell<bool>>) {
        let mut serial = 0;
        while !stopping.get() {
            if let Some(entry) = self.balancer.choose() {
                self.send(entry, serial, &report).await;
                serial += 1;
            }
            actix_rt::time::sleep(PAUSE).await;
        }
    }

    async fn send(&self, entry: SocketAddr, serial: usize, report: &RefCell<Report>) {
        let id = format!("load-{}-{serial}", self.number);
        let kind = KINDS[(serial + self.number) % KINDS.len()];
        let start = Instant::now();
        let sent = match kind {
            Kind::Stream => self.complete(entry, &id, true).await,
            Kind::Completion => self.complete(entry, &id, false).await,
            Kind::Panel => self.call(entry, &id, "panels", None).await,
            Kind::Count => self.call(entry, &id, "counts", Some(&id)).await,
        };
        let (end, detail) = match sent {
            Ok(()) => (End::Whole, String::new()),
            Err(failure) => (failure.end, format!("{id} at {entry}: {}", failure.detail)),
        };
        let key = matches!(kind, Kind::Count).then_some(id);
        report.borrow_mut().add(key, end, detail, start.elapsed());
    }

    async fn complete(&self, entry: SocketAddr, id: &str, stream: bool) -> Result<(), Failure> {
        let prompt = format!("Digest {id}");
        let body =
            json!({"model": self.model, "prompt": prompt, "max_tokens": TOKENS, "stream": stream});
        let answer = self.post(entry, "/v1/completions", &body, None).await?;
        let text = if stream { streamed_text(&answer)? } else { whole_text(&answer)? };
        check(text == output_text(&prompt, TOKENS), &text)
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
        let answer = self.post(entry, &path, &body, key).await?;
        let parsed = json_of(&answer)?;
        check(parsed["echo"] == body, &answer)
    }

    async fn post(
        &self,
        entry: SocketAddr,
        path: &str,
        body: &Value,
        key: Option<&str>,
    ) -> Result<String, Failure> {
        let req = self.client.post(format!("http://{entry}{path}"));
        let mut req = req.insert_header(("X-Daisychute-Tenant", "clerks"));
        if let Some(key) = key {
            req = req.insert_header(("Idempotency-Key", key));
        }
        let mut res = req.send_json(body).await.map_err(cut)?;
        let answer = text_of(&mut res).await?;
        if res.status().is_success() { Ok(answer) } else { Err(refused(&answer)) }
    }
}

async fn text_of<S>(res: &mut ClientResponse<S>) -> Result<String, Failure>
where
    S: Stream<Item = Result<Bytes, PayloadError>>,
{
    let body = res.body().await.map_err(cut)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// The text of a streamed answer, which is whole only if it ends as such.
fn streamed_text(answer: &str) -> Result<String, Failure> {
    let mut text = String::new();
    for data in answer.lines().filter_map(|it| it.strip_prefix(DATA)) {
        if data == DONE {
            return Ok(text);
        }
        let event = json_of(data)?;
        text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
    }
    Err(cut(answer))
}

fn whole_text(answer: &str) -> Result<String, Failure> {
    let parsed = json_of(answer)?;
    Ok(parsed["choices"][0]["text"].as_str().unwrap_or_default().to_owned())
}

/// A body that is no JSON was cut.
fn json_of(body: &str) -> Result<Value, Failure> {
    serde_json::from_str(body).map_err(|_| cut(body))
}

fn check(is_own: bool, answer: &str) -> Result<(), Failure> {
    if is_own {
        return Ok(());
    }
    Err(Failure { end: End::Failed(Fault::Wrong), detail: answer.to_owned() })
}

fn cut(detail: impl Display) -> Failure {
    Failure { end: End::Failed(Fault::Cut), detail: detail.to_string() }
}

fn refused(answer: &str) -> Failure {
    let body: Value = serde_json::from_str(answer).unwrap_or_default();
    let is_not_run = body["error"]["outcome"] == "not_run";
    let end = if is_not_run { End::NotRun } else { End::Failed(Fault::Uncertain) };
    Failure { end, detail: answer.to_owned() }
}
