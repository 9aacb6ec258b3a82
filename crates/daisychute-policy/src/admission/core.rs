//! The admission core of one endpoint.

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
use super::queue::{Queue, Waiting};
use super::running::{Running, RunningSet};
use crate::cost::{CostModel, RobustMean};
use crate::roles::{Demand, UnitCosts};

const PRECEDENCES: [Precedence; 3] =
    [Precedence::First, Precedence::Interactive, Precedence::MayWait];

/// Orders and bounds the work of one endpoint.
///
/// The agent calls [`submit`](Self::submit) for each request that comes, and [`expire`](Self::expire) and
/// [`next`](Self::next) after every other event and every [`TICK`](Self::TICK) until they name nothing more.
#[derive(Debug, Clone)]
pub struct AdmissionController {
    pub(super) limits: Limits,
    pub(super) cost: CostModel,
    pub(super) queue: Queue,
    pub(super) running: RunningSet,
    pub(super) shares: FairShare,
    // Output tokens of a finished request, by class.
    pub(super) outputs: BTreeMap<ClassName, RobustMean>,
    pub(super) target: Option<Duration>,
    pub(super) last_interactive: Option<Time>,
    pub(super) last_may_wait_turn: Time,
    pub(super) prompts: PromptClock,
    pub(super) last_gap: Time,
}

impl AdmissionController {
    /// How often [`expire`](Self::expire) and [`next`](Self::next) are due without another event.
    pub const TICK: Duration = Duration::from_millis(50);
    /// While interactive work came within this time, may-wait work leaves room for more of it.
    const INTERACTIVE_MEMORY: Duration = Duration::from_secs(10);
    /// May-wait work is given a turn before interactive work once it waited this long.
    const MAY_WAIT_TURN: Duration = Duration::from_secs(10);
    /// The part of the streams that may-wait work leaves free while interactive work comes.
    pub(super) const INTERACTIVE_RESERVE: f64 = 0.25;
    /// The part of a target that planning may use; the rest is for errors of the estimate.
    pub(super) const TARGET_USE: f64 = 0.9;
    pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
    pub(super) const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

