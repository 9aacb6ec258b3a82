//! HTTP client that streams completions and measures their latency.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::{Client, Connector};
use futures_util::StreamExt;
use serde_json::json;

/// Data of the last event of a stream.
const DONE: &[u8] = b"[DONE]";
/// Prefix of the data line of each event.
const DATA_PREFIX: &[u8] = b"data: ";
/// Header with the name of the tenant.
const TENANT_HEADER: &str = "X-Daisychute-Tenant";

/// Streams completions from one address over reused connections.
#[derive(Clone)]
pub(super) struct CompletionClient {
    client: Client,
    url: String,
    model: &'static str,
}

/// Latency of a complete response, from the start of the call.
#[derive(Debug, Clone, Copy)]
pub(super) struct Timing {
    /// Time to the first bytes of the body.
    pub(super) first_byte: Duration,
    /// Time to the end of the body.
    pub(super) total: Duration,
}

/// Result of a call.
#[derive(Debug, Clone, Copy)]
pub(super) enum Outcome {
    /// The response is complete.
    Completed(Timing),
    /// The call failed or was refused, or the response was truncated.
    Failed,
}

impl CompletionClient {
    pub(super) fn new(addr: SocketAddr, model: &'static str) -> Self {
        let client = Client::builder().connector(Connector::new().limit(0)).disable_timeout();
        Self { client: client.finish(), url: format!("http://{addr}/v1/completions"), model }
    }

    /// Streams one completion. Calls `on_token` for each event, the last one (`[DONE]`) included.
    pub(super) async fn complete(
        &self,
        prompt: &str,
        max_tokens: u32,
        mut on_token: impl FnMut(),
    ) -> Outcome {
        let start = Instant::now();
        let body = json!({"model": self.model, "prompt": prompt, "max_tokens": max_tokens, "stream": true});
        let req = self.client.post(&self.url).insert_header((TENANT_HEADER, "clerks"));
        let Ok(mut res) = req.send_json(&body).await else { return Outcome::Failed };
        if !res.status().is_success() {
            // The connection can be reused only after the body was read.
            let _ = res.body().await;
            return Outcome::Failed;
        }
        let mut first_byte = None;
        let mut complete = false;
        while let Some(chunk) = res.next().await {
            let Ok(chunk) = chunk else { return Outcome::Failed };
            if chunk.is_empty() {
                continue;
            }
            first_byte.get_or_insert_with(|| start.elapsed());
            for _ in 0..count(&chunk, DATA_PREFIX) {
                on_token();
            }
            complete |= count(&chunk, DONE) > 0;
        }
        match first_byte {
            Some(first_byte) if complete => {
                Outcome::Completed(Timing { first_byte, total: start.elapsed() })
            }
            _ => Outcome::Failed,
        }
    }
}

/// Number of times that `word` occurs in `buf`.
fn count(buf: &[u8], word: &[u8]) -> usize {
    buf.windows(word.len()).filter(|it| *it == word).count()
}
