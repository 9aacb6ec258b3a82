//! State that a front holds per endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use daisychute_core::{DataCentreName, EndpointName, Role, ServiceName, SoftwareVersion, Time};
use rustc_hash::FxHashMap;

use crate::fleet::availability::Availability;
use crate::fleet::in_flight::InFlight;
use crate::fleet::load::TimedSample;
use crate::fleet::misdirection::Misdirection;
use crate::fleet::notice::Notice;
use crate::fleet::prefix_cache::PrefixCache;
use crate::{Backlog, Health, LoadSample, PeerLoad};

/// Identifies one incarnation of an endpoint within this process. An endpoint that restarts gets a new key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointKey(u32);

impl EndpointKey {
    pub(crate) const fn new(number: u32) -> Self {
        Self(number)
    }

    /// Returns the number of the key, unique for the life of the process.
    #[must_use]
    pub const fn number(self) -> u32 {
        self.0
    }
}

/// Stage of a generation that an engine runs: prefill, decode or both.
pub type EngineStage = Role;

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointLifecycle {
    /// The endpoint takes new requests.
    Ready,
    /// The endpoint finishes its requests and takes no new ones.
    Draining,
    /// Its record was missing after an outage of the directory. The endpoint takes requests until it is removed.
    RemovalPending {
        /// Time at which the endpoint is removed unless its record comes back.
        until: Time,
    },
}

/// Directory record of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Endpoint {
    /// Name of the endpoint. Two starts of it differ in the name or in `started_at`.
    pub name: EndpointName,
    /// Service that the endpoint runs.
    pub service: ServiceName,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Data centre that the endpoint runs in; `None` if the directory doesn't say.
    pub data_centre: Option<DataCentreName>,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Stage that an engine runs; `None` for a plain service.
    pub stage: Option<EngineStage>,
    /// Whether the endpoint drains: it finishes its requests and takes no new ones.
    pub draining: bool,
    /// Start time of the endpoint, in Unix milliseconds; `None` if the directory doesn't say.
    #[serde(rename = "born")]
    pub started_at: Option<u64>,
    /// Version of the endpoint's software; `None` if the directory doesn't say.
    #[serde(default)]
    pub software_version: Option<SoftwareVersion>,
}

impl Endpoint {
    /// Whether both are records of the same start of an endpoint, given that their names are equal.
    #[must_use]
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.started_at == other.started_at
            && self.address == other.address
            && self.service == other.service
    }
}

/// An endpoint with the load, health and cached parts that this front knows of.
#[derive(Debug, Clone)]
pub(crate) struct TrackedEndpoint {
    /// Latest directory record.
    pub(crate) endpoint: Endpoint,
    pub(crate) lifecycle: EndpointLifecycle,
    /// Requests of this front.
    pub(crate) in_flight: InFlight,
    /// Latest load report; `None` before the first one.
    pub(crate) sample: Option<TimedSample>,
    /// Load that each peer reported, with the time of its heartbeat.
    pub(crate) peer_loads: FxHashMap<u64, (Time, PeerLoad)>,
    pub(crate) health: Health,
    pub(crate) prefix_cache: PrefixCache,
    /// Refusals of requests because it isn't the expected instance or runs another stage.
    pub(crate) misdirection: Misdirection,
    /// What this incarnation announced in its responses. Directory records don't change it.
    pub(crate) notice: Notice,
}

impl TrackedEndpoint {
    /// Age from which a load report is ignored, since most requests that it counted have ended.
    const SAMPLE_TTL: Duration = Duration::from_millis(1_000);
    /// Age from which the load of a peer is ignored, since a live peer sends several heartbeats a second.
    const PEER_TTL: Duration = Duration::from_millis(1_500);

    pub(crate) fn new(endpoint: Endpoint, notice: Notice) -> Self {
        let lifecycle = Self::lifecycle_of(&endpoint);
        Self {
            endpoint,
            lifecycle,
            in_flight: InFlight::default(),
            sample: None,
            peer_loads: FxHashMap::default(),
            health: Health::default(),
            prefix_cache: PrefixCache::default(),
            misdirection: Misdirection::default(),
            notice,
        }
    }

    const fn lifecycle_of(endpoint: &Endpoint) -> EndpointLifecycle {
        if endpoint.draining { EndpointLifecycle::Draining } else { EndpointLifecycle::Ready }
    }

    /// Replaces the directory record by a newer one of the same incarnation.
    pub(crate) fn update(&mut self, endpoint: Endpoint) {
        self.lifecycle = Self::lifecycle_of(&endpoint);
        self.misdirection.clear();
        self.endpoint = endpoint;
    }

