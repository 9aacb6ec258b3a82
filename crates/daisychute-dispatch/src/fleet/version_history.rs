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
        let history = self.history(now, &endpoint.service);
        history.seen_at.insert(endpoint.software_version.clone(), now);
        history.seen_at.retain(|_, at| now.since(*at) < Self::MAX_AGE);
    }

    /// Records the versions that may have had endpoints until `read_at`, earlier ones than this process knows included.
    pub(crate) fn complete<'a>(
        &mut self,
        now: Time,
        read_at: Time,
        service: &ServiceName,
        versions: impl IntoIterator<Item = &'a Version>,
    ) {
        let history = self.history(read_at, service);
        // What was read before a gap doesn't tell what was missed in it.
        history.is_complete |= read_at >= history.known_since;
        for version in versions {
            history.seen_at.entry(version.clone()).or_insert(now);
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

    /// Returns the versions of endpoints of the service that were recorded during the last `max_age`. `None` if there may
    /// have been others during the last `age`.
    pub(crate) fn recent(
        &self,
        now: Time,
        service: &ServiceName,
        age: Duration,
        max_age: Duration,
    ) -> Option<impl Iterator<Item = &Version>> {
        let history = self.services.get(service)?;
        let is_known = history.is_complete || now.since(history.known_since) >= age;
        let recent = history.seen_at.iter().filter(move |(_, at)| now.since(**at) < max_age);
        is_known.then(|| recent.map(|(version, _)| version))
    }
}
