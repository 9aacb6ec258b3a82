//! Longest recent response time of a route.

use std::time::Duration;

use daisychute_core::Time;

/// Longest time from the arrival of a request to the end of its response, in a sliding window.
///
/// The window consists of two halves, so that the maximum covers at least half a window.
///
/// ```
/// use std::time::Duration;
///
/// use daisychute_core::Time;
/// use daisychute_dispatch::ResponseTime;
///
/// let mut response_time = ResponseTime::default();
/// assert_eq!(response_time.longest(Time::ZERO), None);
/// response_time.record(Time::ZERO, Duration::from_secs(2));
/// assert_eq!(response_time.longest(Time::from_millis(5_000)), Some(Duration::from_secs(2)));
/// assert_eq!(response_time.longest(Time::from_millis(90_000)), None);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResponseTime {
    /// Number of the half window that `current` covers.
    half: u64,
    current: Option<Duration>,
    /// Maximum of the half window before `half`.
    previous: Option<Duration>,
}

impl ResponseTime {
    /// Half of the window. A front of the usual load ends some hundred responses of a route in it.
    const HALF_WINDOW: Duration = Duration::from_secs(20);

    /// Records a response that ended, or was cut, this long after its request arrived.
    pub fn record(&mut self, now: Time, took: Duration) {
        self.advance(now);
        self.current = self.current.max(Some(took));
    }

    /// Returns the longest response time in the window; `None` if no response ended in it.
    #[must_use]
    pub fn longest(mut self, now: Time) -> Option<Duration> {
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
