//! Faults that a test injects into the platform.

use serde::{Deserialize, Serialize};

/// Faults to inject. `POST /_standin/faults` replaces all of them; a missing field is off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Closes the connection of every call without a response or an effect, and those of open watches.
    pub outage: bool,
    /// Refuses every call with 503, without an effect.
    pub unavailable: bool,
    /// Accepts calls but never responds; the calls have no effect.
    pub hang: bool,
    /// Delay before a call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of next successful writes that take effect but get no response: the connection is closed instead.
    pub lose_answers: u32,
    /// Gets and lists return the state as of the time when this was switched on.
    pub stale_reads: bool,
    /// Watches send nothing. A watch that was open while this was on sends nothing afterwards either.
    pub silent_watches: bool,
}
