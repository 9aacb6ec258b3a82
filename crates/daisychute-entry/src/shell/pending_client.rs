//! A client with an open request, and its metrics.

use std::time::Duration;

use daisychute_core::{Refusal, RefusalReason, RequestId, Time, Verdict};
use daisychute_runtime::Labels;
use metrics::{counter, histogram};
use tokio::sync::mpsc::UnboundedSender;

use crate::core::{ResponsePart, Submission};

const REQUESTS: &str = "daisychute_requests_total";
const FIRST_TOKEN: &str = "daisychute_first_token_seconds";
const BETWEEN_TOKENS: &str = "daisychute_between_tokens_seconds";
const END_TO_END: &str = "daisychute_end_to_end_seconds";
const TENANT: &str = "tenant";
const CLASS: &str = "class";
const OUTCOME: &str = "outcome";

/// A client that waits for the rest of its response.
#[derive(Debug)]
pub(super) struct PendingClient {
    parts: UnboundedSender<ResponsePart>,
    tenant: String,
    class: String,
    submitted_at: Time,
    first_data_at: Option<Time>,
    last_data_at: Time,
    output_tokens: u32,
}

impl PendingClient {
    pub(super) fn new(
        now: Time,
        submission: &Submission,
        parts: UnboundedSender<ResponsePart>,
        labels: &mut Labels,
    ) -> Self {
        Self {
            parts,
            tenant: labels.bounded(submission.tenant.as_str()),
            class: submission.class.to_string(),
            submitted_at: now,
            first_data_at: None,
            last_data_at: now,
            output_tokens: 0,
        }
    }

    /// Forwards a part of the response to the client and records its latency.
    pub(super) fn forward(&mut self, now: Time, id: RequestId, part: ResponsePart) {
        match &part {
            ResponsePart::Head { .. } => {}
            ResponsePart::Data { tokens, .. } => self.on_data(now, *tokens),
            ResponsePart::End { .. } => self.on_end(now, "answered"),
            ResponsePart::Refused(refusal) => self.on_refused(now, id, refusal),
        }
        // Sending fails if the client disconnected, which `ResponseParts` reports when it is dropped.
        let _ = self.parts.send(part);
    }

    /// Records that the client disconnected before the final part of its response.
    pub(super) fn record_disconnect(&self, now: Time) {
        self.on_end(now, "caller_gone");
    }

    fn on_data(&mut self, now: Time, tokens: u32) {
        match self.first_data_at {
            None => {
                self.first_data_at = Some(now);
                self.observe(FIRST_TOKEN, now.since(self.submitted_at));
            }
            Some(_) if tokens > 0 => {
                self.observe(BETWEEN_TOKENS, now.since(self.last_data_at) / tokens)
            }
            Some(_) => {}
        }
        self.last_data_at = now;
        self.output_tokens += tokens;
    }

    fn on_refused(&self, now: Time, id: RequestId, refusal: &Refusal) {
        let verdict = match refusal.verdict {
            Verdict::NotRun => "not_run",
            Verdict::Unknown => "unknown",
        };
        let level = match refusal.reason {
            RefusalReason::Overloaded | RefusalReason::Deadline => log::Level::Debug,
            _ => log::Level::Info,
        };
        log::log!(
            level,
            request:% = id, tenant = self.tenant, class = self.class, outcome = verdict;
            "request refused: {refusal}"
        );
        self.on_end(now, verdict);
    }

    fn on_end(&self, now: Time, outcome: &'static str) {
        counter!(REQUESTS, TENANT => self.tenant.clone(), CLASS => self.class.clone(), OUTCOME => outcome)
            .increment(1);
        self.observe(END_TO_END, now.since(self.submitted_at));
    }

    fn observe(&self, name: &'static str, duration: Duration) {
        histogram!(name, TENANT => self.tenant.clone(), CLASS => self.class.clone())
            .record(duration);
    }
}
