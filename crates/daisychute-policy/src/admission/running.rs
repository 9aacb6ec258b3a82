//! Requests that the endpoint has.

use std::time::Duration;

use daisychute_core::{Precedence, RequestId, Time};
use rustc_hash::FxHashMap;

use super::admission_request::{AdmissionRequest, RequestPhase};

/// A request that the endpoint has.
#[derive(Debug, Clone)]
pub(super) struct Running {
    pub(super) request: AdmissionRequest,
    pub(super) started: Time,
    pub(super) first: Option<Time>,
    pub(super) last: Time,
    pub(super) tokens: u32,
    pub(super) reserved: u64,
    pub(super) expected_tokens: u32,
}

impl Running {
    pub(super) fn computes_prompt(&self) -> bool {
        self.first.is_none()
            && matches!(self.request.phase, RequestPhase::Whole | RequestPhase::Prefill)
    }

    pub(super) fn context(&self) -> u64 {
        u64::from(self.request.prompt_tokens) + u64::from(self.tokens)
    }

    pub(super) fn remaining_tokens(&self) -> u32 {
        self.expected_tokens.saturating_sub(self.tokens).max(1)
    }
}

/// All requests that the endpoint has, with their sums.
#[derive(Debug, Clone, Default)]
pub(super) struct RunningSet {
    requests: FxHashMap<RequestId, Running>,
    pub(super) prompt_tokens: u64,
    pub(super) prompts: u32,
    pub(super) streams: u32,
    pub(super) context: u64,
    pub(super) reserved: u64,
    pub(super) may_wait: u32,
    pub(super) with_target: u32,
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
        if running.computes_prompt() {
            self.prompts += 1;
            self.prompt_tokens += u64::from(running.request.uncached_tokens());
        } else {
            self.join_batch(&running);
        }
        self.reserved += running.reserved;
        self.may_wait += u32::from(running.request.precedence == Precedence::MayWait);
        self.with_target += u32::from(running.request.between_tokens.is_some());
        self.requests.insert(running.request.id, running);
    }

    /// The prompt of a request is computed.
    pub(super) fn first_token(&mut self, now: Time, id: RequestId) {
        let Some(mut running) = self.requests.remove(&id) else { return };
        if running.computes_prompt() {
            self.prompts -= 1;
            self.prompt_tokens -= u64::from(running.request.uncached_tokens());
            self.join_batch(&running);
        }
        running.first = Some(running.first.unwrap_or(now));
        running.last = now;
        running.tokens += 1;
        self.context += 1;
        self.requests.insert(id, running);
    }

    /// A stream got a token. Gives the gap since its last one.
    pub(super) fn token(&mut self, now: Time, id: RequestId) -> Option<Duration> {
        let running = self.requests.get_mut(&id)?;
        let gap = now.since(running.last);
        running.last = now;
        running.tokens += 1;
        self.context += 1;
        Some(gap)
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<Running> {
        let running = self.requests.remove(&id)?;
        if running.computes_prompt() {
            self.prompts -= 1;
            self.prompt_tokens -= u64::from(running.request.uncached_tokens());
        } else {
            self.streams -= 1;
            self.context = self.context.saturating_sub(running.context());
        }
        self.reserved -= running.reserved;
        self.may_wait -= u32::from(running.request.precedence == Precedence::MayWait);
        self.with_target -= u32::from(running.request.between_tokens.is_some());
        Some(running)
    }

    fn join_batch(&mut self, running: &Running) {
        self.streams += 1;
        self.context += running.context();
    }
}
