//! The heartbeat datagram between fronts.

use std::iter;
use std::net::SocketAddr;
use std::time::Duration;

use daisychute_core::{EndpointName, ServiceName, SoftwareVersion};
use daisychute_dispatch::{Backlog, Incarnation, PeerLoad, PromptPart, StreamOrigin};
use serde::{Deserialize, Serialize};

use crate::Position;
use crate::duties::duty_news::DutyNews;
use crate::peers::crash_reports::CrashReports;
use crate::peers::limit_report::LimitReport;

/// The requests of one front that are in flight. Fields are written without their names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PeerHeartbeat(
    /// The sender's incarnation id.
    pub(crate) u64,
    /// The directory revisions of the latest changes of configuration and endpoints that the sender has seen.
    pub(crate) (u64, u64),
    /// The sender's load at each endpoint.
    pub(crate) Vec<Load>,
    /// Prompt parts that endpoints now cache.
    pub(crate) Vec<Part>,
    /// The eras of the directory that the sender knows. Missing in heartbeats of older builds.
    #[serde(default)]
    pub(crate) Eras,
    /// Milliseconds until the sender exits, if it shuts down. Missing in heartbeats of older builds.
    #[serde(default)]
    pub(crate) Option<u32>,
    /// Endpoints that announced to the sender that they are leaving. Fronts of before this element don't send it.
    #[serde(default)]
    pub(crate) Vec<Leaving>,
    /// Where streams began. Fronts of before this element don't send it.
    #[serde(default)]
    pub(crate) Vec<Origins>,
    /// What was learned about prompt parts under which endpoints end. Fronts of before this element don't send it.
    #[serde(default)]
    pub(crate) CrashReports,
    /// Limits that endpoints name. Fronts of before this element don't send it.
    #[serde(default)]
    pub(crate) Vec<LimitReport>,
    /// What was learned about requests under which endpoints end. Fronts of before this element don't send it.
    #[serde(default)]
    pub(crate) CrashReports,
    /// What the sender tells about duties. Fronts without duties or of before this element don't send it.
    #[serde(default)]
    pub(crate) Option<DutyNews>,
    /// The port of the sender's snapshots, at the address from which it sends. Fronts of before this element don't send it.
    #[serde(default)]
    pub(crate) Option<u16>,
    /// The services at which the streams of each element of the origins began. Fronts of before this element don't send it.
    #[serde(default)]
    pub(crate) Vec<ServiceName>,
    /// Streams of which the sender asks where they began: the hashes of their first attempts' ids. Fronts of before this
    /// element don't send it.
    #[serde(default)]
    pub(crate) Vec<u64>,
);

/// The latest era of the directory that a front knows, and the eras of the two revisions in its heartbeat.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Eras(pub(crate) u64, pub(crate) u64, pub(crate) u64);

/// The load of a front at one endpoint: its name, requests in flight, pending prefill by priority in microseconds,
/// microseconds since the oldest pending prefill was sent, and tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Load(EndpointName, u32, Vec<(u8, u32)>, u32, u32);

/// A cached prompt part: the endpoint's name, the part's key and its length in tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Part(EndpointName, u64, u32);

/// A leaving endpoint: its name, address, service, and start time in Unix milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Leaving(EndpointName, SocketAddr, ServiceName, Option<u64>);

/// Streams that began at one software version: the version, and for each stream the hash of its first attempt's id and
/// the milliseconds for which its client may resume it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Origins(Option<SoftwareVersion>, Vec<(u64, u32)>);

impl Origins {
    /// Groups origins by version and service. Those of which the service isn't known are left out: other fronts know them from
    /// the same front of an older build.
    pub(crate) fn group(
        origins: impl IntoIterator<Item = StreamOrigin>,
    ) -> (Vec<Self>, Vec<ServiceName>) {
        let (mut groups, mut services): (Vec<Self>, Vec<ServiceName>) = Default::default();
        for StreamOrigin { attempt, service, version, time_left } in origins {
            let Some(service) = service else { continue };
            let stream = (attempt, u32::try_from(time_left.as_millis()).unwrap_or(u32::MAX));
            let mut known = groups.iter_mut().zip(&services);
            match known.find(|it| it.0.0 == version && *it.1 == service) {
                Some((group, _)) => group.1.push(stream),
                None => {
                    groups.push(Self(version, vec![stream]));
                    services.push(service);
                }
            }
        }
        (groups, services)
    }

    /// Returns the origins of the groups of a heartbeat, which began at these services, one for each group.
    pub(crate) fn ungroup(
        groups: Vec<Self>,
        services: Vec<ServiceName>,
    ) -> impl Iterator<Item = StreamOrigin> {
        let services = services.into_iter().map(Some).chain(iter::repeat(None));
        groups.into_iter().zip(services).flat_map(|(Self(version, streams), service)| {
            streams.into_iter().map(move |(attempt, ms)| StreamOrigin {
                attempt,
                service: service.clone(),
                version: version.clone(),
                time_left: Duration::from_millis(ms.into()),
            })
        })
    }
}

