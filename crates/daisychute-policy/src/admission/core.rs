//! The admission controller of one endpoint.

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::{
    ClassName, LoadReport, Precedence, Refusal, RefusalReason, RequestId, Role, Time,
};

use super::admission_request::{AdmissionRequest, RequestPhase};
use super::decision::Decision;
use super::fair_share::FairShare;
use super::limits::Limits;
use super::prompt_clock::PromptClock;
use super::queue::{Queue, QueuedRequest};
use super::running::{Running, RunningSet};
use crate::cost::{CostModel, RobustMean};
use crate::roles::{Demand, UnitCosts};

/// All precedences, most urgent first.
const PRECEDENCES: [Precedence; 3] =
    [Precedence::First, Precedence::Interactive, Precedence::MayWait];

/// Queues, admits and refuses the requests of one endpoint.
///
/// The agent calls [`submit`](Self::submit) for each new request. After every other event and at every
/// [`TICK`](Self::TICK) it calls [`expire`](Self::expire), and [`next`](Self::next) until it returns `None`.
#[derive(Debug, Clone)]
pub struct AdmissionController {
    pub(super) limits: Limits,
    pub(super) cost: CostModel,
    pub(super) queue: Queue,
    pub(super) running: RunningSet,
    pub(super) shares: FairShare,
    // Mean output tokens of finished requests, by class.
    pub(super) output_lengths: BTreeMap<ClassName, RobustMean>,
    // The strictest inter-token latency target of any request so far.
    pub(super) gap_target: Option<Duration>,
    // When the latest request with a precedence above may-wait was submitted.
    pub(super) last_interactive: Option<Time>,
    // When `next` last returned a may-wait request.
    pub(super) last_may_wait_start: Time,
    pub(super) prompt_clock: PromptClock,
    // When the latest token after a first one arrived. Tokens of the same step arrive at the same time, so that only
    // the first of them is recorded in the cost model.
    pub(super) last_token_at: Time,
}

impl AdmissionController {
    /// Interval at which to call [`expire`](Self::expire) and [`next`](Self::next) if no event occurs.
    pub const TICK: Duration = Duration::from_millis(50);
    /// May-wait requests leave [`INTERACTIVE_RESERVE`](Self::INTERACTIVE_RESERVE) free for this long after the latest
    /// interactive request.
    const INTERACTIVE_WINDOW: Duration = Duration::from_secs(10);
    /// A may-wait request starts before interactive ones after it waited this long, so that it isn't starved.
    const MAY_WAIT_MAX_WAIT: Duration = Duration::from_secs(10);
    /// Share of the streams that may-wait requests leave free while interactive requests arrive.
    pub(super) const INTERACTIVE_RESERVE: f64 = 0.25;
    /// Share of a latency target that estimates may use up; the rest is the margin for estimation errors.
    pub(super) const MAX_TARGET_SHARE: f64 = 0.9;
    /// Lower bound of the retry delay in a refusal.
    pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
    /// Upper bound of the retry delay in a refusal.
    pub(super) const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

