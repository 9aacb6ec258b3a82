//! Settings of the duties of a front.

use std::time::Duration;

use daisychute_core::ProcessName;
use daisychute_store::LeaseSettings;
use daisychute_usage::UsageSettings;

/// Safety margin of a lease at both ends.
const MARGIN: Duration = Duration::from_millis(500);
/// How much longer a lease is than the time within which holders must not act in turns, so that its margin and the time
/// of a call are on top.
const LEASE_EXTENSION: Duration = Duration::from_secs(1);
/// Shortest lease: it must leave time for a call between two renewals. A longer one than needed is safe.
const MIN_LEASE: Duration = Duration::from_secs(3);
/// Interval between renewals, so that one lost renewal doesn't end the lease.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which candidates read the lease.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Bounds of the delay after a failed call of the store.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(1));

/// Maximum share of the time until a report is due after which its window is frozen.
const MAX_FREEZE_SHARE: f64 = 0.6;
/// Timeout of a call of the control API. A call starts only if the lease is valid for longer.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Settings of the duties of a front towards the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutySettings {
    /// Name of this front as a holder of duties.
    pub holder: ProcessName,
    /// Time within which two holders must not act in turns.
    pub lease: Duration,
    /// Length of the windows for which usage is reported.
    pub usage_window: Duration,
    /// Time after the end of a window by which its report is due.
    pub usage_due: Duration,
}

impl DutySettings {
    /// Returns the settings of the usage reports. A window is frozen in time for three calls that fail.
    pub(crate) fn usage_settings(&self) -> UsageSettings {
        let default = UsageSettings::default();
        let latest = self.usage_due.mul_f64(MAX_FREEZE_SHARE);
        UsageSettings {
            window: self.usage_window,
            freeze_after: default.freeze_after.min(latest),
            call_timeout: CALL_TIMEOUT,
            ..default
        }
    }

    /// Returns the settings of the lease of a duty.
    pub(crate) fn lease_settings(&self) -> LeaseSettings {
        LeaseSettings {
            duration: self.lease.max(MIN_LEASE) + LEASE_EXTENSION,
            margin: MARGIN,
            renew_interval: RENEW_INTERVAL,
            poll_interval: POLL_INTERVAL,
            first_retry: RETRY_DELAYS.0,
            longest_retry: RETRY_DELAYS.1,
        }
    }
}
