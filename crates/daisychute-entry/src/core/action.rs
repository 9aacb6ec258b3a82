//! What the core asks its shell to do.

use std::net::SocketAddr;

use bytes::Bytes;
use daisychute_core::{FinishReason, ModelVersion, Refusal, RequestId, Revisions, Usage};
use daisychute_link::LinkId;
use daisychute_proto::Frame;

/// What the core asks its shell to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Open a connection. Its end, or its failure to open, must be told by [`Event::LinkDown`](super::Event::LinkDown).
    Connect {
        /// The connection, numbered by the core.
        link: LinkId,
        /// The agent's address.
        addr: SocketAddr,
    },
    /// Send a frame on a connection.
    Send {
        /// The connection.
        link: LinkId,
        /// The frame.
        frame: Box<Frame>,
    },
    /// Give a connection up.
    Close {
        /// The connection.
        link: LinkId,
    },
    /// Give the caller a part of the answer.
    Answer {
        /// The request.
        id: RequestId,
        /// The part.
        part: Part,
    },
    /// A peer has said which documents it has.
    PeerRevisions {
        /// The connection to it.
        link: LinkId,
        /// What it has.
        revisions: Revisions,
    },
    /// A frame that belongs to the shared documents has arrived.
    Control {
        /// The connection.
        link: LinkId,
        /// The frame.
        frame: Box<Frame>,
    },
}

impl Action {
    pub(super) fn send(link: LinkId, frame: impl Into<Frame>) -> Self {
        Self::Send { link, frame: Box::new(frame.into()) }
    }
}

/// A part of an answer on its way to the caller. `End` and `Refused` are the last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// The answer begins.
    Head {
        /// HTTP status.
        status: u16,
        /// Media type.
        content_type: Option<String>,
        /// The version of the model that answers.
        version: Option<ModelVersion>,
    },
    /// More of the answer.
    Data {
        /// The bytes.
        data: Bytes,
        /// Output tokens in them.
        tokens: u32,
    },
    /// The answer is whole.
    End {
        /// Why a model stopped.
        finish: Option<FinishReason>,
        /// Tokens of a completion.
        usage: Usage,
    },
    /// There is no whole answer. After `Head` this means that the answer is broken.
    Refused(Refusal),
}
