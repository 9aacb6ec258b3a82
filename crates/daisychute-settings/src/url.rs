//! Base URLs of the platform and of endpoints.

use std::fmt;
use std::sync::Arc;

use thiserror::Error;

/// A base URL such as `http://127.0.0.1:7000`, to which a path is appended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BaseUrl(
    // Invariant: starts with `http://`, names a host, has no query and no trailing '/'.
    Arc<str>,
);

/// Why a text isn't a valid base URL.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BaseUrlError {
    /// The text doesn't start with `http://`.
    #[error("a base URL must start with http://")]
    Scheme,
    /// The host is missing, or the host or port is invalid.
    #[error("a base URL needs a valid host, optionally with a port")]
    Host,
    /// The path is followed by a query or fragment, or contains whitespace.
    #[error("a base URL must not contain a query, a fragment or spaces")]
    Path,
}

impl BaseUrl {
    const SCHEME: &str = "http://";

    /// Returns the URL as text, without a trailing '/'.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for BaseUrl {
    type Error = BaseUrlError;

    fn try_from(raw: &str) -> Result<Self, BaseUrlError> {
        let rest = raw.strip_prefix(Self::SCHEME).ok_or(BaseUrlError::Scheme)?;
        let (authority, path) = rest.split_once('/').unwrap_or((rest, ""));
        if !is_authority(authority) {
            return Err(BaseUrlError::Host);
        }
        if path.contains(['?', '#', ' ', '\t']) {
            return Err(BaseUrlError::Path);
        }
        Ok(Self(Arc::from(raw.trim_end_matches('/'))))
    }
}

fn is_authority(raw: &str) -> bool {
    if raw.starts_with('[') {
        return raw.parse::<std::net::SocketAddrV6>().is_ok();
    }
    let (host, port) = raw.split_once(':').unwrap_or((raw, "80"));
    let is_host_char = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-');
    !host.is_empty() && host.chars().all(is_host_char) && port.parse::<u16>().is_ok()
}

impl fmt::Display for BaseUrl {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
