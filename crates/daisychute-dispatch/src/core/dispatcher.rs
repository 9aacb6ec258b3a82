//! The decisions of one front.

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::{ServiceName, Time};
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::core::attempt::{Attempt, KvHandle, Sent};
use crate::fleet::choice::{Choice, Query, choose};
use crate::fleet::engine_model::{Reader, ServiceModel};
use crate::{
    Action, Break, DispatchSettings, EngineStage, Event, Fleet, LoadSample, Reason, RequestFacts,
    RequestKey, RetryBudget, RouteTable, SendOrder, Task,
};

/// Decides where each request goes, what is retried and what is refused.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    table: Option<Arc<RouteTable>>,
    fleet: Fleet,
    requests: FxHashMap<RequestKey, Attempt>,
    budgets: FxHashMap<ServiceName, RetryBudget>,
    models: FxHashMap<ServiceName, ServiceModel>,
    fronts: usize,
}

impl Dispatcher {
    /// The time that a caller is told to stay away where nothing is known of the load.
    const RETRY_AFTER: Duration = Duration::from_millis(300);
    /// Sends that never left their front are repeated so often.
    const MOST_UNSENT: u32 = 3;
    /// Prompts with at least so many tokens to read are read by engines of their own: shorter ones cost more by
    /// their second call than they disturb the outputs beside them.
    const SPLIT_TOKENS: u32 = 2_000;
    /// A request that waits for connections may use this share of an endpoint's connections, fronts that aren't
    /// known included.
    const CONNECTION_SHARE: f64 = 0.7;
    /// The caller waits at most this long where neither it nor the route says.
    const LONGEST_WAIT: Duration = Duration::from_secs(600);

    /// A dispatcher that knows no configuration and no endpoint.
    #[must_use]
    pub fn new(settings: DispatchSettings) -> Self {
        Self {
            settings,
            table: None,
            fleet: Fleet::default(),
            requests: FxHashMap::default(),
            budgets: FxHashMap::default(),
            models: FxHashMap::default(),
            fronts: 1,
        }
    }

    /// The configuration in force.
    #[must_use]
    pub const fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// The endpoints.
    #[must_use]
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Requests that have no final answer yet.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// The route of an open request.
    #[must_use]
    pub fn route(&self, key: RequestKey) -> Option<&Arc<crate::Route>> {
        self.requests.get(&key).map(|it| &it.route)
    }

    /// When an open request must have its final answer.
    #[must_use]
    pub fn due(&self, key: RequestKey) -> Option<Time> {
        self.requests.get(&key).map(|it| it.due)
    }

