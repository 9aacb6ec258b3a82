//! Outputs of the I/O shell.

use std::sync::Arc;

use daisychute_core::{Configuration, Plan, ProcessName, Revision, Term};
use daisychute_proto::{DocumentKind, Frame};
use daisychute_store::DocumentError;

/// Output of the I/O shell to the daemon, in the order in which it occurred.
#[derive(Debug)]
pub enum ControlOutput {
    /// Send a frame to a peer, if there is a connection to it.
    Frame {
        /// Process that receives the frame.
        peer: ProcessName,
        /// The frame, either a pull or a document.
        frame: Box<Frame>,
    },
    /// A newer configuration took effect.
    Configuration {
        /// Revision of the new configuration.
        revision: Revision,
        /// Complete configuration, which replaces the previous one.
        configuration: Arc<Configuration>,
    },
    /// A newer plan took effect.
    Plan(Arc<Plan>),
    /// Result of [`Control::confirm_plan`](super::Control::confirm_plan): the revision on the platform, or `None` if no
    /// plan exists or it could not be read. If that plan is newer, [`ControlOutput::Plan`] was sent first.
    PlanConfirmed(Option<Revision>),
    /// A document was rejected as a whole; the previous one stays in force.
    Rejected {
        /// Kind of the rejected document.
        kind: DocumentKind,
        /// Reason for the rejection.
        error: DocumentError,
    },
    /// This process acquired the planner lease with this term, or lost it (`None`).
    Planner(Option<Term>),
    /// The status is due: call [`Control::publish_status`](super::Control::publish_status).
    StatusDue,
}
