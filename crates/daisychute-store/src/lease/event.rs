//! Events and actions of the lease core.

use daisychute_core::{Era, Term, Time};

use crate::{Object, ReadOutcome, WriteOutcome};

/// Input of the lease core.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseEvent {
    /// Whether this process may acquire the lease. A holder that becomes ineligible keeps its lease.
    Eligible(bool),
    /// Result of [`LeaseAction::Read`].
    Read {
        /// Era that the answer names; zero without an answer, or if the store names none.
        era: Era,
        /// What was read.
        outcome: ReadOutcome,
    },
    /// Result of [`LeaseAction::Write`].
    Written {
        /// Era that the answer names; zero without an answer, or if the store names none.
        era: Era,
        /// What became of the write.
        outcome: WriteOutcome,
    },
    /// The store is in this era, as another of its answers or another process told.
    EraSeen(Era),
    /// A document carries this term, so the next acquisition must use a higher one.
    TermSeen(Term),
    /// Release the lease if this process holds it. Whether it acquires it again depends on [`LeaseEvent::Eligible`].
    StepDown,
    /// The process shuts down: release the lease, so that another process can acquire it before it expires.
    Release,
    /// A requested wake-up time was reached, or any other occasion to check the timers.
    Tick,
}

/// Output of the lease core, to be executed by the I/O shell.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseAction {
    /// Read the lease object and report the result with [`LeaseEvent::Read`].
    Read,
    /// Write this object: create it if it has no version, else replace that version.
    Write(Object),
    /// This process acquired the lease and may act as its holder before `until`.
    Acquired {
        /// Lease term (fencing token) of this acquisition. Writes made under the lease carry it.
        term: Term,
        /// When the holder must stop acting, unless the lease is renewed before.
        until: Time,
    },
    /// The lease was renewed; its holder may act before the new `until`.
    Renewed {
        /// When the holder must stop acting, unless the lease is renewed again.
        until: Time,
    },
    /// This process no longer holds the lease and must stop acting as its holder.
    Lost {
        /// Term of the lost lease.
        term: Term,
    },
    /// Pass [`LeaseEvent::Tick`] at this time, or earlier.
    WakeAt(Time),
}
