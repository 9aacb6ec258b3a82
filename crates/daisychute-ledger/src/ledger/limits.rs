//! Bounds of a ledger.

use std::time::Duration;

/// Bounds of a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerLimits {
    /// How long the end of a call is remembered. Within it, a key runs at most once.
    pub retention: Duration,
    /// How long the end of a call is remembered whose key the entry made.
    pub entry_key_retention: Duration,
    /// How long a refused request is remembered, so that a late copy of it does not run.
    pub refused_retention: Duration,
    /// Bytes that all records may take.
    pub max_bytes: usize,
    /// The largest answer that is recorded, in bytes. The room for it is reserved before the call runs.
    pub max_answer_bytes: usize,
    /// How many refused requests are remembered.
    pub max_refused: usize,
}

impl LedgerLimits {
    /// Bytes that a record takes besides its key and answer.
    pub const RECORD_BYTES: usize = 320;
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(3_600),
            entry_key_retention: Duration::from_secs(120),
            refused_retention: Duration::from_secs(120),
            max_bytes: 64 * 1024 * 1024,
            max_answer_bytes: 64 * 1024,
            max_refused: 20_000,
        }
    }
}
