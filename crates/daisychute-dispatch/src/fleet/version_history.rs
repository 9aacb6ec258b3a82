//! Software versions that the endpoints of each service ran lately.

use std::time::Duration;

use daisychute_core::{ServiceName, SoftwareVersion, Time};
use rustc_hash::FxHashMap;

use crate::Endpoint;

/// A version, or `None` for endpoints of which the directory doesn't say it.
type Version = Option<SoftwareVersion>;

/// The versions of one service.
#[derive(Debug, Clone)]
struct ServiceHistory {
    /// Since when all versions are recorded.
    known_since: Time,
    /// Whether all versions are recorded that had endpoints before `known_since`.
    is_complete: bool,
    /// When an endpoint of each version was last listed or removed.
    seen_at: FxHashMap<Version, Time>,
}

/// When endpoints of each version were known. Endpoints in the fleet count as known at any later time.
#[derive(Debug, Clone, Default)]
pub(crate) struct VersionHistory {
    services: FxHashMap<ServiceName, ServiceHistory>,
}

impl VersionHistory {
    /// How long versions are remembered, more than any stream takes.
    const MAX_AGE: Duration = Duration::from_secs(1_200);

    /// Records that an endpoint is known now, or was until now.
    pub(crate) fn record(&mut self, now: Time, endpoint: &Endpoint) {
        self.record_version(now, &endpoint.service, &endpoint.software_version);
    }

    /// Records that an endpoint of this version is known now, to this front or another one.
    pub(crate) fn record_version(&mut self, now: Time, service: &ServiceName, version: &Version) {
        let history = self.history(now, service);
        history.seen_at.insert(version.clone(), now);
        history.seen_at.retain(|_, at| now.since(*at) < Self::MAX_AGE);
    }

    /// Records the versions that may have had endpoints until `read_at`, earlier ones than this process knows included.
    /// `is_new` tells whether the read before this one lacked a version.
    pub(crate) fn complete<'a>(
        &mut self,
        now: Time,
        read_at: Time,
        service: &ServiceName,
        versions: impl IntoIterator<Item = &'a Version>,
        is_new: impl Fn(&Version) -> bool,
    ) {
        let history = self.history(read_at, service);
        let was_complete = history.is_complete;
        // What was read before a gap doesn't tell what was missed in it.
        history.is_complete |= read_at >= history.known_since;
        for version in versions {
            // One that came back, or that may have in a gap, may have streams that are younger than what was seen of it.
            if !was_complete || is_new(version) {
                history.seen_at.insert(version.clone(), now);
            } else {
                history.seen_at.entry(version.clone()).or_insert(now);
            }
        }
    }

    /// Records that versions may have come and gone until now without being recorded.
    pub(crate) fn forget_completeness(&mut self, now: Time) {
        for history in self.services.values_mut() {
            history.known_since = now;
            history.is_complete = false;
        }
    }

    fn history(&mut self, now: Time, service: &ServiceName) -> &mut ServiceHistory {
        let new = || ServiceHistory {
            known_since: now,
            is_complete: false,
            seen_at: FxHashMap::default(),
        };
        self.services.entry(service.clone()).or_insert_with(new)
    }

    /// Returns the versions of endpoints of the service that were recorded during the last `age`. `None` if there may have
    /// been others.
    pub(crate) fn recent(
        &self,
        now: Time,
        service: &ServiceName,
        age: Duration,
    ) -> Option<impl Iterator<Item = &Version>> {
        let history = self.services.get(service)?;
        let is_known = history.is_complete || now.since(history.known_since) >= age;
        is_known.then(|| self.seen(now, service, age))
    }

    /// Returns the versions of endpoints of the service that were recorded during the last `age`, of which there may have been
    /// others.
    pub(crate) fn seen(
        &self,
        now: Time,
        service: &ServiceName,
        age: Duration,
    ) -> impl Iterator<Item = &Version> {
        let seen_at = self.services.get(service).into_iter().flat_map(|it| &it.seen_at);
        seen_at.filter(move |(_, at)| now.since(**at) < age).map(|(version, _)| version)
    }
}
