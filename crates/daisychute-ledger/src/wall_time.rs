//! Wall-clock time, for the few decisions that compare clocks of different processes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in time in milliseconds since the Unix epoch, as a UUIDv7 carries it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(u64);

impl WallTime {
    /// The largest difference between the clocks of two processes, or of a caller that runs ahead, that the
    /// guarantees allow for.
    pub const MAX_SKEW: Duration = Duration::from_secs(5);

    /// A point so many milliseconds after the Unix epoch.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the Unix epoch.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The point so much later.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}
