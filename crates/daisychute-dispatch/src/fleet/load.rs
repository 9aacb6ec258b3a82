//! Load of an endpoint, as the endpoint and the other fronts report it.

use std::time::Duration;

use daisychute_core::Time;

use crate::Backlog;

/// Load of an endpoint, as reported in the head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadSample {
    /// Requests that run at the endpoint, of all its clients.
    pub running: u32,
    /// Requests that are queued at the endpoint, of all its clients.
    pub waiting: u32,
    /// Number of requests that the endpoint can run concurrently.
    pub slots: u32,
}

/// Requests that one front has in flight at an endpoint, as reported in its heartbeats.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Number of requests in flight.
    pub requests: u32,
    /// Time to prefill the prompts of the requests without an output yet.
    pub pending_prefill: Backlog,
    /// Time since the oldest request without an output was sent; zero if there is none.
    pub oldest_pending: Duration,
    /// Prompt tokens of all requests in flight.
    pub tokens: u32,
}

/// A load report, with the time it was received and this front's own requests at that time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TimedSample {
    pub(crate) received_at: Time,
    pub(crate) sample: LoadSample,
    pub(crate) own_requests: u32,
}

impl TimedSample {
    /// Returns the number of requests of other fronts when the report was received.
    pub(crate) const fn other_requests(&self) -> u32 {
        (self.sample.running + self.sample.waiting).saturating_sub(self.own_requests)
    }
}
