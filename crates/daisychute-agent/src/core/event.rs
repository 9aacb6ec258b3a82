//! What the shell tells the core.

use bytes::Bytes;
use daisychute_core::{EngineTarget, FinishReason, ModelVersion, RefusalReason, RequestId, Usage};
use daisychute_link::LinkId;
use daisychute_proto::{Frame, Revisions};

/// What the shell tells the core.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A connection is up.
    LinkUp {
        /// The connection.
        link: LinkId,
    },
    /// A connection is down.
    LinkDown {
        /// The connection.
        link: LinkId,
    },
    /// A frame has arrived.
    Frame {
        /// The connection.
        link: LinkId,
        /// The frame.
        frame: Box<Frame>,
    },
    /// The endpoint did something with a request.
    Endpoint {
        /// The request.
        id: RequestId,
        /// Which run of it.
        attempt: u32,
        /// What it did.
        report: EndpointReport,
    },
    /// The engine is now this, or nothing is known of it.
    Target(Option<EngineTarget>),
    /// Take no new work, or take it again.
    Drain(bool),
    /// The documents that this process has in force.
    Revisions(Revisions),
    /// The time that [`AgentCore::wake_at`](super::AgentCore::wake_at) gave has come.
    Wake,
}

/// What the endpoint did with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointReport {
    /// It took the request and begins to answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Media type.
        content_type: Option<String>,
        /// The version of the model that answers.
        version: Option<ModelVersion>,
    },
    /// A part of the answer.
    Data {
        /// The part.
        data: Bytes,
        /// Output tokens in it.
        tokens: u32,
    },
    /// The answer is whole.
    Finished {
        /// Why a model stopped.
        finish: Option<FinishReason>,
        /// Tokens of a completion.
        usage: Usage,
    },
    /// The request never reached the endpoint, or the endpoint refused it before running any of it.
    NotStarted(RefusalReason),
    /// The connection to the endpoint broke, or its answer was malformed.
    Broken(RefusalReason),
}
