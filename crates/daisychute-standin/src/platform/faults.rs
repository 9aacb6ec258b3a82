//! Faults that a test switches on.

use serde::{Deserialize, Serialize};

/// The faults of the platform. `POST /_standin/faults` replaces all of them; a field left out is off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Closes every connection without an answer or an effect, the open watches too.
    pub outage: bool,
    /// Answers every call 503 without an effect.
    pub unavailable: bool,
    /// Accepts calls and never answers them; they have no effect.
    pub hang: bool,
    /// Milliseconds before a call takes effect.
    pub delay_ms: u64,
    /// The next so many writes take effect and lose their answers: the connection is closed.
    pub lose_answers: u32,
    /// Reads and lists show what there was when this was switched on.
    pub stale_reads: bool,
    /// Watches send nothing. A watch that was open meanwhile stays silent for good.
    pub silent_watches: bool,
}
