//! The state of one request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisychute_core::{ServiceName, Time};

use crate::fleet::engine_model::Reading;
use crate::{EndpointKey, RequestInfo, Route, Task};

/// A send that hasn't ended.
#[derive(Debug, Clone)]
pub(crate) struct Sent {
    pub(crate) endpoint: EndpointKey,
    /// Kept here, since the endpoint may be forgotten before it answers.
    pub(crate) address: SocketAddr,
    pub(crate) task: Task,
    pub(crate) at: Time,
    /// Tokens that it takes at the endpoint, as counted in the endpoint's work.
    pub(crate) tokens: u32,
    /// What the endpoint must read.
    pub(crate) reading: Reading,
    /// Time that isn't spent on reading, such as a transfer.
    pub(crate) other: Duration,
    /// The endpoint had nothing else to read, so that its time tells how fast it reads.
    pub(crate) alone: bool,
    /// Predicted time to the first output.
    pub(crate) predicted: Duration,
}

/// A KV cache that was made for a request and not fetched yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KvHandle {
    pub(crate) endpoint: EndpointKey,
    pub(crate) address: SocketAddr,
    pub(crate) handle: Arc<str>,
}

/// One request from its arrival to its final answer.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) request: RequestInfo,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    /// Sends that count against the route's limit.
    pub(crate) sends: u32,
    /// Sends whose request never left.
    pub(crate) unsent: u32,
    pub(crate) tried: Vec<EndpointKey>,
    pub(crate) current: Option<Sent>,
    /// Whether some endpoint may have run it.
    pub(crate) may_have_run: bool,
    /// A KV cache that must be fetched or freed.
    pub(crate) handle: Option<KvHandle>,
    /// Whether a prompt call was tried.
    pub(crate) prefilled: bool,
    pub(crate) first_output: bool,
}
