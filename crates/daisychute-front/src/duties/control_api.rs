//! Calls that the holder of a duty makes to the platform's control API.

use std::time::Duration;

use daisychute_core::Term;
use daisychute_usage::UsageReport;

/// Who makes a call, under which term, and how long it may take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyCall {
    /// Name of the front that holds the duty.
    pub holder: String,
    /// Term of its lease, the fencing token.
    pub term: Term,
    /// Time after which the call is abandoned.
    pub timeout: Duration,
}

/// What is known of a call after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlAnswer {
    /// The call was executed, now or by an earlier attempt.
    Accepted,
    /// The API has seen a higher token.
    Superseded,
    /// The API refused the call with this status, and nothing was done.
    Refused(u16),
    /// The call wasn't sent.
    NotSent,
    /// No usable response arrived. The call may have been executed, or may still be.
    NoAnswer,
}

/// The platform's control API. It makes no decisions.
pub trait ControlApi: Clone + 'static {
    /// Reports the usage in one window. `may_send` is asked right before the call is written; if it denies, nothing is
    /// sent.
    fn report_usage(
        &self,
        call: &DutyCall,
        report: &UsageReport,
        may_send: impl Fn() -> bool,
    ) -> impl Future<Output = ControlAnswer>;
}
