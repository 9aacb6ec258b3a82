//! What a dispatcher is told.

use daisychute_core::EndpointName;
use std::sync::Arc;

use crate::{
    Endpoint, EndpointKey, LoadSample, PeerLoad, PromptPart, Removal, RequestInfo, RequestKey,
    RouteTable,
};

/// How an endpoint's answer came to nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// No byte of the request left: the endpoint can't have run it.
    Unsent,
    /// The endpoint says that it did not run the request.
    NotRun {
        /// Another endpoint has the address, or it takes another stage.
        misdirected: bool,
    },
    /// The request was sent, and no whole head of an answer came back.
    NoAnswer,
    /// The answer broke off. Parts of it may have been passed on.
    MidAnswer {
        /// Whether the caller has seen the head.
        head_passed: bool,
    },
    /// The endpoint answered with a failure of its own.
    ServerError,
}

impl SendFailure {
    /// Its name in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::NotRun { misdirected: true } => "misdirected",
            Self::NotRun { misdirected: false } => "not_run",
            Self::NoAnswer => "no_answer",
            Self::MidAnswer { .. } => "mid_answer",
            Self::ServerError => "server_error",
        }
    }
}

/// Something happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A request was read in whole.
    Arrived {
        /// Its key, new.
        key: RequestKey,
        /// What is known of it.
        request: RequestInfo,
    },
    /// An endpoint has read the prompt and keeps its KV cache under a handle.
    Prefilled {
        /// The request.
        key: RequestKey,
        /// The name of the KV cache.
        handle: Arc<str>,
    },
    /// The head of an answer that will be passed on came in.
    ResponseStarted {
        /// The request.
        key: RequestKey,
    },
    /// The first event of a stream came in.
    FirstOutput {
        /// The request.
        key: RequestKey,
    },
    /// An endpoint told its load.
    LoadReported {
        /// The request with whose answer it came.
        key: RequestKey,
        /// The load.
        sample: LoadSample,
    },
    /// A send came to nothing.
    SendFailed {
        /// The request.
        key: RequestKey,
        /// How.
        failure: SendFailure,
    },
    /// The whole answer was passed on.
    Finished {
        /// The request.
        key: RequestKey,
    },
    /// The caller has gone.
    ClientDisconnected {
        /// The request.
        key: RequestKey,
    },
    /// The time of the request is up.
    Expired {
        /// The request.
        key: RequestKey,
    },
    /// A configuration was read.
    Configured(Arc<RouteTable>),
    /// The directory has this record of an endpoint.
    EndpointUpserted(Endpoint),
    /// The directory has no record of this name any more.
    EndpointRemoved {
        /// The name.
        name: EndpointName,
        /// Whether the directory could be reached.
        removal: Removal,
    },
    /// Another front told its load.
    PeerHeartbeat {
        /// Identifies the front.
        peer: u64,
        /// Its work at each endpoint where it has any.
        loads: Vec<(EndpointName, PeerLoad)>,
        /// Shared parts of prompts that it sent lately, with the endpoint that has them now.
        parts: Vec<(EndpointName, PromptPart)>,
    },
    /// An engine told which parts of prompts it keeps.
    CacheReported {
        /// The engine, in the incarnation that was asked.
        endpoint: EndpointKey,
        /// The parts, least recently used first where the engine tells the order.
        parts: Vec<PromptPart>,
    },
    /// So many fronts share the load, this one included.
    FrontCount(usize),
    /// Time has passed.
    Tick,
}

impl Event {
    /// A request that arrived.
    #[must_use]
    pub const fn arrived(key: RequestKey, request: RequestInfo) -> Self {
        Self::Arrived { key, request }
    }
}
