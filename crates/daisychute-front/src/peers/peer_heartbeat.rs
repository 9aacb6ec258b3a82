//! The datagram between fronts.

use std::time::Duration;

use daisychute_core::EndpointName;
use daisychute_dispatch::{Backlog, PeerLoad, PromptPart};
use serde::{Deserialize, Serialize};

/// What one front has under way. Fields are written without their names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PeerHeartbeat(
    /// Identifies the sender's incarnation.
    pub(crate) u64,
    /// The latest changes of configuration and endpoints that it saw, as revisions of the directory.
    pub(crate) (u64, u64),
    /// Its work.
    pub(crate) Vec<Load>,
    /// Parts of prompts that endpoints have now.
    pub(crate) Vec<Part>,
);

/// The work of a front at an endpoint: requests, microseconds of unread prompts by rank, microseconds since the oldest
/// of them was sent, and tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Load(EndpointName, u32, Vec<(u8, u32)>, u32, u32);

/// A part of a prompt: its key and its tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Part(EndpointName, u64, u32);

impl From<(&EndpointName, PeerLoad)> for Load {
    fn from((name, load): (&EndpointName, PeerLoad)) -> Self {
        let micros = |span: Duration| u32::try_from(span.as_micros()).unwrap_or(u32::MAX);
        let pending_prefill =
            load.pending_prefill.iter().map(|(rank, span)| (rank, micros(span))).collect();
        let oldest = micros(load.oldest_pending);
        Self(name.clone(), load.requests, pending_prefill, oldest, load.tokens)
    }
}

impl From<Load> for (EndpointName, PeerLoad) {
    fn from(Load(name, requests, pending_prefill, oldest, tokens): Load) -> Self {
        let span = |(rank, micros): (u8, u32)| (rank, Duration::from_micros(micros.into()));
        let pending_prefill: Backlog = pending_prefill.into_iter().map(span).collect();
        let oldest_pending = Duration::from_micros(oldest.into());
        (name, PeerLoad { requests, pending_prefill, oldest_pending, tokens })
    }
}

impl From<(EndpointName, PromptPart)> for Part {
    fn from((name, part): (EndpointName, PromptPart)) -> Self {
        Self(name, part.key, part.tokens)
    }
}

impl From<Part> for (EndpointName, PromptPart) {
    fn from(Part(name, key, tokens): Part) -> Self {
        (name, PromptPart { key, tokens })
    }
}
