//! Rate limit for the platform calls of one process.

use std::time::Duration;

use daisychute_core::Time;
use thiserror::Error;

/// Bucket units for one call. A rate of one call a second adds one unit per microsecond.
const MICRO_TOKENS_PER_CALL: u64 = 1_000_000;

/// Limits on the platform calls of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallRateSettings {
    /// Sustained rate: tokens added to the bucket per second.
    pub calls_per_second: u32,
    /// Capacity of the bucket: calls that may be made back to back after an idle period.
    pub burst: u32,
    /// Maximum number of open watches. Opening one also takes one call from the bucket.
    pub max_watches: u32,
}

impl Default for CallRateSettings {
    fn default() -> Self {
        Self { calls_per_second: 20, burst: 40, max_watches: 8 }
    }
}

/// The rate limit of this process rejected a call before it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the call rate limit of this process is exceeded; retry after {retry_after:?}")]
pub struct RateLimited {
    /// Time until the next call may be made: until the bucket holds a token, or one second if all watches are open.
    pub retry_after: Duration,
}

/// Limits the calls of one process: a token bucket for calls and a count of open watches.
#[derive(Debug, Clone)]
pub struct CallRateLimiter {
    settings: CallRateSettings,
    // Invariant: at most `settings.burst` calls. Unit: millionths of a call.
    micro_tokens: u64,
    refilled_at: Time,
    // Invariant: at most `settings.max_watches`.
    open_watches: u32,
}

impl CallRateLimiter {
    /// Starts with a full bucket and no open watch.
    #[must_use]
    pub fn new(settings: CallRateSettings) -> Self {
        let micro_tokens = u64::from(settings.burst) * MICRO_TOKENS_PER_CALL;
        Self { settings, micro_tokens, refilled_at: Time::ZERO, open_watches: 0 }
    }

    /// Takes the token of one call.
    ///
    /// # Errors
    ///
    /// The bucket holds less than one token.
    pub fn acquire(&mut self, now: Time) -> Result<(), RateLimited> {
        self.refill(now);
        match self.micro_tokens.checked_sub(MICRO_TOKENS_PER_CALL) {
            Some(remaining) => {
                self.micro_tokens = remaining;
                Ok(())
            }
            None => Err(RateLimited { retry_after: self.time_to_next_call() }),
        }
    }

    /// Takes the token of the call that opens a watch, and one of the watch slots.
    ///
    /// # Errors
    ///
    /// The bucket holds less than one token, or `max_watches` watches are open.
    pub fn acquire_watch(&mut self, now: Time) -> Result<(), RateLimited> {
        if self.open_watches >= self.settings.max_watches {
            return Err(RateLimited { retry_after: Duration::from_secs(1) });
        }
        self.acquire(now)?;
        self.open_watches += 1;
        Ok(())
    }

    /// Frees the slot of a closed watch.
    pub fn release_watch(&mut self) {
        self.open_watches = self.open_watches.saturating_sub(1);
    }

    /// Number of open watches.
    #[must_use]
    pub fn open_watches(&self) -> u32 {
        self.open_watches
    }

    fn refill(&mut self, now: Time) {
        let micros = u64::try_from(now.since(self.refilled_at).as_micros()).unwrap_or(u64::MAX);
        let added = micros.saturating_mul(u64::from(self.settings.calls_per_second));
        let capacity = u64::from(self.settings.burst) * MICRO_TOKENS_PER_CALL;
        self.micro_tokens = self.micro_tokens.saturating_add(added).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn time_to_next_call(&self) -> Duration {
        let missing = MICRO_TOKENS_PER_CALL.saturating_sub(self.micro_tokens);
        let rate = u64::from(self.settings.calls_per_second).max(1);
        Duration::from_micros(missing.div_ceil(rate))
    }
}
