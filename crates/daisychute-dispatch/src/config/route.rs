//! Routing rule for one host and path prefix.

use std::sync::Arc;
use std::time::Duration;

use crate::{Backends, RequestKind};

/// Services, retry limit and latency objectives for the requests of one host and path prefix.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Route {
    /// Name of the route, unique within a [`RouteTable`](crate::RouteTable).
    pub name: Arc<str>,
    /// Host that requests must name, in lowercase and without a port.
    pub host: Arc<str>,
    /// Path prefix that requests must have; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may run more than once, and whether responses are streams.
    pub kind: RequestKind,
    /// Maximum time from the arrival of a request to the end of its response.
    pub timeout: Duration,
    /// Latency objective (SLO), counted from the arrival, for the response or, for a stream, its first event.
    pub objective: Duration,
    /// Latency objective for the gap between two events of a stream; `None` if there is none.
    pub pause: Option<Duration>,
    /// Priority of the requests; 0 is the most urgent.
    #[serde(rename = "rank")]
    pub priority: u8,
    /// Whether requests need no key, in a deployment with client accounts.
    #[serde(default)]
    pub public: bool,
    /// Maximum number of send attempts per request; at least 1. Attempts of which no byte was sent don't count, nor
    /// does a successful prefill.
    pub max_sends: u32,
    /// Services that receive the requests, by weight.
    pub backends: Backends,
}
