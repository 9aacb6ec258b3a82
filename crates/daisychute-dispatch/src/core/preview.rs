//! Where a request would go now, and why, without sending it.

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::{
    DataCentreName, EndpointName, ServiceName, SoftwareVersion, TenantName, Time,
};
use serde::{Deserialize, Serialize};

use crate::core::request_state::RequestState;
use crate::fleet::availability::Availability;
use crate::fleet::cost_model::ServiceCostModel;
use crate::fleet::endpoint::TrackedEndpoint;
use crate::fleet::selection::{Candidate, SelectionQuery, cache_holders, predict};
use crate::{
    Action, Dispatcher, EndpointKey, EndpointLifecycle, EngineStage, Event, RequestInfo,
    RequestKey, SendDecision,
};

/// What a dispatcher would do with a request that arrived now.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Preview {
    /// Version of the configuration in force; `None` before the first one.
    pub configuration: Option<u64>,
    /// Name of the request's route; `None` if none matches.
    pub route: Option<Arc<str>>,
    /// Service that would serve the request; `None` without a route.
    pub service: Option<ServiceName>,
    /// Tenant whose key the request carries; `None` without accounts, or if the key isn't known.
    pub tenant: Option<TenantName>,
    /// What would be done.
    pub decision: PreviewDecision,
    /// The endpoints of the service, the best prediction first; those that take no requests come last.
    pub endpoints: Vec<EndpointPreview>,
}

/// What a dispatcher would do first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PreviewDecision {
    /// The request would be sent.
    Send {
        /// Endpoint that would get it.
        endpoint: EndpointName,
        /// Task that the endpoint would get.
        task: Arc<str>,
        /// Predicted time to the first output, penalties included, in ms.
        cost_ms: u64,
        /// Part of it for which the request would wait for others, in ms.
        wait_ms: u64,
        /// Prompt tokens that the endpoint would prefill.
        uncached_tokens: u32,
        /// Time until the request's deadline, in ms.
        deadline_ms: u64,
        /// Priority that the endpoint would be told; 0 is the most urgent.
        priority: u8,
    },
    /// The request would wait for news of the directory or of other fronts, which decide whether it is sent.
    Wait {
        /// Time after which it would be refused without them, in ms.
        limit_ms: u64,
    },
    /// The request would be refused as not run.
    Refuse {
        /// Cause of the refusal.
        reason: Arc<str>,
        /// Time after which the client may come back, in ms; `None` if that is pointless.
        retry_after_ms: Option<u64>,
    },
    /// The request would fail.
    Fail {
        /// Cause of the failure.
        reason: Arc<str>,
    },
}

/// What a front knows of an endpoint that may serve the request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointPreview {
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// Data centre of the endpoint, if the directory says.
    pub data_centre: Option<DataCentreName>,
    /// Stage that an engine runs; `None` for a plain service.
    pub stage: Option<EngineStage>,
    /// Version of the endpoint's software, if the directory says.
    pub software_version: Option<SoftwareVersion>,
    /// Why the endpoint gets nothing new; `None` if it takes requests.
    pub held_back: Option<HeldBack>,
    /// Share of recent requests that failed there.
    pub failure_share: f64,
    /// Requests at the endpoint: of this front, and of the others as far as it knows.
    pub requests: (u32, u32),
    /// Age of the latest load report in a response, in ms; `None` if there is none.
    pub load_age_ms: Option<u64>,
    /// Predicted time to the first output, penalties included, in ms.
    pub predicted_ms: f64,
    /// Part of it for which the request would wait for others, in ms.
    pub wait_ms: f64,
    /// Prompt tokens that the endpoint would prefill.
    pub uncached_tokens: u32,
}

/// Why an endpoint gets nothing new.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HeldBack {
    /// It drains, by its record.
    Draining,
    /// It announced that it is leaving.
    Leaving,
    /// It refused requests as meant for another endpoint.
    Misdirected,
    /// Its record was missing for too long after an outage of the directory.
    Removed,
    /// It asked for a pause, or the limit that it names is used up.
    Paused,
    /// Too many requests failed there lately.
    Ejected,
}

