//! What the core asks its shell to do.

use std::rc::Rc;

use daisychute_core::RequestId;
use daisychute_link::LinkId;
use daisychute_proto::{Frame, Start};

/// What the core asks its shell to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a frame on a connection.
    Send {
        /// The connection.
        link: LinkId,
        /// The frame.
        frame: Box<Frame>,
    },
    /// Hand a request to the endpoint and report what comes of it.
    Run {
        /// The request.
        start: Rc<Start>,
    },
    /// The connection to the engine broke: ask it for the rest of the answer.
    ResumeRun {
        /// The request.
        start: Rc<Start>,
        /// Output tokens that have arrived.
        from_tokens: u32,
    },
    /// Cancel a request on the endpoint. Reports that still come for it are passed over by the core.
    Abort {
        /// The request.
        id: RequestId,
        /// Which run of it.
        attempt: u32,
    },
}

impl Action {
    pub(super) fn send(link: LinkId, frame: impl Into<Frame>) -> Self {
        Self::Send { link, frame: Box::new(frame.into()) }
    }
}
