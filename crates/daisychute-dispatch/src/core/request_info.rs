//! What is known of a request when it arrives.

use std::sync::Arc;
use std::time::Duration;

use crate::Prompt;

/// Identifies a request within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey(u64);

impl RequestKey {
    /// A key of this number, which must be new.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number of the key.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// A request as it was read from its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestInfo {
    /// The caller's id of this attempt.
    pub id: Arc<str>,
    /// The host that it names.
    pub host: Arc<str>,
    /// Path and query.
    pub path: Arc<str>,
    /// How long the caller waits; none where it doesn't say.
    pub client_timeout: Option<Duration>,
    /// Its prompt, for a generation.
    pub prompt: Option<Prompt>,
}

impl RequestInfo {
    /// A request without deadline and prompt.
    #[must_use]
    pub fn new(
        id: impl Into<Arc<str>>,
        host: impl Into<Arc<str>>,
        path: impl Into<Arc<str>>,
    ) -> Self {
        Self {
            id: id.into(),
            host: host.into(),
            path: path.into(),
            client_timeout: None,
            prompt: None,
        }
    }

    /// With the time that the caller waits.
    #[must_use]
    pub const fn client_timeout(mut self, client_timeout: Duration) -> Self {
        self.client_timeout = Some(client_timeout);
        self
    }

    /// With a prompt.
    #[must_use]
    pub fn prompt(mut self, prompt: Prompt) -> Self {
        self.prompt = Some(prompt);
        self
    }
}
