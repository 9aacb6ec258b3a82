//! Limits that endpoints name, as heartbeats carry them.

use std::time::Duration;

use daisychute_core::{EndpointName, Time};
use daisychute_dispatch::{LimitNews, RequestRate};
use serde::{Deserialize, Serialize};

/// Limit of an endpoint: its name and start time in Unix milliseconds, the limit in requests in a thousand seconds or
/// `None` if it names none any more, and milliseconds since its response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LimitReport(EndpointName, Option<u64>, Option<u64>, u32);

impl LimitReport {
    /// Encodes news that are sent at `now`.
    pub(crate) fn new(now: Time, news: LimitNews) -> Self {
        let LimitNews { endpoint, started_at, limit, at } = news;
        let age = u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        Self(endpoint, started_at, limit.map(RequestRate::as_milli), age)
    }

    /// Decodes news that were received at `now`.
    pub(crate) fn into_news(self, now: Time) -> LimitNews {
        let Self(endpoint, started_at, milli, age) = self;
        let limit = milli.map(RequestRate::from_milli);
        LimitNews { endpoint, started_at, limit, at: now - Duration::from_millis(age.into()) }
    }
}
