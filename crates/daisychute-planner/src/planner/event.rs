//! Inputs and outputs of the planner.

use std::collections::BTreeSet;

use daisychute_core::{EndpointName, EngineTarget, Revision, Term, Time};
use daisychute_store::{Object, ReadOutcome, WriteOutcome};

use super::PlanChange;

/// Input of [`Planner::handle`](super::Planner::handle).
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerEvent {
    /// This process acquired the lease.
    Acquired {
        /// Lease term, written into every plan as a fencing token.
        term: Term,
        /// End of the authority to write plans unless the lease is renewed.
        until: Time,
    },
    /// The lease was renewed.
    Renewed {
        /// New end of the authority to write plans.
        until: Time,
    },
    /// This process no longer holds the lease.
    Lost,
    /// Result of [`PlannerAction::ReadPlan`].
    Read(ReadOutcome),
    /// Result of [`PlannerAction::WritePlan`].
    Written(WriteOutcome),
    /// The replica of this process accepted a plan of this revision. Later plans get a higher one.
    RevisionSeen(Revision),
    /// A policy requests a change of the plan.
    PlanChangeRequested(PlanChange),
    /// Complete set of endpoints that operators want drained; replaces the previous set. Ignored without the lease.
    DrainRequests(BTreeSet<EndpointName>),
    /// An agent reported the state of its engine.
    Observed {
        /// Endpoint of the engine.
        endpoint: EndpointName,
        /// Role, model, version and adapter that the engine serves; `None` while it is being reconfigured.
        target: Option<EngineTarget>,
    },
    /// An endpoint was removed.
    EndpointRemoved(EndpointName),
    /// A timer expired; see [`PlannerAction::WakeAt`].
    Tick,
}

/// Output of [`Planner::handle`](super::Planner::handle), carried out by the shell.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerAction {
    /// Read the plan object from the platform's object store.
    ReadPlan,
    /// Create the plan object if it has no resource version; otherwise replace exactly that version.
    WritePlan(Object),
    /// The platform store accepted a plan of this planner.
    Committed {
        /// Revision of the committed plan.
        revision: Revision,
    },
    /// The stored plan can't be parsed. It is read again later, and nothing is planned until it can be.
    MalformedPlan {
        /// Message of the parser.
        error: String,
    },
    /// The stored plan carries a higher term than the lease of this process; pass the term on to the lease.
    TermSeen(Term),
    /// Send [`PlannerEvent::Tick`] at this time or earlier.
    WakeAt(Time),
}
