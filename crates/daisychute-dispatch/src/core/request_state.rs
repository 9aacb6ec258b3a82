//! State of one request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisychute_core::{ServiceName, SoftwareVersion, TenantName, Time};

use crate::fleet::cost_model::PrefillWork;
use crate::{
    Account, Action, Cause, EndpointKey, ForwardedIdentity, OriginBasis, RequestInfo, Route,
    StreamOrigin, Task,
};

/// A send attempt that hasn't ended.
#[derive(Debug, Clone)]
pub(crate) struct InFlightAttempt {
    pub(crate) endpoint: EndpointKey,
    /// Stored here because the endpoint may be removed before it responds.
    pub(crate) address: SocketAddr,
    pub(crate) task: Task,
    pub(crate) sent_at: Time,
    /// When the endpoint was done with the request; `None` before that. It doesn't count as in flight there any more.
    pub(crate) ended_at: Option<Time>,
    /// Prompt tokens that were added to the endpoint's requests in flight, and are subtracted at the end.
    pub(crate) tokens: u32,
    /// Cached and uncached tokens of the prompt at the endpoint.
    pub(crate) prefill_work: PrefillWork,
    /// Estimated time of the KV cache transfer before the prefill; zero if nothing is fetched.
    pub(crate) fetch_time: Duration,
    /// Whether the endpoint had no other prompt to prefill, so that the latency measures its prefill speed.
    pub(crate) endpoint_idle: bool,
    /// Predicted time from sending to the first output.
    pub(crate) predicted: Duration,
    /// Part of `predicted` for which the request waits for other requests.
    pub(crate) wait: Duration,
    /// Version of the endpoint's software, as far as the directory says.
    pub(crate) software_version: Option<SoftwareVersion>,
    /// Work ahead of the request, from which `wait` was predicted.
    pub(crate) work_ahead: Duration,
}

/// KV cache that was prefilled for a request and isn't fetched yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KvHandle {
    /// Engine that prefilled and holds the KV cache.
    pub(crate) endpoint: EndpointKey,
    /// Address of that engine.
    pub(crate) address: SocketAddr,
    /// Handle under which the engine holds the KV cache.
    pub(crate) handle: Arc<str>,
    /// Time from which the engine may have dropped it; `None` if the configuration doesn't say.
    pub(crate) lapses_at: Option<Time>,
}

/// State of a request from its arrival to its final response, over all send attempts.
#[derive(Debug, Clone)]
pub(crate) struct RequestState {
    pub(crate) request: RequestInfo,
    pub(crate) route: Arc<Route>,
    /// Client account of the request; `None` without accounts, or for a public route without a known key.
    pub(crate) account: Option<Arc<Account>>,
    /// Whether the configuration in force at the arrival had accounts, so that the endpoint must not see the key.
    pub(crate) has_accounts: bool,
    /// Service of the route that was selected for the request.
    pub(crate) service: ServiceName,
    /// Time of arrival, from which the latency objective counts.
    pub(crate) arrived: Time,
    /// Time by which the client must have its response.
    pub(crate) deadline: Time,
    /// Failed send attempts that count against the route's limit.
    pub(crate) counted_attempts: u32,
    /// Failed send attempts of which no byte was sent.
    pub(crate) unsent_attempts: u32,
    /// Endpoints that were tried; excluded from further attempts. Cleared after a successful prefill.
    pub(crate) tried: Vec<EndpointKey>,
    /// Send attempt in flight; `None` between two attempts.
    pub(crate) in_flight: Option<InFlightAttempt>,
    /// Whether an endpoint may have run the request. A prefill alone doesn't count.
    pub(crate) may_have_run: bool,
    /// Prefilled KV cache that must be fetched or freed.
    pub(crate) kv_handle: Option<KvHandle>,
    /// Whether the prompt was sent to a prefill engine; it is done at most once.
    pub(crate) prefill_tried: bool,
    /// Whether the last failed attempt brought a complete error response, which can be passed on.
    pub(crate) has_error_response: bool,
    /// What the request is sent as a trial of, after a quarantine; `None` if it is none.
    pub(crate) trial_of: Option<Cause>,
    /// Whether the request was counted as one that ran, for the usage of its account.
    pub(crate) begin_recorded: bool,
    /// When the first output for the client arrived.
    pub(crate) first_output_at: Option<Time>,
    /// Size of the response so far, as last reported, in bytes; 0 if it is too small to be reported.
    pub(crate) response_bytes: u64,
    /// Whether the response has grown far beyond the usual size of its route.
    pub(crate) is_oversized: bool,
    /// Software version that all endpoints must have which send events of the stream; itself `None` if the directory
    /// doesn't say it. `None` before the first event, if the client has none either.
    pub(crate) stream_version: Option<Option<SoftwareVersion>>,
    /// How it is known where the stream began that the client resumes; `None` if it resumes none, or before that is known.
    pub(crate) origin_basis: Option<OriginBasis>,
}