    /// Takes in an event and appends what follows from it to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrived { key, request } => self.arrived(now, key, request, actions),
            Event::Prefilled { key, handle } => self.prefilled(now, key, handle, actions),
            Event::Answering { key } => self.answering(now, key),
            Event::FirstOutput { key } => self.first_output(now, key),
            Event::Load { key, sample } => self.load(now, key, sample),
            Event::Broke { key, how } => self.broke(now, key, how, actions),
            Event::Finished { key } => self.finished(now, key, actions),
            Event::Left { key } => self.end(key, actions),
            Event::Expired { key } => self.expired(now, key, actions),
            Event::Configured(table) => self.configured(table),
            Event::Listed(endpoint) => self.listed(now, endpoint, actions),
            Event::Unlisted { name, removal } => {
                let gone = self.fleet.remove(now, &name, removal);
                actions.extend(gone.map(|endpoint| Action::Close { endpoint }));
            }
            Event::Peer { peer, loads } => self.fleet.peer_load(now, peer, &loads),
            Event::Fronts(count) => self.fronts = count.max(1),
            Event::Tick => {
                let gone = self.fleet.expire(now);
                actions.extend(gone.into_iter().map(|endpoint| Action::Close { endpoint }));
            }
        }
    }

    /// A table that is older than the one in force is ignored.
    fn configured(&mut self, table: Arc<RouteTable>) {
        if self.table.as_ref().is_none_or(|it| it.version() < table.version()) {
            self.table = Some(table);
        }
    }

    fn listed(&mut self, now: Time, endpoint: crate::Endpoint, actions: &mut Vec<Action>) {
        let (key, replaced) = self.fleet.upsert(endpoint);
        actions.extend(replaced.map(|endpoint| Action::Close { endpoint }));
        if !self.fleet.takes_work(now, key) {
            actions.push(Action::Close { endpoint: key });
        }
    }

    fn arrived(
        &mut self,
        now: Time,
        key: RequestKey,
        request: RequestFacts,
        actions: &mut Vec<Action>,
    ) {
        let Some(table) = &self.table else {
            let retry_after = Some(Self::RETRY_AFTER);
            actions.push(Action::Refuse { key, reason: Reason::NoConfiguration, retry_after });
            return;
        };
        let Some(route) = table.find(&request.host, &request.path).cloned() else {
            actions.push(Action::Fail { key, reason: Reason::NoRoute });
            return;
        };
        if request.id.is_empty() {
            actions.push(Action::Fail { key, reason: Reason::NoId });
            return;
        }
        let service = route.backends.pick(&request.id).clone();
        let patience = request.patience.unwrap_or(Self::LONGEST_WAIT);
        let due = now + patience.min(route.timeout);
        self.budget(&service).request(now);
        let attempt = Attempt {
            request,
            route,
            service,
            arrived: now,
            due,
            sends: 0,
            unsent: 0,
            tried: Vec::new(),
            current: None,
            may_have_run: false,
            handle: None,
            prefilled: false,
            first_output: false,
        };
        self.requests.insert(key, attempt);
        self.place(now, key, Reason::NoEndpoint, actions);
    }

    fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let DispatchSettings { retry_ratio, retry_slack, retry_window, .. } = self.settings;
        let new = || RetryBudget::new(retry_ratio, retry_slack, retry_window);
        self.budgets.entry(service.clone()).or_insert_with(new)
    }

    /// Sends the request to the best endpoint, or ends it for `reason` if there is none.
    fn place(&mut self, now: Time, key: RequestKey, reason: Reason, actions: &mut Vec<Action>) {
        let Some((choice, task)) = self.pick(now, key) else {
            self.give_up(now, key, reason, actions);
            return;
        };
        self.send(now, key, choice, task, actions);
    }

    fn pick(&mut self, now: Time, key: RequestKey) -> Option<(Choice, Task)> {
        let attempt = self.requests.get(&key)?;
        let seed = xxh3_64(attempt.request.id.as_bytes());
        let model = self.models.entry(attempt.service.clone()).or_insert_with(ServiceModel::new);
        let query = Query {
            service: &attempt.service,
            stage: None,
            prompt: attempt.request.prompt.as_ref(),
            tried: &attempt.tried,
            home: self.settings.data_centre.as_ref(),
        };
        if let Some(handle) = &attempt.handle {
            let query = Query { stage: Some(EngineStage::Decode), prompt: None, ..query };
            let choice = choose(now, &self.fleet, model, &query, seed)?;
            let (source, handle) = (handle.address, Arc::clone(&handle.handle));
            return Some((choice, Task::Decode { source, handle }));
        }
        let Some(prompt) = query.prompt else {
            return choose(now, &self.fleet, model, &query, seed).map(|it| (it, Task::Run));
        };
        if prompt.tokens >= Self::SPLIT_TOKENS && !attempt.prefilled {
            let query = Query { stage: Some(EngineStage::Prefill), ..query };
            if let Some(choice) = choose(now, &self.fleet, model, &query, seed) {
                return Some((choice, Task::Prefill));
            }
        }
        let decode = Query { stage: Some(EngineStage::Decode), ..query };
        choose(now, &self.fleet, model, &decode, seed).map(|it| (it, Task::Run))
    }

    fn send(
        &mut self,
        now: Time,
        key: RequestKey,
        choice: Choice,
        task: Task,
        actions: &mut Vec<Action>,
    ) {
        let capacity = self.capacity(key);
        let connections = self.connections(key);
        self.note_extra(now, key);
        let Some(attempt) = self.requests.get_mut(&key) else { return };
        let Some(known) = self.fleet.known_mut(choice.key) else { return };
        let order = SendOrder {
            endpoint: choice.key,
            name: known.endpoint.name.clone(),
            address: known.endpoint.address,
            task: task.clone(),
            due: attempt.due,
            kind: attempt.route.kind,
            rank: attempt.route.rank,
            sends: attempt.sends,
            predicted: Duration::from_secs_f64(choice.ms.max(0.0) / 1e3),
            among: choice.among,
            load_age: known.sample.map(|it| now.since(it.at)),
            connections,
        };
        let queued = known.mine.unread + known.others_unread(now);
        let unread = if matches!(task, Task::Decode { .. }) { 0 } else { choice.unread };
        known.mine.requests += 1;
        known.mine.unread += unread;
        if let Some(prompt) = &attempt.request.prompt {
            known.parts.note(now, prompt, capacity);
        }
        attempt.prefilled |= task == Task::Prefill;
        attempt.current = Some(Sent { endpoint: choice.key, task, at: now, unread, queued });
        attempt.tried.push(choice.key);
        actions.push(Action::Send { key, order: Box::new(order) });
    }

    /// A send after one that counted is drawn from the budget.
    fn note_extra(&mut self, now: Time, key: RequestKey) {
        let again = self.requests.get(&key).filter(|it| it.sends > 0);
        if let Some(service) = again.map(|it| it.service.clone()) {
            self.budget(&service).extra(now);
        }
    }

    /// Tokens that an engine of the request's service holds.
    fn capacity(&self, key: RequestKey) -> u64 {
        self.spec(key).and_then(|it| it.engine).map_or(0, |it| it.kv_tokens)
    }

    fn connections(&self, key: RequestKey) -> usize {
        let most = self.spec(key).map_or(0, |it| it.max_connections);
        let share = f64::from(most) * Self::CONNECTION_SHARE / self.fronts as f64;
        (share as usize).max(2)
    }

    fn spec(&self, key: RequestKey) -> Option<&crate::ServiceSpec> {
        let attempt = self.requests.get(&key)?;
        self.table.as_ref()?.service(&attempt.service)
    }

    fn prefilled(
        &mut self,
        now: Time,
        key: RequestKey,
        handle: Arc<str>,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.requests.get_mut(&key) else { return };
        let Some(sent) = attempt.current.take() else { return };
        let service = attempt.service.clone();
        if let Some(address) = self.fleet.endpoint(sent.endpoint).map(|it| it.address) {
            attempt.handle = Some(KvHandle { address, handle });
        }
        attempt.tried.clear();
        self.release_work(&sent);
        if let Some(known) = self.fleet.known_mut(sent.endpoint) {
            known.health.succeeded();
        }
        self.learn_read(now, &service, &sent);
        self.place(now, key, Reason::NoEndpoint, actions);
    }

    fn learn_read(&mut self, now: Time, service: &ServiceName, sent: &Sent) {
        let reader = match sent.task {
            Task::Prefill => Reader::Prefill,
            Task::Run => Reader::Whole,
            Task::Decode { .. } => return,
        };
        if let Some(model) = self.models.get_mut(service) {
            model.read(reader, sent.queued + sent.unread, now.since(sent.at));
        }
    }

    /// The work of a send has ended.
    fn release_work(&mut self, sent: &Sent) {
        if let Some(known) = self.fleet.known_mut(sent.endpoint) {
            known.mine.requests = known.mine.requests.saturating_sub(1);
            known.mine.unread = known.mine.unread.saturating_sub(sent.unread);
        }
    }

    fn answering(&mut self, now: Time, key: RequestKey) {
        let Some(attempt) = self.requests.get_mut(&key) else { return };
        attempt.may_have_run = true;
        // The engine has fetched the KV cache, and frees it by itself.
        attempt.handle = None;
        if !attempt.route.kind.is_stream() {
            self.first_output(now, key);
        }
    }

    fn first_output(&mut self, now: Time, key: RequestKey) {
        let Some(attempt) = self.requests.get_mut(&key) else { return };
        if attempt.first_output {
            return;
        }
        attempt.first_output = true;
        let service = attempt.service.clone();
        let Some(sent) = &mut attempt.current else { return };
        let done = sent.clone();
        sent.unread = 0;
        if let Some(known) = self.fleet.known_mut(done.endpoint) {
            known.mine.unread = known.mine.unread.saturating_sub(done.unread);
        }
        self.learn_read(now, &service, &done);
    }

    fn load(&mut self, now: Time, key: RequestKey, sample: LoadSample) {
        let endpoint = self.requests.get(&key).and_then(|it| it.current.as_ref()).map(|it| it.endpoint);
        if let Some(known) = endpoint.and_then(|it| self.fleet.known_mut(it)) {
            known.note_load(now, sample);
        }
    }

    fn broke(&mut self, now: Time, key: RequestKey, how: Break, actions: &mut Vec<Action>) {
        let Some(attempt) = self.requests.get_mut(&key) else { return };
        let Some(sent) = attempt.current.take() else { return };
        let counts = how != Break::Unsent;
        if counts {
            attempt.sends += 1;
        } else {
            attempt.unsent += 1;
        }
        let ran = !matches!(how, Break::Unsent | Break::NotRun { .. });
        let prompt_only = sent.task == Task::Prefill;
        attempt.may_have_run |= ran && !prompt_only;
        self.release_work(&sent);
        self.note_failure(now, &sent, how);
        self.retry(now, key, how, actions);
    }

    fn note_failure(&mut self, now: Time, sent: &Sent, how: Break) {
        let Some(known) = self.fleet.known_mut(sent.endpoint) else { return };
        match how {
            Break::Unsent => known.health.unreachable(now),
            Break::NotRun { misdirected: true } => known.misdirected = true,
            Break::NotRun { misdirected: false } => {}
            Break::NoAnswer | Break::MidAnswer { .. } | Break::ServerError => {
                known.health.failed(now);
            }
        }
    }

    fn retry(&mut self, now: Time, key: RequestKey, how: Break, actions: &mut Vec<Action>) {
        let reason = match how {
            Break::Unsent => Reason::Unreachable,
            Break::NotRun { .. } => Reason::Rejected,
            Break::NoAnswer | Break::MidAnswer { .. } | Break::ServerError => Reason::Broken,
        };
        if self.may_send_again(now, key, how) {
            self.place(now, key, reason, actions);
        } else {
            self.give_up_after(now, key, how, reason, actions);
        }
    }

    fn may_send_again(&mut self, now: Time, key: RequestKey, how: Break) -> bool {
        let fronts = self.fronts;
        let Some(attempt) = self.requests.get(&key) else { return false };
        if now >= attempt.due {
            return false;
        }
        if how == Break::Unsent && attempt.sends == 0 {
            return attempt.unsent <= Self::MOST_UNSENT;
        }
        let safe = !attempt.may_have_run || attempt.route.kind.repeatable();
        let service = attempt.service.clone();
        safe && attempt.sends < attempt.route.max_sends && self.budget(&service).allows(now, fronts)
    }

    fn give_up_after(
        &mut self,
        now: Time,
        key: RequestKey,
        how: Break,
        reason: Reason,
        actions: &mut Vec<Action>,
    ) {
        if how == Break::ServerError {
            actions.push(Action::Relay { key });
            return;
        }
        self.give_up(now, key, reason, actions);
    }

    /// Ends a request with a final answer of our own.
    fn give_up(&mut self, _now: Time, key: RequestKey, reason: Reason, actions: &mut Vec<Action>) {
        let Some(attempt) = self.requests.get(&key) else { return };
        if attempt.may_have_run {
            actions.push(Action::Fail { key, reason });
        } else {
            let retry_after = Some(Self::RETRY_AFTER);
            actions.push(Action::Refuse { key, reason, retry_after });
        }
        self.end(key, actions);
    }

    fn finished(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
        if let Some(attempt) = self.requests.get(&key) {
            if let Some(sent) = &attempt.current {
                let held = now.since(sent.at);
                if let Some(known) = self.fleet.known_mut(sent.endpoint) {
                    known.health.succeeded();
                }
                if let Some(model) = self.models.get_mut(&attempt.service) {
                    model.held(held);
                }
            }
        }
        self.end(key, actions);
    }

    fn expired(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(attempt) = self.requests.get_mut(&key) else { return };
        let running = attempt.current.as_ref().is_some_and(|it| it.task != Task::Prefill);
        attempt.may_have_run |= running;
        self.give_up(now, key, Reason::Deadline, actions);
    }

    /// Forgets a request and frees what it holds.
    fn end(&mut self, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(attempt) = self.requests.remove(&key) else { return };
        if let Some(sent) = &attempt.current {
            self.release_work(sent);
        }
        if let Some(KvHandle { address, handle }) = attempt.handle {
            actions.push(Action::Release { address, handle });
        }
    }
}
