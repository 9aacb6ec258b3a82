//! The HTTP headers and bodies by which a front talks to clients and endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{RequestHead, ResponseHead};
use daisychute_core::EndpointName;
use daisychute_dispatch::{ForwardedIdentity, PromptPart, RequestInfo, Task};

use crate::{EventNumbering, ResponseInfo};

/// What a forwarded request tells the endpoint beyond the client's request.
#[derive(Debug, Clone, Copy)]
pub struct ForwardParams<'a> {
    /// The endpoint that must run the request; another one at the same address must refuse it.
    pub expected_endpoint: &'a EndpointName,
    /// The stage that the endpoint runs: the whole request, its prefill or its decode.
    pub task: &'a Task,
    /// Time after which the endpoint stops work on the request.
    pub time_limit: Duration,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Whose request the endpoint is told that it runs.
    pub identity: &'a ForwardedIdentity,
    /// Address of an engine from which the endpoint fetches cached prompt parts first, if any.
    pub fetch_from: Option<SocketAddr>,
    /// Id of the last event that was passed on, if an interrupted stream continues after it.
    pub last_event_id: Option<&'a str>,
}

/// Translates between the HTTP headers of a deployment and the types of the dispatcher. It makes no decisions.
pub trait Dialect: Clone + 'static {
    /// How endpoints number the events of a stream.
    const EVENT_NUMBERING: EventNumbering;

    /// Reads the properties of a client's request.
    fn parse_request(&self, head: &RequestHead) -> RequestInfo;

    /// Returns the number of the last event that the client of a resumed stream has. `None` if it resumes none, or if the id
    /// that it sent is no number.
    fn last_event(&self, client: &RequestHead) -> Option<u64>;

    /// Returns what tells the client account of a request from others; `None` if the request doesn't say.
    fn caller<'a>(&self, client: &'a RequestHead) -> Option<&'a [u8]>;

    /// Returns the ids of the parts of a request's prompt as the client named them, in the order of
    /// [`Prompt::parts`](daisychute_dispatch::Prompt::parts). Empty if the prompt has no parts.
    fn prompt_part_ids<'a>(&self, client: &'a RequestHead) -> Vec<&'a str>;

    /// Builds the head of the request to an endpoint from the client's.
    fn build_request(&self, client: &RequestHead, params: ForwardParams<'_>) -> RequestHead;

    /// Reads the properties of an endpoint's response to the request with this id.
    fn parse_response(&self, head: &ResponseHead, id: &str) -> ResponseInfo;

    /// Parses the handle of the KV cache from the response to [`Task::Prefill`]. `None` if the body is malformed.
    fn parse_kv_handle(&self, body: &[u8]) -> Option<Arc<str>>;

    /// Builds the request that frees a KV cache.
    fn release_request(&self, handle: &str) -> RequestHead;

    /// Builds a health check of this endpoint, whose service has this health path. Another endpoint at its address refuses it.
    fn health_check(&self, path: &str, endpoint: &EndpointName) -> RequestHead;

    /// Returns the name of the endpoint that sent the response to a health check; `None` if the response doesn't tell.
    fn sender<'a>(&self, head: &'a ResponseHead) -> Option<&'a str>;

    /// Whether the response to a health check states that this endpoint is healthy and isn't leaving.
    fn is_staying(&self, head: &ResponseHead, endpoint: &EndpointName) -> bool;

    /// Builds the request for the prompt parts that an engine caches.
    fn cache_query(&self) -> RequestHead;

    /// Parses the cached prompt parts from the response to [`Self::cache_query`]. `None` if the body is malformed.
    fn parse_cache_report(&self, body: &[u8]) -> Option<Vec<PromptPart>>;

    /// Returns the path of the readiness checks.
    fn readiness_path(&self) -> &'static str;
}
