//! The software versions of each service that may have streams, as the directory keeps them.
//!
//! A front doesn't know of all versions that serve: it may have started just now, be cut off, or have stood still. The
//! directory's records tell it. They can be relied on because streams that clients may resume begin at recorded versions
//! only.

use std::collections::BTreeSet;
use std::time::Duration;

use daisychute_core::{ServiceName, SoftwareVersion, Time};

use crate::core::request_state::RequestState;
use crate::core::resumption::{MAX_READ_WAIT, MAX_STREAM_AGE_FACTOR};
use crate::fleet::endpoint::TrackedEndpoint;
use crate::{DirectoryRead, Dispatcher, Endpoint, RequestKey, Route, RouteTable};

/// Software versions; `None` stands for endpoints of which the directory doesn't say it.
pub type SoftwareVersions = BTreeSet<Option<SoftwareVersion>>;

/// Time for which a front may be cut off, and begin streams at endpoints that the others know to have left, or under a
/// configuration that was replaced.
pub(crate) const MAX_ISOLATION: Duration = Duration::from_secs(120);

static NONE_RECORDED: SoftwareVersions = SoftwareVersions::new();

/// The versions of a service at which this front may begin streams.
#[derive(Debug, Clone, Default)]
pub(crate) struct AllowedVersions {
    versions: SoftwareVersions,
    /// Whether an endpoint was listed of another version.
    is_lacking: bool,
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
        let recent = self.versions.recent(now, service, age + MAX_ISOLATION)?;
        let mut versions: SoftwareVersions = recent.cloned().collect();
        versions.extend(self.listed_versions(service));
        (!versions.is_empty()).then_some(versions)
    }

    /// Records what a read of the directory says of the versions that may have streams. Those without endpoints count as
    /// having left now, unless more is known.
    pub(crate) fn directory_read(&mut self, now: Time, read: DirectoryRead) {
        self.allowed_versions.retain(|service, _| read.records.contains_key(service));
        for (service, record) in &read.records {
            if record.is_complete {
                let before = self.directory_read.as_ref().and_then(|it| it.records.get(service));
                let is_new = |it: &_| before.is_none_or(|before| !before.versions.contains(it));
                let versions = &record.versions;
                self.versions.complete(now, read.begun_at, service, versions, is_new);
            }
            self.versions_recorded(service, record.versions.clone());
        }
        self.directory_read = Some(read);
        self.needs_records = true;
    }

    /// Records that the directory's record of a service contains these versions.
    pub(crate) fn versions_recorded(&mut self, service: &ServiceName, versions: SoftwareVersions) {
        let lacks = |it: &TrackedEndpoint| !versions.contains(&it.endpoint.software_version);
        let is_lacking = self.fleet.of_service(service).any(|(_, it)| lacks(it));
        let allowed = AllowedVersions { versions, is_lacking };
        self.allowed_versions.insert(service.clone(), allowed);
        self.unrecordable_services.remove(service);
    }

    /// Records that the directory takes no record of a service, so that streams may begin there at any version.
    pub(crate) fn record_refused(&mut self, service: ServiceName) {
        self.unrecordable_services.insert(service);
    }

    /// Records that an endpoint is about to be listed. A version without listed endpoints may have been dropped from the record
    /// since this front read it.
    pub(crate) fn version_listed(&mut self, endpoint: &Endpoint) {
        let Some(allowed) = self.allowed_versions.get_mut(&endpoint.service) else { return };
        let version = &endpoint.software_version;
        let mut listed = self.fleet.of_service(&endpoint.service);
        if !listed.any(|(_, it)| it.endpoint.software_version == *version) {
            allowed.versions.remove(version);
        }
        allowed.is_lacking |= !allowed.versions.contains(version);
    }

    /// Records that a stream began at this version, at another front that knew it to be recorded.
    pub(crate) fn version_reported(
        &mut self,
        now: Time,
        service: &ServiceName,
        version: &Option<SoftwareVersion>,
    ) {
        self.versions.record_version(now, service, version);
        let allowed = self.allowed_versions.get(service);
        if self.needs_records && allowed.is_none_or(|it| it.is_lacking) {
            let mut versions = allowed.map(|it| it.versions.clone()).unwrap_or_default();
            if versions.insert(version.clone()) {
                self.versions_recorded(service, versions);
            }
        }
    }

    /// Returns the versions of each service at which streams may begin, as far as this front knows, for a front that can't
    /// reach the directory.
    pub fn allowed_versions(&self) -> impl Iterator<Item = (&ServiceName, &SoftwareVersions)> {
        self.allowed_versions.iter().map(|(service, it)| (service, &it.versions))
    }

    /// Records at which versions another front may begin streams.
    pub(crate) fn versions_allowed(&mut self, service: &ServiceName, told: SoftwareVersions) {
        let allowed = self.allowed_versions.get(service);
        let known = allowed.map(|it| it.versions.clone()).unwrap_or_default();
        if allowed.is_none_or(|it| it.is_lacking) {
            self.versions_recorded(service, known.into_iter().chain(told).collect());
        }
    }

    /// Whether endpoints are listed of versions at which streams may not begin until their record is read or written.
    #[must_use]
    pub fn awaits_records(&self) -> bool {
        let Some(table) = &self.table else { return false };
        let mut services = table.services().map(|it| &it.name);
        services.any(|it| self.lacks_record(it) && max_stream_age(table, it).is_some())
    }

    fn lacks_record(&self, service: &ServiceName) -> bool {
        let mut listed =
            self.fleet.of_service(service).map(|(_, it)| &it.endpoint.software_version);
        match self.allowed_versions.get(service) {
            Some(allowed) => allowed.is_lacking && listed.any(|it| !allowed.versions.contains(it)),
            None => !self.unrecordable_services.contains(service) && listed.next().is_some(),
        }
    }

    /// Whether a stream of the service may have begun at more than one version, as far as this front knows.
    pub(crate) fn may_have_several_versions(&self, service: &ServiceName) -> bool {
        let recorded = self.allowed_versions.get(service).map_or(0, |it| it.versions.len());
        let mut listed =
            self.fleet.of_service(service).map(|(_, it)| &it.endpoint.software_version);
        let first = listed.next();
        recorded > 1 || listed.any(|it| Some(it) != first)
    }

    /// Returns the versions at which a stream may begin that clients may resume; `None` if it may be any: for other
    /// requests, for streams that have begun, and if no records are kept.
    pub(crate) fn versions_to_begin_at(&self, state: &RequestState) -> Option<&SoftwareVersions> {
        let kind = state.route.kind;
        if !kind.is_stream() || !kind.repeatable() || state.stream_version.is_some() {
            return None;
        }
        if !self.needs_records {
            return None;
        }
        let Some(allowed) = self.allowed_versions.get(&state.service) else {
            let may_be_recorded = !self.unrecordable_services.contains(&state.service);
            return may_be_recorded.then_some(&NONE_RECORDED);
        };
        allowed.is_lacking.then_some(&allowed.versions)
    }

    /// Returns until when a stream waits that finds no endpoint of a recorded version, while there are endpoints of others. `None`
    /// if it isn't to wait.
    pub(crate) fn awaits_record_until(&self, now: Time, key: RequestKey) -> Option<Time> {
        let state = self.requests.get(&key)?;
        let versions = self.versions_to_begin_at(state)?;
        let lacks = |it: &TrackedEndpoint| !versions.contains(&it.endpoint.software_version);
        let is_lacking = self.fleet.of_service(&state.service).any(|(_, it)| lacks(it));
        let until = state.arrived + MAX_READ_WAIT;
        (is_lacking && now < until).then_some(until)
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
