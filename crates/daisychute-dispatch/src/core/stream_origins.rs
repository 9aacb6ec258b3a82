//! Where streams began, so that clients resume them at the same software version.
//!
//! Events of two versions of an endpoint's software don't fit together, and endpoints don't check whose events they
//! continue. A client may resume its stream at any front, so each front tells the others which version sent the first
//! event.

use std::collections::VecDeque;
use std::time::Duration;

use daisychute_core::{SoftwareVersion, Time};
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64;

/// The software version at which a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamOrigin {
    /// Hash of the id of the request that brought the first event, as [`StreamOrigin::attempt`] computes it.
    pub attempt: u64,
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
    version: Option<SoftwareVersion>,
    expires_at: Time,
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

    pub(crate) fn record(&mut self, now: Time, origin: StreamOrigin) {
        let StreamOrigin { attempt, version, time_left } = origin;
        let entry = Entry { version, expires_at: now + time_left };
        if self.entries.insert(attempt, entry).is_none() {
            self.order.push_back(attempt);
        }
        if self.order.len() > Self::MAX_ENTRIES {
            self.drop_oldest();
        }
    }

    /// Returns the version at which the stream began; `None` if that isn't known.
    pub(crate) fn version(&self, now: Time, attempt: u64) -> Option<&Option<SoftwareVersion>> {
        self.entries.get(&attempt).filter(|it| now < it.expires_at).map(|it| &it.version)
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