    /// Whether the endpoint takes new requests, as far as the number of those in flight doesn't matter.
    pub(crate) fn takes_work(&self, now: Time) -> bool {
        self.is_open(now) && !self.notice.is_paused(now)
    }

    /// Returns whether and when the endpoint takes another request; after a pause it takes more and more.
    pub(crate) fn availability(&self, now: Time) -> Availability {
        if !self.is_open(now) {
            return Availability::Closed;
        }
        self.notice.availability(now, self.in_flight.unanswered())
    }

    /// Whether the endpoint takes new requests, apart from pauses.
    fn is_open(&self, now: Time) -> bool {
        self.lifecycle != EndpointLifecycle::Draining
            && self.is_registered(now)
            && !self.misdirection.is_held(now)
            && !self.notice.is_leaving()
    }

    /// Whether the endpoint drains, says that it leaves, or is about to be removed.
    pub(crate) fn is_leaving(&self) -> bool {
        self.lifecycle != EndpointLifecycle::Ready || self.notice.is_leaving()
    }

    /// Whether the endpoint is registered, or its pending removal isn't due yet; it may be draining.
    pub(crate) fn is_registered(&self, now: Time) -> bool {
        match self.lifecycle {
            EndpointLifecycle::Ready | EndpointLifecycle::Draining => true,
            EndpointLifecycle::RemovalPending { until } => now < until,
        }
    }

    /// Records that the endpoint has answered a request.
    pub(crate) fn record_success(&mut self) {
        self.health.record_success();
        self.misdirection.clear();
    }

    pub(crate) fn record_load(&mut self, now: Time, sample: LoadSample) {
        self.sample =
            Some(TimedSample { received_at: now, sample, own_requests: self.in_flight.requests() });
    }

    /// Returns the number of requests of other fronts: those reported in heartbeats, or those in the latest load report
    /// minus this front's own, whichever is more.
    pub(crate) fn other_requests(&self, now: Time) -> u32 {
        let reported: u32 = self.fresh_peer_loads(now).map(|it| it.requests).sum();
        let sampled = self.sample.filter(|it| now.since(it.received_at) < Self::SAMPLE_TTL);
        reported.max(sampled.map_or(0, |it| it.other_requests()))
    }

    /// Returns the pending prefill work of all fronts.
    ///
    /// The first output arrives `latency` after the end of its prefill. Up to that much work on the prompts without an
    /// output is therefore done already, and is deducted once for all fronts.
    ///
    /// With the `heartbeat_delay` of the reports, work of other fronts also counts as done if it takes less time than has
    /// passed since it was reported.
    pub(crate) fn backlog(
        &self,
        now: Time,
        latency: Duration,
        heartbeat_delay: Option<Duration>,
    ) -> Backlog {
        let other_fronts: Backlog = self.fresh_peer_loads(now).map(|it| it.pending_prefill).sum();
        let oldest_pending =
            self.fresh_peer_loads(now).map(|it| it.oldest_pending).max().unwrap_or_default();
        let prefilling = oldest_pending.max(self.in_flight.oldest_pending(now));
        let since_reports = heartbeat_delay.map_or(Duration::ZERO, |it| it + self.report_age(now));
        let done = since_reports.min(other_fronts.total());
        let total = self.in_flight.pending_prefill() + other_fronts;
        total.remaining_after(prefilling.min(latency).max(done))
    }

    /// Returns the mean time since loads of other fronts were received, weighted by their pending work.
    fn report_age(&self, now: Time) -> Duration {
        let fresh = self.peer_loads.values().map(|(at, load)| (now.since(*at), load));
        let weighted = fresh.filter(|(age, _)| *age < Self::PEER_TTL).map(|(age, load)| {
            let work = load.pending_prefill.total().as_secs_f64();
            (work * age.as_secs_f64(), work)
        });
        let (sum, work) = weighted.fold((0.0, 0.0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
        if work > 0.0 { Duration::from_secs_f64(sum / work) } else { Duration::ZERO }
    }

    /// Returns the prompt tokens of the requests that other fronts reported.
    pub(crate) fn other_tokens(&self, now: Time) -> u64 {
        self.fresh_peer_loads(now).map(|it| u64::from(it.tokens)).sum()
    }

    fn fresh_peer_loads(&self, now: Time) -> impl Iterator<Item = &PeerLoad> {
        let fresh = move |it: &&(Time, PeerLoad)| now.since(it.0) < Self::PEER_TTL;
        self.peer_loads.values().filter(fresh).map(|(_, load)| load)
    }
}