    /// Creates a controller for an idle endpoint whose costs are unknown.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            cost: CostModel::new(),
            queue: Queue::default(),
            running: RunningSet::default(),
            shares: FairShare::default(),
            output_lengths: BTreeMap::new(),
            gap_target: None,
            last_interactive: None,
            last_may_wait_start: Time::ZERO,
            prompt_clock: PromptClock::default(),
            last_token_at: Time::ZERO,
        }
    }

    /// Sets a cost model that was learned earlier.
    #[must_use]
    pub fn cost(mut self, cost: CostModel) -> Self {
        self.cost = cost;
        self
    }

    /// Returns the cost model that was learned from the endpoint.
    #[must_use]
    pub fn cost_model(&self) -> &CostModel {
        &self.cost
    }

    /// Replaces the limits, for example after a role change. Running requests aren't affected.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Resets the cost model after the engine was replaced or loaded another model.
    pub fn reset_cost(&mut self) {
        self.cost.reset();
    }

    /// Admits, queues or refuses a new request.
    pub fn submit(&mut self, now: Time, request: AdmissionRequest) -> Decision {
        if now >= request.earliest_deadline() {
            return Decision::Refused(Refusal::not_run(RefusalReason::Deadline));
        }
        self.record_submission(now, &request);
        let wait = self.queue_wait(&request);
        if let Some(refusal) = self.overload_refusal(now, &request, wait) {
            return Decision::Refused(refusal);
        }
        self.shares.record_arrival(&request.class, &request.tenant);
        let first_in_line = self.queue.up_to(request.precedence).requests == 0;
        if first_in_line && self.has_room(now, &request) {
            self.start(now, request);
            return Decision::Admitted;
        }
        self.queue.push(now, request);
        Decision::Queued
    }

    /// Removes the next request that the endpoint has room for from the queue and returns it. The caller sends it to
    /// the endpoint.
    pub fn next(&mut self, now: Time) -> Option<RequestId> {
        let id = self.overdue_may_wait(now).or_else(|| self.next_by_precedence(now))?;
        let QueuedRequest { request, .. } = self.queue.remove(id)?;
        if request.precedence == Precedence::MayWait {
            self.last_may_wait_start = now;
        }
        self.start(now, request);
        Some(id)
    }

    /// Removes the queued requests that can no longer meet their earliest deadline, for example because more urgent
    /// requests overtook them, and appends each with its refusal to `refused`.
    pub fn expire(&mut self, now: Time, refused: &mut Vec<(RequestId, Refusal)>) {
        let late: Vec<RequestId> = self
            .queue
            .iter()
            .filter(|it| self.is_late(now, &it.request))
            .map(|it| it.request.id)
            .collect();
        for id in late {
            let Some(queued) = self.queue.remove(id) else { continue };
            self.shares.record_end(&queued.request.class, &queued.request.tenant);
            let retry_after = self.retry_after(self.queue_wait(&queued.request));
            refused
                .push((id, Refusal::not_run(RefusalReason::Overloaded).retry_after(retry_after)));
        }
    }

    /// Records the first token of a request, of whose prompt the engine had `cached_tokens` in its cache.
    pub fn first_token(&mut self, now: Time, id: RequestId, cached_tokens: u32) {
        let Some(running) = self.running.get(id) else { return };
        if running.is_prefilling() {
            let uncached = running.request.prompt_tokens.saturating_sub(cached_tokens);
            self.prompt_clock.record_prefill_end(now, running.started_at, uncached, &mut self.cost);
        }
        self.running.first_token(now, id);
    }

    /// Records a further token of a request.
    pub fn token(&mut self, now: Time, id: RequestId) {
        let batch = self.current_batch();
        let Some(gap) = self.running.token(now, id) else { return };
        let step_is_new = now > self.last_token_at;
        if step_is_new && self.running.prefilling == 0 {
            self.cost.record_token_gap(batch, gap);
        }
        self.last_token_at = now;
    }

    /// Records the complete response to a request.
    pub fn finished(&mut self, now: Time, id: RequestId) {
        let Some(running) = self.remove_running(id) else { return };
        match running.request.phase {
            RequestPhase::Call => self.cost.record_call(now.since(running.started_at)),
            RequestPhase::Whole | RequestPhase::Decode => {
                let prior = f64::from(running.request.max_tokens.max(1));
                let mean = self
                    .output_lengths
                    .entry(running.request.class)
                    .or_insert_with(|| RobustMean::new(prior));
                mean.add(f64::from(running.output_tokens));
            }
            RequestPhase::Prefill => {}
        }
    }

    /// Removes a request that was cancelled or failed. Returns whether it was running at the endpoint.
    pub fn cancelled(&mut self, id: RequestId) -> bool {
        if let Some(queued) = self.queue.remove(id) {
            self.shares.record_end(&queued.request.class, &queued.request.tenant);
            return false;
        }
        self.remove_running(id).is_some()
    }

    /// Returns the load to report to the entries.
    #[must_use]
    pub fn load_report(&self, _now: Time) -> LoadReport {
        let queued = self.queue.up_to(Precedence::MayWait);
        let interactive = self.queue.up_to(Precedence::Interactive);
        let running_tokens: u32 = self.running.values().map(Running::remaining_tokens).sum();
        let queued_tokens: u32 =
            self.queue.iter().map(|it| self.expected_tokens(&it.request)).sum();
        LoadReport {
            queued: queued.requests,
            running: self.running.len(),
            queued_prompt_tokens: saturating_u32(
                queued.prompt_tokens + self.running.prefill_tokens,
            ),
            pending_output_tokens: running_tokens.saturating_add(queued_tokens),
            wait: self.wait_behind(interactive, Precedence::Interactive),
            prompt_token: self.cost.prompt_token(),
            between_tokens: self.cost.between_tokens(self.current_batch()),
            age: Duration::ZERO,
        }
    }

    /// Empties the queue before the endpoint stops taking work. Returns the removed requests, which were not run;
    /// running requests aren't affected.
    pub fn drain(&mut self) -> Vec<RequestId> {
        let ids: Vec<RequestId> = self.queue.iter().map(|it| it.request.id).collect();
        for id in &ids {
            self.cancelled(*id);
        }
        ids
    }

    /// Returns how much of the endpoint's time a prompt token and an output token take.
    #[must_use]
    pub fn unit_costs(&self) -> UnitCosts {
        let prefills = self.limits.role.is_some_and(|it| it != Role::Decode);
        let decodes = self.limits.role.is_some_and(|it| it != Role::Prefill);
        UnitCosts {
            prompt_token: prefills.then(|| self.cost.prompt_token()),
            output_token: decodes.then(|| self.output_token_time()),
        }
    }

    /// Returns the queued and running work for the planner.
    #[must_use]
    pub fn demand(&self) -> Demand {
        let queued = self.queue.up_to(Precedence::Interactive);
        let is_targeted_decode = |it: &&QueuedRequest| {
            it.request.phase == RequestPhase::Decode && it.request.between_tokens.is_some()
        };
        let queued_decodes = self.queue.iter().filter(is_targeted_decode).count();
        let streams = f64::from(self.running.with_gap_target) + queued_decodes as f64;
        let decodes = self.limits.role != Some(Role::Prefill);
        Demand {
            prefill_backlog: self.cost.prompt_time(queued.prompt_tokens).as_secs_f64(),
            decode_busy: if decodes { streams / f64::from(self.stream_limit()) } else { 0.0 },
            ..Demand::default()
        }
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests that the endpoint is running.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len() as usize
    }

    /// Updates the time of the latest interactive request and the strictest inter-token latency target.
    fn record_submission(&mut self, now: Time, request: &AdmissionRequest) {
        if request.precedence < Precedence::MayWait {
            self.last_interactive = Some(now);
        }
        if let Some(target) = request.between_tokens {
            self.gap_target = Some(self.gap_target.map_or(target, |it| it.min(target)));
        }
    }

    /// Counts a request as running and charges its tenant for the expected service time.
    fn start(&mut self, now: Time, request: AdmissionRequest) {
        let expected_tokens = self.expected_tokens(&request);
        self.shares.record_service(&request.class, &request.tenant, self.service_time(&request));
        let reserved_kv_tokens = u64::from(request.prompt_tokens) + u64::from(expected_tokens);
        self.running.insert(Running {
            started_at: now,
            first_token_at: None,
            last_token_at: now,
            output_tokens: 0,
            reserved_kv_tokens,
            expected_tokens,
            request,
        });
    }

    /// Removes a running request that ended in any way.
    fn remove_running(&mut self, id: RequestId) -> Option<Running> {
        let running = self.running.remove(id)?;
        self.shares.record_end(&running.request.class, &running.request.tenant);
        Some(running)
    }

    /// Returns the first may-wait request if it waited so long that it starts before interactive ones.
    fn overdue_may_wait(&self, now: Time) -> Option<RequestId> {
        let head = self.queue.head(Precedence::MayWait, &self.shares)?;
        let waiting_since = head.queued_at.max(self.last_may_wait_start);
        let is_overdue = now.since(waiting_since) >= Self::MAY_WAIT_MAX_WAIT;
        (is_overdue && self.fits(&head.request)).then_some(head.request.id)
    }

    /// Returns the first request of the most urgent precedence that has any, if the endpoint has room for it.
    fn next_by_precedence(&self, now: Time) -> Option<RequestId> {
        let heads = PRECEDENCES.into_iter().filter_map(|it| self.queue.head(it, &self.shares));
        let head = heads.into_iter().next()?;
        self.has_room(now, &head.request).then_some(head.request.id)
    }

    /// Whether a request fits the limits and, if it is may-wait, leaves the reserve for interactive requests.
    fn has_room(&self, now: Time, request: &AdmissionRequest) -> bool {
        self.fits(request) && (request.precedence < Precedence::MayWait || self.leaves_reserve(now))
    }

    /// Whether a request fits the limits on streams, KV cache and prefill time. An idle endpoint accepts a request
    /// of any KV cache size, which would never start otherwise.
    fn fits(&self, request: &AdmissionRequest) -> bool {
        let needed_kv_tokens =
            u64::from(request.prompt_tokens) + u64::from(self.expected_tokens(request));
        let kv_fits = self.running.len() == 0
            || self.running.reserved_kv_tokens + needed_kv_tokens <= self.limits.kv_tokens;
        let stream_free = self.running.len() < self.stream_limit();
        let prefill_fits = request.uncached_tokens() == 0 || self.prefill_window_open();
        kv_fits && stream_free && prefill_fits
    }

    /// Whether the prompts in prefill leave time in the prompt window.
    fn prefill_window_open(&self) -> bool {
        let pending = self.cost.prompt_time(self.running.prefill_tokens);
        self.running.prefilling == 0 || pending < self.limits.prompt_window
    }

    /// Whether a further may-wait request leaves the reserve free, or no reserve is needed. One may-wait request may
    /// always run.
    fn leaves_reserve(&self, now: Time) -> bool {
        let recent =
            self.last_interactive.is_some_and(|it| now.since(it) < Self::INTERACTIVE_WINDOW);
        let usable = f64::from(self.stream_limit()) * (1.0 - Self::INTERACTIVE_RESERVE);
        !recent || f64::from(self.running.len()) < usable || self.running.may_wait == 0
    }
}

fn saturating_u32(tokens: u64) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}
