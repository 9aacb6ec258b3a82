//! What must never be seen.

use daisychute_core::{EndpointName, Revision, Term};

/// What must never be seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Violation {
    /// A plan of an earlier term took effect after one of a later term.
    TermFell { from: Term, to: Term },
    /// A plan took effect that does not follow the one before.
    PlanRevision { from: Revision, to: Revision },
    /// A lease changed hands without a higher term.
    LeaseTerm { from: Term, to: Term },
    /// Two processes may act on the lease at once, though no clock was stepped.
    TwoHolders { first: usize, second: usize },
    /// A process went back to an earlier document.
    Reverted { node: usize, from: Revision, to: Revision },
    /// A process has a document that isn't the accepted one of its revision.
    NotAccepted { node: usize, revision: Revision },
    /// Two operators both had their change accepted as the same revision.
    BothAccepted { revision: Revision },
    /// An engine received an order that is older than one before, or differs from one with the same number.
    Conflicting { endpoint: EndpointName, had: Revision, got: Revision },
    /// An engine received an order for another target while a change was in progress.
    WhileChanging { endpoint: EndpointName, got: Revision },
    /// An order is not from any committed plan.
    NotCommitted { endpoint: EndpointName, got: Revision },
    /// An order cut running requests.
    Cut { endpoint: EndpointName },
    /// After the faults were over, something didn't come to where it should be.
    NotSettled(&'static str),
}
