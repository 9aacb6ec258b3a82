//! Where streams began, so that clients resume them at the same software version.
//!
//! Events of two versions of an endpoint's software don't fit together, and endpoints don't check whose events they
//! continue. A client may resume its stream at any front, so each front tells the others which version sent the first
//! event.

use std::collections::VecDeque;
use std::time::Duration;

use daisychute_core::{ServiceName, SoftwareVersion, Time};
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64;

/// The service and the software version at which a stream began.
///
/// A front tells only what it saw, or was told by one that saw it: never what it concluded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamOrigin {
    /// Hash of the id of the request that brought the first event, as [`StreamOrigin::attempt`] computes it.
    pub attempt: u64,
    /// Service of the endpoint that sent the event; `None` if a front of an older build told it.
    pub service: Option<ServiceName>,
    /// Version of the endpoint that sent the event; `None` if the directory doesn't say.
    pub version: Option<SoftwareVersion>,
    /// Time for which the client may still resume the stream.
    pub time_left: Duration,
}

impl StreamOrigin {
    /// Returns the hash of a request id that identifies a stream among the fronts.
    #[must_use]
    pub fn attempt(id: &str) -> u64 {
        xxh3_64(id.as_bytes())
    }
}

#[derive(Debug, Clone)]
struct Entry {
    service: Option<ServiceName>,
    version: Option<SoftwareVersion>,
    expires_at: Time,
    /// Whether different origins of the stream were told, so that none of them counts.
    is_disputed: bool,
}

impl Entry {
    fn differs_from(&self, other: &Self) -> bool {
        let services = self.service.as_ref().zip(other.service.as_ref());
        self.version != other.version || services.is_some_and(|(known, told)| known != told)
    }
}

/// What is known of the beginning of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KnownOrigin<'a> {
    /// A front saw its first event.
    At {
        /// Service of the endpoint that sent the event; `None` if it wasn't told.
        service: Option<&'a ServiceName>,
        /// Version of that endpoint.
        version: &'a Option<SoftwareVersion>,
    },
    /// Different origins were told.
    Disputed,
}

/// The origins of the streams that clients may still resume, at this front and others.
#[derive(Debug, Clone, Default)]
pub(crate) struct StreamOrigins {
    entries: FxHashMap<u64, Entry>,
    /// Keys of `entries` in the order in which they were recorded first.
    order: VecDeque<u64>,
}

impl StreamOrigins {
    /// Maximum number of entries, a few megabytes. The oldest are dropped beyond it.
    const MAX_ENTRIES: usize = 65_536;

    /// Records an origin. One that is known already stays, for the longer of the two times.
    pub(crate) fn record(&mut self, now: Time, origin: StreamOrigin) {
        let StreamOrigin { attempt, service, version, time_left } = origin;
        let new = Entry { service, version, expires_at: now + time_left, is_disputed: false };
        if let Some(known) = self.entries.get_mut(&attempt).filter(|it| now < it.expires_at) {
            known.is_disputed |= known.differs_from(&new);
            known.expires_at = known.expires_at.max(new.expires_at);
            known.service = known.service.take().or(new.service);
            return;
        }
        if self.entries.insert(attempt, new).is_none() {
            self.order.push_back(attempt);
        }
        if self.order.len() > Self::MAX_ENTRIES {
            self.drop_oldest();
        }
    }

    /// Returns where the stream began; `None` if that isn't known.
    pub(crate) fn get(&self, now: Time, attempt: u64) -> Option<KnownOrigin<'_>> {
        let entry = self.entries.get(&attempt).filter(|it| now < it.expires_at)?;
        if entry.is_disputed {
            return Some(KnownOrigin::Disputed);
        }
        Some(KnownOrigin::At { service: entry.service.as_ref(), version: &entry.version })
    }

    /// Returns the origin of a stream as another front is told it; `None` if it isn't known, or disputed.
    pub(crate) fn to_tell(&self, now: Time, attempt: u64) -> Option<StreamOrigin> {
        let is_told = |it: &&Entry| now < it.expires_at && !it.is_disputed;
        let Entry { service, version, expires_at, .. } =
            self.entries.get(&attempt).filter(is_told)?.clone();
        Some(StreamOrigin { attempt, service, version, time_left: expires_at.since(now) })
    }

    /// Drops the oldest entries as far as they have expired.
    pub(crate) fn expire(&mut self, now: Time) {
        let is_expired = |it: &u64| self.entries.get(it).is_none_or(|it| it.expires_at <= now);
        let expired = self.order.iter().take_while(|it| is_expired(it)).count();
        for attempt in self.order.drain(..expired) {
            self.entries.remove(&attempt);
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(attempt) = self.order.pop_front() {
            self.entries.remove(&attempt);
        }
    }
}
