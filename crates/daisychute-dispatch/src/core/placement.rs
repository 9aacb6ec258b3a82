//! Placement of a request: selects its task and endpoint, then sends the request or refuses it for overload.

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::Time;
use xxhash_rust::xxh3::xxh3_64;

use crate::core::overdue::overdue_after;
use crate::core::request_state::{InFlightAttempt, RequestState};
use crate::fleet::cost_model::{PrefillEngine, ServiceCostModel};
use crate::fleet::selection::{Candidate, SelectionQuery, cache_holders, select};
use crate::{
    Action, Dispatcher, EngineSpec, EngineStage, Reason, RequestKey, SendDecision, ServiceSpec,
    Task,
};

/// Share of an endpoint's connections that the known fronts use; the rest is for fronts that aren't known yet.
const CONNECTION_SHARE: f64 = 0.7;
/// Cost of disaggregated prefill, in ms: the second call and the KV cache transfer, beyond their predicted times.
const SECOND_CALL_OVERHEAD_MS: f64 = 25.0;
/// A prefill predicted to take at least this long triggers an immediate heartbeat. Equals the usual age of the load
/// data that other fronts have.
const LONG_PREFILL: Duration = Duration::from_millis(20);
/// A prefill on an engine that also generates delays the outputs of the other requests there; each ms of it adds this
/// many ms to the cost for each of them.
const PREFILL_INTERFERENCE: f64 = 0.5;
/// Maximum of that cost per ms of prefill: most of the requests end before a long prefill does.
const MAX_PREFILL_INTERFERENCE: f64 = 2.0;
/// A request whose predicted latency exceeds the latency objective times this factor is refused: it would be late and
/// would delay later requests.
const MAX_OBJECTIVE_RATIO: f64 = 1.0;
/// Cap on a request's own processing time in the overload check, as a share of the latency objective: a request that
/// would be too slow even on an idle engine isn't refused for that reason. The rest of the objective is left for
/// waiting.
const MAX_OWN_TIME_SHARE: f64 = 0.5;

/// Endpoint and task of a request's next send attempt.
#[derive(Debug, Clone)]
pub(crate) struct Placement {
    candidate: Candidate,
    pub(crate) task: Task,
    /// Predicted time to the first output of the response, in ms, plus the cost of delaying other requests.
    cost_ms: f64,
    /// Predicted time to the first output of the response, in ms.
    latency_ms: f64,
    /// Part of `latency_ms` for which the request waits for other requests, in ms.
    wait_ms: f64,
}

impl Placement {
    fn run(candidate: Candidate) -> Self {
        Self {
            candidate,
            task: Task::Run,
            cost_ms: candidate.predicted_ms,
            latency_ms: candidate.predicted_ms,
            wait_ms: candidate.wait_ms,
        }
    }

    /// Returns the predicted time to the first output of the response.
    pub(crate) fn latency(&self) -> Duration {
        from_ms(self.latency_ms)
    }

    /// Returns the predicted time for which the request waits for other requests.
    pub(crate) fn wait(&self) -> Duration {
        from_ms(self.wait_ms)
    }
}

/// Returns the kind of engine that runs a task.
const fn prefill_engine(task: &Task) -> PrefillEngine {
    match task {
        Task::Prefill => PrefillEngine::Dedicated,
        Task::Run | Task::Decode { .. } => PrefillEngine::Combined,
    }
}

/// Converts a prediction in ms; negative ones count as zero.
fn from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1e3)
}

