//! Streams that go on after events which the client already has.

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::{ServiceName, SoftwareVersion, Time};

use crate::core::request_state::RequestState;
use crate::core::stream_origins::KnownOrigin;
use crate::{Action, Dispatcher, OriginBasis, Reason, RequestKey, StreamOrigin};

/// Multiple of a route's timeout within which a stream is resumed for the last time. Each attempt of a client ends with
/// the timeout, and few clients wait longer than that for all of them.
pub(crate) const MAX_STREAM_AGE_FACTOR: u32 = 2;
/// Longest time that a request waits for a read of the directory, which answers within milliseconds, or some hundred if it is slow.
pub(crate) const MAX_READ_WAIT: Duration = Duration::from_millis(500);
/// Time from its arrival for which a request waits for other fronts to tell where its stream began.
const MAX_PEER_WAIT: Duration = Duration::from_millis(100);

/// Where a resumed stream began, as far as this front knows.
enum Origin {
    At {
        service: ServiceName,
        version: Option<SoftwareVersion>,
        basis: OriginBasis,
    },
    /// At a service that its route doesn't have any more.
    Left {
        service: ServiceName,
        version: Option<SoftwareVersion>,
    },
    /// News may tell until this time.
    UnknownUntil(Time),
}

impl Dispatcher {
    /// Restricts a request that resumes a stream to the service and the software version that began it. Returns whether
    /// the request may be placed; if not, it waits for news of the origin, or is refused.
    pub(crate) fn settle_origin(
        &mut self,
        now: Time,
        key: RequestKey,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(state) = self.requests.get(&key).filter(|it| it.resumes()) else { return true };
        match self.origin(now, state) {
            Origin::At { service, version, basis } => {
                self.record_resumption(now, key, &service, Some(&version), basis, actions);
                if let Some(state) = self.requests.get_mut(&key) {
                    state.service = service;
                    state.stream_version = Some(version);
                    state.origin_basis = Some(basis);
                }
                return true;
            }
            Origin::Left { service, version } => {
                let basis = OriginBasis::Seen;
                self.record_resumption(now, key, &service, Some(&version), basis, actions);
                self.fail_or_refuse(key, Reason::VersionGone, actions);
            }
            Origin::UnknownUntil(until) if now < until => {
                let attempt = state.first_attempt_hash();
                actions.push(Action::AwaitNews { key, attempt, until });
            }
            Origin::UnknownUntil(_) => {
                let service = state.service.clone();
                let basis = OriginBasis::Unknown;
                self.record_resumption(now, key, &service, None, basis, actions);
                self.fail_or_refuse(key, Reason::OriginUnknown, actions);
            }
        }
        false
    }

    /// Places a request that has waited for news of where its stream began.
    pub(crate) fn news_awaited(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
        if self.settle_origin(now, key, actions) {
            self.place(now, key, Reason::NoEndpoint, actions);
        }
    }

    /// Returns the origin of a stream for another front that asks; `None` if no front saw it that this one has heard of.
    #[must_use]
    pub fn stream_origin(&self, now: Time, attempt: u64) -> Option<StreamOrigin> {
        self.stream_origins.to_tell(now, attempt)
    }

    /// Returns where a stream began: as this front or another one saw it, or at the only place there was.
    fn origin(&self, now: Time, state: &RequestState) -> Origin {
        let attempt = state.first_attempt_hash();
        match attempt.and_then(|it| self.stream_origins.get(now, it)) {
            Some(KnownOrigin::At { service, version }) => {
                let service = service.unwrap_or(&state.service).clone();
                let version = version.clone();
                if !state.route.backends.contains(&service) {
                    return Origin::Left { service, version };
                }
                return Origin::At { service, version, basis: OriginBasis::Seen };
            }
            Some(KnownOrigin::Disputed) => return Origin::UnknownUntil(now),
            // The directory has no records for streams that can't be resumed.
            None if !state.route.kind.repeatable() => return Origin::UnknownUntil(now),
            None => {}
        }
        if let Some(version) = self.sole_version(now, state) {
            let (service, version) = (state.service.clone(), version.clone());
            return Origin::At { service, version, basis: OriginBasis::Read };
        }
        let may_be_told = attempt.is_some() && (self.fronts > 1 || !self.fronts_are_complete);
        let wait = match self.read_after_arrival(state) {
            None => MAX_READ_WAIT,
            Some(_) if may_be_told => MAX_PEER_WAIT,
            Some(_) => Duration::ZERO,
        };
        Origin::UnknownUntil(state.arrived + wait)
    }