impl Dispatcher {
    /// Returns what would be done with a request that arrived now. Nothing is sent, counted or reserved: the decision is
    /// taken by a copy.
    #[must_use]
    pub fn preview(&self, now: Time, request: RequestInfo) -> Preview {
        // Requests are numbered from 1, so that no open one has this key.
        let key = RequestKey::new(0);
        let mut copy = self.clone();
        let mut actions = Vec::new();
        let route = self.table.as_ref().and_then(|it| it.find(&request.host, &request.path));
        let service = route.map(|it| it.backends.pick(request.first_attempt()).clone());
        let route = route.map(|it| Arc::clone(&it.name));
        let configuration = self.table.as_ref().map(|it| it.version());
        copy.handle(now, Event::arrived(key, request.clone()), &mut actions);
        let decision = actions.iter().find_map(|it| PreviewDecision::of(now, key, it));
        let decision = decision.unwrap_or(PreviewDecision::Fail { reason: Arc::from("unknown") });
        // A request that is refused at once isn't kept, so the predictions are made for one of its kind.
        let state = self.state_of(now, request);
        let tenant = state.as_ref().and_then(|it| it.tenant().cloned());
        let endpoints = state.map(|it| self.preview_endpoints(now, &it)).unwrap_or_default();
        Preview { configuration, route, service, tenant, decision, endpoints }
    }

    fn preview_endpoints(&self, now: Time, state: &RequestState) -> Vec<EndpointPreview> {
        let new_model = ServiceCostModel::new();
        let model = self.cost_models.get(&state.service).unwrap_or(&new_model);
        let table = self.table.as_ref();
        let engine = table.and_then(|it| it.service(&state.service)?.engine);
        let query = self.selection_query(state, engine.as_ref());
        let holders = cache_holders(now, &self.fleet, &query);
        let preview = |(key, tracked): (EndpointKey, &TrackedEndpoint)| {
            let query = SelectionQuery { stage: tracked.endpoint.stage, ..query };
            let unseen = query.unseen_sends(now, &self.fleet, model);
            let delay = unseen.map(|it| it.heartbeat_delay);
            let candidate = predict(now, model, (key, tracked), &query, &holders, delay);
            EndpointPreview::new(now, tracked, &candidate)
        };
        let mut endpoints: Vec<_> = self.fleet.of_service(&state.service).map(preview).collect();
        endpoints.sort_by(|a, b| {
            let held_back = a.held_back.is_some().cmp(&b.held_back.is_some());
            held_back.then(a.predicted_ms.total_cmp(&b.predicted_ms))
        });
        endpoints
    }
}

impl PreviewDecision {
    fn of(now: Time, request: RequestKey, action: &Action) -> Option<Self> {
        match action {
            Action::Send { key, decision } if *key == request => {
                let SendDecision { name, task, cost, wait, uncached_tokens, deadline, .. } =
                    &**decision;
                Some(Self::Send {
                    endpoint: name.clone(),
                    task: Arc::from(task.as_str()),
                    cost_ms: to_ms(*cost),
                    wait_ms: to_ms(*wait),
                    uncached_tokens: *uncached_tokens,
                    deadline_ms: to_ms(deadline.since(now)),
                    priority: decision.priority,
                })
            }
            Action::AwaitNews { key, until, .. } if *key == request => {
                Some(Self::Wait { limit_ms: to_ms(until.since(now)) })
            }
            Action::Refuse { key, reason, retry_after, .. } if *key == request => {
                let reason = Arc::from(reason.as_str());
                Some(Self::Refuse { reason, retry_after_ms: retry_after.map(to_ms) })
            }
            Action::Fail { key, reason } if *key == request => {
                Some(Self::Fail { reason: Arc::from(reason.as_str()) })
            }
            _ => None,
        }
    }
}

impl EndpointPreview {
    fn new(now: Time, tracked: &TrackedEndpoint, candidate: &Candidate) -> Self {
        let endpoint = &tracked.endpoint;
        Self {
            endpoint: endpoint.name.clone(),
            data_centre: endpoint.data_centre.clone(),
            stage: endpoint.stage,
            software_version: endpoint.software_version.clone(),
            held_back: held_back(now, tracked),
            failure_share: tracked.health.failure_share(),
            requests: (tracked.in_flight.requests(), tracked.other_requests(now)),
            load_age_ms: tracked.sample.map(|it| to_ms(now.since(it.received_at))),
            predicted_ms: candidate.predicted_ms,
            wait_ms: candidate.wait_ms,
            uncached_tokens: candidate.prefill_work.uncached,
        }
    }
}

fn held_back(now: Time, tracked: &TrackedEndpoint) -> Option<HeldBack> {
    if tracked.lifecycle == EndpointLifecycle::Draining {
        Some(HeldBack::Draining)
    } else if tracked.notice.is_leaving() {
        Some(HeldBack::Leaving)
    } else if tracked.misdirection.is_held(now) {
        Some(HeldBack::Misdirected)
    } else if !tracked.is_registered(now) {
        Some(HeldBack::Removed)
    } else if tracked.availability(now) != Availability::Now {
        Some(HeldBack::Paused)
    } else if tracked.health.is_ejected(now) {
        Some(HeldBack::Ejected)
    } else {
        None
    }
}

fn to_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
