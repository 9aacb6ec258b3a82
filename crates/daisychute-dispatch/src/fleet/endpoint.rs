//! One endpoint, as a front knows it.

use std::net::SocketAddr;
use std::time::Duration;

use daisychute_core::{DataCentreName, EndpointName, Role, ServiceName, Time};
use rustc_hash::FxHashMap;

use crate::fleet::load::KeptSample;
use crate::fleet::part_cache::PartCache;
use crate::fleet::work::Work;
use crate::{Backlog, Health, LoadSample, PeerLoad};

/// Identifies one incarnation of an endpoint within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointKey(u32);

impl EndpointKey {
    pub(crate) const fn new(number: u32) -> Self {
        Self(number)
    }

    /// The number of the key, unique for the life of the process.
    #[must_use]
    pub const fn number(self) -> u32 {
        self.0
    }
}

/// The part that an engine takes, where prompts are split from outputs.
pub type EngineStage = Role;

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointLifecycle {
    /// It takes work.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// Its record vanished while the directory couldn't be reached; it counts as gone at this time.
    RemovalPending {
        /// When it counts as gone.
        until: Time,
    },
}

/// What the directory says of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Endpoint {
    /// Its name, new at each start unless `started_at` tells starts apart.
    pub name: EndpointName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: Option<DataCentreName>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// The part that it takes, for an engine.
    pub stage: Option<EngineStage>,
    /// Whether it is leaving.
    pub draining: bool,
    /// When it started, in Unix milliseconds, where it says so.
    #[serde(rename = "born")]
    pub started_at: Option<u64>,
}

/// An endpoint with all that this front has learned of it.
#[derive(Debug, Clone)]
pub(crate) struct Known {
    pub(crate) endpoint: Endpoint,
    pub(crate) lifecycle: EndpointLifecycle,
    pub(crate) work: Work,
    pub(crate) sample: Option<KeptSample>,
    pub(crate) peers: FxHashMap<u64, (Time, PeerLoad)>,
    pub(crate) health: Health,
    pub(crate) parts: PartCache,
    /// It refused a request because it isn't the expected instance, or takes another stage.
    pub(crate) misdirected: bool,
}

impl Known {
    /// A load sample older than this says nothing: the work that it counted has mostly ended.
    const SAMPLE_TTL: Duration = Duration::from_millis(1_000);
    /// What a peer said is dropped after this time: it says it again several times a second while it lives.
    const PEER_TTL: Duration = Duration::from_millis(1_500);

    pub(crate) fn new(endpoint: Endpoint) -> Self {
        let lifecycle = Self::listed(&endpoint);
        Self {
            endpoint,
            lifecycle,
            work: Work::default(),
            sample: None,
            peers: FxHashMap::default(),
            health: Health::default(),
            parts: PartCache::default(),
            misdirected: false,
        }
    }

    const fn listed(endpoint: &Endpoint) -> EndpointLifecycle {
        if endpoint.draining { EndpointLifecycle::Draining } else { EndpointLifecycle::Ready }
    }

    /// The directory has a newer record of the same incarnation.
    pub(crate) fn update(&mut self, endpoint: Endpoint) {
        self.lifecycle = Self::listed(&endpoint);
        self.misdirected = false;
        self.endpoint = endpoint;
    }

    pub(crate) fn takes_work(&self, now: Time) -> bool {
        self.lifecycle != EndpointLifecycle::Draining && self.is_listed(now) && !self.misdirected
    }

    /// Whether it still runs, though it may be leaving.
    pub(crate) fn is_listed(&self, now: Time) -> bool {
        match self.lifecycle {
            EndpointLifecycle::Ready | EndpointLifecycle::Draining => true,
            EndpointLifecycle::RemovalPending { until } => now < until,
        }
    }

    pub(crate) fn note_load(&mut self, now: Time, sample: LoadSample) {
        self.sample = Some(KeptSample { at: now, sample, mine: self.work.requests() });
    }

    /// Requests of other fronts: what they told, or what the latest sample leaves after ours, whichever is more.
    pub(crate) fn others(&self, now: Time) -> u32 {
        let told: u32 = self.told(now).map(|it| it.requests).sum();
        let sampled = self.sample.filter(|it| now.since(it.at) < Self::SAMPLE_TTL);
        told.max(sampled.map_or(0, |it| it.others()))
    }

    /// The prompts that wait to be read, of all fronts.
    ///
    /// An output shows what the engine had read `latency` before: of the prompts without an output, as much as fits
    /// into that time is read by now.
    pub(crate) fn backlog(&self, now: Time, latency: Duration) -> Backlog {
        let others: Backlog = self.told(now).map(|it| it.pending_prefill).sum();
        let oldest = self.told(now).map(|it| it.oldest_pending).max().unwrap_or_default();
        let busy = oldest.max(self.work.oldest_unread(now));
        (self.work.unread() + others).after(busy.min(latency))
    }

    /// Tokens of the requests of other fronts.
    pub(crate) fn others_tokens(&self, now: Time) -> u64 {
        self.told(now).map(|it| u64::from(it.tokens)).sum()
    }

    fn told(&self, now: Time) -> impl Iterator<Item = &PeerLoad> {
        let fresh = move |it: &&(Time, PeerLoad)| now.since(it.0) < Self::PEER_TTL;
        self.peers.values().filter(fresh).map(|(_, load)| load)
    }
}
