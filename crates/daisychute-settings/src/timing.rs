//! Section `[timing]`: when a silent peer is given up, and how long a stop may take.

use std::time::Duration;

use crate::field::raw_section;
use crate::problem::{Problem, Problems};
use crate::rule::Span;

raw_section! {
    /// Section `[timing]` as it stands in the file.
    RawTiming {
        heartbeat = "heartbeat",
        silence = "silence",
        lease = "lease",
        drain = "drain",
    }
}

/// When a silent peer is given up, and how long a stop may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimingSettings {
    /// The time between two heartbeats on an inner connection.
    pub heartbeat: Duration,
    /// The time after which a connection that carried nothing is given up.
    // Invariant: at least `LEAST_HEARTBEATS_IN_SILENCE` times `heartbeat`.
    pub silence: Duration,
    /// The time for which a lease holds after its renewal.
    pub lease: Duration,
    /// The time that a graceful stop waits for requests in flight.
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
    /// The least ratio of `silence` to `heartbeat`, so that one late heartbeat does not end a connection.
    pub const LEAST_HEARTBEATS_IN_SILENCE: u32 = 2;

    const HEARTBEAT: Span = Span { min: Duration::from_millis(20), max: Duration::from_secs(60) };
    const SILENCE: Span = Span { min: Duration::from_millis(40), max: Duration::from_secs(300) };
    const LEASE: Span = Span { min: Duration::from_millis(200), max: Duration::from_secs(300) };
    const DRAIN: Span = Span { min: Duration::ZERO, max: Duration::from_secs(3_600) };

    fn check_silence(&self, raw: &RawTiming) -> Result<(), Problem> {
        let Self { heartbeat, silence, .. } = *self;
        if silence >= heartbeat * Self::LEAST_HEARTBEATS_IN_SILENCE {
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
            problems.keep(checked.check_silence(raw));
        }
        problems.none_or(checked)
    }
}
