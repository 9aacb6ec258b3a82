//! Settings of the client.

use std::time::Duration;

use crate::CallRateSettings;

/// Where the platform is and how long its answers may take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientSettings {
    /// Address of the platform, for example `http://10.0.0.1:8001`.
    // Invariant: doesn't end in '/'.
    pub(crate) url: String,
    pub(crate) connect_deadline: Duration,
    pub(crate) call_timeout: Duration,
    pub(crate) watch_silence: Duration,
    pub(crate) budget: CallRateSettings,
}

impl ClientSettings {
    /// How long a connection may take to open.
    pub const CONNECT_DEADLINE: Duration = Duration::from_secs(1);
    /// How long a call may take from its start to the last byte of its answer.
    pub const CALL_DEADLINE: Duration = Duration::from_secs(2);
    /// How long a watch may bring nothing, not even a bookmark.
    pub const WATCH_SILENCE: Duration = Duration::from_secs(10);

    /// The defaults for a platform at this address.
    #[must_use]
    pub fn new(url: impl Into<String>) -> Self {
        Self {
            url: url.into().trim_end_matches('/').to_owned(),
            connect_deadline: Self::CONNECT_DEADLINE,
            call_timeout: Self::CALL_DEADLINE,
            watch_silence: Self::WATCH_SILENCE,
            budget: CallRateSettings::default(),
        }
    }

    /// The same with this deadline for calls.
    #[must_use]
    pub fn call_timeout(mut self, span: Duration) -> Self {
        self.call_timeout = span;
        self
    }

    /// The same with this bound on the silence of a watch.
    #[must_use]
    pub fn watch_silence(mut self, span: Duration) -> Self {
        self.watch_silence = span;
        self
    }

    /// The same with this call budget.
    #[must_use]
    pub fn budget(mut self, budget: CallRateSettings) -> Self {
        self.budget = budget;
        self
    }
}
