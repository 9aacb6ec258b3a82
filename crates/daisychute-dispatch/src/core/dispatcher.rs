//! Dispatcher of one front: handles events and holds the state of all requests.

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::{EndpointName, ServiceName, Time};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::core::contact::Contact;
use crate::core::crash_quarantine::CrashQuarantine;
use crate::core::fairness::Fairness;
use crate::core::hold_ups::HoldUps;
use crate::core::moved_routes::MovedRoutes;
use crate::core::request_state::{InFlightAttempt, KvHandle, RequestState};
use crate::core::response_sizes::ResponseSizes;
use crate::core::shutdown::Shutdown;
use crate::core::stream_origins::StreamOrigins;
use crate::core::version_records::AllowedVersions;
use crate::fleet::cost_model::{PrefillEngine, ServiceCostModel};
use crate::fleet::stage_times::StageTimes;
use crate::fleet::version_history::VersionHistory;
use crate::{
    Account, Action, Credentials, DirectoryRead, DispatchSettings, EndpointKey, Event, Fleet,
    LoadSample, PeerLoad, PromptPart, Reason, RequestInfo, RequestKey, RetryBudget, Route,
    RouteTable, Task,
};

/// Selects the endpoint of each request, and decides which requests are retried, refused or failed.
#[derive(Debug, Clone)]
pub struct Dispatcher {
    pub(crate) settings: DispatchSettings,
    /// Configuration in force: routes and services; `None` before the first configuration.
    pub(crate) table: Option<Arc<RouteTable>>,
    pub(crate) fleet: Fleet,
    /// Requests without a final response.
    pub(crate) requests: FxHashMap<RequestKey, RequestState>,
    /// Retry budget per service.
    pub(crate) budgets: FxHashMap<ServiceName, RetryBudget>,
    /// Learned cost model per service.
    pub(crate) cost_models: FxHashMap<ServiceName, ServiceCostModel>,
    /// Number of known fronts that share the endpoints, this one included.
    pub(crate) fronts: usize,
    /// Whether the directory has told which fronts there are; otherwise there may be more than `fronts`.
    pub(crate) fronts_are_complete: bool,
    /// Longest recent times of the stages of requests, by their service and the name of their route.
    pub(crate) stage_times: FxHashMap<(ServiceName, Arc<str>), StageTimes>,
    /// Sizes of the large responses that were whole.
    pub(crate) response_sizes: ResponseSizes,
    /// `None` before a shutdown is requested.
    pub(crate) shutdown: Option<Shutdown>,
    /// Fronts that shut down, by incarnation, and when each will have exited.
    pub(crate) stopping_peers: FxHashMap<u64, Time>,
    /// Whether this front knows what the others have told.
    pub(crate) contact: Contact,
    /// When this front ran.
    pub(crate) hold_ups: HoldUps,
    /// Software versions that began the streams which clients may resume.
    pub(crate) stream_origins: StreamOrigins,
    /// Software versions of the endpoints in the fleet, and of those that left it.
    pub(crate) versions: VersionHistory,
    /// Software versions at which streams may begin, of each service that has a record in the directory.
    pub(crate) allowed_versions: FxHashMap<ServiceName, AllowedVersions>,
    /// Whether streams that clients may resume begin at recorded versions only.
    pub(crate) needs_records: bool,
    /// Services of which the directory takes no record.
    pub(crate) unrecordable_services: FxHashSet<ServiceName>,
    /// The last read of the directory for streams that clients resume; `None` before the first one.
    pub(crate) directory_read: Option<DirectoryRead>,
    /// Routes that lately sent their requests to other services.
    pub(crate) moved_routes: MovedRoutes,
    /// Requests and prompt parts under which endpoints ended.
    pub(crate) crash_quarantine: CrashQuarantine,
    /// Shares of the tenants in the room of each service.
    pub(crate) fairness: Fairness,
}

