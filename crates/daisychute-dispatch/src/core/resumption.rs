//! Streams that go on after events which the client already has.

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::{ServiceName, SoftwareVersion, Time};

use crate::core::request_state::RequestState;
use crate::core::stream_origins::KnownOrigin;
use crate::{Action, Dispatcher, OriginBasis, Reason, RequestKey, Resumption, StreamOrigin};

/// Multiple of a route's timeout within which a stream is resumed for the last time. Each attempt of a client ends with
/// the timeout, and few clients wait longer than that for all of them.
pub(crate) const MAX_STREAM_AGE_FACTOR: u32 = 2;

impl Dispatcher {
    /// Restricts a request that resumes a stream to the software version that began it. Refuses it if that version
    /// isn't known, and returns whether it was refused.
    pub(crate) fn refuse_unknown_origin(
        &mut self,
        now: Time,
        key: RequestKey,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(state) = self.requests.get(&key).filter(|it| it.resumes()) else { return false };
        let origin = self.origin_version(now, state);
        let basis = origin.as_ref().map_or(OriginBasis::Unknown, |it| it.1);
        actions.push(Action::RecordResumption {
            request: Arc::clone(&state.request.id),
            service: state.service.clone(),
            version: origin.as_ref().and_then(|it| it.0.clone()),
            basis,
            heard_ago: self.contact.heard_ago(now),
        });
        let Some((version, _)) = origin else {
            self.fail_or_refuse(key, Reason::OriginUnknown, actions);
            return true;
        };
        let service = self.told_service(now, state).unwrap_or(&state.service).clone();
        if !state.route.backends.contains(&service) {
            self.fail_or_refuse(key, Reason::VersionGone, actions);
            return true;
        }
        if let Some(state) = self.requests.get_mut(&key) {
            state.service = service;
            state.stream_version = Some(version);
            state.origin_basis = Some(basis);
        }
        false
    }

    /// Returns the service at which the stream began, if a front told it.
    fn told_service(&self, now: Time, state: &RequestState) -> Option<&ServiceName> {
        let first_attempt = state.request.resumption.as_ref()?.first_attempt.as_deref()?;
        match self.stream_origins.get(now, StreamOrigin::attempt(first_attempt))? {
            KnownOrigin::At { service, .. } => service,
            KnownOrigin::Disputed => None,
        }
    }

    /// Returns the version that began the stream: as this front or another one saw it, or the only one that the service
    /// had since.
    fn origin_version(
        &self,
        now: Time,
        state: &RequestState,
    ) -> Option<(Option<SoftwareVersion>, OriginBasis)> {
        let Resumption { first_attempt } = state.request.resumption.as_ref()?;
        let attempt = first_attempt.as_deref().map(StreamOrigin::attempt);
        let known = match attempt.and_then(|it| self.stream_origins.get(now, it)) {
            Some(KnownOrigin::At { version, .. }) => Some(version),
            Some(KnownOrigin::Disputed) => return None,
            None => None,
        };
        let only = || {
            let age = state.route.timeout * MAX_STREAM_AGE_FACTOR;
            if !self.began_at_its_service(now, state, age) {
                return None;
            }
            let present = self.fleet.of_service(&state.service);
            let present = present.map(|(_, it)| &it.endpoint.software_version);
            self.versions.only_version(now, &state.service, age, present)
        };
        let known = known.map(|it| (it, OriginBasis::Told));
        let only = || Some((self.contact.is_given(now).then(only)??, OriginBasis::OnlyOne));
        known.or_else(only).map(|(version, basis)| (version.clone(), basis))
    }

    /// Whether the stream, which is at most `age` old, began at the service that its request gets now: requests get the
    /// services of a route by the id of their first attempt.
    fn began_at_its_service(&self, now: Time, state: &RequestState, age: Duration) -> bool {
        let resumption = state.request.resumption.as_ref();
        let is_named = resumption.is_some_and(|it| it.first_attempt.is_some());
        (is_named || state.route.backends.is_single())
            && self.moved_routes.is_settled(now, &state.route, age)
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
        if !state.route.kind.repeatable() || state.origin_basis == Some(OriginBasis::OnlyOne) {
            return;
        }
        let attempt = StreamOrigin::attempt(state.request.first_attempt());
        let client_timeout = state.request.client_timeout.unwrap_or(Self::DEFAULT_CLIENT_TIMEOUT);
        let time_left = (state.arrived + client_timeout).since(now);
        let service = state.service.clone();
        let at_once = self.has_several_versions(&service);
        let origin = StreamOrigin { attempt, service: Some(service), version, time_left };
        self.stream_origins.record(now, origin.clone());
        actions.push(Action::AnnounceOrigin { origin, at_once });
    }

    fn has_several_versions(&self, service: &ServiceName) -> bool {
        let mut versions =
            self.fleet.of_service(service).map(|(_, it)| &it.endpoint.software_version);
        let first = versions.next();
        versions.any(|it| Some(it) != first)
    }
}
