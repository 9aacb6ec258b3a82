//! Properties of a request that routing depends on.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::{Cause, Credentials, Prompt};

/// Identifies a request within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey(u64);

impl RequestKey {
    /// Creates a key. The number must not have been used before in this process.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number of the key.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// Identifies what a client asked for: requests with the same fingerprint are the same request, sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Creates a fingerprint. The number must be the same at all fronts, and hard to find for another request.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number of the fingerprint.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Properties of a request, as received from its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestInfo {
    /// Request id that the client sent. Selects the service and breaks ties between endpoints.
    pub id: Arc<str>,
    /// Host that the request names; may include a port.
    pub host: Arc<str>,
    /// Path and query of the request.
    pub path: Arc<str>,
    /// How long the client waits for the response; `None` if it doesn't say.
    pub client_timeout: Option<Duration>,
    /// Prompt of a generation request; `None` for other requests.
    pub prompt: Option<Prompt>,
    /// Set if the client resumes a stream of which it has the first events.
    pub resumption: Option<Resumption>,
    /// What the request says of its client account.
    pub credentials: Credentials,
    /// Fingerprint of the request; `None` if it isn't known whether another request is the same.
    pub fingerprint: Option<Fingerprint>,
}

/// What a client says of the stream that it resumes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Resumption {
    /// Id of the request that brought the first event; `None` if the client doesn't say.
    pub first_attempt: Option<Arc<str>>,
}

impl RequestInfo {
    /// Creates a request without a client timeout and without a prompt.
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
            resumption: None,
            credentials: Credentials::Missing,
            fingerprint: None,
        }
    }

    /// Returns the id of the attempt that began the response: its own one, unless the client resumes a stream.
    #[must_use]
    pub fn first_attempt(&self) -> &Arc<str> {
        let resumed = self.resumption.as_ref().and_then(|it| it.first_attempt.as_ref());
        resumed.unwrap_or(&self.id)
    }

    /// Returns what endpoints may end under that run the request: each shared part of its prompt, and the request itself.
    pub fn causes(&self) -> impl Iterator<Item = Cause> {
        self.shared_parts().chain(self.fingerprint.map(Cause::Request))
    }

    /// Returns the shared parts of the request's prompt.
    pub(crate) fn shared_parts(&self) -> impl Iterator<Item = Cause> {
        let shared = self.prompt.as_ref().map_or(&[][..], Prompt::shared);
        shared.iter().map(|it| Cause::Part(it.key))
    }

    /// Sets how long the client waits for the response.
    #[must_use]
    pub const fn client_timeout(mut self, client_timeout: Duration) -> Self {
        self.client_timeout = Some(client_timeout);
        self
    }

    /// Sets that the client resumes a stream.
    #[must_use]
    pub fn resumption(mut self, resumption: Resumption) -> Self {
        self.resumption = Some(resumption);
        self
    }

    /// Sets what the request says of its client account.
    #[must_use]
    pub const fn credentials(mut self, credentials: Credentials) -> Self {
        self.credentials = credentials;
        self
    }

    /// Sets the fingerprint of the request.
    #[must_use]
    pub const fn fingerprint(mut self, fingerprint: Fingerprint) -> Self {
        self.fingerprint = Some(fingerprint);
        self
    }

    /// Sets the prompt of a generation request.
    #[must_use]
    pub fn prompt(mut self, prompt: Prompt) -> Self {
        self.prompt = Some(prompt);
        self
    }
}
