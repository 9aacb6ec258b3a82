//! Events that the shell passes to the core.

use bytes::Bytes;
use daisychute_core::{
    EngineTarget, FinishReason, ModelVersion, RefusalReason, RequestId, Time, Usage,
};
use daisychute_link::LinkId;
use daisychute_proto::{Frame, Revisions};

/// Events that the shell passes to the core.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A connection from an entry is established.
    LinkUp {
        /// Identifies the new connection.
        link: LinkId,
    },
    /// A connection from an entry is closed or lost.
    LinkDown {
        /// Identifies the closed connection.
        link: LinkId,
    },
    /// A frame has arrived from an entry.
    Frame {
        /// The connection on which the frame arrived.
        link: LinkId,
        /// The decoded frame.
        frame: Box<Frame>,
    },
    /// The endpoint made progress with a request, or failed.
    Endpoint {
        /// The request that the report is about.
        id: RequestId,
        /// The run of that request. Reports of earlier runs are ignored.
        attempt: u32,
        /// The progress or the failure.
        report: EndpointReport,
    },
    /// The engine's model and role have changed. `None` while it is being reconfigured or its state is unknown.
    Target(Option<EngineTarget>),
    /// Stop admitting requests (`true`), or admit them again (`false`).
    Drain(bool),
    /// The process shuts down: stop admitting requests, for good. Queued requests that may not end by `deadline` are
    /// refused at once, so that their entries send them to other agents.
    Shutdown {
        /// When all requests that are still open end.
        deadline: Time,
    },
    /// The revisions of the documents in force in this process have changed.
    Revisions(Revisions),
    /// The time returned by [`AgentCore::wake_at`](super::AgentCore::wake_at) has come.
    Wake,
}

/// Progress of a request on the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointReport {
    /// The response head arrived.
    Head {
        /// HTTP status of the response.
        status: u16,
        /// Media type of the body, if the endpoint gave one.
        content_type: Option<String>,
        /// Version of the model that responds, if known.
        version: Option<ModelVersion>,
    },
    /// Part of the response body arrived.
    Data {
        /// The body bytes, or the text of one streamed event.
        data: Bytes,
        /// Number of output tokens in it; 0 for services and error responses.
        tokens: u32,
    },
    /// The response is complete.
    Finished {
        /// Why the model stopped generating; `None` for services and error responses.
        finish: Option<FinishReason>,
        /// Token counts of a completion; zero for services.
        usage: Usage,
    },
    /// The request didn't reach the endpoint, or the endpoint refused it before running any of it.
    NotStarted(RefusalReason),
    /// The connection to the endpoint was lost, or its response was malformed. The request may have run.
    Broken(RefusalReason),
}