impl Dispatcher {
    /// Retry delay sent to a client whose request is refused for a reason other than overload.
    pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);
    /// Client timeout assumed for a request that states none; the timeout of the route applies as well.
    pub(crate) const DEFAULT_CLIENT_TIMEOUT: Duration = Duration::from_secs(600);

    /// Creates a dispatcher without a configuration and without endpoints.
    #[must_use]
    pub fn new(settings: DispatchSettings) -> Self {
        Self {
            settings,
            table: None,
            fleet: Fleet::default(),
            requests: FxHashMap::default(),
            budgets: FxHashMap::default(),
            cost_models: FxHashMap::default(),
            fronts: 1,
            fronts_are_complete: false,
            stage_times: FxHashMap::default(),
            response_sizes: ResponseSizes::default(),
            shutdown: None,
            stopping_peers: FxHashMap::default(),
            contact: Contact::default(),
            hold_ups: HoldUps::default(),
            stream_origins: StreamOrigins::default(),
            versions: VersionHistory::default(),
            allowed_versions: FxHashMap::default(),
            needs_records: false,
            unrecordable_services: FxHashSet::default(),
            directory_read: None,
            moved_routes: MovedRoutes::default(),
            crash_quarantine: CrashQuarantine::default(),
            fairness: Fairness::default(),
        }
    }

    /// Lets streams that clients may resume begin only at versions that are known to be recorded in the directory, also before
    /// the first read of the records.
    #[must_use]
    pub const fn with_version_records(mut self) -> Self {
        self.needs_records = true;
        self
    }

    /// Returns the configuration in force: routes and services; `None` before the first configuration.
    #[must_use]
    pub const fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Returns the known endpoints.
    #[must_use]
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the number of requests without a final response.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of retries in the current window, over all services.
    #[must_use]
    pub fn retries_used(&self) -> u32 {
        self.budgets.values().map(RetryBudget::used).sum()
    }

    /// Returns the route of an open request.
    #[must_use]
    pub fn route(&self, key: RequestKey) -> Option<&Arc<Route>> {
        self.requests.get(&key).map(|it| &it.route)
    }

    /// Returns the time by which an open request must have its final response.
    #[must_use]
    pub fn deadline(&self, key: RequestKey) -> Option<Time> {
        self.requests.get(&key).map(|it| it.deadline)
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let first = actions.len();
        self.handle_event(now, event, actions);
        self.drop_requests_to_paused(now, first, actions);
        self.count_own_requests(now, first, actions);
    }

    fn handle_event(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrived { key, request } => self.arrived(now, key, request, actions),
            Event::Prefilled { key, handle } => self.prefilled(now, key, handle, actions),
            Event::ResponseStarted { key } => self.response_started(now, key, actions),
            Event::FirstOutput { key } => self.first_output(now, key, actions),
            Event::ResponseGrew { key, bytes, waited } => {
                self.response_grew(now, key, bytes, waited, actions)
            }
            Event::ResponseEnded { key } => self.response_ended(now, key),
            Event::LoadReported { key, sample } => self.load_reported(now, key, sample),
            Event::SendFailed { key, failure } => self.send_failed(now, key, failure, actions),
            Event::ResponseOverdue { key } => self.response_overdue(now, key, actions),
            Event::Finished { key } => self.finished(now, key, actions),
            Event::ClientDisconnected { key } => self.client_disconnected(now, key, actions),
            Event::Expired { key } => self.expired(now, key, actions),
            Event::Configured(table) => self.configured(now, table),
            Event::EndpointUpserted(endpoint) => self.endpoint_upserted(now, endpoint, actions),
            Event::EndpointRemoved { name, removal } => {
                self.record_version(now, &name);
                let removed = self.fleet.remove(now, &name, removal);
                self.note_leaving(now, removed);
                actions.extend(removed.map(|endpoint| Action::CloseIdleConnections { endpoint }));
            }
            Event::PeerHeartbeat { peer, loads, parts } => {
                self.record_contact(now, actions);
                self.peer_heartbeat(now, peer, &loads, &parts)
            }
            Event::WasSuspended => self.forget_completeness(now, actions),
            Event::PeerStopping { peer, exits_in } => self.peer_stopping(now, peer, exits_in),
            Event::CacheReported { endpoint, parts } => self.cache_reported(now, endpoint, &parts),
            Event::LeavingAnnounced { endpoint } => self.leaving_announced(now, endpoint, actions),
            Event::PauseRequested { endpoint, pause, spread } => {
                self.pause_requested(now, endpoint, pause, spread, actions)
            }
            Event::LimitNamed { endpoint, limit, sent_at } => {
                self.limit_named(now, endpoint, limit, sent_at, actions)
            }
            Event::LeavingReported { endpoints } => self.leaving_reported(now, endpoints, actions),
            Event::StayingConfirmed { endpoint } => {
                self.fleet.record_staying(endpoint);
                self.fleet.note_leaving(now, endpoint);
            }
            Event::OriginsReported { origins } => {
                self.origins_reported(now, origins);
            }
            Event::NewsAwaited { key } => self.news_awaited(now, key, actions),
            Event::VersionsRecorded { service, versions } => {
                self.versions_recorded(&service, versions)
            }
            Event::VersionsAllowed { service, versions } => {
                self.versions_allowed(&service, versions)
            }
            Event::EndpointsMissed => self.versions.forget_completeness(now),
            Event::RecordRefused { service } => self.record_refused(service),
            Event::DirectoryRead(read) => self.directory_read(now, read),
            Event::ConfigurationsMissed => self.moved_routes.record_gap(now),
            Event::CrashNewsReported { news } => self.crash_news_reported(now, news, actions),
            Event::LimitsReported { limits } => self.limits_reported(now, limits, actions),
            Event::FrontsCounted(position) => {
                self.fronts = position.count;
                self.fronts_are_complete = position.is_complete;
                self.fleet.set_position(now, position);
            }
            Event::ShutdownRequested { deadline } => {
                self.shutdown = Some(Shutdown { requested_at: now, deadline });
            }
            Event::ShutdownExpired { key } => self.shutdown_expired(now, key, actions),
            Event::Tick => {
                self.hold_ups.record_tick(now);
                self.stream_origins.expire(now);
                self.fairness.expire(now);
                self.record_versions_of_pending_removals(now);
                let removed = self.fleet.expire(now);
                self.note_leaving(now, removed.iter().copied());
                actions.extend(
                    removed.into_iter().map(|endpoint| Action::CloseIdleConnections { endpoint }),
                );
                self.check_leaving(now, actions);
                self.announce_quarantines(now, actions);
            }
        }
    }

    /// Replaces the configuration, unless the new one isn't newer than the one in force.
    fn configured(&mut self, now: Time, table: Arc<RouteTable>) {
        // Routes that were removed have no recent responses.
        self.stage_times.retain(|_, it| it.is_recent(now));
        self.response_sizes.retain(|_, it| it.get(now).is_some());
        if self.table.as_ref().is_some_and(|it| it.version() >= table.version()) {
            return;
        }
        match &self.table {
            Some(old) => self.moved_routes.record(now, old, &table),
            None => self.moved_routes.record_gap(now),
        }
        self.table = Some(table);
    }

    fn endpoint_upserted(
        &mut self,
        now: Time,
        endpoint: crate::Endpoint,
        actions: &mut Vec<Action>,
    ) {
        let (name, address) = (endpoint.name.clone(), endpoint.address);
        self.record_version(now, &name);
        self.versions.record(now, &endpoint);
        self.version_listed(&endpoint);
        let previous_key = self.fleet.key(&name);
        let is_engine = endpoint.stage.is_some();
        let (key, replaced) = self.fleet.upsert(endpoint);
        // An incarnation that another one replaces has ended.
        self.note_leaving(Time::ZERO, replaced);
        self.note_leaving(now, [key]);
        let takes_work = self.fleet.takes_work(now, key);
        if is_engine && previous_key != Some(key) && takes_work {
            actions.push(Action::QueryCache { endpoint: key, name, address });
        }
        actions.extend(replaced.map(|endpoint| Action::CloseIdleConnections { endpoint }));
        if !takes_work {
            actions.push(Action::CloseIdleConnections { endpoint: key });
        }
    }

    /// Notes whether these endpoints leave.
    pub(crate) fn note_leaving(
        &mut self,
        now: Time,
        endpoints: impl IntoIterator<Item = EndpointKey>,
    ) {
        for endpoint in endpoints {
            self.fleet.note_leaving(now, endpoint);
        }
    }

    /// Records that an endpoint had the software version of its present record until now.
    fn record_version(&mut self, now: Time, name: &EndpointName) {
        let known = self.fleet.key(name).and_then(|it| self.fleet.endpoint(it));
        if let Some(endpoint) = known {
            self.versions.record(now, endpoint);
        }
    }

    fn record_versions_of_pending_removals(&mut self, now: Time) {
        if self.fleet.has_pending_removals() {
            for endpoint in self.fleet.endpoints() {
                self.versions.record(now, endpoint);
            }
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
            let (reason, retry_after) = (Reason::NoConfiguration, Some(Self::DEFAULT_RETRY_AFTER));
            actions.push(Action::refuse_without_prediction(key, reason, retry_after));
            return;
        };
        let state = match new_state(table, now, request) {
            Ok(state) => state,
            Err(reason) => {
                actions.push(Action::Fail { key, reason });
                return;
            }
        };
        self.budget(&state.service.clone()).record_request(now);
        self.fairness.record_arrival(&state);
        self.requests.insert(key, state);
        if self.settle_origin(now, key, actions) {
            self.place(now, key, Reason::NoEndpoint, actions);
        }
    }

    /// Returns the state of a request that arrives now; `None` if it has no route or isn't accepted for its key.
    pub(crate) fn state_of(&self, now: Time, request: RequestInfo) -> Option<RequestState> {
        new_state(self.table.as_ref()?, now, request).ok()
    }

    /// Returns the number of fronts that share the endpoints; `None` if there may be more than this one knows.
    pub(crate) fn fronts_if_known(&self) -> Option<usize> {
        self.fronts_are_complete.then_some(self.fronts)
    }

    pub(crate) fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let DispatchSettings { retry_ratio, retry_slack, retry_window, .. } = self.settings;
        let new_budget = || RetryBudget::new(retry_ratio, retry_slack, retry_window);
        self.budgets.entry(service.clone()).or_insert_with(new_budget)
    }

    fn peer_heartbeat(
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

    /// Records prompt parts that an endpoint caches, as reported by itself or by another front.
    fn cache_reported(&mut self, now: Time, endpoint: EndpointKey, parts: &[PromptPart]) {
        let capacity = self.kv_capacity(endpoint);
        if let Some(tracked) = self.fleet.tracked_mut(endpoint) {
            tracked.prefix_cache.record(now, parts, capacity);
        }
    }

    /// Returns the KV cache capacity of an engine, in tokens; `None` if its service isn't configured or has no engines.
    fn kv_capacity(&self, endpoint: EndpointKey) -> Option<u64> {
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
        let handle_ttl = self.service_spec(key).and_then(|it| it.engine).map(|it| it.handle_ttl);
        let lapses_at = handle_ttl.filter(|it| !it.is_zero()).map(|it| now + it);
        let Some(state) = self.requests.get_mut(&key) else { return };
        let Some(sent) = state.in_flight.take() else { return };
        let (service, times) = (state.service.clone(), state.stage_times_key());
        let (endpoint, address) = (sent.endpoint, sent.address);
        state.kv_handle = Some(KvHandle { endpoint, address, handle, lapses_at });
        state.tried.clear();
        self.remove_in_flight(key, &sent);
        if let Some(tracked) = self.fleet.tracked_mut(sent.endpoint) {
            tracked.record_success();
            tracked.notice.record_success(now);
        }
        self.record_latency(now, key, &service, &sent, actions);
        let took = now.since(sent.sent_at);
        self.stage_times.entry(times).or_default().record_prefill(now, took);
        self.place(now, key, Reason::NoEndpoint, actions);
    }

    /// Reports the predicted and the measured time of a send attempt, and updates the service's cost model.
    fn record_latency(
        &mut self,
        now: Time,
        key: RequestKey,
        service: &ServiceName,
        sent: &InFlightAttempt,
        actions: &mut Vec<Action>,
    ) {
        let took = now.since(sent.sent_at);
        let (task, predicted) = (sent.task.as_str(), sent.predicted);
        actions.push(Action::RecordLatency { key, task, predicted, took });
        let engine = match sent.task {
            Task::Prefill => PrefillEngine::Dedicated,
            Task::Run => PrefillEngine::Combined,
            Task::Decode { .. } => return,
        };
        let Some(model) = self.cost_models.get_mut(service) else { return };
        model.learn_delay(now, engine, predicted, took);
        let own_time = predicted.saturating_sub(sent.wait);
        model.learn_wait(engine, sent.work_ahead, took.saturating_sub(own_time));
        if sent.endpoint_idle {
            model.learn(engine, sent.prefill_work, took.saturating_sub(sent.fetch_time));
        }
    }

    /// Removes a send attempt from the requests in flight at its endpoint.
    pub(crate) fn remove_in_flight(&mut self, key: RequestKey, sent: &InFlightAttempt) {
        if sent.ended_at.is_some() {
            return;
        }
        if let Some(tracked) = self.fleet.tracked_mut(sent.endpoint) {
            tracked.in_flight.remove(key, sent.tokens);
        }
    }

    fn response_started(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(state) = self.requests.get_mut(&key) else { return };
        state.may_have_run = true;
        // The KV cache was fetched and needs no release: engines free it by themselves.
        state.kv_handle = None;
        if !state.route.kind.is_stream() {
            self.first_output(now, key, actions);
        }
    }

    fn first_output(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(state) = self.requests.get_mut(&key) else { return };
        if state.has_output() {
            return;
        }
        state.first_output_at = Some(now);
        let sent_at = state.in_flight.as_ref().map_or(now, |it| it.sent_at);
        state.record_begin(if state.route.kind.is_stream() { now } else { sent_at }, actions);
        self.record_origin(now, key, actions);
        let Some(state) = self.requests.get(&key) else { return };
        let (service, times) = (state.service.clone(), state.stage_times_key());
        let Some(sent) = state.in_flight.clone() else { return };
        if let Some(tracked) = self.fleet.tracked_mut(sent.endpoint) {
            tracked.in_flight.prefill_done(key);
            tracked.notice.record_success(now);
        }
        self.record_latency(now, key, &service, &sent, actions);
        let took = now.since(sent.sent_at);
        self.stage_times.entry(times).or_default().record_first_output(now, took);
    }

    fn load_reported(&mut self, now: Time, key: RequestKey, sample: LoadSample) {
        let sent = self.requests.get(&key).and_then(|it| it.in_flight.as_ref());
        let endpoint = sent.map(|it| it.endpoint);
        if let Some(tracked) = endpoint.and_then(|it| self.fleet.tracked_mut(it)) {
            tracked.record_load(now, sample);
        }
    }
}

