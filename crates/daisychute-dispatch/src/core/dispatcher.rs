//! The decisions of one front.

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::{EndpointName, ServiceName, Time};
use rustc_hash::FxHashMap;

use crate::core::attempt::{Attempt, KvHandle, Sent};
use crate::fleet::engine_model::{Reader, ServiceModel};
use crate::{
    Action, DispatchSettings, EndpointKey, Event, Fleet, LoadSample, PeerLoad, PromptPart, Reason,
    RequestInfo, RequestKey, RetryBudget, RouteTable, Task,
};

/// Decides where each request goes, what is retried and what is refused.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) settings: DispatchSettings,
    pub(crate) table: Option<Arc<RouteTable>>,
    pub(crate) fleet: Fleet,
    pub(crate) requests: FxHashMap<RequestKey, Attempt>,
    pub(crate) budgets: FxHashMap<ServiceName, RetryBudget>,
    pub(crate) models: FxHashMap<ServiceName, ServiceModel>,
    pub(crate) fronts: usize,
}

impl Dispatcher {
    /// The time that a caller is told to stay away where nothing is known of the load.
    pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(300);
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

    /// Extra sends in the present window, over all services.
    #[must_use]
    pub fn retries_used(&self) -> u32 {
        self.budgets.values().map(RetryBudget::used).sum()
    }

    /// The route of an open request.
    #[must_use]
    pub fn route(&self, key: RequestKey) -> Option<&Arc<crate::Route>> {
        self.requests.get(&key).map(|it| &it.route)
    }

    /// When an open request must have its final answer.
    #[must_use]
    pub fn deadline(&self, key: RequestKey) -> Option<Time> {
        self.requests.get(&key).map(|it| it.deadline)
    }

    /// Takes in an event and appends what follows from it to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrived { key, request } => self.arrived(now, key, request, actions),
            Event::Prefilled { key, handle } => self.prefilled(now, key, handle, actions),
            Event::ResponseStarted { key } => self.answering(now, key, actions),
            Event::FirstOutput { key } => self.first_output(now, key, actions),
            Event::LoadReported { key, sample } => self.load(now, key, sample),
            Event::SendFailed { key, failure } => self.send_failed(now, key, failure, actions),
            Event::Finished { key } => self.finished(now, key, actions),
            Event::ClientDisconnected { key } => self.left(now, key, actions),
            Event::Expired { key } => self.expired(now, key, actions),
            Event::Configured(table) => self.configured(table),
            Event::EndpointUpserted(endpoint) => self.listed(now, endpoint, actions),
            Event::EndpointRemoved { name, removal } => {
                let gone = self.fleet.remove(now, &name, removal);
                actions.extend(gone.map(|endpoint| Action::CloseIdleConnections { endpoint }));
            }
            Event::PeerHeartbeat { peer, loads, parts } => self.peer(now, peer, &loads, &parts),
            Event::CacheReported { endpoint, parts } => self.cache_reported(now, endpoint, &parts),
            Event::FrontCount(count) => self.fronts = count.max(1),
            Event::Tick => {
                let gone = self.fleet.expire(now);
                actions.extend(
                    gone.into_iter().map(|endpoint| Action::CloseIdleConnections { endpoint }),
                );
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
        let (name, address) = (endpoint.name.clone(), endpoint.address);
        let was_known = self.fleet.key(&name);
        let is_engine = endpoint.stage.is_some();
        let (key, replaced) = self.fleet.upsert(endpoint);
        if is_engine && was_known != Some(key) {
            actions.push(Action::QueryCache { endpoint: key, name, address });
        }
        actions.extend(replaced.map(|endpoint| Action::CloseIdleConnections { endpoint }));
        if !self.fleet.takes_work(now, key) {
            actions.push(Action::CloseIdleConnections { endpoint: key });
        }
    }

