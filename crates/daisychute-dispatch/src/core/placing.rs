//! Where a request goes.

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::Time;
use xxhash_rust::xxh3::xxh3_64;

use crate::core::attempt::Sent;
use crate::fleet::choice::{Choice, Query, choose, holders};
use crate::fleet::engine_model::ServiceModel;
use crate::{Action, Dispatcher, EngineStage, Reason, RequestKey, SendDecision, ServiceSpec, Task};

/// The share of an endpoint's connections that the known fronts use; the rest is for fronts that aren't known yet.
const CONNECTION_SHARE: f64 = 0.7;
/// A second call and the transfer between the two engines, beside what is predicted of them, in ms.
const SECOND_CALL_MS: f64 = 25.0;
/// Other fronts are told at once of a reading that takes this long: it is as much as the usual age of what they know.
const LONG_READING: Duration = Duration::from_millis(20);
/// Reading a prompt beside the outputs of others delays these; one ms of reading counts as this much more.
const INTERFERENCE: f64 = 2.0;
/// A request that is predicted to take longer than this part of its objective is refused: it would be late, and make
/// those after it late.
const LONGEST_TIME: f64 = 1.0;
/// A request's own time counts for at most this part of its objective. One that needs longer in any case isn't refused
/// for it; it has the rest of the objective to wait in.
const MOST_OWN_TIME: f64 = 0.5;

/// Where a request goes next.
#[derive(Debug, Clone)]
struct Placing {
    choice: Choice,
    task: Task,
    /// Predicted time to the first output of the answer, in ms, with the price of what it does to others.
    ms: f64,
    /// The part of it that is spent on waiting for others, in ms.
    wait_ms: f64,
}

impl Placing {
    fn run(choice: Choice) -> Self {
        Self { choice, task: Task::Run, ms: choice.ms, wait_ms: choice.wait_ms }
    }
}

impl Dispatcher {
    /// Sends the request to the best endpoint, or ends it for `reason` if there is none.
    pub(crate) fn place(
        &mut self,
        now: Time,
        key: RequestKey,
        reason: Reason,
        actions: &mut Vec<Action>,
    ) {
        let Some(placing) = self.pick(now, key) else {
            self.give_up(key, reason, actions);
            return;
        };
        if let Some(retry_after) = self.overloaded(now, key, &placing) {
            let span = |ms: f64| Duration::from_secs_f64(ms.max(0.0) / 1e3);
            self.refuse(key, span(placing.ms), span(placing.wait_ms), retry_after, actions);
            return;
        }
        self.send(now, key, placing, actions);
    }

    /// When to come back, for a request that can't be served in time.
    fn overloaded(&self, now: Time, key: RequestKey, placing: &Placing) -> Option<Duration> {
        let attempt = self.requests.get(&key)?;
        // A KV cache that was made is worth more than the wait for its use.
        if attempt.request.prompt.is_none() || attempt.handle.is_some() || attempt.may_have_run {
            return None;
        }
        let objective = attempt.route.objective.as_secs_f64() * 1e3;
        let elapsed = now.since(attempt.arrived).as_secs_f64() * 1e3;
        let own = (placing.ms - placing.wait_ms).min(objective * MOST_OWN_TIME);
        let excess = placing.wait_ms + own + elapsed - objective * LONGEST_TIME;
        if excess <= 0.0 {
            return None;
        }
        // Spread by id, so that those refused together don't come back together.
        let spread = (xxh3_64(attempt.request.id.as_bytes()) % 1_000) as f64 / 1e3;
        let ms = (excess + objective / 4.0) * (0.75 + spread / 2.0);
        Some(Duration::from_secs_f64(ms / 1e3))
    }

