//! Windows of true time.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::UnixTime;

/// Number of a window: window *k* begins *k* window lengths after the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WindowId(u64);

impl WindowId {
    /// Returns the window with this number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the window that contains `at`. A `length` under a millisecond counts as one millisecond.
    #[must_use]
    pub fn containing(at: UnixTime, length: Duration) -> Self {
        Self(at.as_millis() / millis(length))
    }

    /// Number of the window.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }

    /// First point of the window.
    #[must_use]
    pub fn begin(self, length: Duration) -> UnixTime {
        UnixTime::from_millis(self.0.saturating_mul(millis(length)))
    }

    /// First point after the window.
    #[must_use]
    pub fn end(self, length: Duration) -> UnixTime {
        self.next().begin(length)
    }

    /// The window after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// The window `count` windows before this one, or the first.
    #[must_use]
    pub const fn back(self, count: u64) -> Self {
        Self(self.0.saturating_sub(count))
    }
}

impl fmt::Display for WindowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

fn millis(length: Duration) -> u64 {
    u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1)
}
