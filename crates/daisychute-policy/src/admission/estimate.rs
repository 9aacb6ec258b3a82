//! Estimates that admission decides by.

use std::time::Duration;

use daisychute_core::{Precedence, Refusal, RefusalReason, Role, Time};

use super::admission_request::{AdmissionRequest, RequestPhase};
use super::core::AdmissionController;
use super::queue::Ahead;
use super::running::Running;
use crate::cost::Batch;

impl AdmissionController {
    /// The greatest batch that keeps the target between tokens.
    pub(super) fn stream_limit(&self) -> u32 {
        let decodes = !matches!(self.limits.role, None | Some(Role::Prefill));
        match self.target {
            Some(target) if decodes => {
                let streams = u64::from(self.running.streams.max(1));
                let mean_context = self.running.context / streams;
                let budget = target.mul_f64(Self::TARGET_USE);
                self.limits.streams.min(self.cost.max_streams(budget, mean_context))
            }
            _ => self.limits.streams,
        }
    }

    pub(super) fn batch(&self) -> Batch {
        Batch { streams: self.running.streams, context_tokens: self.running.context }
    }

    pub(super) fn expected_tokens(&self, request: &AdmissionRequest) -> u32 {
        if !request.decodes() {
            return 1;
        }
        let learned = self.outputs.get(&request.class).map(|it| it.get().ceil() as u32);
        learned.map_or(request.max_tokens, |it| it.clamp(1, request.max_tokens.max(1)))
    }

    /// Output tokens that a request makes at least, as far as is known: a class that was not seen may be short.
    pub(super) fn likely_tokens(&self, request: &AdmissionRequest) -> u32 {
        if self.outputs.contains_key(&request.class) { self.expected_tokens(request) } else { 1 }
    }

    /// The endpoint's time that a request takes.
    pub(super) fn service(&self, request: &AdmissionRequest) -> Duration {
        if request.phase == RequestPhase::Call {
            return self.cost.call_time();
        }
        let prompt = self.cost.prompt_time(u64::from(request.uncached_tokens()));
        prompt + self.output_token() * self.expected_tokens(request)
    }

    /// The endpoint's time that one output token takes in a full batch.
    pub(super) fn output_token(&self) -> Duration {
        let streams = self.stream_limit().max(1);
        let mean_context = self.running.context / u64::from(self.running.streams.max(1));
        let batch = Batch { streams, context_tokens: mean_context * u64::from(streams) };
        self.cost.between_tokens(batch) / streams
    }

    /// The time until the turn of a request.
    pub(super) fn wait(&self, request: &AdmissionRequest) -> Duration {
        self.wait_behind(self.queue.ahead(request, &self.shares), request.precedence)
    }

    pub(super) fn wait_behind(&self, ahead: Ahead, precedence: Precedence) -> Duration {
        let prompts = self.cost.prompt_time(self.running.prompt_tokens + ahead.prompt_tokens);
        let mut limit = self.stream_limit();
        if precedence == Precedence::MayWait {
            limit = (f64::from(limit) * (1.0 - Self::INTERACTIVE_RESERVE)).ceil() as u32;
        }
        let over = (self.running.len() + ahead.requests + 1).saturating_sub(limit);
        prompts.max(self.turnover() * over)
    }

    /// The mean time between two requests that leave the endpoint while it is full.
    pub(super) fn turnover(&self) -> Duration {
        let running = self.running.len().max(1);
        match self.limits.role {
            None => self.cost.call_time() / running,
            Some(Role::Prefill) => Duration::ZERO,
            Some(Role::Decode | Role::Mixed) => {
                let tokens: u32 = self.running.values().map(Running::remaining_tokens).sum();
                let gap = self.cost.between_tokens(self.batch());
                // The mean of what is left of each, spread over all of them; steady turnover takes twice that.
                gap * (2 * tokens / running) / running
            }
        }
    }

    pub(super) fn is_late(&self, now: Time, request: &AdmissionRequest) -> bool {
        now + self.least_time(request) > request.due()
    }

    /// The time to the first target of a request whose turn is now.
    pub(super) fn least_time(&self, request: &AdmissionRequest) -> Duration {
        let prompt = self.cost.prompt_time(u64::from(request.uncached_tokens()));
        match (request.phase, request.first_token) {
            (RequestPhase::Call, _) => self.cost.call_time(),
            (_, Some(_)) | (RequestPhase::Prefill, _) => prompt,
            (_, None) => {
                let batch = Batch {
                    streams: self.running.streams + 1,
                    context_tokens: self.running.context,
                };
                prompt + self.cost.between_tokens(batch) * self.likely_tokens(request)
            }
        }
    }

    pub(super) fn refusal(
        &self,
        now: Time,
        request: &AdmissionRequest,
        wait: Duration,
    ) -> Option<Refusal> {
        let left = request.due().since(now);
        let budget = left.mul_f64(Self::TARGET_USE);
        let needed = wait + self.least_time(request);
        let certain = wait.is_zero();
        if needed <= budget || (certain && needed <= left) {
            return None;
        }
        let retry_after = self.retry_after(needed.saturating_sub(budget));
        Some(Refusal::not_run(RefusalReason::Overloaded).retry_after(retry_after))
    }

    pub(super) fn retry_after(&self, excess: Duration) -> Duration {
        excess.clamp(Self::MIN_RETRY_AFTER, Self::MAX_RETRY_AFTER)
    }
}