    fn pick(&mut self, now: Time, key: RequestKey) -> Option<Placing> {
        let attempt = self.requests.get(&key)?;
        let engine = self.spec(key).and_then(|it| it.engine);
        let service = attempt.service.clone();
        self.models.entry(service).or_insert_with(ServiceModel::new);
        let attempt = self.requests.get(&key)?;
        let model = &self.models[&attempt.service];
        let query = Query {
            service: &attempt.service,
            engine: engine.as_ref(),
            stage: None,
            prompt: attempt.request.prompt.as_ref(),
            source: None,
            priority: attempt.route.priority,
            tried: &attempt.tried,
            home: self.settings.data_centre.as_ref(),
            seed: xxh3_64(attempt.request.id.as_bytes()),
        };
        let holders = match &attempt.handle {
            // The KV cache of the whole prompt is fetched.
            Some(_) => Vec::new(),
            None => holders(now, &self.fleet, &query),
        };
        let best = |query: Query<'_>| choose(now, &self.fleet, model, &query, &holders);
        let decode = Query { stage: Some(EngineStage::Decode), ..query };
        if let Some(handle) = &attempt.handle {
            let made_at = self.fleet.endpoint(handle.endpoint);
            let source = made_at.and_then(|it| it.data_centre.as_ref());
            let choice = best(Query { source: Some(source), ..decode })?;
            let (source, handle) = (handle.address, Arc::clone(&handle.handle));
            return Some(Placing { task: Task::Decode { source, handle }, ..Placing::run(choice) });
        }
        let Some(prompt) = query.prompt else { return best(query).map(Placing::run) };
        let whole = best(decode).map(|choice| {
            let ms = choice.ms + choice.read_ms * INTERFERENCE;
            Placing { ms, ..Placing::run(choice) }
        });
        if attempt.prefilled {
            return whole;
        }
        let split = best(Query { stage: Some(EngineStage::Prefill), ..query }).map(|choice| {
            let transfer =
                engine.map_or(Duration::ZERO, |it| it.transfer_time(prompt.tokens.into()));
            let ms = choice.ms + SECOND_CALL_MS + transfer.as_secs_f64() * 1e3;
            Placing { choice, task: Task::Prefill, ms, wait_ms: choice.wait_ms }
        });
        match (whole, split) {
            (Some(whole), Some(split)) if split.ms < whole.ms => Some(split),
            (None, split) => split,
            (whole, _) => whole,
        }
    }

    fn send(&mut self, now: Time, key: RequestKey, placing: Placing, actions: &mut Vec<Action>) {
        let Placing { choice, task, ms, .. } = placing;
        let capacity = self.spec(key).and_then(|it| it.engine).map(|it| it.kv_tokens);
        let max_connections = self.connections(key);
        let fetch_from = choice.fetch_from.and_then(|it| self.fleet.endpoint(it));
        let fetch_from = fetch_from.map(|it| it.address);
        self.note_extra(now, key);
        let Some(attempt) = self.requests.get_mut(&key) else { return };
        let Some(known) = self.fleet.known_mut(choice.key) else { return };
        let read = Duration::from_secs_f64(choice.read_ms.max(0.0) / 1e3);
        let predicted = Duration::from_secs_f64(choice.ms.max(0.0) / 1e3);
        let alone = choice.alone;
        let tokens = attempt.request.prompt.as_ref().map_or(0, |it| it.tokens);
        actions.push(Action::Send {
            key,
            decision: Box::new(SendDecision {
                endpoint: choice.key,
                name: known.endpoint.name.clone(),
                address: known.endpoint.address,
                task: task.clone(),
                deadline: attempt.deadline,
                kind: attempt.route.kind,
                priority: attempt.route.priority,
                previous_sends: attempt.sends,
                predicted: Duration::from_secs_f64(ms.max(0.0) / 1e3),
                wait: Duration::from_secs_f64(choice.wait_ms.max(0.0) / 1e3),
                uncached_tokens: choice.reading.unread,
                fetch_from,
                candidates: choice.candidates,
                load_age: known.sample.map(|it| now.since(it.at)),
                max_connections,
            }),
        });
        if read >= LONG_READING {
            actions.push(Action::SendHeartbeat);
        }
        known.work.sent(now, key, attempt.route.priority, tokens, read);
        if let Some(prompt) = &attempt.request.prompt {
            known.parts.note(now, &prompt.parts, capacity);
            actions.extend(prompt.long_shared_parts().map(|part| Action::AnnounceCachedPart {
                endpoint: known.endpoint.name.clone(),
                part: *part,
            }));
        }
        attempt.prefilled |= task == Task::Prefill;
        attempt.tried.push(choice.key);
        let other = if fetch_from.is_some() { read / 2 } else { Duration::ZERO };
        attempt.current = Some(Sent {
            endpoint: choice.key,
            address: known.endpoint.address,
            task,
            at: now,
            tokens,
            reading: choice.reading,
            other,
            alone,
            predicted,
        });
    }

    /// A send after one that counted is drawn from the budget.
    fn note_extra(&mut self, now: Time, key: RequestKey) {
        let again = self.requests.get(&key).filter(|it| it.sends > 0);
        if let Some(service) = again.map(|it| it.service.clone()) {
            self.budget(&service).extra(now);
        }
    }

    fn connections(&self, key: RequestKey) -> usize {
        let most = self.spec(key).map_or(0, |it| it.max_connections);
        let share = f64::from(most) * CONNECTION_SHARE / self.fronts as f64;
        (share as usize).max(2)
    }

    /// What is configured of the service of a request.
    fn spec(&self, key: RequestKey) -> Option<&ServiceSpec> {
        let attempt = self.requests.get(&key)?;
        self.table.as_ref()?.service(&attempt.service)
    }
}
