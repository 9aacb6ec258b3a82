//! The estimates behind admission decisions.

use std::time::Duration;

use daisychute_core::{Precedence, Refusal, RefusalReason, Role, Time};

use super::admission_request::{AdmissionRequest, RequestPhase};
use super::core::AdmissionController;
use super::queue::QueuedWork;
use super::running::Running;
use crate::cost::Batch;

impl AdmissionController {
    /// The largest batch that meets the inter-token latency target.
    pub(super) fn stream_limit(&self) -> u32 {
        let decodes = !matches!(self.limits.role, None | Some(Role::Prefill));
        match self.gap_target {
            Some(target) if decodes => {
                let streams = u64::from(self.running.streams.max(1));
                let mean_context = self.running.context_tokens / streams;
                let gap_budget = target.mul_f64(Self::MAX_TARGET_SHARE);
                self.limits.streams.min(self.cost.max_streams(gap_budget, mean_context))
            }
            _ => self.limits.streams,
        }
    }

    /// The batch that the endpoint is decoding.
    pub(super) fn current_batch(&self) -> Batch {
        Batch { streams: self.running.streams, context_tokens: self.running.context_tokens }
    }

    /// Expected number of output tokens: the mean of the class, or `max_tokens` before any request of it finished.
    pub(super) fn expected_tokens(&self, request: &AdmissionRequest) -> u32 {
        if !request.decodes() {
            return 1;
        }
        let mean = self.output_lengths.get(&request.class).map(|it| it.get().ceil() as u32);
        mean.map_or(request.max_tokens, |it| it.clamp(1, request.max_tokens.max(1)))
    }

    /// Minimum number of output tokens that a request needs: the mean of its class, or one for an unknown class, whose
    /// outputs may be short.
    pub(super) fn min_output_tokens(&self, request: &AdmissionRequest) -> u32 {
        if self.output_lengths.contains_key(&request.class) {
            self.expected_tokens(request)
        } else {
            1
        }
    }

    /// The share of the endpoint's time that a request takes.
    pub(super) fn service_time(&self, request: &AdmissionRequest) -> Duration {
        if request.phase == RequestPhase::Call {
            return self.cost.call_time();
        }
        let prefill = self.cost.prompt_time(u64::from(request.uncached_tokens()));
        prefill + self.output_token_time() * self.expected_tokens(request)
    }

    /// The share of the endpoint's time that one output token takes in a full batch.
    pub(super) fn output_token_time(&self) -> Duration {
        let streams = self.stream_limit().max(1);
        let mean_context = self.running.context_tokens / u64::from(self.running.streams.max(1));
        let batch = Batch { streams, context_tokens: mean_context * u64::from(streams) };
        self.cost.between_tokens(batch) / streams
    }

    /// Expected time until a request that is submitted now starts.
    pub(super) fn queue_wait(&self, request: &AdmissionRequest) -> Duration {
        self.wait_behind(self.queue.ahead(request, &self.shares), request.precedence)
    }

    /// Expected time until a request of this precedence starts behind `ahead` and the running requests. May-wait
    /// requests can't use the streams that are reserved for interactive ones.
    pub(super) fn wait_behind(&self, ahead: QueuedWork, precedence: Precedence) -> Duration {
        let prefill = self.cost.prompt_time(self.running.prefill_tokens + ahead.prompt_tokens);
        let mut limit = self.stream_limit();
        if precedence == Precedence::MayWait {
            limit = (f64::from(limit) * (1.0 - Self::INTERACTIVE_RESERVE)).ceil() as u32;
        }
        let excess = (self.running.len() + ahead.requests + 1).saturating_sub(limit);
        prefill.max(self.completion_interval() * excess)
    }

    /// Mean time between two completions while the endpoint is full.
    pub(super) fn completion_interval(&self) -> Duration {
        let running = self.running.len().max(1);
        match self.limits.role {
            None => self.cost.call_time() / running,
            Some(Role::Prefill) => Duration::ZERO,
            Some(Role::Decode | Role::Mixed) => {
                let tokens: u32 = self.running.values().map(Running::remaining_tokens).sum();
                let gap = self.cost.between_tokens(self.current_batch());
                // A request is on average half done, so its full length is twice the mean of the remaining tokens.
                gap * (2 * tokens / running) / running
            }
        }
    }

    /// Whether a request would miss its earliest deadline even if it started now.
    pub(super) fn is_late(&self, now: Time, request: &AdmissionRequest) -> bool {
        now + self.min_time_to_deadline(request) > request.earliest_deadline()
    }

    /// Expected time from the start of a request until the output that is due at its earliest deadline: the first token,
    /// or the complete response if the first token has no target.
    pub(super) fn min_time_to_deadline(&self, request: &AdmissionRequest) -> Duration {
        let prefill = self.cost.prompt_time(u64::from(request.uncached_tokens()));
        match (request.phase, request.first_token) {
            (RequestPhase::Call, _) => self.cost.call_time(),
            (_, Some(_)) | (RequestPhase::Prefill, _) => prefill,
            (_, None) => {
                let batch = Batch {
                    streams: self.running.streams + 1,
                    context_tokens: self.running.context_tokens,
                };
                prefill + self.cost.between_tokens(batch) * self.min_output_tokens(request)
            }
        }
    }

    /// Returns the refusal of a request that would start after `wait` and miss its earliest deadline; `None` if it
    /// can meet it.
    pub(super) fn overload_refusal(
        &self,
        now: Time,
        request: &AdmissionRequest,
        wait: Duration,
    ) -> Option<Refusal> {
        let remaining = request.earliest_deadline().since(now);
        let budget = remaining.mul_f64(Self::MAX_TARGET_SHARE);
        let needed = wait + self.min_time_to_deadline(request);
        // A request that starts now needs no margin for an error in the estimated wait.
        let starts_now = wait.is_zero();
        if needed <= budget || (starts_now && needed <= remaining) {
            return None;
        }
        let retry_after = self.retry_after(needed.saturating_sub(budget));
        Some(Refusal::not_run(RefusalReason::Overloaded).retry_after(retry_after))
    }

    /// Delay after which the client should retry a request that would have been late by `excess`.
    pub(super) fn retry_after(&self, excess: Duration) -> Duration {
        excess.clamp(Self::MIN_RETRY_AFTER, Self::MAX_RETRY_AFTER)
    }
}
