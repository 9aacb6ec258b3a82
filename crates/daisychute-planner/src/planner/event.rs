//! What the planner is told and what it asks for.

use std::collections::BTreeSet;

use daisychute_core::{EndpointName, EngineTarget, Revision, Term, Time};
use daisychute_store::{Object, ReadOutcome, WriteOutcome};

use super::PlanChange;

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerEvent {
    /// This process holds the lease.
    Acquired {
        /// The term of the lease.
        term: Term,
        /// When to stop unless the lease is renewed.
        until: Time,
    },
    /// The lease was renewed.
    Renewed {
        /// When to stop unless it is renewed again.
        until: Time,
    },
    /// This process doesn't hold the lease any more.
    Lost,
    /// The answer to [`PlannerAction::ReadPlan`].
    Read(ReadOutcome),
    /// The answer to [`PlannerAction::WritePlan`].
    Written(WriteOutcome),
    /// The replica of this process has a plan of this revision.
    RevisionSeen(Revision),
    /// The policy wishes a change.
    PlanChangeRequested(PlanChange),
    /// The endpoints that operators want drained, all of them.
    DrainRequests(BTreeSet<EndpointName>),
    /// What an engine is at present.
    Observed {
        /// The engine.
        endpoint: EndpointName,
        /// What it is; none while it changes.
        target: Option<EngineTarget>,
    },
    /// An endpoint is no longer there.
    EndpointRemoved(EndpointName),
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerAction {
    /// Read the plan object.
    ReadPlan,
    /// Write this object: create it where it has no version, else replace that version.
    WritePlan(Object),
    /// The plan of this revision took effect.
    Committed {
        /// Its revision.
        revision: Revision,
    },
    /// The plan carries a higher term than the lease that this process holds. Tell the lease.
    TermSeen(Term),
    /// Call again with [`PlannerEvent::Tick`] at this time, or earlier.
    WakeAt(Time),
}
