//! Actions that the core requests from the I/O shell.

use std::rc::Rc;

use daisychute_core::RequestId;
use daisychute_link::LinkId;
use daisychute_proto::{Frame, Start};

/// Actions that the core requests from the I/O shell.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a frame to an entry.
    Send {
        /// The connection to send on. The frame is dropped if it has closed.
        link: LinkId,
        /// The frame to send.
        frame: Box<Frame>,
    },
    /// Run a request on the endpoint and report its progress as [`Event::Endpoint`](super::Event::Endpoint).
    Run {
        /// The request to run, with its payload.
        start: Rc<Start>,
    },
    /// Request the rest of a response from the engine after the connection to it was lost.
    ResumeRun {
        /// The request as it was first run.
        start: Rc<Start>,
        /// Number of output tokens received so far, after which the response continues.
        from_tokens: u32,
    },
    /// Cancel a request on the endpoint. The core ignores reports that still arrive for it.
    Abort {
        /// The id of the cancelled request.
        id: RequestId,
        /// The run to cancel, as numbered by the entry.
        attempt: u32,
    },
}

impl Action {
    pub(super) fn send(link: LinkId, frame: impl Into<Frame>) -> Self {
        Self::Send { link, frame: Box::new(frame.into()) }
    }
}
