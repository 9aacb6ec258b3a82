//! The clock of a shell.

use std::time::Instant;

use daisychute_core::Time;

/// Tells the time that shells pass to cores: microseconds on the monotonic clock since the process chose its origin.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// The present time.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    /// The instant of a point in time.
    #[must_use]
    pub fn instant(&self, time: Time) -> Instant {
        self.origin + time.since(Time::ZERO)
    }
}
