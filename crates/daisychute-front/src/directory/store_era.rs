//! The era of the directory, as one front knows it.

use std::cell::Cell;
use std::time::Duration;

use daisychute_core::Time;
use tokio::sync::watch;

use crate::{Continuity, Position};

/// The latest era of the directory that this front has learned of, from any of its answers or from a peer.
///
/// ```
/// use daisychute_core::Time;
/// use daisychute_front::StoreEra;
///
/// let era = StoreEra::default();
/// assert_eq!(era.record(Time::ZERO, 4), None);
/// assert_eq!(era.record(Time::ZERO, 3), None);
/// assert_eq!(era.record(Time::ZERO, 5), Some(4));
/// assert_eq!(era.latest(), 5);
/// ```
#[derive(Debug, Default)]
pub struct StoreEra {
    latest: watch::Sender<u64>,
    is_known: Cell<bool>,
    // When the latest era was learned. `None` until the first rise: the era that is learned first is none.
    risen_at: Cell<Option<Time>>,
}

impl StoreEra {
    /// Records an era. Returns the previous one if the directory was restored since; an older era changes nothing.
    pub fn record(&self, now: Time, era: u64) -> Option<u64> {
        let was_known = self.is_known.replace(true);
        let previous = *self.latest.borrow();
        if era <= previous {
            return None;
        }
        self.latest.send_replace(era);
        if !was_known {
            return None;
        }
        self.risen_at.set(Some(now));
        Some(previous)
    }

    /// Returns the latest era; 0 if none is known.
    #[must_use]
    pub fn latest(&self) -> u64 {
        *self.latest.borrow()
    }

    /// Classifies a listing taken at `position`. `after` is the position from which changes were asked for, `None` for a
    /// complete listing.
    #[must_use]
    pub fn continuity(&self, after: Option<Position>, position: Position) -> Continuity {
        if position.era() < self.latest() {
            Continuity::Outdated
        } else if after.is_some_and(|it| it.era() != position.era()) {
            Continuity::Restored
        } else {
            Continuity::Continues
        }
    }

    /// Whether the directory was restored since this front first learned of its era.
    #[must_use]
    pub fn has_risen(&self) -> bool {
        self.risen_at.get().is_some()
    }

    /// Whether the directory was restored less than `time` ago, counted from when this front learned of it.
    #[must_use]
    pub fn has_risen_within(&self, now: Time, time: Duration) -> bool {
        self.risen_at.get().is_some_and(|it| now.since(it) < time)
    }

    /// Waits until an era after `era` is known.
    pub async fn wait_until_after(&self, era: u64) {
        // The sender is never dropped while `self` is borrowed.
        let _ = self.latest.subscribe().wait_for(|it| *it > era).await;
    }
}