impl From<Incarnation> for Leaving {
    fn from(Incarnation { name, address, service, started_at }: Incarnation) -> Self {
        Self(name, address, service, started_at)
    }
}

impl From<Leaving> for Incarnation {
    fn from(Leaving(name, address, service, started_at): Leaving) -> Self {
        Self { name, address, service, started_at }
    }
}

impl PeerHeartbeat {
    /// Creates a heartbeat of the front that knows this era, and has seen changes of configuration and endpoints up to
    /// these positions.
    pub(crate) fn new(
        incarnation_id: u64,
        era: u64,
        (configuration, endpoints): (Position, Position),
        loads: Vec<Load>,
        parts: Vec<Part>,
    ) -> Self {
        let revisions = (configuration.revision(), endpoints.revision());
        let eras = Eras(era, configuration.era(), endpoints.era());
        let (leaving, origins, limits) = (Vec::new(), Vec::new(), Vec::new());
        let (part_reports, request_reports) = (CrashReports::default(), CrashReports::default());
        Self(
            incarnation_id,
            revisions,
            loads,
            parts,
            eras,
            None,
            leaving,
            origins,
            part_reports,
            limits,
            request_reports,
            None,
            None,
            Vec::new(),
            Vec::new(),
        )
    }

    /// Sets the time until the sender exits; `None` if it doesn't shut down.
    pub(crate) fn exits_in(mut self, exits_in: Option<Duration>) -> Self {
        self.5 = exits_in.map(|it| u32::try_from(it.as_millis()).unwrap_or(u32::MAX));
        self
    }

    /// Sets the endpoints that announced that they are leaving.
    pub(crate) fn leaving(mut self, leaving: Vec<Leaving>) -> Self {
        self.6 = leaving;
        self
    }

    /// Sets where streams began.
    pub(crate) fn origins(mut self, origins: impl IntoIterator<Item = StreamOrigin>) -> Self {
        (self.7, self.13) = Origins::group(origins);
        self
    }

    /// Sets the streams of which the sender asks where they began.
    pub(crate) fn wanted_origins(mut self, attempts: Vec<u64>) -> Self {
        self.14 = attempts;
        self
    }

    /// Sets what was learned about requests.
    pub(crate) fn request_reports(mut self, request_reports: CrashReports) -> Self {
        self.10 = request_reports;
        self
    }

    /// Sets what the sender tells about duties.
    pub(crate) fn duties(mut self, news: Option<DutyNews>) -> Self {
        self.11 = news;
        self
    }

    /// Sets the port of the sender's snapshots.
    pub(crate) fn snapshot_port(mut self, port: u16) -> Self {
        self.12 = Some(port);
        self
    }

    /// Sets what was learned about prompt parts.
    pub(crate) fn part_reports(mut self, part_reports: CrashReports) -> Self {
        self.8 = part_reports;
        self
    }

    /// Sets the limits that endpoints name.
    pub(crate) fn limits(mut self, limits: Vec<LimitReport>) -> Self {
        self.9 = limits;
        self
    }

    /// Returns the positions of the latest changes of configuration and endpoints that the sender has seen.
    pub(crate) const fn positions(&self) -> (Position, Position) {
        let Eras(_, configuration, endpoints) = self.4;
        (Position::new(configuration, self.1.0), Position::new(endpoints, self.1.1))
    }
}

impl From<(&EndpointName, PeerLoad)> for Load {
    fn from((name, load): (&EndpointName, PeerLoad)) -> Self {
        let micros = |duration: Duration| u32::try_from(duration.as_micros()).unwrap_or(u32::MAX);
        let pending_prefill = load
            .pending_prefill
            .iter()
            .map(|(priority, duration)| (priority, micros(duration)))
            .collect();
        let oldest = micros(load.oldest_pending);
        Self(name.clone(), load.requests, pending_prefill, oldest, load.tokens)
    }
}

impl From<Load> for (EndpointName, PeerLoad) {
    fn from(Load(name, requests, pending_prefill, oldest, tokens): Load) -> Self {
        let duration =
            |(priority, micros): (u8, u32)| (priority, Duration::from_micros(micros.into()));
        let pending_prefill: Backlog = pending_prefill.into_iter().map(duration).collect();
        let oldest_pending = Duration::from_micros(oldest.into());
        (name, PeerLoad { requests, pending_prefill, oldest_pending, tokens })
    }
}

impl From<(EndpointName, PromptPart)> for Part {
    fn from((name, part): (EndpointName, PromptPart)) -> Self {
        Self(name, part.key, part.tokens)
    }
}

impl From<Part> for (EndpointName, PromptPart) {
    fn from(Part(name, key, tokens): Part) -> Self {
        (name, PromptPart { key, tokens })
    }
}
