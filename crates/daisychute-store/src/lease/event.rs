//! What a lease core is told and what it asks for.

use daisychute_core::{Term, Time};

use crate::{Object, ReadOutcome, WriteOutcome};

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseEvent {
    /// This process may, or may no longer, acquire the lease. A holder keeps it.
    Eligible(bool),
    /// The answer to [`LeaseAction::Read`].
    Read(ReadOutcome),
    /// The answer to [`LeaseAction::Write`].
    Written(WriteOutcome),
    /// A document carries this term, so the next acquisition must be above it.
    TermSeen(Term),
    /// The process stops: give the lease up so that another can take it at once.
    Release,
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseAction {
    /// Read the lease object.
    Read,
    /// Write this object: create it where it has no version, else replace that version.
    Write(Object),
    /// This process holds the lease of this term and may act on it before `until`.
    Acquired {
        /// The term.
        term: Term,
        /// When to stop unless it is renewed.
        until: Time,
    },
    /// The lease may be acted on before `until`.
    Renewed {
        /// When to stop unless it is renewed again.
        until: Time,
    },
    /// This process must not act on that term any more.
    Lost {
        /// The term.
        term: Term,
    },
    /// Call again with [`LeaseEvent::Tick`] at this time, or earlier.
    WakeAt(Time),
}
