//! A question to the selector and its answer.

use std::time::Duration;

use daisychute_core::{
    AdapterName, DataCentreName, EndpointName, ModelName, RefusalReason, ServiceName,
};
use thiserror::Error;

/// What has to be known of a request to choose its endpoint. It borrows from the request.
#[derive(Debug, Clone, Copy)]
pub struct SelectionQuery<'a> {
    /// The model, for an engine.
    pub model: Option<&'a ModelName>,
    /// The plain service.
    pub service: Option<&'a ServiceName>,
    /// The adapter on top of it.
    pub adapter: Option<&'a AdapterName>,
    /// Hashes of the prompt's leading blocks, see [`block_hashes`](crate::prefix::block_hashes).
    pub blocks: &'a [u64],
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Output tokens that are expected.
    pub output_tokens: u32,
    /// The target between tokens, where the class gives one.
    pub between_tokens: Option<Duration>,
    /// Endpoints that have refused or lost the request already.
    pub exclude: &'a [EndpointName],
}

impl<'a> SelectionQuery<'a> {
    /// A request of this model without tokens.
    #[must_use]
    pub fn model(model: &'a ModelName) -> Self {
        Self { model: Some(model), ..Self::empty() }
    }

    /// A call of this plain service.
    #[must_use]
    pub fn service(service: &'a ServiceName) -> Self {
        Self { service: Some(service), ..Self::empty() }
    }

    fn empty() -> Self {
        Self {
            model: None,
            service: None,
            adapter: None,
            blocks: &[],
            prompt_tokens: 0,
            output_tokens: 0,
            between_tokens: None,
            exclude: &[],
        }
    }

    /// The same request on this adapter.
    #[must_use]
    pub fn adapter(mut self, adapter: impl Into<Option<&'a AdapterName>>) -> Self {
        self.adapter = adapter.into();
        self
    }

    /// The same request with a prompt of so many tokens and these block hashes.
    #[must_use]
    pub fn prompt(mut self, tokens: u32, blocks: &'a [u64]) -> Self {
        self.prompt_tokens = tokens;
        self.blocks = blocks;
        self
    }

    /// The same request with so many output tokens expected.
    #[must_use]
    pub fn output_tokens(mut self, tokens: u32) -> Self {
        self.output_tokens = tokens;
        self
    }

    /// The same request with this target between tokens.
    #[must_use]
    pub fn between_tokens(mut self, target: impl Into<Option<Duration>>) -> Self {
        self.between_tokens = target.into();
        self
    }

    /// The same request, not on these endpoints.
    #[must_use]
    pub fn exclude(mut self, endpoints: &'a [EndpointName]) -> Self {
        self.exclude = endpoints;
        self
    }
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Selection {
    /// The endpoint that gets it first.
    pub endpoint: EndpointName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Whether it only computes the prompt there; [`choose_decode`](super::Selector::choose_decode) names the engine
    /// that goes on, once the prompt is computed.
    pub disaggregated: bool,
    /// Prompt tokens that the endpoint is believed to have in its cache.
    pub cached_tokens: u32,
    /// The estimated time to the first token.
    pub first_token: Duration,
    /// The estimated wait between prefill and decode, zero where one engine does both. A request is better
    /// refused than sent where this is above [`MAX_KV_TRANSFER_WAIT`](Self::MAX_KV_TRANSFER_WAIT).
    pub kv_transfer_wait: Duration,
}

impl Selection {
    /// The longest wait between prefill and decode that a request should meet.
    pub const MAX_KV_TRANSFER_WAIT: Duration = Duration::from_millis(500);
}

/// No endpoint can be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("no live endpoint serves this model")]
pub struct NoEndpoint;

impl From<NoEndpoint> for RefusalReason {
    fn from(NoEndpoint: NoEndpoint) -> Self {
        Self::NoEndpoint
    }
}
