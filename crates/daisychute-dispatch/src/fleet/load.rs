//! What is known of the load of an endpoint.

use std::time::Duration;

use daisychute_core::Time;

use crate::Backlog;

/// The load that an endpoint told with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadSample {
    /// Requests that run, of all callers.
    pub running: u32,
    /// Requests that wait, of all callers.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// The work that one front has at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Its requests there.
    pub requests: u32,
    /// The prompts of those that have shown no output yet.
    pub pending_prefill: Backlog,
    /// How long the oldest of those has been there.
    pub oldest_pending: Duration,
    /// Tokens of all its requests there.
    pub tokens: u32,
}

/// A load sample, kept with what this front had there at that time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct KeptSample {
    pub(crate) at: Time,
    pub(crate) sample: LoadSample,
    pub(crate) mine: u32,
}

impl KeptSample {
    /// Requests of other fronts when the sample was taken.
    pub(crate) const fn others(&self) -> u32 {
        (self.sample.running + self.sample.waiting).saturating_sub(self.mine)
    }
}
