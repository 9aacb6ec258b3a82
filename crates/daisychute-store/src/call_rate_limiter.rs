//! The call budget of one process.

use std::time::Duration;

use daisychute_core::Time;
use thiserror::Error;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// How many calls a process may make.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallRateSettings {
    /// Calls a second in the long run.
    pub calls_per_second: u32,
    /// Calls at once after a quiet time.
    pub burst: u32,
    /// Watches that may wait at once. Each counts as one call when it opens and as one call while it waits.
    pub waiting_watches: u32,
}

impl Default for CallRateSettings {
    fn default() -> Self {
        Self { calls_per_second: 20, burst: 40, waiting_watches: 8 }
    }
}

/// The budget is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the call budget of this process is used up for {retry_after:?}")]
pub struct RateLimited {
    /// When the next call may be made.
    pub retry_after: Duration,
}

/// Bounds the calls of one process: a token bucket for calls and a count for waiting watches.
#[derive(Debug, Clone)]
pub struct CallRateLimiter {
    settings: CallRateSettings,
    // Invariant: at most `settings.burst` calls. Unit: a millionth of a call.
    credit: u64,
    refilled: Time,
    // Invariant: at most `settings.waiting_watches`.
    waiting: u32,
}

impl CallRateLimiter {
    /// A full budget.
    #[must_use]
    pub fn new(settings: CallRateSettings) -> Self {
        let credit = u64::from(settings.burst) * MICROS_PER_SECOND;
        Self { settings, credit, refilled: Time::ZERO, waiting: 0 }
    }

    /// Takes one call.
    ///
    /// # Errors
    ///
    /// The budget is used up.
    pub fn acquire(&mut self, now: Time) -> Result<(), RateLimited> {
        self.refill(now);
        match self.credit.checked_sub(MICROS_PER_SECOND) {
            Some(rest) => {
                self.credit = rest;
                Ok(())
            }
            None => Err(RateLimited { retry_after: self.time_to_next_call() }),
        }
    }

    /// Takes the call that opens a watch and the place in which it waits.
    ///
    /// # Errors
    ///
    /// The budget is used up, or as many watches wait as may.
    pub fn acquire_watch(&mut self, now: Time) -> Result<(), RateLimited> {
        if self.waiting >= self.settings.waiting_watches {
            return Err(RateLimited { retry_after: Duration::from_secs(1) });
        }
        self.acquire(now)?;
        self.waiting += 1;
        Ok(())
    }

    /// Gives back the place of a watch.
    pub fn release_watch(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// How many watches wait.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    fn refill(&mut self, now: Time) {
        let micros = u64::try_from(now.since(self.refilled).as_micros()).unwrap_or(u64::MAX);
        let gained = micros.saturating_mul(u64::from(self.settings.calls_per_second));
        let full = u64::from(self.settings.burst) * MICROS_PER_SECOND;
        self.credit = self.credit.saturating_add(gained).min(full);
        self.refilled = self.refilled.max(now);
    }

    fn time_to_next_call(&self) -> Duration {
        let lacking = MICROS_PER_SECOND.saturating_sub(self.credit);
        let rate = u64::from(self.settings.calls_per_second).max(1);
        Duration::from_micros(lacking.div_ceil(rate))
    }
}