impl RequestState {
    /// Returns the priority of the request: that of its account, if it has one, goes before that of its route.
    pub(crate) fn priority(&self) -> u8 {
        let of_account = self.account.as_ref().and_then(|it| it.priority);
        of_account.unwrap_or(self.route.priority)
    }

    /// Returns the tenant that the request belongs to; `None` without accounts, or on a public route without a known key.
    pub(crate) fn tenant(&self) -> Option<&TenantName> {
        self.account.as_ref().map(|it| &it.name)
    }

    /// Returns whose request an endpoint is told that it runs.
    pub(crate) fn forwarded_identity(&self) -> ForwardedIdentity {
        if self.has_accounts {
            ForwardedIdentity::Tenant(self.tenant().cloned())
        } else {
            ForwardedIdentity::AsSent
        }
    }

    /// Counts the request for the usage of its account, unless it was counted or has none.
    pub(crate) fn record_begin(&mut self, began_at: Time, actions: &mut Vec<Action>) {
        let Some(account) = &self.account else { return };
        if !std::mem::replace(&mut self.begin_recorded, true) {
            actions.push(Action::RecordBegin { tenant: account.name.clone(), began_at });
        }
    }

    /// Whether the first output for the client arrived.
    pub(crate) const fn has_output(&self) -> bool {
        self.first_output_at.is_some()
    }

    /// Whether the client resumes a stream of which it has the first events.
    pub(crate) fn resumes(&self) -> bool {
        self.request.resumption.is_some() && self.route.kind.is_stream()
    }

    /// Returns what identifies the stream that the client resumes; `None` if it resumes none, or doesn't say which.
    pub(crate) fn first_attempt_hash(&self) -> Option<u64> {
        let resumption = self.request.resumption.as_ref()?;
        resumption.first_attempt.as_deref().map(StreamOrigin::attempt)
    }

    /// Whether the stream that the client resumes got the service that the request gets now, unless its route has moved:
    /// requests get the services of a route by the id of their first attempt.
    pub(crate) fn has_certain_service(&self) -> bool {
        self.first_attempt_hash().is_some() || self.route.backends.is_single()
    }

    /// Returns the maximum number of tokens that the request may generate; 0 without a prompt.
    pub(crate) fn max_output(&self) -> u32 {
        self.request.prompt.as_ref().map_or(0, |it| it.max_output)
    }

    /// Returns the key under which the times of requests like this one are kept.
    pub(crate) fn stage_times_key(&self) -> (ServiceName, Arc<str>) {
        (self.service.clone(), Arc::clone(&self.route.name))
    }

    /// Returns for how long the present attempt has sent outputs; `None` before the first one.
    pub(crate) fn output_time(&self, now: Time) -> Option<Duration> {
        let sent = self.in_flight.as_ref()?;
        let until = sent.ended_at.unwrap_or(now);
        Some(until.since(self.first_output_at?.max(sent.sent_at)))
    }

    /// Whether the other request is for the same route and service.
    pub(crate) fn is_like(&self, other: &Self) -> bool {
        self.route.name == other.route.name && self.service == other.service
    }
}
