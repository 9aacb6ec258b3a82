//! Maximum of recent values.

use std::time::Duration;

use daisychute_core::Time;

/// Maximum of the values recorded in a sliding window.
///
/// The window consists of two halves, so that the maximum covers at least half a window.
///
/// ```
/// use std::time::Duration;
///
/// use daisychute_core::Time;
/// use daisychute_dispatch::RecentMaximum;
///
/// let mut maximum = RecentMaximum::default();
/// assert_eq!(maximum.get(Time::ZERO), None);
/// maximum.record(Time::ZERO, Duration::from_secs(2));
/// assert_eq!(maximum.get(Time::from_millis(5_000)), Some(Duration::from_secs(2)));
/// assert_eq!(maximum.get(Time::from_millis(90_000)), None);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecentMaximum<T = Duration> {
    /// Number of the half window that `current` covers.
    half: u64,
    current: Option<T>,
    /// Maximum of the half window before `half`.
    previous: Option<T>,
}

impl<T> Default for RecentMaximum<T> {
    fn default() -> Self {
        Self { half: 0, current: None, previous: None }
    }
}

impl<T: Ord + Copy> RecentMaximum<T> {
    /// Half of the window. A front of the usual load ends some hundred responses of a route in it.
    const HALF_WINDOW: Duration = Duration::from_secs(20);

    /// Records a value.
    pub fn record(&mut self, now: Time, value: T) {
        self.advance(now);
        self.current = self.current.max(Some(value));
    }

    /// Returns the largest value in the window; `None` if there is none.
    #[must_use]
    pub fn get(mut self, now: Time) -> Option<T> {
        self.advance(now);
        self.current.max(self.previous)
    }

    fn advance(&mut self, now: Time) {
        let half = now.as_micros() / Self::HALF_WINDOW.as_micros() as u64;
        if half == self.half {
            return;
        }
        self.previous = if half == self.half + 1 { self.current } else { None };
        self.current = None;
        self.half = half;
    }
}
