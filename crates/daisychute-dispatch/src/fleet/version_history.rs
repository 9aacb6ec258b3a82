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
    first_seen_at: Time,
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
        let new = || ServiceHistory { first_seen_at: now, seen_at: FxHashMap::default() };
        let history = self.services.entry(endpoint.service.clone()).or_insert_with(new);
        history.seen_at.insert(endpoint.software_version.clone(), now);
        history.seen_at.retain(|_, at| now.since(*at) < Self::MAX_AGE);
    }

    /// Returns the version that all endpoints of the service had during all of the last `age`, those in `present`
    /// included. `None` if there were several, or if the service wasn't known for so long.
    pub(crate) fn only_version<'a>(
        &'a self,
        now: Time,
        service: &ServiceName,
        age: Duration,
        present: impl Iterator<Item = &'a Version>,
    ) -> Option<&'a Version> {
        let history = self.services.get(service)?;
        if now.since(history.first_seen_at) < age {
            return None;
        }
        let recent = history.seen_at.iter().filter(|(_, at)| now.since(**at) < age);
        let mut versions = present.chain(recent.map(|(version, _)| version));
        let first = versions.next()?;
        versions.all(|it| it == first).then_some(first)
    }
}
