//! How requests and answers look on the wire.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{RequestHead, ResponseHead};
use daisychute_core::EndpointName;
use daisychute_dispatch::{PromptPart, RequestInfo, Task};

use crate::ResponseInfo;

/// What is said to an endpoint beside what the caller sent.
#[derive(Debug, Clone, Copy)]
pub struct ForwardParams<'a> {
    /// The endpoint that must run the request.
    pub expected_endpoint: &'a EndpointName,
    /// What it does.
    pub task: &'a Task,
    /// The time that is left.
    pub remaining: Duration,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// An engine from which parts of the prompt are fetched before.
    pub fetch_from: Option<SocketAddr>,
    /// The last event of a stream that was passed on, where the stream goes on after it.
    pub last_event_id: Option<&'a str>,
}

/// Translates the headers of a deployment. It decides nothing.
pub trait Dialect: Clone + 'static {
    /// Reads what a caller's request says.
    fn parse_request(&self, head: &RequestHead) -> RequestInfo;

    /// The head of the request for an endpoint.
    fn build_request(&self, client: &RequestHead, forward: ForwardParams<'_>) -> RequestHead;

    /// Reads what an endpoint's answer to the request with this id says.
    fn parse_response(&self, head: &ResponseHead, id: &str) -> ResponseInfo;

    /// The name of the KV cache that an answer to [`Task::Prefill`] holds; none if it can't be read.
    fn parse_kv_handle(&self, body: &[u8]) -> Option<Arc<str>>;

    /// The request that frees a KV cache.
    fn release_request(&self, handle: &str) -> RequestHead;

    /// The request for the parts of prompts that an engine keeps.
    fn cache_query(&self) -> RequestHead;

    /// The parts in an engine's answer to [`Self::cache_query`]; none if it can't be read.
    fn parse_cache_report(&self, body: &[u8]) -> Option<Vec<PromptPart>>;

    /// The path that the deployment asks for readiness.
    fn readiness_path(&self) -> &'static str;
}