impl Dispatcher {
    /// Sends the request to the best endpoint, refuses it for overload, or ends it for `reason` if no endpoint takes
    /// it.
    pub(crate) fn place(
        &mut self,
        now: Time,
        key: RequestKey,
        reason: Reason,
        actions: &mut Vec<Action>,
    ) {
        self.release_lapsed_cache(now, key, actions);
        if self.end_quarantined(now, key, actions) {
            return;
        }
        if self.refuse_unavailable(now, key, actions) {
            return;
        }
        let Some(placement) = self.choose_placement(now, key) else {
            if let Some(until) = self.awaits_record_until(now, key) {
                actions.push(Action::AwaitNews { key, attempt: None, until });
                return;
            }
            self.fail_or_refuse(key, self.reason_without_endpoint(key, reason), actions);
            return;
        };
        if self.end_for_shutdown(now, key, &placement, actions) {
            return;
        }
        if let Some(retry_after) = self.overload_retry_after(now, key, &placement) {
            self.record_overload_refusal(now, key);
            let cost = from_ms(placement.cost_ms);
            self.refuse(key, cost, placement.wait(), retry_after, actions);
            return;
        }
        self.send(now, key, placement, actions);
    }

    /// Returns why a request can't be placed: for `reason`, unless no endpoint of the version that began its stream is left.
    fn reason_without_endpoint(&self, key: RequestKey, reason: Reason) -> Reason {
        let state = self.requests.get(&key);
        let is_bound = state.is_some_and(|it| it.stream_version.is_some());
        if is_bound && reason == Reason::NoEndpoint { Reason::VersionGone } else { reason }
    }

    /// Returns the retry delay for a request whose latency objective can't be met; `None` if it isn't refused.
    fn overload_retry_after(
        &self,
        now: Time,
        key: RequestKey,
        placement: &Placement,
    ) -> Option<Duration> {
        let state = self.requests.get(&key)?;
        // Once the prompt is prefilled, a refusal would waste that work, so the request isn't refused for overload.
        if state.request.prompt.is_none() || state.kv_handle.is_some() || state.may_have_run {
            return None;
        }
        // The objective is for the first event, which a client that resumes its stream has.
        let limit = if state.resumes() {
            state.deadline.since(state.arrived)
        } else {
            state.route.objective
        };
        let limit_ms = limit.as_secs_f64() * 1e3;
        let objective_ms = state.route.objective.as_secs_f64() * 1e3;
        let elapsed_ms = now.since(state.arrived).as_secs_f64() * 1e3;
        let own_ms =
            (placement.latency_ms - placement.wait_ms).min(objective_ms * MAX_OWN_TIME_SHARE);
        let wait_ms = placement.wait_ms * self.wait_factor(state, &placement.task);
        let max_ratio = MAX_OBJECTIVE_RATIO * self.fairness.objective_ratio(now, state);
        let excess_ms = wait_ms + own_ms + elapsed_ms - limit_ms * max_ratio;
        if excess_ms <= 0.0 {
            return None;
        }
        // Jitter by request id, so that requests refused together aren't retried together.
        let jitter = (xxh3_64(state.request.id.as_bytes()) % 1_000) as f64 / 1e3;
        let retry_ms = (excess_ms + objective_ms / 4.0) * (0.75 + jitter / 2.0);
        Some(Duration::from_secs_f64(retry_ms / 1e3))
    }

    /// Returns which share of the predicted waits requests with this task really waited lately.
    fn wait_factor(&self, state: &RequestState, task: &Task) -> f64 {
        let model = self.cost_models.get(&state.service);
        model.map_or(1.0, |it| it.wait_factor(prefill_engine(task)))
    }

