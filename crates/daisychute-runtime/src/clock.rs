//! Monotonic clock of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use daisychute_core::{Incarnation, Time};

/// Monotonic clock that gives [`Time`] since its start. It keeps running while the process is stopped.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock that starts at zero now.
    #[must_use]
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Time since the start of the clock.
    #[must_use]
    pub fn now(&self) -> Time {
        let micros = self.origin.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Converts `time` to an [`Instant`] for the timers of the async runtime.
    #[must_use]
    pub fn instant(&self, time: Time) -> Instant {
        self.origin + std::time::Duration::from_micros(time.as_micros())
    }

    /// Converts an [`Instant`] to a time; zero if it is before the start of the clock.
    #[must_use]
    pub fn time(&self, instant: Instant) -> Time {
        let micros = instant.saturating_duration_since(self.origin).as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Incarnation number for a process that starts now: microseconds since the Unix epoch by the system clock.
    #[must_use]
    pub fn incarnation() -> Incarnation {
        let micros = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros();
        Incarnation::new(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
