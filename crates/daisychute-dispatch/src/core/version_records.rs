//! The software versions of each service that may have streams, as the directory keeps them.
//!
//! A front that starts knows nothing of the versions that served before it. The directory's records tell it, so that it
//! need not refuse to resume streams until none can be left that began before its start.

use std::collections::BTreeSet;
use std::time::Duration;

use daisychute_core::{ServiceName, SoftwareVersion, Time};

use crate::core::request_state::RequestState;
use crate::core::resumption::MAX_STREAM_AGE_FACTOR;
use crate::fleet::endpoint::TrackedEndpoint;
use crate::{Dispatcher, Endpoint, Route, RouteTable};

/// Software versions; `None` stands for endpoints of which the directory doesn't say it.
pub type SoftwareVersions = BTreeSet<Option<SoftwareVersion>>;

/// Time for which streams begin at recorded versions only, after an endpoint of another one was listed. A record is written
/// in some milliseconds; a front that can't read or write it must not leave the new endpoints idle.
const MAX_RECORDING_TIME: Duration = Duration::from_secs(5);

/// What the directory has recorded of one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct RecordedVersions {
    versions: SoftwareVersions,
    /// Since when an endpoint is listed whose version isn't recorded; `None` if there is none.
    lacking_since: Option<Time>,
}

impl Dispatcher {
    /// Returns the services whose streams clients may resume, each with the versions that may have streams. `None` as long
    /// as this front doesn't know all of these.
    #[must_use]
    pub fn versions_to_record(&self, now: Time) -> Vec<(ServiceName, Option<SoftwareVersions>)> {
        let Some(table) = &self.table else { return Vec::new() };
        let services = table.services().map(|it| &it.name);
        let services = services.filter_map(|it| Some((it, max_stream_age(table, it)?)));
        services.map(|(name, age)| (name.clone(), self.stream_versions(now, name, age))).collect()
    }

    /// Returns the versions of the listed endpoints of a service.
    #[must_use]
    pub fn listed_versions(&self, service: &ServiceName) -> SoftwareVersions {
        let listed = self.fleet.of_service(service);
        listed.map(|(_, it)| it.endpoint.software_version.clone()).collect()
    }

    fn stream_versions(
        &self,
        now: Time,
        service: &ServiceName,
        age: Duration,
    ) -> Option<SoftwareVersions> {
        if !self.contact.is_given(now) {
            return None;
        }
        let mut versions: SoftwareVersions =
            self.versions.recent(now, service, age)?.cloned().collect();
        versions.extend(self.listed_versions(service));
        (!versions.is_empty()).then_some(versions)
    }

    /// Records the versions that the directory's record of a service contains. Streams begin at these only, for a
    /// time and as long as endpoints of them take requests. Those without endpoints count as having left now, unless more is known.
    pub(crate) fn versions_recorded(
        &mut self,
        now: Time,
        service: ServiceName,
        versions: SoftwareVersions,
    ) {
        self.versions.complete(now, &service, &versions);
        let lacks = |it: &TrackedEndpoint| !versions.contains(&it.endpoint.software_version);
        let is_lacking = self.fleet.of_service(&service).any(|(_, it)| lacks(it));
        let recorded = self.recorded_versions.entry(service).or_default();
        recorded.versions = versions;
        recorded.lacking_since = is_lacking.then(|| recorded.lacking_since.unwrap_or(now));
    }

    /// Records that an endpoint is listed, whose version may not be recorded yet.
    pub(crate) fn version_listed(&mut self, now: Time, endpoint: &Endpoint) {
        if let Some(recorded) = self.recorded_versions.get_mut(&endpoint.service)
            && !recorded.versions.contains(&endpoint.software_version)
        {
            recorded.lacking_since.get_or_insert(now);
        }
    }

    /// Returns the versions at which a stream should begin, so that fronts that start later know of them; `None` for other
    /// requests, for streams that have begun, and if there are no others.
    pub(crate) fn versions_to_begin_at(
        &self,
        now: Time,
        state: &RequestState,
    ) -> Option<&SoftwareVersions> {
        if !state.route.kind.is_stream() || state.stream_version.is_some() {
            return None;
        }
        let recorded = self.recorded_versions.get(&state.service)?;
        let since = recorded.lacking_since?;
        (now.since(since) < MAX_RECORDING_TIME).then_some(&recorded.versions)
    }
}

/// Returns for how long after its beginning a stream of the service may be resumed. `None` if no route allows it.
fn max_stream_age(table: &RouteTable, service: &ServiceName) -> Option<Duration> {
    let serves = |it: &&Route| it.backends.list().iter().any(|it| it.service == *service);
    let streams = table.routes().filter(|it| it.kind.is_stream()).filter(serves);
    let streams: Vec<_> = streams.map(|it| (it.timeout, it.kind.repeatable())).collect();
    let resumable = streams.iter().any(|(_, repeatable)| *repeatable);
    let longest = streams.iter().map(|(timeout, _)| *timeout).max().filter(|_| resumable);
    longest.map(|it| it * MAX_STREAM_AGE_FACTOR)
}
