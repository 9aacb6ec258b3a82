//! The clock of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use daisychute_core::{Incarnation, Time};

/// Tells [`Time`] since the start of the process. It never goes back and goes on while the process is stopped.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock whose origin is now.
    #[must_use]
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// The present time.
    #[must_use]
    pub fn now(&self) -> Time {
        let micros = self.origin.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// When `time` is, for the timers of the runtime.
    #[must_use]
    pub fn instant(&self, time: Time) -> Instant {
        self.origin + std::time::Duration::from_micros(time.as_micros())
    }

    /// The incarnation of a process that starts now: microseconds since the Unix epoch.
    #[must_use]
    pub fn incarnation() -> Incarnation {
        let micros = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros();
        Incarnation::new(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
