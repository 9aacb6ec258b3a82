//! One caller whose request has no final answer yet, and what is measured of it.

use std::time::Duration;

use daisychute_core::{Refusal, RefusalReason, RequestId, Time, Verdict};
use daisychute_runtime::Labels;
use metrics::{counter, histogram};
use tokio::sync::mpsc::UnboundedSender;

use crate::core::{Part, Submission};

const REQUESTS: &str = "daisychute_requests_total";
const FIRST_TOKEN: &str = "daisychute_first_token_seconds";
const BETWEEN_TOKENS: &str = "daisychute_between_tokens_seconds";
const END_TO_END: &str = "daisychute_end_to_end_seconds";
const TENANT: &str = "tenant";
const CLASS: &str = "class";
const OUTCOME: &str = "outcome";

/// One caller whose request has no final answer yet.
#[derive(Debug)]
pub(super) struct PendingClient {
    parts: UnboundedSender<Part>,
    tenant: String,
    class: String,
    submitted: Time,
    first: Option<Time>,
    last: Time,
    tokens: u32,
}

impl PendingClient {
    pub(super) fn new(
        now: Time,
        submission: &Submission,
        parts: UnboundedSender<Part>,
        labels: &mut Labels,
    ) -> Self {
        Self {
            parts,
            tenant: labels.bounded(submission.tenant.as_str()),
            class: submission.class.to_string(),
            submitted: now,
            first: None,
            last: now,
            tokens: 0,
        }
    }

    /// Hands a part to the caller and measures it.
    pub(super) fn answer(&mut self, now: Time, id: RequestId, part: Part) {
        match &part {
            Part::Head { .. } => {}
            Part::Data { tokens, .. } => self.on_data(now, *tokens),
            Part::End { .. } => self.on_end(now, "answered"),
            Part::Refused(refusal) => self.on_refused(now, id, refusal),
        }
        // A caller that is gone says so itself.
        let _ = self.parts.send(part);
    }

    /// The caller went away before its final answer.
    pub(super) fn gone(&self, now: Time) {
        self.on_end(now, "caller_gone");
    }

    fn on_data(&mut self, now: Time, tokens: u32) {
        match self.first {
            None => {
                self.first = Some(now);
                self.observe(FIRST_TOKEN, now.since(self.submitted));
            }
            Some(_) if tokens > 0 => self.observe(BETWEEN_TOKENS, now.since(self.last) / tokens),
            Some(_) => {}
        }
        self.last = now;
        self.tokens += tokens;
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
        self.observe(END_TO_END, now.since(self.submitted));
    }

    fn observe(&self, name: &'static str, span: Duration) {
        histogram!(name, TENANT => self.tenant.clone(), CLASS => self.class.clone()).record(span);
    }
}
