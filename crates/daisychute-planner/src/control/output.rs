//! What the control shell tells the daemon.

use std::sync::Arc;

use daisychute_core::{Configuration, Plan, ProcessName, Revision, Term};
use daisychute_proto::{DocumentKind, Frame};
use daisychute_store::DocumentError;

/// What the control shell tells the daemon, in the order in which it happened.
#[derive(Debug)]
pub enum ControlOutput {
    /// Send this frame to a peer, if there is a connection to it.
    Frame {
        /// The peer.
        peer: ProcessName,
        /// A pull or a document.
        frame: Box<Frame>,
    },
    /// A newer configuration is in force.
    Configuration {
        /// Its revision.
        revision: Revision,
        /// The configuration.
        configuration: Arc<Configuration>,
    },
    /// A newer plan is in force.
    Plan(Arc<Plan>),
    /// The answer to [`Control::confirm_plan`](super::Control::confirm_plan): the revision on the platform, or none
    /// if it could not be read. A newer plan was told before.
    PlanConfirmed(Option<Revision>),
    /// A document was refused as a whole; the one before stays in force.
    Rejected {
        /// Which document.
        kind: DocumentKind,
        /// Why.
        error: DocumentError,
    },
    /// This process holds the planner lease of this term, or holds it no more.
    Planner(Option<Term>),
    /// It is time for [`Control::publish_status`](super::Control::publish_status).
    StatusDue,
}
