//! What a heartbeat tells about duties.

use daisychute_core::Term;
use daisychute_usage::{StateStamp, WindowId};
use serde::{Deserialize, Serialize};

/// The sender's wall clock in Unix milliseconds, the term under which it holds the duty of usage reports, and what its
/// reporter announces: the stamp of the latest state, and the last window that is frozen, so that it is or may be reported.
/// Fields are written without their names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DutyNews(
    pub(crate) u64,
    pub(crate) Option<Term>,
    pub(crate) Option<(StateStamp, WindowId)>,
);
