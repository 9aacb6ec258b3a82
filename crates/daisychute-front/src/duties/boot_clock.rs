//! Clock that also counts the time during which the machine was suspended.

use std::time::Duration;

use daisychute_core::Time;
use nix::time::{ClockId, clock_gettime};

/// Clock that gives the time since its start. Unlike the monotonic clock, which it is never behind, it counts the time
/// during which the machine was suspended, so that a lease expires meanwhile.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BootClock {
    origin: Duration,
}

impl BootClock {
    /// Creates a clock that starts at zero now.
    pub(crate) fn start() -> Self {
        Self { origin: since_boot() }
    }

    /// Time since the start of the clock.
    pub(crate) fn now(self) -> Time {
        Time::ZERO + since_boot().saturating_sub(self.origin)
    }
}

/// The time since the machine was booted. Zero if the kernel doesn't have that clock: a lease is dropped then.
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}