    /// An endpoint without work.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            cost: CostModel::new(),
            queue: Queue::default(),
            running: RunningSet::default(),
            shares: FairShare::default(),
            outputs: BTreeMap::new(),
            target: None,
            last_interactive: None,
            last_may_wait_turn: Time::ZERO,
            prompts: PromptClock::default(),
            last_gap: Time::ZERO,
        }
    }

    /// The same endpoint with a cost model that was learned before.
    #[must_use]
    pub fn cost(mut self, cost: CostModel) -> Self {
        self.cost = cost;
        self
    }

    /// What was learned of the endpoint.
    #[must_use]
    pub fn cost_model(&self) -> &CostModel {
        &self.cost
    }

    /// Takes other bounds, for example after a change of role. What runs goes on.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// The engine was replaced or loaded another model: forgets what was learned of it.
    pub fn reset_cost(&mut self) {
        self.cost.reset();
    }

    /// A request comes.
    pub fn submit(&mut self, now: Time, request: AdmissionRequest) -> Decision {
        if now >= request.due() {
            return Decision::Refused(Refusal::not_run(RefusalReason::Deadline));
        }
        self.note(now, &request);
        let wait = self.wait(&request);
        if let Some(refusal) = self.refusal(now, &request, wait) {
            return Decision::Refused(refusal);
        }
        self.shares.arrived(&request.class, &request.tenant);
        let first_in_line = self.queue.up_to(request.precedence).requests == 0;
        if first_in_line && self.has_room(now, &request) {
            self.start(now, request);
            return Decision::Admitted;
        }
        self.queue.push(now, request);
        Decision::Queued
    }

    /// The next waiting request that the endpoint has room for. The caller hands it to the endpoint.
    pub fn next(&mut self, now: Time) -> Option<RequestId> {
        let id = self.overdue_may_wait(now).or_else(|| self.regular(now))?;
        let Waiting { request, .. } = self.queue.remove(id)?;
        if request.precedence == Precedence::MayWait {
            self.last_may_wait_turn = now;
        }
        self.start(now, request);
        Some(id)
    }

    /// Refuses the waiting requests that can't meet their target any more, also those that later work of a sooner
    /// precedence pushed back. Appends each to `refused`.
    pub fn expire(&mut self, now: Time, refused: &mut Vec<(RequestId, Refusal)>) {
        let late: Vec<RequestId> = self
            .queue
            .iter()
            .filter(|it| self.is_late(now, &it.request))
            .map(|it| it.request.id)
            .collect();
        for id in late {
            let Some(waiting) = self.queue.remove(id) else { continue };
            self.shares.left(&waiting.request.class, &waiting.request.tenant);
            let retry_after = self.retry_after(self.wait(&waiting.request));
            refused
                .push((id, Refusal::not_run(RefusalReason::Overloaded).retry_after(retry_after)));
        }
    }

    /// The first token of a request came; the engine had this many of its prompt tokens cached.
    pub fn first_token(&mut self, now: Time, id: RequestId, cached_tokens: u32) {
        let Some(running) = self.running.get(id) else { return };
        if running.computes_prompt() {
            let uncached = running.request.prompt_tokens.saturating_sub(cached_tokens);
            self.prompts.computed(now, running.started, uncached, &mut self.cost);
        }
        self.running.first_token(now, id);
    }

    /// Another token of a request came.
    pub fn token(&mut self, now: Time, id: RequestId) {
        let batch = self.batch();
        let Some(gap) = self.running.token(now, id) else { return };
        let step_is_new = now > self.last_gap;
        if step_is_new && self.running.prompts == 0 {
            self.cost.record_token_gap(batch, gap);
        }
        self.last_gap = now;
    }

    /// A request was answered whole.
    pub fn finished(&mut self, now: Time, id: RequestId) {
        let Some(running) = self.leave(id) else { return };
        match running.request.phase {
            RequestPhase::Call => self.cost.record_call(now.since(running.started)),
            RequestPhase::Whole | RequestPhase::Decode => {
                let prior = f64::from(running.request.max_tokens.max(1));
                let mean = self
                    .outputs
                    .entry(running.request.class)
                    .or_insert_with(|| RobustMean::new(prior));
                mean.add(f64::from(running.tokens));
            }
            RequestPhase::Prefill => {}
        }
    }

    /// A request was cancelled, or its run failed. Gives whether the endpoint had been given it.
    pub fn cancelled(&mut self, id: RequestId) -> bool {
        if let Some(waiting) = self.queue.remove(id) {
            self.shares.left(&waiting.request.class, &waiting.request.tenant);
            return false;
        }
        self.leave(id).is_some()
    }

    /// The load as others should see it.
    #[must_use]
    pub fn load_report(&self, _now: Time) -> LoadReport {
        let queued = self.queue.up_to(Precedence::MayWait);
        let urgent = self.queue.up_to(Precedence::Interactive);
        let running_tokens: u32 = self.running.values().map(Running::remaining_tokens).sum();
        let waiting_tokens: u32 =
            self.queue.iter().map(|it| self.expected_tokens(&it.request)).sum();
        LoadReport {
            queued: queued.requests,
            running: self.running.len(),
            queued_prompt_tokens: saturate(queued.prompt_tokens + self.running.prompt_tokens),
            pending_output_tokens: running_tokens.saturating_add(waiting_tokens),
            wait: self.wait_behind(urgent, Precedence::Interactive),
            prompt_token: self.cost.prompt_token(),
            between_tokens: self.cost.between_tokens(self.batch()),
            age: Duration::ZERO,
        }
    }

    /// The endpoint takes nothing new: gives the waiting requests, which were not run. What runs goes on.
    pub fn drain(&mut self) -> Vec<RequestId> {
        let ids: Vec<RequestId> = self.queue.iter().map(|it| it.request.id).collect();
        for id in &ids {
            self.cancelled(*id);
        }
        ids
    }

    /// What a token costs of the endpoint's time.
    #[must_use]
    pub fn unit_costs(&self) -> UnitCosts {
        let prompts = self.limits.role.is_some_and(|it| it != Role::Decode);
        let decodes = self.limits.role.is_some_and(|it| it != Role::Prefill);
        UnitCosts {
            prompt_token: prompts.then(|| self.cost.prompt_token()),
            output_token: decodes.then(|| self.output_token()),
        }
    }

    /// The work that waits or runs here, for the planner.
    #[must_use]
    pub fn demand(&self) -> Demand {
        let waiting = self.queue.up_to(Precedence::Interactive);
        let targeted = |it: &&Waiting| {
            it.request.phase == RequestPhase::Decode && it.request.between_tokens.is_some()
        };
        let decode_waiting = self.queue.iter().filter(targeted).count();
        let streams = f64::from(self.running.with_target) + decode_waiting as f64;
        let decodes = self.limits.role != Some(Role::Prefill);
        Demand {
            prefill_backlog: self.cost.prompt_time(waiting.prompt_tokens).as_secs_f64(),
            decode_busy: if decodes { streams / f64::from(self.stream_limit()) } else { 0.0 },
            ..Demand::default()
        }
    }

    /// Requests that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Requests that the endpoint has.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len() as usize
    }

    fn note(&mut self, now: Time, request: &AdmissionRequest) {
        if request.precedence < Precedence::MayWait {
            self.last_interactive = Some(now);
        }
        if let Some(target) = request.between_tokens {
            self.target = Some(self.target.map_or(target, |it| it.min(target)));
        }
    }

    fn start(&mut self, now: Time, request: AdmissionRequest) {
        let expected_tokens = self.expected_tokens(&request);
        self.shares.served(&request.class, &request.tenant, self.service(&request));
        let reserved = u64::from(request.prompt_tokens) + u64::from(expected_tokens);
        self.running.insert(Running {
            started: now,
            first: None,
            last: now,
            tokens: 0,
            reserved,
            expected_tokens,
            request,
        });
    }

    fn leave(&mut self, id: RequestId) -> Option<Running> {
        let running = self.running.remove(id)?;
        self.shares.left(&running.request.class, &running.request.tenant);
        Some(running)
    }

    /// A may-wait request that has waited so long that it goes before interactive work.
    fn overdue_may_wait(&self, now: Time) -> Option<RequestId> {
        let head = self.queue.head(Precedence::MayWait, &self.shares)?;
        let since = head.since.max(self.last_may_wait_turn);
        let overdue = now.since(since) >= Self::MAY_WAIT_TURN;
        (overdue && self.fits(&head.request)).then_some(head.request.id)
    }

    fn regular(&self, now: Time) -> Option<RequestId> {
        let heads = PRECEDENCES.into_iter().filter_map(|it| self.queue.head(it, &self.shares));
        let head = heads.into_iter().next()?;
        self.has_room(now, &head.request).then_some(head.request.id)
    }

    fn has_room(&self, now: Time, request: &AdmissionRequest) -> bool {
        self.fits(request) && (request.precedence < Precedence::MayWait || self.leaves_reserve(now))
    }

    fn fits(&self, request: &AdmissionRequest) -> bool {
        let need = u64::from(request.prompt_tokens) + u64::from(self.expected_tokens(request));
        let kv = self.running.len() == 0 || self.running.reserved + need <= self.limits.kv_tokens;
        let streams = self.running.len() < self.stream_limit();
        let prompts = request.uncached_tokens() == 0 || self.prompt_fits();
        kv && streams && prompts
    }

    fn prompt_fits(&self) -> bool {
        let given = self.cost.prompt_time(self.running.prompt_tokens);
        self.running.prompts == 0 || given < self.limits.prompt_window
    }

    fn leaves_reserve(&self, now: Time) -> bool {
        let recent =
            self.last_interactive.is_some_and(|it| now.since(it) < Self::INTERACTIVE_MEMORY);
        let usable = f64::from(self.stream_limit()) * (1.0 - Self::INTERACTIVE_RESERVE);
        !recent || f64::from(self.running.len()) < usable || self.running.may_wait == 0
    }
}

fn saturate(tokens: u64) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}
