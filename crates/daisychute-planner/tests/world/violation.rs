//! Violations of the invariants that the simulation checks.

use daisychute_core::{EndpointName, Revision, Term};

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Violation {
    /// A plan of an earlier term took effect after one of a later term.
    TermDecreased { from: Term, to: Term },
    /// A plan took effect whose revision is not higher than the previous one's.
    RevisionNotIncreased { from: Revision, to: Revision },
    /// A lease changed hands without a higher term.
    LeaseTermNotIncreased { from: Term, to: Term },
    /// Two processes may act on the lease at the same time, although no clock was stepped.
    TwoHolders { first: usize, second: usize },
    /// A process reverted to an earlier configuration.
    Reverted { node: usize, from: Revision, to: Revision },
    /// A process has a configuration that differs from the accepted one of that revision.
    NotAccepted { node: usize, revision: Revision },
    /// Changes of two operators were accepted under the same revision.
    RevisionAcceptedTwice { revision: Revision },
    /// An engine received an order with a lower fencing token than an earlier one, or one that differs from an earlier
    /// one with the same token.
    Conflicting { endpoint: EndpointName, had: Revision, received: Revision },
    /// An engine received an order for another target while a change was in progress.
    WhileChanging { endpoint: EndpointName, received: Revision },
    /// An order is not from any committed plan.
    NotCommitted { endpoint: EndpointName, received: Revision },
    /// An order interrupted running requests.
    RequestsInterrupted { endpoint: EndpointName },
    /// Something had not converged long enough after the last fault.
    NotConverged(&'static str),
}
