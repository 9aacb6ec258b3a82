//! The datagram between fronts.

use std::time::Duration;

use daisychute_core::EndpointName;
use daisychute_dispatch::{PeerLoad, PromptPart};
use serde::{Deserialize, Serialize};

/// What one front has under way. Fields are written without their names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Beat(
    /// Identifies the sender's incarnation.
    pub(crate) u64,
    /// The latest changes of configuration and endpoints that it saw, as revisions of the directory.
    pub(crate) (u64, u64),
    /// Its work.
    pub(crate) Vec<Load>,
    /// Parts of prompts that endpoints have now.
    pub(crate) Vec<Part>,
);

/// The work of a front at an endpoint: requests, microseconds of unread prompts, and tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Load(EndpointName, u32, u32, u32);

/// A part of a prompt: its key and its tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Part(EndpointName, u64, u32);

impl From<(&EndpointName, PeerLoad)> for Load {
    fn from((name, load): (&EndpointName, PeerLoad)) -> Self {
        let unread = u32::try_from(load.unread.as_micros()).unwrap_or(u32::MAX);
        Self(name.clone(), load.requests, unread, load.tokens)
    }
}

impl From<Load> for (EndpointName, PeerLoad) {
    fn from(Load(name, requests, unread, tokens): Load) -> Self {
        let unread = Duration::from_micros(unread.into());
        (name, PeerLoad { requests, unread, tokens })
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