/// Returns the state of a request that arrives under this configuration.
///
/// # Errors
///
/// The request has no route, no id or no key of an account.
fn new_state(table: &RouteTable, now: Time, request: RequestInfo) -> Result<RequestState, Reason> {
    let route = table.find(&request.host, &request.path).cloned().ok_or(Reason::NoRoute)?;
    if request.id.is_empty() {
        return Err(Reason::NoId);
    }
    let account = account_of(table, &route, request.credentials)?;
    let service = route.backends.pick(request.first_attempt()).clone();
    let client_timeout = request.client_timeout.unwrap_or(Dispatcher::DEFAULT_CLIENT_TIMEOUT);
    let deadline = now + client_timeout.min(route.timeout);
    Ok(RequestState {
        request,
        route,
        account,
        has_accounts: table.accounts().is_some(),
        service,
        arrived: now,
        deadline,
        counted_attempts: 0,
        unsent_attempts: 0,
        tried: Vec::new(),
        in_flight: None,
        may_have_run: false,
        kv_handle: None,
        prefill_tried: false,
        has_error_response: false,
        trial_of: None,
        begin_recorded: false,
        first_output_at: None,
        response_bytes: 0,
        is_oversized: false,
        stream_version: None,
        origin_basis: None,
    })
}

/// Returns the client account of a request; `None` if the deployment has no accounts, or for a public route without a
/// known key.
///
/// # Errors
///
/// The route isn't public, and the request carries no key of an account.
fn account_of(
    table: &RouteTable,
    route: &Route,
    credentials: Credentials,
) -> Result<Option<Arc<Account>>, Reason> {
    let Some(accounts) = table.accounts() else { return Ok(None) };
    let account = match credentials {
        Credentials::Key(key) => accounts.find(&key).cloned(),
        Credentials::Missing | Credentials::Malformed => None,
    };
    if account.is_none() && !route.public { Err(Reason::UnknownKey) } else { Ok(account) }
}
