//! Input of the task that runs the duties.

use daisychute_core::Term;
use daisychute_store::{ReadOutcome, WriteOutcome};
use daisychute_usage::{StateStamp, UsageShare, WindowId};

use crate::{ControlAnswer, DutyAnswer};

/// What the task that runs the duties is told.
#[derive(Debug)]
pub(crate) enum DutyInput {
    /// The lease object was read.
    LeaseRead(DutyAnswer<ReadOutcome>),
    /// The lease object was written.
    LeaseWritten(DutyAnswer<WriteOutcome>),
    /// The state of the usage reports was read.
    StateRead(DutyAnswer<ReadOutcome>),
    /// The state of the usage reports was written.
    StateWritten(DutyAnswer<WriteOutcome>),
    /// A call of the control API ended.
    ReportEnded {
        /// The window that it reports.
        window: WindowId,
        /// What is known of it.
        answer: ControlAnswer,
    },
    /// A front counted requests.
    Share(UsageShare),
    /// A front holds the duty under this term.
    TermSeen(Term),
    /// A front announced the highest term of a holder, and the last window that may be reported.
    ReportedByPeer(StateStamp, WindowId),
    /// The process shuts down.
    Stop,
}