    /// Returns the last read of the directory if it began after the request arrived. Any before may lack versions and
    /// moves of routes that its stream began after.
    fn read_after_arrival(&self, state: &RequestState) -> Option<&crate::DirectoryRead> {
        self.directory_read.as_ref().filter(|it| it.begun_at >= state.arrived)
    }

    /// Returns the version of the stream if the directory leaves only one possibility.
    fn sole_version(&self, now: Time, state: &RequestState) -> Option<&Option<SoftwareVersion>> {
        let read = self.read_after_arrival(state)?;
        let is_current = self.table.as_ref().map(|it| it.version()) == read.configuration;
        let has_not_moved = || self.moved_routes.is_settled(now, &state.route);
        let is_certain = read.has_one_service()
            || (is_current && state.has_certain_service() && has_not_moved());
        let version = read.sole_version(&state.service).filter(|_| is_certain)?;
        self.knows_no_other(now, state, version).then_some(version)
    }

    /// Whether this front knows of no other version of the service that may have streams.
    fn knows_no_other(
        &self,
        now: Time,
        state: &RequestState,
        version: &Option<SoftwareVersion>,
    ) -> bool {
        let age = state.route.timeout * MAX_STREAM_AGE_FACTOR;
        let listed = self.fleet.of_service(&state.service);
        let mut listed = listed.map(|(_, it)| &it.endpoint.software_version);
        let mut seen = self.versions.seen(now, &state.service, age);
        listed.all(|it| it == version) && seen.all(|it| it == version)
    }

    /// Restricts a stream whose first event arrived to the version of its endpoint, and tells the other fronts where it
    /// began, unless that was concluded.
    pub(crate) fn record_origin(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(state) = self.requests.get_mut(&key) else { return };
        let Some(sent) = state.in_flight.as_ref().filter(|_| state.route.kind.is_stream()) else {
            return;
        };
        let version = sent.software_version.clone();
        state.stream_version = Some(version.clone());
        if !state.route.kind.repeatable() || state.origin_basis == Some(OriginBasis::Read) {
            return;
        }
        let attempt = StreamOrigin::attempt(state.request.first_attempt());
        let client_timeout = state.request.client_timeout.unwrap_or(Self::DEFAULT_CLIENT_TIMEOUT);
        let time_left = (state.arrived + client_timeout).since(now);
        let service = state.service.clone();
        let at_once = self.may_have_several_versions(&service);
        let origin = StreamOrigin { attempt, service: Some(service), version, time_left };
        self.stream_origins.record(now, origin.clone());
        actions.push(Action::AnnounceOrigin { origin, at_once });
    }

    /// Records where other fronts saw streams begin. The versions are recorded in the directory, as streams begin at
    /// recorded ones only.
    pub(crate) fn origins_reported(&mut self, now: Time, origins: Vec<StreamOrigin>) {
        for origin in origins {
            if let Some(service) = &origin.service {
                self.version_reported(now, service, &origin.version);
            }
            self.stream_origins.record(now, origin);
        }
    }

    fn record_resumption(
        &self,
        now: Time,
        key: RequestKey,
        service: &ServiceName,
        version: Option<&Option<SoftwareVersion>>,
        basis: OriginBasis,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.requests.get(&key) else { return };
        actions.push(Action::RecordResumption {
            request: Arc::clone(&state.request.id),
            service: service.clone(),
            version: version.cloned().flatten(),
            basis,
            waited: now.since(state.arrived),
            heard_ago: self.contact.heard_ago(now),
        });
    }
}
