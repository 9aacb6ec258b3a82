//! The input and the result of an endpoint selection.

use std::time::Duration;

use daisychute_core::{
    AdapterName, DataCentreName, EndpointName, ModelName, RefusalReason, ServiceName,
};
use thiserror::Error;

/// The properties of a request that decide its endpoint, borrowed from the request.
#[derive(Debug, Clone, Copy)]
pub struct SelectionQuery<'a> {
    /// The requested model; `None` for a call to a plain service.
    pub model: Option<&'a ModelName>,
    /// The plain service to call; `None` for a model request.
    pub service: Option<&'a ServiceName>,
    /// The adapter on the model; `None` for the base model.
    pub adapter: Option<&'a AdapterName>,
    /// Hashes of the prompt's leading blocks, see [`block_hashes`](crate::prefix::block_hashes).
    pub blocks: &'a [u64],
    /// Number of tokens in the prompt, cached ones included.
    pub prompt_tokens: u32,
    /// Expected number of output tokens.
    pub output_tokens: u32,
    /// Target for the inter-token latency; `None` for deferrable requests, whose class has none.
    pub between_tokens: Option<Duration>,
    /// Endpoints that must not be selected because they already refused the request or failed it.
    pub exclude: &'a [EndpointName],
}

impl<'a> SelectionQuery<'a> {
    /// Creates a query for this model with an empty prompt.
    #[must_use]
    pub fn model(model: &'a ModelName) -> Self {
        Self { model: Some(model), ..Self::empty() }
    }

    /// Creates a query for a call to this plain service.
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

    /// Sets the adapter.
    #[must_use]
    pub fn adapter(mut self, adapter: impl Into<Option<&'a AdapterName>>) -> Self {
        self.adapter = adapter.into();
        self
    }

    /// Sets the number of prompt tokens and the hashes of the leading blocks.
    #[must_use]
    pub fn prompt(mut self, tokens: u32, blocks: &'a [u64]) -> Self {
        self.prompt_tokens = tokens;
        self.blocks = blocks;
        self
    }

    /// Sets the expected number of output tokens.
    #[must_use]
    pub fn output_tokens(mut self, tokens: u32) -> Self {
        self.output_tokens = tokens;
        self
    }

    /// Sets the target for the inter-token latency.
    #[must_use]
    pub fn between_tokens(mut self, target: impl Into<Option<Duration>>) -> Self {
        self.between_tokens = target.into();
        self
    }

    /// Sets the endpoints that must not be selected.
    #[must_use]
    pub fn exclude(mut self, endpoints: &'a [EndpointName]) -> Self {
        self.exclude = endpoints;
        self
    }
}

/// The endpoint that was selected for a request, with the estimates behind it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Selection {
    /// The endpoint to send the request to first.
    pub endpoint: EndpointName,
    /// The data centre of this endpoint.
    pub data_centre: DataCentreName,
    /// Whether this endpoint only prefills the prompt (disaggregated prefill/decode). The engine that decodes is
    /// selected by [`select_decode`](super::Selector::select_decode) after the prefill.
    pub disaggregated: bool,
    /// Prompt tokens that are expected to be in the endpoint's prefix cache.
    pub cached_tokens: u32,
    /// Estimated time to first token (TTFT), with the penalties that steer the selection.
    pub first_token: Duration,
    /// Estimated wait between the end of the prefill and the start of decoding; zero if one engine does both. Above
    /// [`MAX_KV_TRANSFER_WAIT`](Self::MAX_KV_TRANSFER_WAIT) the request should be refused rather than sent.
    pub kv_transfer_wait: Duration,
}

impl Selection {
    /// Longest acceptable wait between prefill and decode.
    pub const MAX_KV_TRANSFER_WAIT: Duration = Duration::from_millis(500);
}

/// The error that no live endpoint can serve the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("no live endpoint serves this model")]
pub struct NoEndpoint;

impl From<NoEndpoint> for RefusalReason {
    fn from(NoEndpoint: NoEndpoint) -> Self {
        Self::NoEndpoint
    }
}
