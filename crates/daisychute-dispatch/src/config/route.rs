//! One route.

use std::sync::Arc;
use std::time::Duration;

use crate::{Backends, RequestKind};

/// Where the requests of one host and path prefix go, and what they are owed.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Route {
    /// Its name, unique in the table.
    pub name: Arc<str>,
    /// The host that it belongs to, in lowercase and without a port.
    pub host: Arc<str>,
    /// Begins and ends with a slash.
    pub prefix: Arc<str>,
    /// How often its requests may run.
    pub kind: RequestKind,
    /// The longest that a caller is kept waiting for the whole answer.
    pub timeout: Duration,
    /// An answer (of a stream: its first event) within this time earns all that it is worth.
    pub objective: Duration,
    /// The longest pause between two events of a stream that is on time.
    pub pause: Option<Duration>,
    /// Priority among the routes; 0 is the most urgent.
    #[serde(rename = "rank")]
    pub priority: u8,
    /// The endpoints that one request may be sent to; at least 1.
    pub max_sends: u32,
    /// The services behind it.
    pub backends: Backends,
}