    /// Compares, by cost, prefill and decode on one engine with prefill on a dedicated engine.
    pub(crate) fn choose_placement(&mut self, now: Time, key: RequestKey) -> Option<Placement> {
        let state = self.requests.get(&key)?;
        let engine = self.service_spec(key).and_then(|it| it.engine);
        let service = state.service.clone();
        self.cost_models.entry(service).or_insert_with(ServiceCostModel::new);
        let state = self.requests.get(&key)?;
        let model = &self.cost_models[&state.service];
        let query = self.selection_query(state, engine.as_ref());
        let cache_holders = match &state.kv_handle {
            // The KV cache of the whole prompt is fetched; cached parts don't matter.
            Some(_) => Vec::new(),
            None => cache_holders(now, &self.fleet, &query),
        };
        let best =
            |query: SelectionQuery<'_>| select(now, &self.fleet, model, &query, &cache_holders);
        let decode = SelectionQuery { stage: Some(EngineStage::Decode), ..query };
        if let Some(handle) = &state.kv_handle {
            let prefill_endpoint = self.fleet.endpoint(handle.endpoint);
            let source = prefill_endpoint.and_then(|it| it.data_centre.as_ref());
            let candidate = best(SelectionQuery { source: Some(source), ..decode })?;
            let (source, handle) = (handle.address, Arc::clone(&handle.handle));
            return Some(Placement {
                task: Task::Decode { source, handle },
                ..Placement::run(candidate)
            });
        }
        let Some(prompt) = query.prompt else { return best(query).map(Placement::run) };
        // A decode engine can also prefill; `combined` runs the whole request there.
        let combined = best(decode).map(|candidate| {
            let interference = (f64::from(candidate.requests) * PREFILL_INTERFERENCE)
                .min(MAX_PREFILL_INTERFERENCE);
            let latency_ms = candidate.predicted_ms + model.delay_ms(now, PrefillEngine::Combined);
            let cost_ms = latency_ms + candidate.prefill_ms * interference;
            Placement { cost_ms, latency_ms, ..Placement::run(candidate) }
        });
        // Without an engine that may run the stream, a prefill would be in vain.
        let is_bound = query.version.is_some() || query.recorded.is_some();
        if state.prefill_tried || (combined.is_none() && is_bound) {
            return combined;
        }
        let disaggregated = best(SelectionQuery {
            stage: Some(EngineStage::Prefill),
            version: None,
            recorded: None,
            ..query
        })
        .map(|candidate| {
            let transfer =
                engine.map_or(Duration::ZERO, |it| it.transfer_time(prompt.tokens.into()));
            let cost_ms = candidate.predicted_ms
                + SECOND_CALL_OVERHEAD_MS
                + transfer.as_secs_f64() * 1e3
                + model.delay_ms(now, PrefillEngine::Dedicated);
            let task = Task::Prefill;
            Placement { task, cost_ms, latency_ms: cost_ms, ..Placement::run(candidate) }
        });
        match (combined, disaggregated) {
            (Some(combined), Some(disaggregated)) if disaggregated.cost_ms < combined.cost_ms => {
                Some(disaggregated)
            }
            (None, disaggregated) => disaggregated,
            (combined, _) => combined,
        }
    }

