//! Whether records that are missing after an outage of the directory may come back.

use std::time::Duration;

use daisychute_core::Time;
use daisychute_dispatch::Removal;

/// The latest outage of the directory, as one front sees it.
///
/// Records that expire during an outage of the whole directory are written again soon after its recovery, so a record
/// that is missing then may come back. If only this front couldn't reach the directory, a missing record is really
/// removed, and the uncertainty must end before the front is expected to know what the others could read all the time.
///
/// ```
/// use std::time::Duration;
///
/// use daisychute_core::Time;
/// use daisychute_dispatch::Removal;
/// use daisychute_front::DirectoryOutage;
///
/// let at = |ms: u64| Time::from_micros(ms * 1_000);
/// let mut outage = DirectoryOutage::default();
/// outage.record_failure(at(1_000));
/// outage.record_success(at(1_100));
/// assert_eq!(outage.removal(at(2_100)), Removal::AfterOutage(Duration::from_millis(1_000)));
/// assert_eq!(outage.removal(at(3_100)), Removal::Left);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DirectoryOutage {
    /// Deadline of the latest failed call: the directory was unreachable at that time.
    unreachable_at: Option<Time>,
    uncertain_until: Option<Time>,
}

impl DirectoryOutage {
    /// How long after the directory's recovery a removed record may still come back.
    pub const RECOVERY_WINDOW: Duration = Duration::from_secs(2);
    /// Limits the recovery window, counted from when the directory was last found unreachable, to
    /// [`Self::RECOVERY_WINDOW`] plus this. A front counts as connected three seconds after it can reach the directory
    /// again, and must know by then which endpoints were removed.
    const MAX_EXTENSION: Duration = Duration::from_millis(500);

    /// Records a call that failed and should have been answered by `deadline`.
    pub fn record_failure(&mut self, deadline: Time) {
        self.unreachable_at = Some(deadline);
    }

    /// Records a successful call. Returns whether the directory was unreachable before.
    pub fn record_success(&mut self, now: Time) -> bool {
        let Some(unreachable_at) = self.unreachable_at.take() else { return false };
        let until = (now + Self::RECOVERY_WINDOW)
            .min(unreachable_at + Self::RECOVERY_WINDOW + Self::MAX_EXTENSION);
        self.uncertain_until = self.uncertain_until.max(Some(until));
        true
    }

    /// Records that the directory was found restored from a copy, which may lack records that are written again soon.
    pub fn record_restored(&mut self, now: Time) {
        self.uncertain_until = self.uncertain_until.max(Some(now + Self::RECOVERY_WINDOW));
    }

    /// Returns whether a record that is removed now may come back.
    #[must_use]
    pub fn removal(&self, now: Time) -> Removal {
        match self.uncertain_until {
            Some(until) if now < until => Removal::AfterOutage(until.since(now)),
            _ => Removal::Left,
        }
    }
}
