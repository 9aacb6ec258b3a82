//! Calls of completions, timed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::{Client, Connector};
use futures_util::StreamExt;
use serde_json::json;

const DONE: &[u8] = b"[DONE]";
const DATA: &[u8] = b"data: ";
const TENANT: &str = "X-Daisychute-Tenant";

/// Calls completions at one address over kept connections.
#[derive(Clone)]
pub(super) struct Caller {
    client: Client,
    url: String,
    model: &'static str,
}

/// How long an answer took.
#[derive(Debug, Clone, Copy)]
pub(super) struct Timing {
    /// Until its first bytes.
    pub(super) first: Duration,
    /// Until its end.
    pub(super) whole: Duration,
}

/// What became of a call.
#[derive(Debug, Clone, Copy)]
pub(super) enum Outcome {
    /// The whole answer came.
    Answered(Timing),
    /// It was refused, or its answer was cut.
    Failed,
}

impl Caller {
    pub(super) fn new(addr: SocketAddr, model: &'static str) -> Self {
        let client = Client::builder().connector(Connector::new().limit(0)).disable_timeout();
        Self { client: client.finish(), url: format!("http://{addr}/v1/completions"), model }
    }

    /// Streams one completion. `on_token` is told of each event.
    pub(super) async fn complete(
        &self,
        prompt: &str,
        max_tokens: u32,
        mut on_token: impl FnMut(),
    ) -> Outcome {
        let start = Instant::now();
        let body = json!({"model": self.model, "prompt": prompt, "max_tokens": max_tokens, "stream": true});
        let req = self.client.post(&self.url).insert_header((TENANT, "clerks"));
        let Ok(mut res) = req.send_json(&body).await else { return Outcome::Failed };
        if !res.status().is_success() {
            // The body has to be read for the connection to be kept.
            let _ = res.body().await;
            return Outcome::Failed;
        }
        let mut first = None;
        let mut whole = false;
        while let Some(part) = res.next().await {
            let Ok(part) = part else { return Outcome::Failed };
            if part.is_empty() {
                continue;
            }
            first.get_or_insert_with(|| start.elapsed());
            for _ in 0..count(&part, DATA) {
                on_token();
            }
            whole |= count(&part, DONE) > 0;
        }
        match first {
            Some(first) if whole => Outcome::Answered(Timing { first, whole: start.elapsed() }),
            _ => Outcome::Failed,
        }
    }
}

fn count(buf: &[u8], word: &[u8]) -> usize {
    buf.windows(word.len()).filter(|it| *it == word).count()
}