    /// Returns the query for endpoints of any stage that prefill the prompt themselves.
    pub(crate) fn selection_query<'a>(
        &'a self,
        state: &'a RequestState,
        engine: Option<&'a EngineSpec>,
    ) -> SelectionQuery<'a> {
        SelectionQuery {
            service: &state.service,
            engine,
            stage: None,
            prompt: state.request.prompt.as_ref(),
            source: None,
            priority: state.priority(),
            version: state.stream_version.as_ref(),
            recorded: self.versions_to_begin_at(state),
            tried: &state.tried,
            local_data_centre: self.settings.data_centre.as_ref(),
            seed: xxh3_64(state.request.id.as_bytes()),
            max_heartbeat_delay: self.settings.max_heartbeat_delay,
        }
    }

    fn send(
        &mut self,
        now: Time,
        key: RequestKey,
        placement: Placement,
        actions: &mut Vec<Action>,
    ) {
        let Placement { candidate, task, cost_ms, .. } = placement;
        let capacity = self.service_spec(key).and_then(|it| it.engine).map(|it| it.kv_tokens);
        let max_connections = self.max_connections(key);
        let shutdown_in = self.shutdown.map(|it| it.deadline.since(now));
        let fetch_from = candidate.fetch_from.and_then(|it| self.fleet.endpoint(it));
        let fetch_from = fetch_from.map(|it| it.address);
        self.record_retry(now, key);
        let Some(state) = self.requests.get_mut(&key) else { return };
        let Some(tracked) = self.fleet.tracked_mut(candidate.key) else { return };
        let prefill_time = from_ms(candidate.prefill_ms);
        let predicted = from_ms(candidate.predicted_ms);
        let wait = from_ms(candidate.wait_ms);
        let work_ahead = from_ms(candidate.work_ahead_ms);
        let endpoint_idle = candidate.idle;
        let tokens = state.request.prompt.as_ref().map_or(0, |it| it.tokens);
        actions.push(Action::Send {
            key,
            decision: Box::new(SendDecision {
                endpoint: candidate.key,
                name: tracked.endpoint.name.clone(),
                address: tracked.endpoint.address,
                task: task.clone(),
                deadline: state.deadline,
                kind: state.route.kind,
                priority: state.priority(),
                identity: state.forwarded_identity(),
                previous_attempts: state.counted_attempts,
                cost: from_ms(cost_ms),
                wait,
                wait_spread: from_ms(candidate.wait_spread_ms),
                uncached_tokens: candidate.prefill_work.uncached,
                fetch_from,
                max_output: state.request.prompt.as_ref().map(|it| it.max_output),
                shutdown_in,
                candidates: candidate.candidates,
                software_version: tracked.endpoint.software_version.clone(),
                load_age: tracked.sample.map(|it| now.since(it.received_at)),
                max_connections,
                overdue_after: overdue_after(now, state, &task, predicted),
            }),
        });
        if prefill_time >= LONG_PREFILL {
            actions.push(Action::SendHeartbeat);
        }
        tracked.in_flight.add(now, key, state.priority(), tokens, prefill_time);
        if let Some(model) = self.cost_models.get_mut(&state.service) {
            model.record_work(now, prefill_engine(&task), candidate.prefill_ms);
        }
        tracked.notice.record_send(now);
        if let Some(prompt) = &state.request.prompt {
            tracked.prefix_cache.record(now, &prompt.parts, capacity);
            actions.extend(prompt.long_shared_parts().map(|part| Action::AnnounceCachedPart {
                endpoint: tracked.endpoint.name.clone(),
                part: *part,
            }));
        }
        self.fairness.record_send(state, prefill_time);
        state.prefill_tried |= task == Task::Prefill;
        state.tried.push(candidate.key);
        let fetch_time = if fetch_from.is_some() { prefill_time / 2 } else { Duration::ZERO };
        state.in_flight = Some(InFlightAttempt {
            endpoint: candidate.key,
            address: tracked.endpoint.address,
            task,
            sent_at: now,
            ended_at: None,
            tokens,
            prefill_work: candidate.prefill_work,
            fetch_time,
            endpoint_idle,
            predicted,
            wait,
            software_version: tracked.endpoint.software_version.clone(),
            work_ahead,
        });
    }

    /// Counts a retry against the retry budget, if an earlier attempt counted against the route's limit.
    fn record_retry(&mut self, now: Time, key: RequestKey) {
        let retried = self.requests.get(&key).filter(|it| it.counted_attempts > 0);
        if let Some(service) = retried.map(|it| it.service.clone()) {
            self.budget(&service).record_retry(now);
        }
    }

    /// Returns this front's share of the connections that one endpoint accepts; at least 2.
    fn max_connections(&self, key: RequestKey) -> usize {
        let limit = self.service_spec(key).map_or(0, |it| it.max_connections);
        let share = f64::from(limit) * CONNECTION_SHARE / self.fronts as f64;
        (share as usize).max(2)
    }

    /// Returns the configuration of a request's service.
    pub(crate) fn service_spec(&self, key: RequestKey) -> Option<&ServiceSpec> {
        let state = self.requests.get(&key)?;
        self.table.as_ref()?.service(&state.service)
    }
}
