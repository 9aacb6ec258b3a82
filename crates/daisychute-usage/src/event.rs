//! Events and actions of the reporter.

use daisychute_core::{Term, Time};

use crate::{ReportState, StateStamp, StateVersion, UsageReport, UsageShare, WindowId};

/// Reading the state failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StateUnavailable;

/// Result of a conditional write of the state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StateWrite {
    /// The state was written and has this version.
    Done(StateVersion),
    /// The object had another version. The write had no effect.
    Conflict,
    /// The write may have taken effect, or may still do so.
    Unknown,
    /// The write had no effect and never will have.
    Failed,
}

/// Result of a call to the API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The API accepted the report.
    Accepted,
    /// The API has seen a higher fencing token (409).
    Superseded,
    /// The API responded otherwise, for instance because of too many calls.
    Rejected,
    /// There was no response. The call may still be executed.
    Unknown,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReporterEvent {
    /// The lease was acquired or renewed.
    Held {
        /// Term of the lease.
        term: Term,
        /// The lease is valid until then.
        until: Time,
    },
    /// The lease was lost or released.
    Lost,
    /// Result of `ReadState`: the state and its version; `None` if the store has none.
    StateRead(Result<Option<(ReportState, StateVersion)>, StateUnavailable>),
    /// Result of `WriteState`.
    StateWritten(StateWrite),
    /// A front, or this one, told what it counted.
    ShareReceived(UsageShare),
    /// Live sources (fronts), the reporter's own included.
    SourcesSeen(Vec<u64>),
    /// A peer announced what [`UsageReporter::announcement`](crate::UsageReporter::announcement) returned there.
    ReportedByPeer {
        /// Stamp of the latest state that the peer knows to have been written.
        stamp: StateStamp,
        /// Highest window that may have been reported.
        window: WindowId,
    },
    /// Result of `SendReport`. Each call has exactly one.
    ReportEnded {
        /// Window of the report.
        window: WindowId,
        /// Result of the call.
        outcome: CallOutcome,
    },
    /// Time passed.
    Tick,
}

/// What the shell should do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReporterAction {
    /// Read the state object.
    ReadState,
    /// Write the state object if it has this version, or doesn't exist (`None`).
    WriteState {
        /// The new content.
        state: ReportState,
        /// Version that is replaced.
        replaces: Option<StateVersion>,
    },
    /// Call the API.
    SendReport {
        /// Fencing token of the call.
        term: Term,
        /// The report.
        report: UsageReport,
    },
    /// A report was accepted. For the log and metrics.
    Reported {
        /// Window of the report.
        window: WindowId,
        /// Requests of all tenants.
        requests: u64,
    },
    /// No source counted this window from its beginning, so it isn't reported. For the log and metrics.
    Unknown {
        /// The window.
        window: WindowId,
    },
    /// A later holder exists. Release the lease.
    GiveUp,
}
