//! Settings of the object client.

use std::time::Duration;

use crate::CallRateSettings;

/// Address of the platform, timeouts and call rate of an [`ObjectClient`](crate::ObjectClient).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientSettings {
    /// Address of the platform, for example `http://10.0.0.1:8001`.
    // Invariant: doesn't end in '/'.
    pub(crate) url: String,
    pub(crate) connect_timeout: Duration,
    pub(crate) call_timeout: Duration,
    pub(crate) watch_idle_timeout: Duration,
    pub(crate) call_rate: CallRateSettings,
}

impl ClientSettings {
    /// Default timeout for opening a connection.
    pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
    /// Default timeout of a call, from its start to the last byte of the response.
    pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
    /// Default time after which a watch that received nothing, not even a bookmark, ends with an error.
    pub const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

    /// Default settings for the platform at `url`. A trailing '/' is removed.
    #[must_use]
    pub fn new(url: impl Into<String>) -> Self {
        Self {
            url: url.into().trim_end_matches('/').to_owned(),
            connect_timeout: Self::CONNECT_TIMEOUT,
            call_timeout: Self::CALL_TIMEOUT,
            watch_idle_timeout: Self::WATCH_IDLE_TIMEOUT,
            call_rate: CallRateSettings::default(),
        }
    }

    /// Sets the timeout of a call.
    #[must_use]
    pub fn call_timeout(mut self, timeout: Duration) -> Self {
        self.call_timeout = timeout;
        self
    }

    /// Sets the idle timeout of a watch.
    #[must_use]
    pub fn watch_idle_timeout(mut self, timeout: Duration) -> Self {
        self.watch_idle_timeout = timeout;
        self
    }

    /// Sets the limits on the calls of this process.
    #[must_use]
    pub fn call_rate(mut self, call_rate: CallRateSettings) -> Self {
        self.call_rate = call_rate;
        self
    }
}