    fn arrived(
        &mut self,
        now: Time,
        key: RequestKey,
        request: RequestInfo,
        actions: &mut Vec<Action>,
    ) {
        let Some(table) = &self.table else {
            let (reason, retry_after) = (Reason::NoConfiguration, Some(Self::RETRY_AFTER));
            actions.push(Action::refused(key, reason, retry_after));
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
        let client_timeout = request.client_timeout.unwrap_or(Self::LONGEST_WAIT);
        let deadline = now + client_timeout.min(route.timeout);
        self.budget(&service).request(now);
        let attempt = Attempt {
            request,
            route,
            service,
            arrived: now,
            deadline,
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

    pub(crate) fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let DispatchSettings { retry_ratio, retry_slack, retry_window, .. } = self.settings;
        let new = || RetryBudget::new(retry_ratio, retry_slack, retry_window);
        self.budgets.entry(service.clone()).or_insert_with(new)
    }

    fn peer(
        &mut self,
        now: Time,
        peer: u64,
        loads: &[(EndpointName, PeerLoad)],
        parts: &[(EndpointName, PromptPart)],
    ) {
        self.fleet.set_peer_load(now, peer, loads);
        for (name, part) in parts {
            if let Some(key) = self.fleet.key(name) {
                self.cache_reported(now, key, &[*part]);
            }
        }
    }

    /// An endpoint has these parts now, as it or another front told.
    fn cache_reported(&mut self, now: Time, endpoint: EndpointKey, parts: &[PromptPart]) {
        let capacity = self.capacity_of(endpoint);
        if let Some(known) = self.fleet.known_mut(endpoint) {
            known.parts.note(now, parts, capacity);
        }
    }

    /// Tokens that an engine holds; none while the configuration isn't known.
    fn capacity_of(&self, endpoint: EndpointKey) -> Option<u64> {
        let service = &self.fleet.endpoint(endpoint)?.service;
        Some(self.table.as_ref()?.service(service)?.engine?.kv_tokens)
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
        let (endpoint, address) = (sent.endpoint, sent.address);
        attempt.handle = Some(KvHandle { endpoint, address, handle });
        attempt.tried.clear();
        self.release_work(key, &sent);
        if let Some(known) = self.fleet.known_mut(sent.endpoint) {
            known.health.succeeded();
        }
        self.learn(now, key, &service, &sent, actions);
        self.place(now, key, Reason::NoEndpoint, actions);
    }

    /// The first output of a send came in: what was predicted meets what it took.
    fn learn(
        &mut self,
        now: Time,
        key: RequestKey,
        service: &ServiceName,
        sent: &Sent,
        actions: &mut Vec<Action>,
    ) {
        let took = now.since(sent.at);
        let (task, predicted) = (sent.task.as_str(), sent.predicted);
        actions.push(Action::RecordLatency { key, task, predicted, took });
        let reader = match sent.task {
            Task::Prefill => Reader::Prefill,
            Task::Run => Reader::Whole,
            Task::Decode { .. } => return,
        };
        if let (true, Some(model)) = (sent.alone, self.models.get_mut(service)) {
            model.learn(reader, sent.reading, took.saturating_sub(sent.other));
        }
    }

    /// The work of a send has ended.
    pub(crate) fn release_work(&mut self, key: RequestKey, sent: &Sent) {
        if let Some(known) = self.fleet.known_mut(sent.endpoint) {
            known.work.ended(key, sent.tokens);
        }
    }

    fn answering(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(attempt) = self.requests.get_mut(&key) else { return };
        attempt.may_have_run = true;
        // The engine has fetched the KV cache, and frees it by itself.
        attempt.handle = None;
        if !attempt.route.kind.is_stream() {
            self.first_output(now, key, actions);
        }
    }

    fn first_output(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(attempt) = self.requests.get_mut(&key) else { return };
        if attempt.first_output {
            return;
        }
        attempt.first_output = true;
        let service = attempt.service.clone();
        let Some(sent) = attempt.current.clone() else { return };
        if let Some(known) = self.fleet.known_mut(sent.endpoint) {
            known.work.read(key);
        }
        self.learn(now, key, &service, &sent, actions);
    }

    fn load(&mut self, now: Time, key: RequestKey, sample: LoadSample) {
        let sent = self.requests.get(&key).and_then(|it| it.current.as_ref());
        let endpoint = sent.map(|it| it.endpoint);
        if let Some(known) = endpoint.and_then(|it| self.fleet.known_mut(it)) {
            known.note_load(now, sample);
        }
    }
}
