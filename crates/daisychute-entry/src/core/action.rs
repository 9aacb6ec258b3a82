//! Actions that the core returns to the I/O shell.

use std::net::SocketAddr;

use bytes::Bytes;
use daisychute_core::{FinishReason, ModelVersion, Refusal, RequestId, Revisions, Usage};
use daisychute_link::LinkId;
use daisychute_proto::Frame;

/// An I/O operation that the core requests from the shell.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Opens a connection to an agent. The shell must report its end, or its failure to open, with
    /// [`Event::LinkDown`](super::Event::LinkDown).
    Connect {
        /// Id that the core assigned to the new connection.
        link: LinkId,
        /// Address that the agent listens on.
        addr: SocketAddr,
    },
    /// Sends a frame on an open connection.
    Send {
        /// Connection to the agent that receives the frame.
        link: LinkId,
        /// Frame to send, boxed because frames are large.
        frame: Box<Frame>,
    },
    /// Closes a connection. The core has already dropped it and expects no event for it.
    Close {
        /// Connection to close, open or still being opened.
        link: LinkId,
    },
    /// Passes a part of the response to the client.
    Respond {
        /// Request that the part responds to.
        id: RequestId,
        /// Head, data or final part of the response.
        part: ResponsePart,
    },
    /// Reports the document revisions that a peer announced in its hello or heartbeat.
    PeerRevisions {
        /// Connection to the peer.
        link: LinkId,
        /// Revision of each shared document at the peer.
        revisions: Revisions,
    },
    /// Hands over a received frame of the document replication (`Pull` or `Document`).
    Control {
        /// Connection that the frame arrived on.
        link: LinkId,
        /// The received frame, unchanged.
        frame: Box<Frame>,
    },
}

impl Action {
    pub(super) fn send(link: LinkId, frame: impl Into<Frame>) -> Self {
        Self::Send { link, frame: Box::new(frame.into()) }
    }
}

/// A part of a response on its way to the client. `End` and `Refused` are final: nothing follows them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponsePart {
    /// Starts the response; sent at most once per request.
    Head {
        /// HTTP status code of the response.
        status: u16,
        /// Value of the `Content-Type` header, if the endpoint sent one.
        content_type: Option<String>,
        /// Version of the model that generates the response; `None` if the agent reported none.
        version: Option<ModelVersion>,
    },
    /// Carries the next bytes of the body.
    Data {
        /// Body bytes, without those that the client already received.
        data: Bytes,
        /// Number of output tokens in `data`.
        tokens: u32,
    },
    /// Ends a complete response.
    End {
        /// Why the model stopped generating; `None` for calls of plain services.
        finish: Option<FinishReason>,
        /// Token counts of a completion.
        usage: Usage,
    },
    /// Ends the request without a complete response. After `Head`, the client's response is truncated.
    Refused(Refusal),
}
