//! The requests that the endpoint is running.

use std::time::Duration;

use daisychute_core::{Precedence, RequestId, Time};
use rustc_hash::FxHashMap;

use super::admission_request::{AdmissionRequest, RequestPhase};

/// A request that was sent to the endpoint and hasn't ended.
#[derive(Debug, Clone)]
pub(super) struct Running {
    pub(super) request: AdmissionRequest,
    /// When the request was sent to the endpoint.
    pub(super) started_at: Time,
    /// When the first token arrived; `None` before that.
    pub(super) first_token_at: Option<Time>,
    /// When the latest token arrived; the start before the first one.
    pub(super) last_token_at: Time,
    /// Output tokens that have arrived.
    pub(super) output_tokens: u32,
    /// KV cache tokens that are reserved for the prompt and the expected output.
    pub(super) reserved_kv_tokens: u64,
    /// Expected number of output tokens, estimated at the start.
    pub(super) expected_tokens: u32,
}

impl Running {
    /// Whether the endpoint is still prefilling the prompt, which ends with the first token.
    pub(super) fn is_prefilling(&self) -> bool {
        self.first_token_at.is_none()
            && matches!(self.request.phase, RequestPhase::Whole | RequestPhase::Prefill)
    }

    /// Tokens in the context: the prompt and the output so far.
    pub(super) fn context_tokens(&self) -> u64 {
        u64::from(self.request.prompt_tokens) + u64::from(self.output_tokens)
    }

    /// Output tokens that are still expected, at least one.
    pub(super) fn remaining_tokens(&self) -> u32 {
        self.expected_tokens.saturating_sub(self.output_tokens).max(1)
    }
}

/// All requests that the endpoint is running, with totals that are kept up to date.
#[derive(Debug, Clone, Default)]
pub(super) struct RunningSet {
    requests: FxHashMap<RequestId, Running>,
    /// Uncached prompt tokens of the requests in prefill.
    pub(super) prefill_tokens: u64,
    /// Requests in prefill.
    pub(super) prefilling: u32,
    /// Requests that aren't in prefill; at an engine they form the decode batch.
    pub(super) streams: u32,
    /// Context tokens of all streams.
    pub(super) context_tokens: u64,
    /// KV cache tokens that are reserved for all requests.
    pub(super) reserved_kv_tokens: u64,
    /// Requests of may-wait precedence.
    pub(super) may_wait: u32,
    /// Requests with an inter-token latency target.
    pub(super) with_gap_target: u32,
}

impl RunningSet {
    pub(super) fn len(&self) -> u32 {
        self.requests.len() as u32
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&Running> {
        self.requests.get(&id)
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &Running> {
        self.requests.values()
    }

    pub(super) fn insert(&mut self, running: Running) {
        if running.is_prefilling() {
            self.prefilling += 1;
            self.prefill_tokens += u64::from(running.request.uncached_tokens());
        } else {
            self.join_batch(&running);
        }
        self.reserved_kv_tokens += running.reserved_kv_tokens;
        self.may_wait += u32::from(running.request.precedence == Precedence::MayWait);
        self.with_gap_target += u32::from(running.request.between_tokens.is_some());
        self.requests.insert(running.request.id, running);
    }

    /// Records the first token of a request, which ends its prefill.
    pub(super) fn first_token(&mut self, now: Time, id: RequestId) {
        let Some(mut running) = self.requests.remove(&id) else { return };
        if running.is_prefilling() {
            self.prefilling -= 1;
            self.prefill_tokens -= u64::from(running.request.uncached_tokens());
            self.join_batch(&running);
        }
        running.first_token_at = Some(running.first_token_at.unwrap_or(now));
        running.last_token_at = now;
        running.output_tokens += 1;
        self.context_tokens += 1;
        self.requests.insert(id, running);
    }

    /// Records a further token of a stream. Returns the gap since its previous token.
    pub(super) fn token(&mut self, now: Time, id: RequestId) -> Option<Duration> {
        let running = self.requests.get_mut(&id)?;
        let gap = now.since(running.last_token_at);
        running.last_token_at = now;
        running.output_tokens += 1;
        self.context_tokens += 1;
        Some(gap)
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<Running> {
        let running = self.requests.remove(&id)?;
        if running.is_prefilling() {
            self.prefilling -= 1;
            self.prefill_tokens -= u64::from(running.request.uncached_tokens());
        } else {
            self.streams -= 1;
            self.context_tokens = self.context_tokens.saturating_sub(running.context_tokens());
        }
        self.reserved_kv_tokens -= running.reserved_kv_tokens;
        self.may_wait -= u32::from(running.request.precedence == Precedence::MayWait);
        self.with_gap_target -= u32::from(running.request.between_tokens.is_some());
        Some(running)
    }

    /// Adds a request to the totals of the decode batch.
    fn join_batch(&mut self, running: &Running) {
        self.streams += 1;
        self.context_tokens += running.context_tokens();
    }
}
