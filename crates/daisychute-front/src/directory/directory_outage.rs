//! What an outage of the directory leaves in doubt.

use std::time::Duration;

use daisychute_core::Time;
use daisychute_dispatch::Removal;

/// The latest outage of the directory, as one front sees it.
///
/// Records that lapse during an outage of the whole directory come back soon after its return, so that those which are
/// missing then are in doubt for a while. Where the directory was out of this front's reach only, the same records are
/// gone, and the doubt must end before the front is held to what others could read all the time.
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
/// outage.failed(at(1_000));
/// outage.answered(at(1_100));
/// assert_eq!(outage.removal(at(2_100)), Removal::AfterOutage(Duration::from_millis(1_000)));
/// assert_eq!(outage.removal(at(3_100)), Removal::Left);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DirectoryOutage {
    /// When the latest failed call should have been answered: the directory was away at that time.
    unreachable_at: Option<Time>,
    uncertain_until: Option<Time>,
}

impl DirectoryOutage {
    /// Vanished records are in doubt for so long after the directory's return.
    const RECOVERY_WINDOW: Duration = Duration::from_secs(2);
    /// The doubt lasts at most so much longer after the directory was last found away: a front counts as in touch three
    /// seconds after its way to the directory is open again, and must know by then what has left.
    const MAX_EXTENSION: Duration = Duration::from_millis(500);

    /// A call failed that should have been answered by `due`.
    pub fn failed(&mut self, due: Time) {
        self.unreachable_at = Some(due);
    }

    /// The directory answered. Returns whether it was away before.
    pub fn answered(&mut self, now: Time) -> bool {
        let Some(unreachable_at) = self.unreachable_at.take() else { return false };
        self.uncertain_until = Some(
            (now + Self::RECOVERY_WINDOW)
                .min(unreachable_at + Self::RECOVERY_WINDOW + Self::MAX_EXTENSION),
        );
        true
    }

    /// Whether a record that vanishes now may come back.
    #[must_use]
    pub fn removal(&self, now: Time) -> Removal {
        match self.uncertain_until {
            Some(until) if now < until => Removal::AfterOutage(until.since(now)),
            _ => Removal::Left,
        }
    }
}
