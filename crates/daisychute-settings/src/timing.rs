//! Section `[timing]`: heartbeats, leases and shutdown.

use std::time::Duration;

use crate::field::raw_section;
use crate::problem::{Problem, Problems};
use crate::rule::DurationRange;

raw_section! {
    /// Unchecked section `[timing]`.
    RawTiming {
        heartbeat = "heartbeat",
        silence = "silence",
        lease = "lease",
        drain = "drain",
    }
}

/// Timing of heartbeats, leases and shutdown of an entry or agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimingSettings {
    /// Interval between two heartbeats on a connection between entries and agents.
    pub heartbeat: Duration,
    /// Time without received data after which such a connection is closed.
    // Invariant: at least `MIN_HEARTBEATS_IN_SILENCE` times `heartbeat`.
    pub silence: Duration,
    /// Time for which a lease is valid after each renewal.
    pub lease: Duration,
    /// Time that a graceful shutdown waits for requests in flight.
    pub drain: Duration,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(500),
            silence: Duration::from_secs(2),
            lease: Duration::from_secs(10),
            drain: Duration::from_secs(60),
        }
    }
}

impl TimingSettings {
    /// Minimum ratio of `silence` to `heartbeat`. With 2, a single late heartbeat doesn't close a connection.
    pub const MIN_HEARTBEATS_IN_SILENCE: u32 = 2;

    const HEARTBEAT: DurationRange =
        DurationRange { min: Duration::from_millis(20), max: Duration::from_secs(60) };
    const SILENCE: DurationRange =
        DurationRange { min: Duration::from_millis(40), max: Duration::from_secs(300) };
    const LEASE: DurationRange =
        DurationRange { min: Duration::from_millis(200), max: Duration::from_secs(300) };
    const DRAIN: DurationRange =
        DurationRange { min: Duration::ZERO, max: Duration::from_secs(3_600) };

    fn check_silence(&self, raw: &RawTiming) -> Result<(), Problem> {
        let Self { heartbeat, silence, .. } = *self;
        if silence >= heartbeat * Self::MIN_HEARTBEATS_IN_SILENCE {
            return Ok(());
        }
        Err(Problem::ShortSilence { silence, heartbeat, at: raw.silence.at() })
    }
}

impl TryFrom<&RawTiming> for TimingSettings {
    type Error = Problems;

    fn try_from(raw: &RawTiming) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let mut checked = Self::default();
        problems.set(&mut checked.heartbeat, raw.heartbeat.optional(&Self::HEARTBEAT));
        problems.set(&mut checked.silence, raw.silence.optional(&Self::SILENCE));
        problems.set(&mut checked.lease, raw.lease.optional(&Self::LEASE));
        problems.set(&mut checked.drain, raw.drain.optional(&Self::DRAIN));
        if problems.is_empty() {
            problems.record(checked.check_silence(raw));
        }
        problems.into_result(checked)
    }
}
